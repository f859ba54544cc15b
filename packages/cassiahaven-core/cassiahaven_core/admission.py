"""Admission limits and weighted fair queueing among the partners of one service."""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from cassiahaven_core.fair_service import FairService
from cassiahaven_core.reason import RefusalReason
from cassiahaven_core.table import CellValue

RATE_BURST_S = 1.0


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call waiting for a free slot.

    Attributes:
        partner: Whom limits and fair queueing apply to: the client account, or else the route.
        tried: Endpoints that the call has already been sent to.
        priority: Priority among waiting calls, 0 is the highest.
        target_at_ms: Time by which a response meets the latency target.
        start_by_ms: Latest time to send the call and meet the target.
        most_attempts: Maximum number of endpoints that the call may be sent to.
        work_class: Calls of similar work, which learned latencies are kept for; empty if they are
            those of the partner.
        body_bytes: Bytes of its body.
        return_key: What a call has in common with the caller's repetition of it, empty if unknown.
        has_returned: Whether its caller was refused before and came back when told.
    """

    call_id: str
    partner: str
    idempotent: bool
    deadline_ms: float
    arrived_ms: float
    tried: frozenset[str] = frozenset()
    priority: int = 0
    target_at_ms: float = float("inf")
    start_by_ms: float = float("inf")
    most_attempts: int = 3
    work_class: str = ""
    body_bytes: int = 0
    return_key: str = ""
    has_returned: bool = False

    @property
    def latency_class(self) -> str:
        """Return the key under which latencies of such calls are learned."""
        return self.work_class or self.partner


@dataclass(slots=True)
class PartnerState:
    """Rate limit, in-flight calls and queue of one partner at this entry.

    Attributes:
        waiting_by_priority: Number of queued calls of each priority.
    """

    cell: CellValue
    tokens: float = 0.0
    refilled_ms: float = 0.0
    in_flight: int = 0
    virtual_time: float = 0.0
    queue_by_call: OrderedDict[str, WaitingCall] = field(default_factory=OrderedDict)
    waiting_by_priority: Counter[int] = field(default_factory=Counter)

    def add(self, call: WaitingCall) -> None:
        """Append a call to the queue."""
        self.queue_by_call[call.call_id] = call
        self.waiting_by_priority[call.priority] += 1

    def remove(self, call: WaitingCall) -> bool:
        """Remove a call from the queue and return whether it was queued."""
        if self.queue_by_call.pop(call.call_id, None) is None:
            return False
        self.waiting_by_priority[call.priority] -= 1
        if not self.waiting_by_priority[call.priority]:
            del self.waiting_by_priority[call.priority]
        return True

    def waiting(self, priority: int) -> int:
        """Return the number of queued calls that are at least as urgent as ``priority``."""
        return sum(number for key, number in self.waiting_by_priority.items() if key <= priority)


class Admission:
    """Admit calls within the limits of the table and order the waiting calls.

    Args:
        limit_share: Share of the fleet-wide limits enforced here, above 0 and at most 1.
        fair_service: Finds the client accounts that are served far less often than others.

    Attributes:
        waiting: Number of waiting calls.
    """

    __slots__ = ("partner_by_name", "limit_share", "waiting", "_fair_service", "_virtual_time")

    def __init__(
        self, *, limit_share: float = 1.0, fair_service: FairService | None = None
    ) -> None:
        self.partner_by_name: dict[str, PartnerState] = {}
        self.limit_share = limit_share
        self.waiting = 0
        self._fair_service = fair_service or FairService()
        self._virtual_time = 0.0

    @property
    def is_idle(self) -> bool:
        """Return whether no call is waiting or in flight."""
        if self.waiting:
            return False
        return not any(state.in_flight for state in self.partner_by_name.values())

    def set_cell(self, partner: str, cell: CellValue, now_ms: float) -> None:
        """Apply new limits and weight to a partner."""
        state = self.partner_by_name.get(partner)
        if state is None:
            state = PartnerState(cell, refilled_ms=now_ms)
            state.tokens = self._burst(cell)
            self.partner_by_name[partner] = state
        state.cell = cell

    def admit(self, call: WaitingCall, now_ms: float) -> RefusalReason | None:
        """Queue ``call``, or return the reason for refusing it."""
        state = self.partner_by_name[call.partner]
        if state.cell.weight == 0:
            return RefusalReason.PARTNER_BLOCKED
        if len(state.queue_by_call) >= state.cell.queue_limit:
            return RefusalReason.QUEUE_FULL
        if not self._take_token(state, now_ms):
            return RefusalReason.RATE_LIMITED
        if not state.queue_by_call and not state.in_flight:
            # An idle partner must not accumulate credit against active partners.
            state.virtual_time = max(state.virtual_time, self._virtual_time)
        state.add(call)
        self.waiting += 1
        return None

    def requeue(self, call: WaitingCall) -> None:
        """Return a previously admitted call to the head of its partner's queue."""
        state = self.partner_by_name[call.partner]
        state.add(call)
        state.queue_by_call.move_to_end(call.call_id, last=False)
        self.waiting += 1

    def expected_calls_ahead(self, partner: str, priority: int = 0) -> float:
        """Return the expected number of calls served before a new call of ``partner``."""
        state = self.partner_by_name[partner]
        is_behind = self._fair_service.is_behind(partner)
        weights = 0.0
        waiting = 0
        for name, item in self.partner_by_name.items():
            if item is not state and not item.queue_by_call:
                continue
            if item is state or self._fair_service.is_behind(name) == is_behind:
                # Among accounts that are behind, priority does not decide.
                is_any = is_behind and item is not state
                ahead = len(item.queue_by_call) if is_any else item.waiting(priority)
            else:
                ahead = 0 if is_behind else len(item.queue_by_call)
            waiting += ahead
            if ahead or item is state:
                weights += item.cell.weight
        if not weights:
            return 0.0
        share = state.cell.weight / weights
        own = state.waiting(priority)
        return min(own / share if share else float("inf"), waiting)

    def next(self, now_ms: float) -> WaitingCall | None:
        """Return the call to serve next, without removing it.

        Accounts that are served far less often than others go first. Then calls that can still meet
        their target, so that a backlog does not make every later call late too. Among these,
        priority decides, then weighted fair queueing.
        """
        if not self.waiting:
            return None
        self._fair_service.expire(now_ms)
        best: WaitingCall | None = None
        best_key = (True, True, 0, 0.0)
        for name, state in self.partner_by_name.items():
            if not state.queue_by_call or state.in_flight >= self._concurrency(state):
                continue
            call = _first_on_time(state, now_ms)
            is_behind = self._fair_service.is_behind(name)
            priority = 0 if is_behind else call.priority
            is_late = call.start_by_ms <= now_ms
            key = (not is_behind, is_late, priority, state.virtual_time)
            if best is None or key < best_key:
                best, best_key = call, key
        return best

    def waiting_calls(self) -> list[WaitingCall]:
        """Return all waiting calls, sorted by priority and arrival, but behind accounts first."""
        calls: list[WaitingCall] = []
        behind: set[str] = set()
        for name, state in self.partner_by_name.items():
            calls.extend(state.queue_by_call.values())
            if state.queue_by_call and self._fair_service.is_behind(name):
                behind.add(name)
        calls.sort(key=lambda call: (call.partner not in behind, call.priority, call.arrived_ms))
        return calls

    def start(self, call: WaitingCall, cost_ms: float) -> None:
        """Move ``call`` from the queue to the calls in flight.

        Args:
            call: The call.
            cost_ms: Upstream time charged to the partner.
        """
        state = self.partner_by_name[call.partner]
        self.withdraw(call)
        state.in_flight += 1
        self._fair_service.start(call.partner)
        self._virtual_time = max(self._virtual_time, state.virtual_time)
        state.virtual_time += cost_ms / state.cell.weight if state.cell.weight else 0.0

    def finish(self, partner: str) -> None:
        """Release the in-flight count of a call of ``partner``."""
        self.partner_by_name[partner].in_flight -= 1
        self._fair_service.finish(partner)

    def withdraw(self, call: WaitingCall) -> bool:
        """Remove ``call`` from the queue and return whether it was queued."""
        if not self.partner_by_name[call.partner].remove(call):
            return False
        self.waiting -= 1
        return True

    def expired(self, now_ms: float) -> list[WaitingCall]:
        """Return the waiting calls whose deadline has passed."""
        return [
            call
            for state in self.partner_by_name.values()
            for call in state.queue_by_call.values()
            if call.deadline_ms <= now_ms
        ]

    def _burst(self, cell: CellValue) -> float:
        return max(1.0, cell.rate_per_s * RATE_BURST_S * self.limit_share)

    def _concurrency(self, state: PartnerState) -> int:
        return max(1, round(state.cell.concurrency * self.limit_share))

    def _take_token(self, state: PartnerState, now_ms: float) -> bool:
        elapsed_s = max(0.0, now_ms - state.refilled_ms) / 1000
        refill = elapsed_s * state.cell.rate_per_s * self.limit_share
        state.tokens = min(self._burst(state.cell), state.tokens + refill)
        state.refilled_ms = now_ms
        if state.cell.rate_per_s == 0 or state.tokens < 1:
            return False
        state.tokens -= 1
        return True


def _first_on_time(state: PartnerState, now_ms: float) -> WaitingCall:
    if len(state.waiting_by_priority) > 1:
        # The calls of an account may belong to routes of different priorities.
        return min(
            state.queue_by_call.values(),
            key=lambda call: (call.start_by_ms <= now_ms, call.priority),
        )
    calls = iter(state.queue_by_call.values())
    oldest = next(calls)
    if oldest.start_by_ms > now_ms:
        return oldest
    return next((call for call in calls if call.start_by_ms > now_ms), oldest)
