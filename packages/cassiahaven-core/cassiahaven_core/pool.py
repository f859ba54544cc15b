"""Endpoint pool of one service at one entry: tracks endpoint health and selects endpoints."""

import math
from collections import Counter
from random import Random

from cassiahaven_core.cold_start import ColdShare, ColdStart
from cassiahaven_core.endpoint import (
    FAILED_RESULTS,
    FULL_TOLERANCE_SLOTS,
    NOT_RUN_RESULTS,
    CallResult,
    Endpoint,
    InFlightCall,
    LoadReport,
    ProbeFailed,
)
from cassiahaven_core.endpoint_address import DEFAULT_WARM_UP_MS, EndpointAddress
from cassiahaven_core.endpoint_gate import FULL_SLOT_SHARE, EndpointGate, SlotShare
from cassiahaven_core.leaving import LeavingEndpoints
from cassiahaven_core.lifecycle import SERVING, EndpointEvent, EndpointStatus, next_status
from cassiahaven_core.rate_limit import (
    MS_PER_S,
    NOTICE_LIFETIME_MS,
    RateShare,
)
from cassiahaven_core.slot_limit import (
    NEARLY_FULL_SHARE,
    RECOVERY_THRESHOLD,
    SLOWDOWN_THRESHOLD,
    AdaptiveSlotLimit,
)
from cassiahaven_core.zone_placement import (
    ANY_NEED,
    CallNeed,
    HomeZone,
    ZonePlacement,
    ZoneReason,
)

SLOWNESS_EWMA_ALPHA = 0.05
PARTNER_LATENCY_EWMA_ALPHA = 0.02
INITIAL_PARTNER_LATENCY_MS = 5.0
MAX_SLOWNESS = 50.0
FAILURES_BEFORE_EJECTION = 3
BASE_EJECTION_MS = 1000.0  # an endpoint is to be back in use within 2 s of its recovery
MAX_EJECTION_MS = 30_000.0
MAX_EJECTED_SHARE = 0.5
LOST_WHEN_FULL_RESULTS = frozenset({CallResult.CONNECTION_LOST, CallResult.REFUSED})
FULL_LOSS_MEMORY_MS = 60_000.0  # several times as long as a surge of the load
FULL_RECHECK_SHARE = 0.25  # of the usual time of a call
CALL_TRIAL_HEAD_START_MS = 200.0  # a trial by an idempotent call tells more than one by a probe
# Bounds the retries that trials cost while many endpoints are out; probes try the others.
CALL_TRIAL_INTERVAL_MS = 200.0
TIE_BREAK = 0.02
MIN_TYPICAL_LATENCY_MS = 0.1
MIN_SLOWNESS = 0.01
FRESH_REPORT_MS = 3.0  # a probe gains nothing over a report this recent
SLOWDOWN_EWMA_ALPHA = 0.02
MAX_WORK_RATIO = 6.0  # above the factor by which noisy neighbours slow a VM
MIN_ANSWERS = 100  # the typical latency of a partner has settled by then
ROOM_RECOVERY_CALLS = 10  # answers after which an endpoint is believed to take one more call
MAX_DELISTED_GATES = 100


