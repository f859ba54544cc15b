"""Admission, dispatch and retry of calls for one service at one entry."""

import math
from dataclasses import dataclass, replace
from typing import TypeAlias

from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.endpoint import (
    NOT_RUN_RESULTS,
    CallResult,
    Endpoint,
    LoadReport,
    ProbeFailed,
)
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.load_shedding import (
    MIN_LATENCY_SHARE,
    ReturnSchedule,
    unservable_calls,
)
from cassiahaven_core.pool import Pool
from cassiahaven_core.rate_limit import MS_PER_S, UNLIMITED
from cassiahaven_core.reason import RefusalReason, RetryReason
from cassiahaven_core.retry import RetryBudget
from cassiahaven_core.zone_placement import CallNeed, ZoneReason

RETRY_REASON_BY_RESULT: dict[CallResult, RetryReason] = {
    CallResult.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    CallResult.REFUSED: RetryReason.UPSTREAM_REFUSED,
    CallResult.REPLACED: RetryReason.UPSTREAM_REFUSED,
    CallResult.CONNECTION_LOST: RetryReason.CONNECTION_LOST,
    CallResult.SERVER_ERROR: RetryReason.SERVER_ERROR,
    CallResult.UNANSWERED: RetryReason.UNANSWERED,
}
MOST_HELD_CALLS = 8  # bounds the time of one decision; the next slot is at most some calls away
MAX_RETRY_AFTER_MS = 5000.0  # limits change within seconds, and callers may find another entry


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Effect: the caller's task sends the call to an endpoint.

    Attributes:
        left_zone: Why the endpoint is in another zone, ``None`` if it is not.
    """

    call_id: str
    address: EndpointAddress
    waited_ms: float
    left_zone: ZoneReason | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Effect: the caller's task rejects the call without running it."""

    call_id: str
    reason: RefusalReason


Effect: TypeAlias = Dispatch | Refuse


