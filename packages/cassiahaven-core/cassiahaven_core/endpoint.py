"""An endpoint as one entry knows it: its address, status, load, latency and failures."""

import math
from dataclasses import dataclass, field
from enum import Enum

from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.endpoint_gate import EndpointGate
from cassiahaven_core.lifecycle import SERVING, EndpointStatus
from cassiahaven_core.slot_limit import NEARLY_FULL_SHARE

SLOW_CALL_RATIO = 4.0  # lower ratios mistook normal variation in service time for slowness
COLD_PENALTY = 2.0
OCCUPANCY_COST = 0.2
NEARLY_FULL_COST = 1.5
FULL_COST = 4.0  # a call queued at a full endpoint waits about twice its own service time
FULL_TOLERANCE_SLOTS = 0.5  # the decayed count of other entries' calls is fractional
FAILURE_PENALTY = 4.0
MAX_FAILURE_PENALTIES = 8
FAILURE_DECAY_MS = 1000.0  # per consecutive failure; equals the shortest ejection
SLOWNESS_DECAY_MS = 5000.0  # upstreams that become slow stay slow for several seconds
REPORT_DECAY_MS = 150.0  # a VM's neighbours change their load about this often
FAILED_PROBE_COST = 20.0  # higher than the cost of the slowest neighbour


class CallResult(Enum):
    """Result of a call at an endpoint."""

    OK = "ok"
    SERVER_ERROR = "server-error"
    REFUSED = "refused"
    REPLACED = "replaced"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    TIMEOUT = "timeout"
    UNANSWERED = "unanswered"
    CANCELLED = "cancelled"


FAILED_RESULTS = frozenset(
    {
        CallResult.SERVER_ERROR,
        CallResult.REFUSED,
        CallResult.CONNECT_FAILED,
        CallResult.CONNECTION_LOST,
        CallResult.TIMEOUT,
        CallResult.UNANSWERED,
    }
)