class Pool:
    """Select endpoints for calls and track latency and failures from the results.

    Args:
        share: Part of each endpoint's slots that this entry fills before it queues.
        rng: Source of tie-breaking, so that entries do not all prefer the same endpoint.

    Attributes:
        leaving: Endpoints that told this entry that they leave.
        placement: Decides which calls leave the zone of this entry.
        is_held_at_home: Whether the last choice found none since the call waits for its own zone.
    """

    __slots__ = (
        "endpoint_by_id",
        "leaving",
        "placement",
        "is_held_at_home",
        "_avoids_full",
        "typical_latency_ms_by_partner",
        "_answers_by_partner",
        "_relaxed_latency_ms_by_partner",
        "_share",
        "_rng",
        "_left_zone",
        "_ejected",
        "_call_trial_from_ms",
        "_lost_when_full_ms",
        "_serving",
        "_typical_slowdown",
        "_slot_limit",
        "_rate_share",
        "_cold_per_s",
        "_cold_share",
        "_evacuated",
        "_delisted_gates",
    )

    def __init__(self, *, share: SlotShare = FULL_SLOT_SHARE, rng: Random | None = None) -> None:
        self.endpoint_by_id: dict[str, Endpoint] = {}
        self.leaving = LeavingEndpoints()
        self.placement = ZonePlacement()
        self.typical_latency_ms_by_partner: dict[str, float] = {}
        self._answers_by_partner: Counter[str] = Counter()
        self._relaxed_latency_ms_by_partner: dict[str, float] = {}
        self._share = share
        self._rng = rng or Random()
        self.is_held_at_home = False
        self._avoids_full = True
        self._left_zone: ZoneReason | None = None
        self._ejected: set[str] = set()
        self._call_trial_from_ms = float("-inf")
        self._lost_when_full_ms = float("-inf")
        self._serving: list[Endpoint] = []
        self._typical_slowdown = 1.0
        self._slot_limit = AdaptiveSlotLimit()
        self._rate_share = RateShare()
        self._cold_per_s = 0.0
        self._cold_share = ColdShare()
        self._evacuated: frozenset[str] = frozenset()
        self._delisted_gates: dict[tuple[str, str], EndpointGate] = {}

    def set_endpoints(
        self, addresses: list[EndpointAddress], now_ms: float
    ) -> list[EndpointAddress]:
        """Replace the endpoint list; a new incarnation starts with fresh state.

        Returns:
            The addresses that are listed anew although this entry knows that they leave.
        """
        listed = {address.endpoint: address for address in addresses}
        upheld: list[EndpointAddress] = []
        for name in list(self.endpoint_by_id):
            if name not in listed:
                self._keep_gate(self.endpoint_by_id.pop(name))
                self._ejected.discard(name)
        for name, address in listed.items():
            known = self.endpoint_by_id.get(name)
            if known is not None and known.address.incarnation == address.incarnation:
                if known.address.warm_up_ms != address.warm_up_ms:
                    known.warm_up_ends_ms = now_ms + address.warm_up_ms
                listed_ms, known.address = known.address.cold_ends_ms, address
                if listed_ms != address.cold_ends_ms:
                    self._change_cold(known, listed_ms, now_ms)
                continue
            warm_up_ends_ms = now_ms + address.warm_up_ms
            self.endpoint_by_id[name] = Endpoint(
                address,
                since_ms=now_ms,
                warm_up_ends_ms=warm_up_ends_ms,
                gate=self._delisted_gates.pop((name, address.incarnation), None) or EndpointGate(),
            )
            self._ejected.discard(name)
            self._extend_cold(self.endpoint_by_id[name], now_ms)
            leaving = self.leaving.find(name, address.incarnation)
            if leaving is not None:
                upheld.append(address)
                self.handle(name, EndpointEvent.DRAIN, leaving.source, now_ms)
            elif not address.warm_up_ms:
                self.handle(name, EndpointEvent.WARMED, "listed as warm", now_ms)
        starts = {(address.endpoint, address.incarnation) for address in addresses}
        self.leaving.keep_listed(starts, now_ms)
        self._index()
        return upheld

    def set_contended(self, is_contended: bool) -> None:
        """Set whether calls keep away from endpoints that the calls of other entries fill.

        Where capacity is ample, waiting for reports of other entries' calls costs more than a short
        queue at an endpoint.
        """
        self._avoids_full = is_contended
        self._slot_limit.recovery_threshold = (
            RECOVERY_THRESHOLD if is_contended else SLOWDOWN_THRESHOLD
        )

    def set_share(self, share: SlotShare) -> None:
        """Set the part of each endpoint's slots that this entry fills."""
        if share != self._share:
            self._share = share
            self._index()

    def set_rate_share(self, share: RateShare, now_ms: float) -> None:
        """Set this entry's share of the rate limits that endpoints name."""
        if share == self._rate_share:
            return
        self._rate_share = share
        for endpoint in self.endpoint_by_id.values():
            limit = endpoint.gate.rate_limit
            if limit is not None:
                limit.change(limit.limit_per_s, share, now_ms)

    def set_evacuated(self, zones: frozenset[str], now_ms: float) -> None:
        """Set the availability zones whose endpoints get no calls; calls in flight finish."""
        if zones == self._evacuated:
            return
        returned = self._evacuated - zones
        self._evacuated = zones
        for endpoint in self.endpoint_by_id.values():
            if endpoint.address.availability_zone in returned:
                # All entries return at about the same time, and the endpoints may be cold.
                endpoint.gate.reopen(now_ms)
                endpoint.probe_tokens = 0.0
                endpoint.probe_refilled_ms = now_ms
        self._index()

    def set_cold_limit(self, cold_per_s: float, now_ms: float) -> None:
        """Set the calls a second that a cold endpoint bears, 0 for no limit."""
        if cold_per_s == self._cold_per_s:
            return
        self._cold_per_s = cold_per_s
        for endpoint in self.endpoint_by_id.values():
            if not cold_per_s:
                endpoint.gate.cold = None
            elif endpoint.gate.cold is None:
                self._extend_cold(endpoint, now_ms)
        self.set_cold_share(self._cold_share, now_ms)

    def set_cold_share(self, share: ColdShare, now_ms: float) -> None:
        """Set this entry's share of the calls to cold endpoints, and end what is over."""
        self._cold_share = share
        if not self._cold_per_s:
            return
        for endpoint in self.endpoint_by_id.values():
            self._end_cold(endpoint, now_ms)
            cold = endpoint.gate.cold
            if cold is not None:
                cold.change(self._cold_rate_per_s(endpoint), share.ends_ms, now_ms)

    def record_cold(self, name: str, incarnation: str, left_ms: float, now_ms: float) -> None:
        """Apply the remaining cold time that an endpoint named itself, 0 if it is warm."""
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is None or endpoint.address.incarnation != incarnation:
            return
        if left_ms > 0:
            self._set_cold(endpoint, now_ms + left_ms, now_ms)
        elif endpoint.gate.cold is not None:
            endpoint.gate.cold.ends_ms = now_ms
            endpoint.warm_up_ends_ms = now_ms
            self._end_cold(endpoint, now_ms)

    def is_cold(self, name: str) -> bool:
        """Return whether an endpoint is cold and its calls are limited."""
        endpoint = self.endpoint_by_id.get(name)
        return endpoint is not None and endpoint.gate.cold is not None

    def cold_left_ms_by_name(self, now_ms: float) -> dict[str, float]:
        """Return the remaining time of each cold endpoint whose calls are limited."""
        return {
            name: endpoint.gate.cold.ends_ms - now_ms
            for name, endpoint in self.endpoint_by_id.items()
            if endpoint.gate.cold is not None and now_ms < endpoint.gate.cold.ends_ms
        }

    def handle(self, name: str, event: EndpointEvent, reason: str, now_ms: float) -> bool:
        """Apply a lifecycle event and return whether the endpoint's status changed."""
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is None:
            return False
        status = next_status(endpoint.status, event)
        if status is endpoint.status:
            return False
        endpoint.status = status
        endpoint.status_reason = reason
        endpoint.since_ms = now_ms
        if event is EndpointEvent.SUCCEEDED:
            endpoint.gate.start_reopening()
        elif status is EndpointStatus.COLD:
            endpoint.warm_up_ends_ms = max(endpoint.warm_up_ends_ms, now_ms + DEFAULT_WARM_UP_MS)
        if status in (EndpointStatus.EJECTED, EndpointStatus.TRIAL):
            self._ejected.add(name)
        else:
            self._ejected.discard(name)
        self._index()
        return True

    def record_leaving(self, name: str, incarnation: str, source: str, now_ms: float) -> bool:
        """Record that an endpoint said that it leaves.

        Args:
            name: The endpoint.
            incarnation: The start of it that said so.
            source: Kind of answer in which it said so.
            now_ms: Current time, milliseconds.

        Returns:
            Whether this is the first answer of that start that says so.
        """
        is_first = self.leaving.learn(name, incarnation, source, now_ms)
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is not None and endpoint.address.incarnation == incarnation:
            self.handle(name, EndpointEvent.DRAIN, source, now_ms)
        return is_first

    def may_send(self, address: EndpointAddress, now_ms: float) -> bool:
        """Return whether a call that was assigned to an endpoint may still be sent to it."""
        endpoint = self.endpoint_by_id.get(address.endpoint)
        if endpoint is None or endpoint.address.incarnation != address.incarnation:
            return False
        if endpoint.gate.closed_for_ms(now_ms) or self.is_evacuated(endpoint):
            return False
        return endpoint.is_serving or endpoint.status is EndpointStatus.TRIAL

    def was_found_full(
        self, name: str, call_id: str, now_ms: float, *, idempotent: bool = True
    ) -> bool:
        """Return whether the calls of other entries fill a call's endpoint, as reported since.

        Args:
            name: The endpoint that the call is counted at, but not sent to.
            call_id: The call.
            now_ms: Current time, milliseconds.
            idempotent: Whether the call may run twice.
        """
        endpoint = self.endpoint_by_id.get(name)
        started = endpoint.in_flight_by_call_id.get(call_id) if endpoint is not None else None
        if started is None or not self._avoids_full:
            return False
        latency_ms = self.typical_latency_ms(started.partner)
        spare = 0 if idempotent else self._spare_slots(now_ms)
        if endpoint.reported_at_ms >= started.at_ms:
            is_full = self._is_full(endpoint, now_ms, spare=spare, counted=1)
        else:
            # The last probe may have moved the call on to an endpoint that was not probed since.
            is_recent = now_ms - endpoint.reported_at_ms < 2 * latency_ms
            is_full = not idempotent and is_recent and self._was_full(endpoint, spare=spare)
        if not is_full:
            return False
        # About the time until some of its calls end; asking earlier would only cost probes.
        recheck_ms = latency_ms * FULL_RECHECK_SHARE
        endpoint.gate.full_until_ms = now_ms + recheck_ms
        return True

    def has_serving_endpoint(self) -> bool:
        """Return whether any endpoint accepts new calls."""
        return bool(self._serving)

    def opens_in_ms(self, now_ms: float, tried: frozenset[str] = frozenset()) -> float:
        """Return the time until the gate of some endpoint lets a call through.

        Args:
            now_ms: Current time, milliseconds.
            tried: Endpoints that the call has already been sent to, which are left out.

        Returns:
            Milliseconds, 0 if a call needs to wait for a slot at most, infinite if no other
            endpoint accepts new calls.
        """
        soonest = math.inf
        for endpoint in self._serving:
            if endpoint.address.endpoint in tried:
                continue
            gate = endpoint.gate
            if gate.rate_limit is None and gate.closure is None and gate.cold is None:
                return 0.0
            soonest = min(soonest, gate.opens_in_ms(now_ms))
        return soonest

    def closed_for_ms(self, now_ms: float, tried: frozenset[str] = frozenset()) -> float:
        """Return the time until the first of the endpoints opens, if all have closed themselves.

        Args:
            now_ms: Current time, milliseconds.
            tried: Endpoints that the call has already been sent to, which are left out.

        Returns:
            Milliseconds, 0 if some endpoint is not closed or none accepts new calls.
        """
        closed_ms = [
            endpoint.gate.closed_for_ms(now_ms)
            for endpoint in self._serving
            if endpoint.address.endpoint not in tried
        ]
        return min(closed_ms, default=0.0)

    def closed_endpoints(self, now_ms: float) -> int:
        """Return the number of endpoints that have closed themselves."""
        return sum(item.gate.closed_for_ms(now_ms) > 0 for item in self.endpoint_by_id.values())

    def close_endpoint(
        self, name: str, incarnation: str, asked_ms: float, now_ms: float
    ) -> float | None:
        """Apply that an endpoint wants no requests from this entry for a time.

        Args:
            name: The endpoint.
            incarnation: The start of it that said so.
            asked_ms: The time that it asked for, from now on; replaces what it asked for before.
            now_ms: Current time, milliseconds.

        Returns:
            The time that was left of an earlier closure, ``None`` if this start is not listed.
        """
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is None or endpoint.address.incarnation != incarnation:
            return None
        left_ms = endpoint.gate.closed_for_ms(now_ms)
        endpoint.gate.close_for(asked_ms, now_ms)
        return left_ms

    def serving_slots(self) -> int:
        """Return the total slots of all serving endpoints."""
        return sum(endpoint.address.slots for endpoint in self._serving)

    def usable_slots(self, latency_ms: float, now_ms: float) -> float:
        """Return how many calls this entry may have in flight at all serving endpoints.

        Args:
            latency_ms: Time that a call takes, which decides how many calls in flight a rate is.
            now_ms: Current time, milliseconds.
        """
        slots = 0.0
        for endpoint in self._serving:
            limit = min(
                float(self._slot_limit.limit(endpoint.gate.limit)), endpoint.gate.most_in_flight
            )
            if endpoint.gate.closure is not None:
                is_closed = endpoint.gate.closed_for_ms(now_ms) > 0
                limit = 0.0 if is_closed else min(limit, endpoint.gate.closure.room)
            if endpoint.gate.rate_limit is not None:
                limit = min(limit, endpoint.gate.rate_limit.rate_per_s * latency_ms / MS_PER_S)
            if endpoint.gate.cold is not None and now_ms < endpoint.gate.cold.ends_ms:
                limit = min(limit, endpoint.gate.cold.rate_per_s * latency_ms / MS_PER_S)
            slots += limit
        return slots

    def busy_slots(self) -> float:
        """Return the calls of this entry in flight, if no endpoint limits or refuses them.

        While calls wait, these are all slots that the other entries leave to this one.
        """
        if any(item.gate.rate_limit or item.gate.closure for item in self._serving):
            return math.inf
        return max(1.0, sum(item.in_flight for item in self._serving))

    def serving_rate_per_s(self) -> float:
        """Return the calls a second of this entry at all serving endpoints, if all are limited."""
        return sum(endpoint.gate.rate_per_s for endpoint in self._serving)

    def has_due_trial(self, now_ms: float) -> bool:
        """Return whether an ejected endpoint is due for a trial with one idempotent call."""
        if now_ms < self._call_trial_from_ms:
            return False
        return any(self._is_trial_due(self.endpoint_by_id[name], now_ms) for name in self._ejected)

    def typical_latency_ms(self, partner: str) -> float:
        """Return the typical call latency of ``partner``, milliseconds."""
        return self.typical_latency_ms_by_partner.get(partner, INITIAL_PARTNER_LATENCY_MS)

    def latency_bound_ms(self, partner: str, endpoint: str, now_ms: float) -> float | None:
        """Return how long the work of a call may take at an endpoint, ``None`` if unknown."""
        known = self.endpoint_by_id.get(endpoint)
        if known is None or self._answers_by_partner[partner] < MIN_ANSWERS:
            return None
        slowness = max(1.0, known.decayed_slowness(now_ms))
        return self.typical_latency_ms(partner) * MAX_WORK_RATIO * slowness

    def choose(
        self,
        now_ms: float,
        *,
        idempotent: bool,
        excluded: frozenset[str] = frozenset(),
        need: CallNeed = ANY_NEED,
    ) -> Endpoint | None:
        """Return the endpoint with the lowest expected cost, or ``None`` if the call has to wait.

        Args:
            now_ms: Current time, milliseconds.
            idempotent: Whether the call may serve as the trial of an ejected endpoint.
            excluded: Endpoints that the call has already been sent to.
            need: What the place of the call depends on.
        """
        self._left_zone = None
        self.is_held_at_home = False
        if idempotent and self._ejected:
            trial = self._due_trial(now_ms, excluded)
            if trial is not None:
                return trial
        home = HomeZone()
        spare = 0 if need.may_run_twice else self._spare_slots(now_ms)
        best: Endpoint | None = None
        best_cost = float("inf")
        for endpoint in self._serving:
            gate = endpoint.gate
            if gate.cold is not None:
                self._end_cold(endpoint, now_ms)
                if gate.cold is not None and gate.cold.opens_in_ms(now_ms) > 0:
                    continue
            distance_ms = endpoint.address.distance_ms
            limit = min(self._slot_limit.limit(gate.limit), gate.most_in_flight)
            if not distance_ms and not gate.closed_for_ms(now_ms):
                home.slots += limit
            if len(endpoint.in_flight_by_call_id) >= limit:
                continue
            if distance_ms and best_cost <= self.placement.weigh(0.0, need, distance_ms):
                continue
            if self._is_full(endpoint, now_ms, spare=spare):
                continue
            if gate.closure is not None and not gate.closure.admits(endpoint.started_ms(), now_ms):
                continue
            if gate.rate_limit is not None and gate.opens_in_ms(now_ms) > 0:
                continue
            if excluded and endpoint.address.endpoint in excluded:
                continue
            cost = self.cost(endpoint, now_ms, need)
            if cost < best_cost:
                best, best_cost = endpoint, cost
            if not distance_ms and cost < home.cost:
                home.best, home.cost = endpoint, cost
        if best is not None and best.address.distance_ms:
            if self.placement.waits_at_home(home, need):
                self.is_held_at_home = True
                return None
            self._left_zone = self.placement.reason(home)
        return best

    def take_left_zone(self) -> ZoneReason | None:
        """Return why the last chosen endpoint is in another zone, ``None`` if it is not."""
        reason, self._left_zone = self._left_zone, None
        return reason

    def start_probe_trial(self, now_ms: float) -> EndpointAddress | None:
        """Start the trial of an ejected endpoint by a probe, if one is due.

        Handles services without idempotent calls, whose ejected endpoints would stay out for good,
        and unreachable endpoints, whose recovery a probe finds at no caller's cost.
        """
        due = [
            endpoint
            for name in self._ejected
            if self._is_probe_trial_due(endpoint := self.endpoint_by_id[name], now_ms)
        ]
        if not due:
            return None
        endpoint = min(due, key=lambda item: (item.probe_due_ms, item.address.endpoint))
        endpoint.gate.count_sent(now_ms)
        self.handle(endpoint.address.endpoint, EndpointEvent.TRIAL, "probe due", now_ms)
        return endpoint.address

    def finish_probe_trial(
        self, name: str, report: LoadReport | ProbeFailed, now_ms: float
    ) -> None:
        """Return a probed endpoint to service, or eject it until its next trial.

        An endpoint that was unreachable or full and no longer is returns at once. One that answered
        its probes all the time and failed calls returns only when its ejection ends. In both cases,
        one more failed call ejects it again.
        """
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is None or endpoint.status is not EndpointStatus.TRIAL:
            return
        endpoint.probe_due_ms = now_ms + BASE_EJECTION_MS
        if isinstance(report, ProbeFailed):
            self._keep_ejected(endpoint, f"probe failed: {report.detail}", now_ms)
            return
        self.report_load(name, report, now_ms)
        if report.waiting and report.running >= endpoint.address.slots:
            self._keep_ejected(endpoint, "probe found it full", now_ms)
            return
        if not endpoint.is_unreachable and now_ms < endpoint.ejected_until_ms:
            reason = "probe answered, as before the failed calls"
            self.handle(name, EndpointEvent.FAILING, reason, now_ms)
            return
        endpoint.consecutive_failures = FAILURES_BEFORE_EJECTION - 1
        self._end_ejection(endpoint)
        self.handle(name, EndpointEvent.SUCCEEDED, "probe answered", now_ms)

    def start(self, endpoint: Endpoint, call_id: str, partner: str, now_ms: float) -> None:
        """Count ``call_id`` as in flight at ``endpoint``."""
        slowdown = endpoint.expected_slowdown(self._typical_slowdown, now_ms)
        taken = len(endpoint.in_flight_by_call_id) + endpoint.decayed_others_in_flight(now_ms)
        endpoint.in_flight_by_call_id[call_id] = InFlightCall(
            partner,
            now_ms,
            self.typical_latency_ms(partner),
            slowdown,
            is_nearly_full=taken + 1 > endpoint.address.slots * NEARLY_FULL_SHARE,
            is_rate_limited=endpoint.gate.rate_limit is not None,
            is_cold=endpoint.gate.cold is not None,
        )
        endpoint.gate.count_sent(now_ms)

    def finish(self, name: str, call_id: str, result: CallResult, now_ms: float) -> None:
        """Record the result of a call and release its slot."""
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is None:
            return
        started = endpoint.in_flight_by_call_id.pop(call_id, None)
        if started is None:
            return
        if not started.is_sent:
            self._give_back(endpoint, started)
        if result is CallResult.UNANSWERED or (
            result is CallResult.TIMEOUT and self._is_unexplained(endpoint, started, now_ms)
        ):
            endpoint.gate.room = max(1.0, min(endpoint.gate.room, float(endpoint.in_flight)))
        if result is CallResult.CONNECT_FAILED and self._cold_per_s:
            # A process that starts anew under the old registration is cold before that is known.
            endpoint.gate.reopen(now_ms)
        if result in LOST_WHEN_FULL_RESULTS and started.is_nearly_full:
            self._lost_when_full_ms = now_ms
        if result is CallResult.OK:
            self._record_success(endpoint, started, now_ms)
        elif result is CallResult.REFUSED and endpoint.gate.closed_for_ms(now_ms):
            # The endpoint said how long it wants no calls, which tells more than an ejection.
            if endpoint.status is EndpointStatus.TRIAL:
                self.handle(name, EndpointEvent.FAILING, "closed itself", now_ms)
        elif result in FAILED_RESULTS:
            self._record_failure(endpoint, result, now_ms)
        elif endpoint.status is EndpointStatus.TRIAL and not started.is_sent:
            self._end_trial_unsent(endpoint, now_ms)
        elif endpoint.status is EndpointStatus.TRIAL:
            self.handle(name, EndpointEvent.FAILING, "trial cancelled", now_ms)
        endpoint.tie_break = self._tie_break()

    def report_load(self, name: str, report: LoadReport, now_ms: float) -> None:
        """Apply a load report from an endpoint."""
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is None:
            return
        endpoint.reported = report
        endpoint.reported_at_ms = now_ms
        own = sum(started.is_sent for started in endpoint.in_flight_by_call_id.values())
        endpoint.others_in_flight = max(0, report.running + report.waiting - own)
        endpoint.gate.full_until_ms = float("-inf")
        self._typical_slowdown += SLOWDOWN_EWMA_ALPHA * (report.slowdown - self._typical_slowdown)

    def apply_rate_limit(
        self, name: str, call_id: str, rate_per_s: float, now_ms: float
    ) -> float | None:
        """Apply the rate limit named in the answer to a call, or that it named none.

        Args:
            name: The endpoint that answered.
            call_id: The call.
            rate_per_s: Calls a second, infinite if the answer names no limit.
            now_ms: Current time, milliseconds.

        Returns:
            The limit before, ``None`` if it did not change.
        """
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is None:
            return None
        started = endpoint.in_flight_by_call_id.get(call_id)
        return endpoint.gate.apply_rate_limit(
            rate_per_s,
            zone=endpoint.address.availability_zone,
            share=self._rate_share,
            started_ms=started.at_ms if started is not None else None,
            now_ms=now_ms,
        )

    def apply_rate_limit_notice(
        self, name: str, incarnation: str, rate_per_s: float, now_ms: float
    ) -> float | None:
        """Apply the rate limit that another entry was told, infinite for none.

        Returns:
            The limit before, ``None`` if it did not change.
        """
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is None or endpoint.address.incarnation != incarnation:
            return None
        return endpoint.gate.apply_rate_limit_notice(
            rate_per_s,
            zone=endpoint.address.availability_zone,
            share=self._rate_share,
            ends_ms=self._notice_ends_ms,
            now_ms=now_ms,
        )

    def is_rate_limited(self, name: str) -> bool:
        """Return whether an endpoint names a rate limit."""
        endpoint = self.endpoint_by_id.get(name)
        return endpoint is not None and endpoint.gate.rate_limit is not None

    def rate_limited_endpoints(self) -> int:
        """Return the number of endpoints that name a rate limit."""
        return sum(item.gate.rate_limit is not None for item in self.endpoint_by_id.values())

    def mark_sent(self, name: str, call_id: str) -> None:
        """Mark a call as sent to the endpoint that it is counted at."""
        endpoint = self.endpoint_by_id.get(name)
        started = endpoint.in_flight_by_call_id.get(call_id) if endpoint is not None else None
        if started is not None:
            started.is_sent = True

    def record_probe_failure(self, name: str, now_ms: float) -> None:
        """Record a failed or unanswered probe of an endpoint."""
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is not None:
            endpoint.probe_failed_ms = now_ms

    def try_spend_probe(self, name: str, *, rate_per_s: float, now_ms: float) -> bool:
        """Spend a probe token; return ``False`` if the last report is fresh or no token is left."""
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is None or now_ms - endpoint.reported_at_ms < FRESH_REPORT_MS:
            return False
        if self.is_evacuated(endpoint):
            return False
        if endpoint.gate.rate_limit is not None or endpoint.gate.closed_for_ms(now_ms):
            # A probe is a request too, and the endpoint asks for fewer or none.
            return False
        if endpoint.gate.cold is not None:
            # It would take the place of a call, whose answer tells as much.
            return False
        earned = (now_ms - endpoint.probe_refilled_ms) / MS_PER_S * rate_per_s
        endpoint.probe_refilled_ms = now_ms
        endpoint.probe_tokens = min(max(1.0, rate_per_s), endpoint.probe_tokens + earned)
        if endpoint.probe_tokens < 1:
            return False
        endpoint.probe_tokens -= 1
        return True

    def move(
        self,
        name: str,
        call_id: str,
        now_ms: float,
        *,
        excluded: frozenset[str],
        need: CallNeed = ANY_NEED,
    ) -> Endpoint | None:
        """Move a call that has not been sent yet to a cheaper endpoint, if there is one.

        Args:
            name: The endpoint that the call is counted at.
            call_id: The call.
            now_ms: Current time, milliseconds.
            excluded: Endpoints that the call has already been sent to.
            need: What the place of the call depends on.
        """
        endpoint = self.endpoint_by_id.get(name)
        started = endpoint.in_flight_by_call_id.pop(call_id, None) if endpoint is not None else None
        if started is None:
            return None
        self._give_back(endpoint, started)
        best = self.choose(now_ms, idempotent=False, excluded=excluded | {name}, need=need)
        if best is not None and self.cost(best, now_ms, need) < self.cost(endpoint, now_ms, need):
            self.start(best, call_id, started.partner, now_ms)
            self._end_trial_unsent(endpoint, now_ms)
            return best
        self.start(endpoint, call_id, started.partner, now_ms)
        return None

    def is_full(self, endpoint: Endpoint, need: CallNeed, now_ms: float) -> bool:
        """Return whether the calls of other entries leave no slot for a call at an endpoint."""
        spare = 0 if need.may_run_twice else self._spare_slots(now_ms)
        return self._is_full(endpoint, now_ms, spare=spare)

    def slot_limit(self, endpoint: Endpoint) -> float:
        """Return how many calls this entry may have in flight at an endpoint."""
        gate = endpoint.gate
        return min(self._slot_limit.limit(gate.limit), gate.most_in_flight)

    def cost(self, endpoint: Endpoint, now_ms: float, need: CallNeed) -> float:
        """Return the expected cost of a call at an endpoint, with that of the distance."""
        cost = endpoint.cost(self._typical_slowdown, now_ms)
        return self.placement.weigh(cost, need, endpoint.address.distance_ms)

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint's zone is evacuated, so that it gets no calls."""
        return endpoint.address.availability_zone in self._evacuated

    def _give_back(self, endpoint: Endpoint, started: InFlightCall) -> None:
        endpoint.gate.give_back(
            started.at_ms, is_rate_limited=started.is_rate_limited, is_cold=started.is_cold
        )

    def _cold_rate_per_s(self, endpoint: Endpoint) -> float:
        zone = endpoint.address.availability_zone
        return self._cold_share.rate_per_s(self._cold_per_s, zone)

    def _change_cold(self, endpoint: Endpoint, listed_ms: float, now_ms: float) -> None:
        """Apply another cold time of the listing than ``listed_ms``."""
        cold = endpoint.gate.cold
        if cold is None or cold.ends_ms != listed_ms:
            self._extend_cold(endpoint, now_ms)
            return
        # Only the listing told of it, so it may end earlier as well.
        cold.ends_ms = endpoint.warm_up_ends_ms = max(now_ms, endpoint.address.cold_ends_ms)
        self._end_cold(endpoint, now_ms)

    def _extend_cold(self, endpoint: Endpoint, now_ms: float) -> None:
        """Apply the cold time that the endpoint's listing tells."""
        ends_ms = endpoint.address.cold_ends_ms
        if endpoint.gate.cold is not None:
            ends_ms = max(ends_ms, endpoint.gate.cold.ends_ms)
        if ends_ms > now_ms:
            self._set_cold(endpoint, ends_ms, now_ms)

    def _set_cold(self, endpoint: Endpoint, ends_ms: float, now_ms: float) -> None:
        if not self._cold_per_s:
            return
        endpoint.warm_up_ends_ms = ends_ms
        if endpoint.gate.cold is not None:
            endpoint.gate.cold.ends_ms = ends_ms
            return
        in_flight = endpoint.in_flight_by_call_id.values()
        endpoint.gate.cold = ColdStart(
            ends_ms,
            self._cold_rate_per_s(endpoint),
            self._cold_share.ends_ms,
            unsent=sum(not started.is_sent for started in in_flight),
            now_ms=now_ms,
        )

    def _end_cold(self, endpoint: Endpoint, now_ms: float) -> None:
        if endpoint.gate.end_cold(now_ms):
            # All entries learn it at about the same time: no probes that were saved up meanwhile.
            endpoint.probe_tokens = 0.0
            endpoint.probe_refilled_ms = now_ms

    def _spare_slots(self, now_ms: float) -> int:
        """Return the slots that a call that must not run twice leaves free at shared endpoints.

        Entries learn of each other's calls only by reports, so two may send to the last slot at
        once. That matters where endpoints lately reset or turned away calls when they were full.
        """
        return int(now_ms - self._lost_when_full_ms < FULL_LOSS_MEMORY_MS)

    def _is_full(self, endpoint: Endpoint, now_ms: float, *, spare: int, counted: int = 0) -> bool:
        """Return whether the calls of other entries leave no slot for one more call.

        Args:
            endpoint: The endpoint.
            now_ms: Current time, milliseconds.
            spare: Slots to leave free if other entries send to the endpoint.
            counted: 1 if the call is counted at the endpoint already.
        """
        if not self._avoids_full:
            return False
        if not counted and now_ms < endpoint.gate.full_until_ms:
            return True
        if not counted and not spare and not endpoint.address.distance_ms:
            # Short calls outpace the reports; only a probe right before the call is recent enough.
            return False
        others = endpoint.decayed_others_in_flight(now_ms)
        taken = endpoint.in_flight + others - counted
        most = self._slot_limit.limit(endpoint.address.slots)
        if spare and (endpoint.others_in_flight or endpoint.address.distance_ms):
            most = max(1, most - spare)
        if endpoint.address.distance_ms:
            return not self.placement.has_spare_slot(taken, most)
        return others >= 1 - FULL_TOLERANCE_SLOTS and taken + 1 > most + FULL_TOLERANCE_SLOTS

    def _was_full(self, endpoint: Endpoint, *, spare: int) -> bool:
        """Return whether an endpoint had no slot for a counted call if no call ended since then."""
        taken = endpoint.in_flight - 1 + endpoint.others_in_flight
        most = self._slot_limit.limit(endpoint.address.slots)
        return endpoint.others_in_flight > 0 and taken + 1 > max(1, most - spare)

    def _tie_break(self) -> float:
        return 1 + TIE_BREAK * self._rng.random()

    def _record_success(self, endpoint: Endpoint, started: InFlightCall, now_ms: float) -> None:
        # Exclude the slowdown by the VM's neighbours: it is no property of the endpoint.
        took_ms = (now_ms - started.at_ms) / started.slowdown
        typical_latency_ms = self.typical_latency_ms(started.partner)
        self.typical_latency_ms_by_partner[started.partner] = max(
            MIN_TYPICAL_LATENCY_MS,
            typical_latency_ms + PARTNER_LATENCY_EWMA_ALPHA * (took_ms - typical_latency_ms),
        )
        self._answers_by_partner[started.partner] += 1
        endpoint.gate.room += 1 / ROOM_RECOVERY_CALLS
        endpoint.gate.record_success(started.at_ms)
        ratio = min(MAX_SLOWNESS, took_ms / typical_latency_ms)
        taken = len(endpoint.in_flight_by_call_id) + 1 + endpoint.decayed_others_in_flight(now_ms)
        is_nearly_full = taken > endpoint.address.slots * NEARLY_FULL_SHARE
        # Skip the sample if the endpoint crossed the threshold while the call was running.
        if is_nearly_full == started.is_nearly_full:
            if self._avoids_full:
                self._learn_slot_limit(started.partner, took_ms, is_nearly_full=is_nearly_full)
            else:
                self._slot_limit.learn(ratio, is_nearly_full=is_nearly_full)
        slowness = endpoint.decayed_slowness(now_ms)
        smoothed = slowness + SLOWNESS_EWMA_ALPHA * (ratio - slowness)
        endpoint.slowness = max(MIN_SLOWNESS, smoothed)
        endpoint.slowness_updated_ms = now_ms
        endpoint.consecutive_failures = 0
        name = endpoint.address.endpoint
        if endpoint.status is EndpointStatus.TRIAL:
            endpoint.ejections = 0
            self._end_ejection(endpoint)
            self._call_trial_from_ms = now_ms
            self.handle(name, EndpointEvent.SUCCEEDED, "trial succeeded", now_ms)
        elif endpoint.status is EndpointStatus.COLD and now_ms >= endpoint.warm_up_ends_ms:
            endpoint.ejections = 0
            self.handle(name, EndpointEvent.WARMED, "warmed up", now_ms)

    def _learn_slot_limit(self, partner: str, took_ms: float, *, is_nearly_full: bool) -> None:
        """Compare a call with calls that ran beside free slots.

        Under a long overload, all calls are slow, and the typical latency no longer shows what the
        last slots cost.
        """
        relaxed_ms = self._relaxed_latency_ms_by_partner.get(partner)
        if relaxed_ms is None:
            relaxed_ms = self.typical_latency_ms(partner)
        self._slot_limit.learn(took_ms / relaxed_ms, is_nearly_full=is_nearly_full)
        if not is_nearly_full:
            self._relaxed_latency_ms_by_partner[partner] = max(
                MIN_TYPICAL_LATENCY_MS,
                relaxed_ms + PARTNER_LATENCY_EWMA_ALPHA * (took_ms - relaxed_ms),
            )

    def _is_unexplained(self, endpoint: Endpoint, started: InFlightCall, now_ms: float) -> bool:
        """Return whether an unanswered call waited longer than its work can take.

        A short deadline may pass while the endpoint works on the call, which then had its room.
        """
        bound_ms = self.latency_bound_ms(started.partner, endpoint.address.endpoint, now_ms)
        return bound_ms is not None and now_ms - started.at_ms >= bound_ms

    def _record_failure(self, endpoint: Endpoint, result: CallResult, now_ms: float) -> None:
        endpoint.consecutive_failures += 1
        endpoint.failed_ms = now_ms
        failed_trial = endpoint.status is EndpointStatus.TRIAL
        if not failed_trial and not self._may_eject(endpoint):
            return
        duration_ms = BASE_EJECTION_MS
        if result not in NOT_RUN_RESULTS:
            # Such a trial may have cost the caller its call, so it is repeated less and less often.
            duration_ms = min(BASE_EJECTION_MS * 2**endpoint.ejections, MAX_EJECTION_MS)
            endpoint.ejections += 1
        elif failed_trial:
            endpoint.is_unreachable = True
        if failed_trial:
            self._call_trial_from_ms = now_ms + CALL_TRIAL_INTERVAL_MS
        endpoint.ejected_until_ms = now_ms + duration_ms
        endpoint.probe_due_ms = now_ms + BASE_EJECTION_MS + CALL_TRIAL_HEAD_START_MS
        reason = f"{endpoint.consecutive_failures} failures, last {result.value}"
        self.handle(endpoint.address.endpoint, EndpointEvent.FAILING, reason, now_ms)

    def _keep_ejected(self, endpoint: Endpoint, reason: str, now_ms: float) -> None:
        """Eject an endpoint that a probe found unusable, and leave its next trials to probes."""
        endpoint.is_unreachable = True
        endpoint.ejected_until_ms = max(endpoint.ejected_until_ms, now_ms + 2 * BASE_EJECTION_MS)
        self.handle(endpoint.address.endpoint, EndpointEvent.FAILING, reason, now_ms)

    def _end_trial_unsent(self, endpoint: Endpoint, now_ms: float) -> None:
        """End a trial whose call went elsewhere, which would leave the endpoint out for good."""
        if endpoint.status is not EndpointStatus.TRIAL:
            return
        endpoint.probe_due_ms = now_ms + BASE_EJECTION_MS
        if now_ms == endpoint.probe_failed_ms:
            self._keep_ejected(endpoint, "probe before the trial failed", now_ms)
        else:
            endpoint.ejected_until_ms = max(endpoint.ejected_until_ms, now_ms + BASE_EJECTION_MS)
            name = endpoint.address.endpoint
            self.handle(name, EndpointEvent.FAILING, "trial went elsewhere", now_ms)

    def _end_ejection(self, endpoint: Endpoint) -> None:
        """Forget what its being unreachable explains."""
        if endpoint.is_unreachable:
            endpoint.is_unreachable = False
            endpoint.ejections = 0
            endpoint.gate.room = math.inf

    def _may_eject(self, endpoint: Endpoint) -> bool:
        if endpoint.status not in SERVING:
            return False
        if endpoint.consecutive_failures < FAILURES_BEFORE_EJECTION:
            return False
        return len(self._ejected) + 1 <= len(self.endpoint_by_id) * MAX_EJECTED_SHARE

    def _due_trial(self, now_ms: float, excluded: frozenset[str]) -> Endpoint | None:
        if now_ms < self._call_trial_from_ms:
            return None
        due = [
            endpoint
            for name in self._ejected - excluded
            if self._is_trial_due(endpoint := self.endpoint_by_id[name], now_ms)
        ]
        if not due:
            return None
        endpoint = min(due, key=lambda item: (item.ejected_until_ms, item.address.endpoint))
        self.handle(endpoint.address.endpoint, EndpointEvent.TRIAL, "trial due", now_ms)
        return endpoint

    def _is_trial_due(self, endpoint: Endpoint, now_ms: float) -> bool:
        is_ejected = endpoint.status is EndpointStatus.EJECTED
        if not is_ejected or now_ms < endpoint.ejected_until_ms or self.is_evacuated(endpoint):
            return False
        return endpoint.gate.opens_in_ms(now_ms) == 0

    def _is_probe_trial_due(self, endpoint: Endpoint, now_ms: float) -> bool:
        is_ejected = endpoint.status is EndpointStatus.EJECTED
        if not is_ejected or now_ms < endpoint.probe_due_ms or self.is_evacuated(endpoint):
            return False
        return endpoint.gate.opens_in_ms(now_ms) == 0

    def _notice_ends_ms(self, now_ms: float) -> float:
        # Varies, so that a fleet whose notices stopped does not send to the endpoint at once.
        return now_ms + NOTICE_LIFETIME_MS * (1 + self._rng.random())

    def _keep_gate(self, endpoint: Endpoint) -> None:
        """Keep the limits and closure of an endpoint whose registration may come back."""
        gate = endpoint.gate
        if gate.rate_limit is None and gate.closure is None and gate.cold is None:
            return
        kept = self._delisted_gates
        kept[endpoint.address.endpoint, endpoint.address.incarnation] = EndpointGate(
            rate_limit=gate.rate_limit, closure=gate.closure, cold=gate.cold
        )
        if len(kept) > MAX_DELISTED_GATES:
            del kept[next(iter(kept))]

    def _index(self) -> None:
        self._serving = [
            item
            for item in self.endpoint_by_id.values()
            if item.is_serving and not self.is_evacuated(item)
        ]
        for endpoint in self._serving:
            endpoint.gate.limit = self._share.slots(endpoint.address)
            endpoint.tie_break = self._tie_break()
        # Near endpoints first: those farther away need no cost if a near one is cheap enough.
        self._serving.sort(key=lambda item: item.address.distance_ms)