class ServicePolicy:
    """Decide when each call is sent and to which endpoint.

    Args:
        service: Name of the service.
        pool: Endpoints of the service.
        admission: Limits and queues of the service.

    Attributes:
        probes_per_s: Maximum rate of pre-call probes per endpoint, 0 disables them.
    """

    __slots__ = (
        "service",
        "pool",
        "admission",
        "retry_budget",
        "probes_per_s",
        "_promised_ms",
        "_returns",
        "_is_contended",
    )

    def __init__(self, service: str, pool: Pool, admission: Admission) -> None:
        self.service = service
        self.pool = pool
        self.admission = admission
        self.retry_budget = RetryBudget()
        self.probes_per_s = 0.0
        self._promised_ms = 0.0
        self._returns = ReturnSchedule()
        self._is_contended = True

    def set_contended(self, is_contended: bool) -> None:
        """Set whether callers compete for capacity, so that refused ones return on a schedule."""
        self._is_contended = is_contended
        self.pool.set_contended(is_contended)

    def submit(self, call: WaitingCall, now_ms: float) -> list[Effect]:
        """Admit or refuse a new call.

        Returns:
            Effects for this call and for any other that can now proceed.
        """
        if call.deadline_ms <= now_ms:
            return [Refuse(call.call_id, RefusalReason.DEADLINE_EXCEEDED)]
        latency_ms = self.pool.typical_latency_ms(call.latency_class)
        # One that came back when told waits until its deadline rather than be refused once more.
        has_returned = (
            self._is_contended and bool(call.return_key) and self._returns.redeem(call, now_ms)
        )
        in_time_ms = call.deadline_ms if has_returned else call.target_at_ms
        call = replace(call, start_by_ms=in_time_ms - latency_ms, has_returned=has_returned)
        if not self._may_serve(call, now_ms):
            return [Refuse(call.call_id, RefusalReason.NO_UPSTREAM)]
        opens_in_ms = self._opens_in_ms(call, now_ms)
        if opens_in_ms and self.pool.closed_for_ms(now_ms):
            return [Refuse(call.call_id, RefusalReason.UPSTREAM_CLOSED)]
        if self.admission.waiting or opens_in_ms:
            # Late calls queue behind calls that can still be on time, so under overload this one
            # would only wait for its deadline. Refuse it now so that the caller can retry later.
            starts_ms = now_ms + opens_in_ms + self._expected_wait_ms(call, now_ms)
            if not has_returned:
                starts_ms += self._returning_work_ms(call, starts_ms, now_ms)
            if starts_ms > min(call.start_by_ms, call.deadline_ms):
                return [Refuse(call.call_id, self._wait_reason())]
        reason = self.admission.admit(call, now_ms)
        if reason is not None:
            return [Refuse(call.call_id, reason)]
        self.retry_budget.deposit(now_ms)
        return self.advance(now_ms)

    def try_spend_probe(self, endpoint: str, now_ms: float) -> bool:
        """Return whether to probe the endpoint before a call, and spend a probe token if so."""
        if not self.probes_per_s:
            return False
        return self.pool.try_spend_probe(endpoint, rate_per_s=self.probes_per_s, now_ms=now_ms)

    def apply_probe(
        self,
        call: WaitingCall,
        endpoint: str,
        report: LoadReport | ProbeFailed,
        now_ms: float,
        *,
        tried: frozenset[str] = frozenset(),
    ) -> Dispatch | None:
        """Apply the result of a pre-call probe and move the call if another endpoint is cheaper.

        Handles VMs that noisy neighbours slow down for short periods: work that starts in such a
        period takes several times as long, and a load report soon becomes stale.

        Args:
            call: The call, counted at the endpoint but not sent yet.
            endpoint: The endpoint that was probed.
            report: Load report of the endpoint, or the probe failure.
            now_ms: Current time, milliseconds.
            tried: Endpoints that the call has already been sent to.

        Returns:
            The dispatch to another endpoint, ``None`` if the call stays.
        """
        if isinstance(report, ProbeFailed):
            self.pool.record_probe_failure(endpoint, now_ms)
        else:
            self.pool.report_load(endpoint, report, now_ms)
        need = self.need(call, now_ms, may_wait=False)
        better = self.pool.move(endpoint, call.call_id, now_ms, excluded=tried, need=need)
        if better is None:
            return None
        waited_ms = now_ms - call.arrived_ms
        return Dispatch(call.call_id, better.address, waited_ms, self.pool.take_left_zone())

    def place_again(
        self, call: WaitingCall, endpoint: str, tried: frozenset[str], now_ms: float
    ) -> list[Effect]:
        """Assign a call anew that was not sent, as its endpoint takes no more calls.

        Args:
            call: The call, counted at the endpoint but not sent.
            endpoint: The endpoint that it was assigned to.
            tried: Endpoints that the call has already been sent to.
            now_ms: Current time, milliseconds.

        Returns:
            Effects for this and other calls.
        """
        self.pool.finish(endpoint, call.call_id, CallResult.CANCELLED, now_ms)
        self.admission.finish(call.partner)
        self.admission.requeue(replace(call, tried=tried))
        return self.advance(now_ms)

    def finish(
        self, call: WaitingCall, endpoint: str, result: CallResult, now_ms: float
    ) -> list[Effect]:
        """Record the result of a call at an endpoint and dispatch waiting calls."""
        self.pool.finish(endpoint, call.call_id, result, now_ms)
        self.admission.finish(call.partner)
        return self.advance(now_ms)

    def retry(
        self, call: WaitingCall, result: CallResult, tried: frozenset[str], now_ms: float
    ) -> tuple[RetryReason, list[Effect]] | None:
        """Queue a retry of a call whose last attempt ended with ``result``.

        A non-idempotent call is retried only if its last endpoint certainly did not run it.

        Args:
            call: The call, no longer in flight.
            result: Result of the last attempt.
            tried: Endpoints that the call has been sent to.
            now_ms: Current time, milliseconds.

        Returns:
            The retry reason and the effects for this and other calls, ``None`` for no retry.
        """
        reason = RETRY_REASON_BY_RESULT.get(result)
        if reason is None or len(tried) >= call.most_attempts:
            return None
        shortest_ms = self.pool.typical_latency_ms(call.latency_class) * MIN_LATENCY_SHARE
        if now_ms + shortest_ms > call.deadline_ms:
            return None
        if not call.idempotent and result not in NOT_RUN_RESULTS:
            return None
        if self.pool.opens_in_ms(now_ms, tried) or not self.retry_budget.withdraw(now_ms):
            return None
        self.admission.requeue(replace(call, tried=tried))
        return reason, self.advance(now_ms)

    def answer_patience_ms(
        self, call: WaitingCall, endpoint: str, tried: frozenset[str], now_ms: float
    ) -> float | None:
        """Return how long to wait for a call's answer before it is sent elsewhere.

        Handles endpoints that never answer a call for which they have no room: an idempotent call
        is given up there once its work cannot explain the wait, while another endpoint can still
        answer it in time.

        Args:
            call: The call, about to be sent.
            endpoint: The endpoint that it is sent to.
            tried: Endpoints that the call has been sent to, including this one.
            now_ms: Current time, milliseconds.

        Returns:
            Milliseconds, ``None`` to wait until the deadline.
        """
        if not call.idempotent or len(tried) >= call.most_attempts:
            return None
        patience_ms = self.pool.latency_bound_ms(call.latency_class, endpoint, now_ms)
        answer_ms = self.pool.typical_latency_ms(call.latency_class)
        if patience_ms is None or now_ms + patience_ms + answer_ms > call.deadline_ms:
            return None
        if self.pool.opens_in_ms(now_ms, tried) or not self.retry_budget.has_room(now_ms):
            return None
        return patience_ms

    def advance(self, now_ms: float) -> list[Effect]:
        """Dispatch waiting calls while endpoints have free slots."""
        effects: list[Effect] = []
        held: list[WaitingCall] = []
        while (call := self.admission.next(now_ms)) is not None:
            if call.deadline_ms <= now_ms:
                self.admission.withdraw(call)
                effects.append(Refuse(call.call_id, RefusalReason.DEADLINE_EXCEEDED))
                continue
            endpoint = self.pool.choose(
                now_ms,
                idempotent=call.idempotent,
                excluded=call.tried,
                need=self.need(call, now_ms, may_wait=not call.tried),
            )
            if endpoint is None and self.pool.is_held_at_home:
                # It waits for a slot of its zone, and calls behind it may run in another one.
                if len(held) == MOST_HELD_CALLS:
                    break
                self.admission.withdraw(call)
                held.append(call)
                continue
            if endpoint is None:
                if self.pool.closed_for_ms(now_ms, call.tried):
                    self.admission.withdraw(call)
                    effects.append(Refuse(call.call_id, RefusalReason.UPSTREAM_CLOSED))
                    continue
                opens_in_ms = self.pool.opens_in_ms(now_ms, call.tried)
                if not opens_in_ms or (not call.tried and opens_in_ms < math.inf):
                    break
                # A retry that waited for a rate limit would keep later calls from free slots.
                self.admission.withdraw(call)
                reason = RefusalReason.UPSTREAM_RATE_LIMITED
                if opens_in_ms == math.inf:
                    reason = RefusalReason.NO_UPSTREAM
                effects.append(Refuse(call.call_id, reason))
                continue
            self._start(call, endpoint, now_ms)
            waited_ms = now_ms - call.arrived_ms
            left_zone = self.pool.take_left_zone()
            effects.append(Dispatch(call.call_id, endpoint.address, waited_ms, left_zone))
        for call in reversed(held):
            self.admission.requeue(call)
        return effects

    def tick(self, now_ms: float) -> list[Effect]:
        """Dispatch waiting calls and refuse those that expired or cannot be served in time."""
        effects: list[Effect] = []
        for call in self.admission.expired(now_ms):
            self.admission.withdraw(call)
            effects.append(Refuse(call.call_id, RefusalReason.DEADLINE_EXCEEDED))
        effects.extend(self.advance(now_ms))
        reason = self._wait_reason()
        for call in self._unservable_calls(now_ms):
            self.admission.withdraw(call)
            effects.append(Refuse(call.call_id, reason))
        if self.admission.waiting:
            if not self.pool.has_serving_endpoint():
                effects.extend(self._refuse_all(RefusalReason.NO_UPSTREAM))
            elif self.pool.closed_for_ms(now_ms):
                effects.extend(self._refuse_all(RefusalReason.UPSTREAM_CLOSED))
        return effects

    def need(self, call: WaitingCall, now_ms: float, *, may_wait: bool) -> CallNeed:
        """Return what the place of a call depends on.

        Args:
            call: The call.
            now_ms: Current time, milliseconds.
            may_wait: Whether it may wait for a slot of its own zone.
        """
        return CallNeed(
            self.pool.typical_latency_ms(call.latency_class),
            max(0.0, call.target_at_ms - now_ms),
            call.body_bytes,
            now_ms - call.arrived_ms if may_wait else math.inf,
            call.idempotent,
        )

    def _start(self, call: WaitingCall, endpoint: Endpoint, now_ms: float) -> None:
        self.admission.start(call, self.pool.typical_latency_ms(call.latency_class))
        self.pool.start(endpoint, call.call_id, call.latency_class, now_ms)

    def _refuse_all(self, reason: RefusalReason) -> list[Effect]:
        refused = self.admission.expired(float("inf"))
        for call in refused:
            self.admission.withdraw(call)
        return [Refuse(call.call_id, reason) for call in refused]

    def _may_serve(self, call: WaitingCall, now_ms: float) -> bool:
        if self.pool.has_serving_endpoint():
            return True
        return call.idempotent and self.pool.has_due_trial(now_ms)

    def _opens_in_ms(self, call: WaitingCall, now_ms: float) -> float:
        """Return the time until rate limits let a new call through."""
        if call.idempotent and self.pool.has_due_trial(now_ms):
            return 0.0
        return self.pool.opens_in_ms(now_ms)

    def _expected_wait_ms(self, call: WaitingCall, now_ms: float) -> float:
        slots = self._slots(self.pool.typical_latency_ms(call.latency_class), now_ms)
        if not slots or call.partner not in self.admission.partner_by_name:
            return 0.0
        ahead = self.admission.expected_calls_ahead(call.partner, call.priority)
        return ahead * self.pool.typical_latency_ms(call.latency_class) / slots

    def expected_start_ms(self, call: WaitingCall, now_ms: float) -> float:
        """Return the expected time until a waiting call is sent, milliseconds."""
        return self._opens_in_ms(call, now_ms) + self._expected_wait_ms(call, now_ms)

    def _slots(self, latency_ms: float, now_ms: float) -> float:
        """Return how many calls of this entry run at a time."""
        slots = self.pool.usable_slots(latency_ms, now_ms)
        if not self._is_contended or not self.admission.waiting:
            return slots
        return min(slots, self.pool.busy_slots())

    def _returning_work_ms(self, call: WaitingCall, starts_ms: float, now_ms: float) -> float:
        """Return the delay of a call by callers that were told to come back before it starts."""
        latency_ms = self.pool.typical_latency_ms(call.latency_class)
        slots = self._slots(latency_ms, now_ms)
        returning = self._returns.due_before(starts_ms, call.priority, now_ms)
        return returning * latency_ms / slots if slots else 0.0

    def retry_after_ms(self, call: WaitingCall, now_ms: float) -> float:
        """Return the delay after which to retry a refused call, milliseconds."""
        closed_for_ms = self.pool.closed_for_ms(now_ms)
        if closed_for_ms:
            # Rounded up, so that nobody returns just before the first endpoint opens.
            return math.ceil(closed_for_ms)
        wait_ms = self._expected_wait_ms(call, now_ms)
        rate_per_s = self.pool.serving_rate_per_s()
        if not rate_per_s and self.pool.has_serving_endpoint():
            # All endpoints are cold, and this entry has no share of what they bear.
            return min(self.pool.opens_in_ms(now_ms), MAX_RETRY_AFTER_MS)
        if not 0 < rate_per_s < UNLIMITED:
            latency_ms = self.pool.typical_latency_ms(call.latency_class)
            if not self._is_contended:
                return wait_ms + latency_ms / 2
            slots = self._slots(latency_ms, now_ms)
            due_ms = self._returns.promise(
                call,
                soonest_ms=now_ms + wait_ms + latency_ms / 2,
                spacing_ms=latency_ms / slots if slots else 0.0,
                now_ms=now_ms,
            )
            return due_ms - now_ms
        # Each refused caller is sent back for another call that the rate limits will let through.
        opens_ms = now_ms + self.pool.opens_in_ms(now_ms)
        soonest_ms = max(opens_ms + wait_ms, self._promised_ms + MS_PER_S / rate_per_s)
        self._promised_ms = min(soonest_ms, now_ms + MAX_RETRY_AFTER_MS)
        return self._promised_ms - now_ms

    def _unservable_calls(self, now_ms: float) -> list[WaitingCall]:
        calls = self.admission.waiting_calls()
        if not calls:
            return []
        latencies_ms = [self.pool.typical_latency_ms(call.latency_class) for call in calls]
        return unservable_calls(
            calls,
            self.pool.typical_latency_ms,
            slots=self._slots(sum(latencies_ms) / len(latencies_ms), now_ms),
            now_ms=now_ms,
            opens_in_ms=min(self.pool.opens_in_ms(now_ms), MAX_RETRY_AFTER_MS),
        )

    def _wait_reason(self) -> RefusalReason:
        """Return the reason for refusing a call that would wait too long."""
        if 0 < self.pool.serving_rate_per_s() < UNLIMITED:
            return RefusalReason.UPSTREAM_RATE_LIMITED
        return RefusalReason.WAIT_TOO_LONG
