"""Load shedding: selects the waiting calls to refuse, and when their callers come back."""

from bisect import insort
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cassiahaven_core.admission import WaitingCall

# A call may need only half of the typical latency; refusing earlier loses successful calls.
MIN_LATENCY_SHARE = 0.5
RETURN_SHARE = 1 / 3  # of their remaining time, up to which callers wait before they come back
EARLY_RETURN_MS = 20.0  # clocks and timers of callers differ by this much
LATE_RETURN_MS = 1000.0  # a caller that has not come back by then has given up
MAX_PROMISES = 1000  # bounds the time of one decision


@dataclass(frozen=True, slots=True)
class Promise:
    """When the caller of a refused call was told to come back."""

    due_ms: float
    priority: int
    key: str


class ReturnSchedule:
    """Spread the returns of refused callers over the capacity that becomes available.

    Each caller gets a time of its own, more urgent ones before less urgent ones. A call that comes
    back at its time is known by its key, and the calls before its time count it as work ahead.
    """

    __slots__ = ("_promises",)

    def __init__(self) -> None:
        self._promises: list[Promise] = []  # in the order of their times

    def promise(
        self, call: WaitingCall, *, soonest_ms: float, spacing_ms: float, now_ms: float
    ) -> float:
        """Return when the caller of a refused call is to come back.

        Args:
            call: The call.
            soonest_ms: When the calls that wait now have been sent.
            spacing_ms: Time in which one more call can be sent.
            now_ms: Current time, milliseconds.
        """
        self._expire(now_ms)
        due = (item.due_ms for item in self._promises if item.priority <= call.priority)
        due_ms = max(soonest_ms, max(due, default=0.0) + spacing_ms)
        # A caller that will not wait so long takes none of the capacity.
        comes_back = due_ms - now_ms <= (call.deadline_ms - now_ms) * RETURN_SHARE
        if call.return_key and comes_back and len(self._promises) < MAX_PROMISES:
            promise = Promise(due_ms, call.priority, call.return_key)
            insort(self._promises, promise, key=lambda item: item.due_ms)
        return due_ms

    def redeem(self, call: WaitingCall, now_ms: float) -> bool:
        """Return whether the caller of a call was told to come back now, and end its promise.

        Calls of several callers may have the same key; the first promise counts for the first.
        """
        self._expire(now_ms)
        for promise in self._promises:
            if promise.due_ms > now_ms + EARLY_RETURN_MS:
                return False
            if promise.key == call.return_key:
                self._promises.remove(promise)
                return True
        return False

    def due_before(self, at_ms: float, priority: int, now_ms: float) -> int:
        """Return how many callers of this priority or a more urgent one come back before a time."""
        self._expire(now_ms)
        return sum(item.due_ms < at_ms and item.priority <= priority for item in self._promises)

    def _expire(self, now_ms: float) -> None:
        while self._promises and self._promises[0].due_ms + LATE_RETURN_MS < now_ms:
            del self._promises[0]


def unservable_calls(
    calls: Iterable[WaitingCall],
    typical_latency_ms: Callable[[str], float],
    *,
    slots: float,
    now_ms: float,
    opens_in_ms: float = 0.0,
) -> list[WaitingCall]:
    """Return the waiting calls that cannot be served in time.

    Handles a backlog longer than callers wait: work for callers that leave before the response
    would delay all others, and a late call waits behind all calls that can still be on time.

    Args:
        calls: Calls in service order, except that late calls are served last.
        typical_latency_ms: Returns the typical latency of calls of a class.
        slots: Number of calls that run concurrently.
        now_ms: Current time, milliseconds.
        opens_in_ms: Time until the first call can be sent.
    """
    calls = list(calls)
    late = [call for call in calls if call.start_by_ms <= now_ms]
    fresh = [call for call in calls if call.start_by_ms > now_ms]
    unservable: list[WaitingCall] = []
    work_ms = 0.0
    for call in (*fresh, *late):
        latency_ms = typical_latency_ms(call.latency_class)
        starts_ms = now_ms + opens_in_ms + (work_ms / slots if slots else 0.0)
        if starts_ms + latency_ms * MIN_LATENCY_SHARE > call.deadline_ms:
            unservable.append(call)
        else:
            work_ms += latency_ms
    if fresh:
        # Calls arrive faster than they are served, so the late ones would wait in vain.
        unservable += [call for call in late if call not in unservable]
    return unservable