NOT_RUN_RESULTS = frozenset({CallResult.CONNECT_FAILED, CallResult.REFUSED, CallResult.REPLACED})


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load reported by an endpoint.

    Attributes:
        running: Calls in progress from all entries.
        waiting: Calls in the endpoint's own queue.
        slowdown: Current slowdown factor of the endpoint's VM, 1 if normal.
        is_leaving: Whether the endpoint says that it leaves.
        cold_ms: Remaining time for which it is cold, ``None`` if it does not say.
    """

    running: int
    waiting: int = 0
    slowdown: float = 1.0
    is_leaving: bool = False
    cold_ms: float | None = None


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """Failed or unanswered probe, with the cause.

    Attributes:
        is_leaving: Whether the endpoint answered that it leaves.
        closed_for_ms: Time for which it wants no requests, ``None`` if it does not say.
        unreadable_closure: Text of such a time that cannot be read, ``None`` otherwise.
        cold_ms: Remaining time for which it is cold, ``None`` if it does not say.
    """

    detail: str
    is_leaving: bool = False
    closed_for_ms: float | None = None
    unreadable_closure: str | None = None
    cold_ms: float | None = None


@dataclass(slots=True)
class InFlightCall:
    """A call counted at an endpoint, with the state that its latency is compared with.

    Attributes:
        slowdown: Expected slowdown factor of the endpoint's VM at the start, 1 if normal.
        is_sent: Whether the call was sent, so that load reports may include it.
        is_nearly_full: Whether the call occupies one of the endpoint's last slots.
        is_rate_limited: Whether the call was counted against the endpoint's rate limit.
        is_cold: Whether the call was counted against what the cold endpoint bears.
    """

    partner: str
    at_ms: float
    typical_latency_ms: float
    slowdown: float = 1.0
    is_sent: bool = False
    is_nearly_full: bool = False
    is_rate_limited: bool = False
    is_cold: bool = False


@dataclass(slots=True)
class Endpoint:
    """State of one endpoint as tracked by this entry.

    Attributes:
        slowness: EWMA of call latency relative to the typical latency of the partner.
        slowness_updated_ms: Time of the last successful call, which updated the slowness.
        failed_ms: Time of the last failed call.
        ejections: Trials in a row that cost a caller its attempt, which lengthen the ejection.
        ejected_until_ms: Time from which a call may try the endpoint.
        probe_due_ms: Time from which a probe may try the endpoint.
        is_unreachable: Whether the last trial found it unreachable or full, at no caller's cost.
        warm_up_ends_ms: End of the warm-up after a start.
        others_in_flight: Calls of other entries according to the last load report.
        probe_failed_ms: Time of the last failed or unanswered probe.
        probe_tokens: Token bucket balance for probes.
        tie_break: Random factor close to 1 that varies the order of equal endpoints.
        gate: What it admits from this entry.
    """

    address: EndpointAddress
    status: EndpointStatus = EndpointStatus.COLD
    status_reason: str = "listed"
    since_ms: float = 0.0
    warm_up_ends_ms: float = 0.0
    slowness: float = 1.0
    slowness_updated_ms: float = 0.0
    failed_ms: float = 0.0
    in_flight_by_call_id: dict[str, InFlightCall] = field(default_factory=dict)
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_ms: float = 0.0
    probe_due_ms: float = 0.0
    is_unreachable: bool = False
    reported: LoadReport | None = None
    reported_at_ms: float = float("-inf")
    others_in_flight: int = 0
    probe_failed_ms: float = float("-inf")
    probe_tokens: float = 1.0
    probe_refilled_ms: float = 0.0
    tie_break: float = 1.0
    gate: EndpointGate = field(default_factory=EndpointGate)

    @property
    def in_flight(self) -> int:
        """Return the number of this entry's calls at the endpoint."""
        return len(self.in_flight_by_call_id)

    @property
    def is_serving(self) -> bool:
        """Return whether the endpoint accepts new calls."""
        return self.status in SERVING

    def started_ms(self) -> list[float]:
        """Return the start times of this entry's calls at the endpoint."""
        return [started.at_ms for started in self.in_flight_by_call_id.values()]

    def cost(self, typical_slowdown: float, now_ms: float) -> float:
        """Return the cost of a call at the endpoint, relative to an idle endpoint (1).

        It does not include the distance, which ``ZonePlacement`` weighs.

        Args:
            typical_slowdown: Usual slowdown factor of the service's VMs.
            now_ms: Current time, milliseconds.
        """
        in_flight_by_call_id = self.in_flight_by_call_id
        slots = self.address.slots
        slowness = self.decayed_slowness(now_ms)
        cost = slowness * self.tie_break * self.expected_slowdown(typical_slowdown, now_ms)
        if now_ms < self.warm_up_ends_ms:
            cost *= COLD_PENALTY
        if now_ms - self.probe_failed_ms < REPORT_DECAY_MS:
            cost *= FAILED_PROBE_COST
        if self.consecutive_failures:
            # Fast failures free slots at once, so the endpoint looks idle; avoid sending more.
            cost *= FAILURE_PENALTY ** self._decayed_failures(now_ms)
        taken = len(in_flight_by_call_id) + self.decayed_others_in_flight(now_ms)
        if taken + 1 > slots + FULL_TOLERANCE_SLOTS:
            cost *= FULL_COST * (1 + taken - slots)
        elif taken + 1 > slots * NEARLY_FULL_SHARE:
            cost *= NEARLY_FULL_COST
        if not in_flight_by_call_id:
            return cost
        oldest = next(iter(in_flight_by_call_id.values()))
        ratio = (now_ms - oldest.at_ms) / (oldest.typical_latency_ms * oldest.slowdown)
        if ratio > SLOW_CALL_RATIO and ratio > slowness:
            cost *= ratio / slowness
        return cost * (1 + OCCUPANCY_COST * taken / slots)

    def expected_slowdown(self, typical_slowdown: float, now_ms: float) -> float:
        """Return the VM's last reported slowdown, decayed with age towards the typical one."""
        if self.reported is None:
            return typical_slowdown
        weight = math.exp(-(now_ms - self.reported_at_ms) / REPORT_DECAY_MS)
        return typical_slowdown + weight * (self.reported.slowdown - typical_slowdown)

    def decayed_others_in_flight(self, now_ms: float) -> float:
        """Return the calls of other entries, decayed with the age of the load report."""
        weight = math.exp(-(now_ms - self.reported_at_ms) / REPORT_DECAY_MS)
        return self.others_in_flight * weight

    def decayed_slowness(self, now_ms: float) -> float:
        """Return the slowness, decayed towards 1 so that a recovered endpoint gets calls again."""
        age = (now_ms - self.slowness_updated_ms) / SLOWNESS_DECAY_MS
        return 1 + (self.slowness - 1) * math.exp(-age)

    def _decayed_failures(self, now_ms: float) -> float:
        """Return the consecutive failures, decayed: healthy upstreams fail at times too."""
        decayed = (now_ms - self.failed_ms) / FAILURE_DECAY_MS
        return min(MAX_FAILURE_PENALTIES, max(0.0, self.consecutive_failures - decayed))
