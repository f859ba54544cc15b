"""Load shedding: selects the waiting calls to refuse."""

from collections.abc import Callable, Iterable

from cassiahaven_core.admission import WaitingCall

# A call may need only half of the typical latency; refusing earlier loses successful calls.
MIN_LATENCY_SHARE = 0.5


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
