"""Endpoint pool of one service at one entry: tracks endpoint health and selects endpoints."""

import math
from collections import Counter
from random import Random

from cassiahaven_core.endpoint import (
    FAILED_RESULTS,
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
    UNLIMITED,
    RateShare,
)
from cassiahaven_core.slot_limit import NEARLY_FULL_SHARE, AdaptiveSlotLimit

SLOWNESS_EWMA_ALPHA = 0.05
PARTNER_LATENCY_EWMA_ALPHA = 0.02
INITIAL_PARTNER_LATENCY_MS = 5.0
MAX_SLOWNESS = 50.0
FAILURES_BEFORE_EJECTION = 3
BASE_EJECTION_MS = 1000.0
MAX_EJECTION_MS = 30_000.0
MAX_EJECTED_SHARE = 0.5
CALL_TRIAL_HEAD_START_MS = 200.0  # a trial by an idempotent call tells more than one by a probe
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
    """

    __slots__ = (
        "endpoint_by_id",
        "leaving",
        "typical_latency_ms_by_partner",
        "_answers_by_partner",
        "_share",
        "_rng",
        "_ejected",
        "_serving",
        "_typical_slowdown",
        "_slot_limit",
        "_rate_share",
        "_delisted_gates",
    )

    def __init__(self, *, share: SlotShare = FULL_SLOT_SHARE, rng: Random | None = None) -> None:
        self.endpoint_by_id: dict[str, Endpoint] = {}
        self.leaving = LeavingEndpoints()
        self.typical_latency_ms_by_partner: dict[str, float] = {}
        self._answers_by_partner: Counter[str] = Counter()
        self._share = share
        self._rng = rng or Random()
        self._ejected: set[str] = set()
        self._serving: list[Endpoint] = []
        self._typical_slowdown = 1.0
        self._slot_limit = AdaptiveSlotLimit()
        self._rate_share = RateShare()
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
                known.address = address
                continue
            warm_up_ends_ms = now_ms + address.warm_up_ms
            self.endpoint_by_id[name] = Endpoint(
                address,
                since_ms=now_ms,
                warm_up_ends_ms=warm_up_ends_ms,
                gate=self._delisted_gates.pop((name, address.incarnation), None) or EndpointGate(),
            )
            self._ejected.discard(name)
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
        if status is EndpointStatus.COLD:
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
        if endpoint.gate.closed_for_ms(now_ms):
            return False
        return endpoint.is_serving or endpoint.status is EndpointStatus.TRIAL

    def has_serving_endpoint(self) -> bool:
        """Return whether any endpoint accepts new calls."""
        return bool(self._serving)

    def opens_in_ms(self, now_ms: float, tried: frozenset[str] = frozenset()) -> float:
        """Return the time until rate limit and closure of some endpoint let a call through.

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
            if endpoint.gate.rate_limit is None and endpoint.gate.closure is None:
                return 0.0
            soonest = min(soonest, endpoint.gate.opens_in_ms(now_ms))
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
            limit = float(self._slot_limit.limit(endpoint.gate.limit))
            if endpoint.gate.closure is not None:
                is_closed = endpoint.gate.closed_for_ms(now_ms) > 0
                limit = 0.0 if is_closed else min(limit, endpoint.gate.closure.room)
            if endpoint.gate.rate_limit is not None:
                limit = min(limit, endpoint.gate.rate_limit.rate_per_s * latency_ms / MS_PER_S)
            slots += limit
        return slots

    def serving_rate_per_s(self) -> float:
        """Return the calls a second of this entry at all serving endpoints, if all are limited."""
        limits = [endpoint.gate.rate_limit for endpoint in self._serving]
        return sum(UNLIMITED if limit is None else limit.rate_per_s for limit in limits)

    def has_due_trial(self, now_ms: float) -> bool:
        """Return whether an ejected endpoint is due for a trial with one idempotent call."""
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
        self, now_ms: float, *, idempotent: bool, excluded: frozenset[str] = frozenset()
    ) -> Endpoint | None:
        """Return the endpoint with the lowest expected cost, or ``None`` if all are full.

        Args:
            now_ms: Current time, milliseconds.
            idempotent: Whether the call may serve as the trial of an ejected endpoint.
            excluded: Endpoints that the call has already been sent to.
        """
        if idempotent and self._ejected:
            trial = self._due_trial(now_ms, excluded)
            if trial is not None:
                return trial
        best: Endpoint | None = None
        best_cost = float("inf")
        for endpoint in self._serving:
            gate = endpoint.gate
            limit = min(self._slot_limit.limit(gate.limit), gate.room)
            if len(endpoint.in_flight_by_call_id) >= limit:
                continue
            if gate.closure is not None and not gate.closure.admits(endpoint.started_ms(), now_ms):
                continue
            if gate.rate_limit is not None and gate.opens_in_ms(now_ms) > 0:
                continue
            if excluded and endpoint.address.endpoint in excluded:
                continue
            cost = self.cost(endpoint, now_ms)
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return best

    def start_probe_trial(self, now_ms: float) -> EndpointAddress | None:
        """Start the trial of an ejected endpoint by a probe, if one is due.

        Handles services without idempotent calls, whose ejected endpoints would stay out for good.
        """
        for name in self._ejected:
            endpoint = self.endpoint_by_id[name]
            if self._is_trial_due(endpoint, now_ms - CALL_TRIAL_HEAD_START_MS):
                endpoint.gate.count_sent(now_ms)
                self.handle(name, EndpointEvent.TRIAL, "probe due", now_ms)
                return endpoint.address
        return None

    def finish_probe_trial(
        self, name: str, report: LoadReport | ProbeFailed, now_ms: float
    ) -> None:
        """Return a probed endpoint to service, or eject it until its next trial.

        It keeps its count of failures, so that one more failed call ejects it again.
        """
        endpoint = self.endpoint_by_id.get(name)
        if endpoint is None or endpoint.status is not EndpointStatus.TRIAL:
            return
        if isinstance(report, ProbeFailed):
            endpoint.ejected_until_ms = now_ms + BASE_EJECTION_MS
            self.handle(name, EndpointEvent.FAILING, f"probe failed: {report.detail}", now_ms)
            return
        self.report_load(name, report, now_ms)
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
            endpoint.gate.give_back(started.at_ms, is_rate_limited=started.is_rate_limited)
        if result is CallResult.UNANSWERED or (
            result is CallResult.TIMEOUT and self._is_unexplained(endpoint, started, now_ms)
        ):
            endpoint.gate.room = max(1.0, min(endpoint.gate.room, float(endpoint.in_flight)))
        if result is CallResult.OK:
            self._record_success(endpoint, started, now_ms)
        elif result is CallResult.REFUSED and endpoint.gate.closed_for_ms(now_ms):
            # The endpoint said how long it wants no calls, which tells more than an ejection.
            if endpoint.status is EndpointStatus.TRIAL:
                self.handle(name, EndpointEvent.FAILING, "closed itself", now_ms)
        elif result in FAILED_RESULTS:
            self._record_failure(endpoint, result, now_ms)
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
        if endpoint.gate.rate_limit is not None or endpoint.gate.closed_for_ms(now_ms):
            # A probe is a request too, and the endpoint asks for fewer or none.
            return False
        earned = (now_ms - endpoint.probe_refilled_ms) / MS_PER_S * rate_per_s
        endpoint.probe_refilled_ms = now_ms
        endpoint.probe_tokens = min(max(1.0, rate_per_s), endpoint.probe_tokens + earned)
        if endpoint.probe_tokens < 1:
            return False
        endpoint.probe_tokens -= 1
        return True

    def move(
        self, name: str, call_id: str, now_ms: float, *, excluded: frozenset[str]
    ) -> Endpoint | None:
        """Move a call that has not been sent yet to a cheaper endpoint, if there is one.

        Args:
            name: The endpoint that the call is counted at.
            call_id: The call.
            now_ms: Current time, milliseconds.
            excluded: Endpoints that the call has already been sent to.
        """
        endpoint = self.endpoint_by_id.get(name)
        started = endpoint.in_flight_by_call_id.pop(call_id, None) if endpoint is not None else None
        if started is None:
            return None
        endpoint.gate.give_back(started.at_ms, is_rate_limited=started.is_rate_limited)
        best = self.choose(now_ms, idempotent=False, excluded=excluded | {name})
        if best is not None and self.cost(best, now_ms) < self.cost(endpoint, now_ms):
            self.start(best, call_id, started.partner, now_ms)
            return best
        self.start(endpoint, call_id, started.partner, now_ms)
        return None

    def slot_limit(self, endpoint: Endpoint) -> int:
        """Return how many calls this entry may have in flight at an endpoint with free room."""
        return self._slot_limit.limit(endpoint.gate.limit)

    def cost(self, endpoint: Endpoint, now_ms: float) -> float:
        """Return the expected cost of a call at an endpoint."""
        return endpoint.cost(self._typical_slowdown, now_ms)

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
            self._slot_limit.learn(ratio, is_nearly_full=is_nearly_full)
        slowness = endpoint.decayed_slowness(now_ms)
        smoothed = slowness + SLOWNESS_EWMA_ALPHA * (ratio - slowness)
        endpoint.slowness = max(MIN_SLOWNESS, smoothed)
        endpoint.slowness_updated_ms = now_ms
        endpoint.consecutive_failures = 0
        name = endpoint.address.endpoint
        if endpoint.status is EndpointStatus.TRIAL:
            endpoint.ejections = 0
            self.handle(name, EndpointEvent.SUCCEEDED, "trial succeeded", now_ms)
        elif endpoint.status is EndpointStatus.COLD and now_ms >= endpoint.warm_up_ends_ms:
            endpoint.ejections = 0
            self.handle(name, EndpointEvent.WARMED, "warmed up", now_ms)

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
        duration_ms = min(BASE_EJECTION_MS * 2**endpoint.ejections, MAX_EJECTION_MS)
        endpoint.ejections += 1
        endpoint.ejected_until_ms = now_ms + duration_ms
        reason = f"{endpoint.consecutive_failures} failures, last {result.value}"
        self.handle(endpoint.address.endpoint, EndpointEvent.FAILING, reason, now_ms)

    def _may_eject(self, endpoint: Endpoint) -> bool:
        if endpoint.status not in SERVING:
            return False
        if endpoint.consecutive_failures < FAILURES_BEFORE_EJECTION:
            return False
        return len(self._ejected) + 1 <= len(self.endpoint_by_id) * MAX_EJECTED_SHARE

    def _due_trial(self, now_ms: float, excluded: frozenset[str]) -> Endpoint | None:
        for name in self._ejected:
            endpoint = self.endpoint_by_id[name]
            if name not in excluded and self._is_trial_due(endpoint, now_ms):
                self.handle(name, EndpointEvent.TRIAL, "trial due", now_ms)
                return endpoint
        return None

    def _is_trial_due(self, endpoint: Endpoint, now_ms: float) -> bool:
        is_ejected = endpoint.status is EndpointStatus.EJECTED
        if not is_ejected or now_ms < endpoint.ejected_until_ms:
            return False
        return endpoint.gate.opens_in_ms(now_ms) == 0

    def _notice_ends_ms(self, now_ms: float) -> float:
        # Varies, so that a fleet whose notices stopped does not send to the endpoint at once.
        return now_ms + NOTICE_LIFETIME_MS * (1 + self._rng.random())

    def _keep_gate(self, endpoint: Endpoint) -> None:
        """Keep the limit and closure of an endpoint whose registration may come back."""
        gate = endpoint.gate
        if gate.rate_limit is None and gate.closure is None:
            return
        kept = self._delisted_gates
        kept[endpoint.address.endpoint, endpoint.address.incarnation] = EndpointGate(
            rate_limit=gate.rate_limit, closure=gate.closure
        )
        if len(kept) > MAX_DELISTED_GATES:
            del kept[next(iter(kept))]

    def _index(self) -> None:
        self._serving = [item for item in self.endpoint_by_id.values() if item.is_serving]
        for endpoint in self._serving:
            endpoint.gate.limit = self._share.slots(endpoint.address)
            endpoint.tie_break = self._tie_break()
