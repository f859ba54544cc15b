"""All decisions on the calls of one service at one entry."""

from dataclasses import dataclass, replace
from typing import TypeAlias

from cassiahaven_core.admission import Admission, Waiting
from cassiahaven_core.pool import (
    CallResult,
    Endpoint,
    EndpointAddress,
    LoadReport,
    Pool,
    ProbeFailed,
)
from cassiahaven_core.reason import RefusalReason, RetryReason
from cassiahaven_core.retry import RetryBudget
from cassiahaven_core.schedule import SHORTEST_SHARE, hopeless_calls

RETRY_BY_RESULT: dict[CallResult, RetryReason] = {
    CallResult.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    CallResult.REFUSED: RetryReason.UPSTREAM_REFUSED,
    CallResult.REPLACED: RetryReason.UPSTREAM_REFUSED,
    CallResult.CONNECTION_LOST: RetryReason.CONNECTION_LOST,
    CallResult.SERVER_ERROR: RetryReason.SERVER_ERROR,
}
NOT_RUN_RESULTS = frozenset({CallResult.CONNECT_FAILED, CallResult.REFUSED, CallResult.REPLACED})


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Tell the caller's task to send the call to an endpoint."""

    call_id: str
    address: EndpointAddress
    waited_ms: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller's task that the call is not run."""

    call_id: str
    reason: RefusalReason


Effect: TypeAlias = Dispatch | Refuse


class ServicePolicy:
    """Decide which call goes where, and when.

    Args:
        service: Name of the service.
        pool: Endpoints of the service.
        admission: Limits and queue of the service.

    Attributes:
        probes_per_s: Probes before a call that each endpoint may get a second, 0 for none.
    """

    __slots__ = ("service", "pool", "admission", "retry_budget", "probes_per_s")

    def __init__(self, service: str, pool: Pool, admission: Admission) -> None:
        self.service = service
        self.pool = pool
        self.admission = admission
        self.retry_budget = RetryBudget()
        self.probes_per_s = 0.0

    def arrive(self, call: Waiting, now_ms: float) -> list[Effect]:
        """Take in a new call.

        Returns:
            Effects for this call and for any other that can now proceed.
        """
        if call.deadline_ms <= now_ms:
            return [Refuse(call.call_id, RefusalReason.DEADLINE_EXCEEDED)]
        call = replace(call, start_by_ms=call.target_at_ms - self.pool.usual_ms(call.partner))
        if not self._may_serve(call, now_ms):
            return [Refuse(call.call_id, RefusalReason.NO_UPSTREAM)]
        if self.admission.waiting:
            # A call that would be late stands behind those that would not, so in a rush it only
            # waits for its deadline; its caller does better to come back.
            starts_ms = now_ms + self._expected_wait_ms(call)
            if starts_ms > min(call.start_by_ms, call.deadline_ms):
                return [Refuse(call.call_id, RefusalReason.WAIT_TOO_LONG)]
        reason = self.admission.admit(call, now_ms)
        if reason is not None:
            return [Refuse(call.call_id, reason)]
        self.retry_budget.deposit(now_ms)
        return self.advance(now_ms)

    def take_probe(self, endpoint: str, now_ms: float) -> bool:
        """Tell whether the endpoint is to be probed before a call is sent to it, and count it."""
        if not self.probes_per_s:
            return False
        return self.pool.take_probe(endpoint, rate_per_s=self.probes_per_s, now_ms=now_ms)

    def measured(
        self,
        call: Waiting,
        endpoint: str,
        report: LoadReport | ProbeFailed,
        now_ms: float,
        *,
        tried: frozenset[str] = frozenset(),
    ) -> Dispatch | None:
        """Take in a probe of the endpoint that a call is about to go to.

        Answers the load pattern of VMs whose neighbours slow them for moments: work that starts in
        such a moment takes several times as long, and an answer about it is stale soon.

        Args:
            call: The call, counted at the endpoint but not sent.
            endpoint: The endpoint that was probed.
            report: What it said.
            now_ms: Current time, milliseconds.
            tried: Endpoints that the call was sent to before.

        Returns:
            Where the call goes instead, ``None`` if it stays.
        """
        if isinstance(report, ProbeFailed):
            self.pool.fail_probe(endpoint, now_ms)
        else:
            self.pool.report_load(endpoint, report, now_ms)
        better = self.pool.move(endpoint, call.call_id, now_ms, excluded=tried)
        if better is None:
            return None
        return Dispatch(call.call_id, better.address, now_ms - call.arrived_ms)

    def finish(
        self, call: Waiting, endpoint: str, result: CallResult, now_ms: float
    ) -> list[Effect]:
        """Take in the end of a call at an endpoint and let waiting calls proceed."""
        self.pool.finish(endpoint, call.call_id, result, now_ms)
        self.admission.finish(call.partner)
        return self.advance(now_ms)

    def retry(
        self, call: Waiting, result: CallResult, tried: frozenset[str], now_ms: float
    ) -> tuple[RetryReason, list[Effect]] | None:
        """Queue a further attempt for a call whose last one ended with ``result``.

        A non-idempotent call is sent again only if its last endpoint certainly did not run it.

        Args:
            call: The call, no longer in flight.
            result: How the last endpoint dealt with it.
            tried: Endpoints that it was sent to.
            now_ms: Current time, milliseconds.

        Returns:
            The reason and the effects for this and other calls, ``None`` if it is not repeated.
        """
        reason = RETRY_BY_RESULT.get(result)
        if reason is None or len(tried) >= call.most_attempts:
            return None
        shortest_ms = self.pool.usual_ms(call.partner) * SHORTEST_SHARE
        if now_ms + shortest_ms > call.deadline_ms:
            return None
        if not call.idempotent and result not in NOT_RUN_RESULTS:
            return None
        if not self.pool.serves_outside(tried) or not self.retry_budget.withdraw(now_ms):
            return None
        self.admission.requeue(replace(call, tried=tried))
        return reason, self.advance(now_ms)

    def advance(self, now_ms: float) -> list[Effect]:
        """Dispatch the waiting calls that find a free slot."""
        effects: list[Effect] = []
        while (call := self.admission.next(now_ms)) is not None:
            if call.deadline_ms <= now_ms:
                self.admission.withdraw(call)
                effects.append(Refuse(call.call_id, RefusalReason.DEADLINE_EXCEEDED))
                continue
            endpoint = self.pool.choose(now_ms, idempotent=call.idempotent, excluded=call.tried)
            if endpoint is None and self.pool.serves_outside(call.tried):
                break
            if endpoint is None:
                self.admission.withdraw(call)
                effects.append(Refuse(call.call_id, RefusalReason.NO_UPSTREAM))
                continue
            self._start(call, endpoint, now_ms)
            waited_ms = now_ms - call.arrived_ms
            effects.append(Dispatch(call.call_id, endpoint.address, waited_ms))
        return effects

    def tick(self, now_ms: float) -> list[Effect]:
        """Refuse the waiting calls that cannot be served any more, then advance."""
        effects: list[Effect] = []
        for call in self.admission.expired(now_ms):
            self.admission.withdraw(call)
            effects.append(Refuse(call.call_id, RefusalReason.DEADLINE_EXCEEDED))
        effects.extend(self.advance(now_ms))
        for call in self._hopeless(now_ms):
            self.admission.withdraw(call)
            effects.append(Refuse(call.call_id, RefusalReason.WAIT_TOO_LONG))
        if self.admission.waiting and not self.pool.has_serving_endpoint():
            effects.extend(self._refuse_all())
        return effects

    def _start(self, call: Waiting, endpoint: Endpoint, now_ms: float) -> None:
        self.admission.start(call, self.pool.usual_ms(call.partner))
        self.pool.start(endpoint, call.call_id, call.partner, now_ms)

    def _refuse_all(self) -> list[Effect]:
        refused = self.admission.expired(float("inf"))
        for call in refused:
            self.admission.withdraw(call)
        return [Refuse(call.call_id, RefusalReason.NO_UPSTREAM) for call in refused]

    def _may_serve(self, call: Waiting, now_ms: float) -> bool:
        if self.pool.has_serving_endpoint():
            return True
        return call.idempotent and self.pool.has_due_trial(now_ms)

    def _expected_wait_ms(self, call: Waiting) -> float:
        slots = self.pool.usable_slots()
        if not slots or call.partner not in self.admission.partner_by_name:
            return 0.0
        ahead = self.admission.ahead_of(call.partner, call.priority)
        return ahead * self.pool.usual_ms(call.partner) / slots

    def retry_after_ms(self, call: Waiting) -> float:
        """Return when a refused call is expected to find room, milliseconds from now."""
        return self._expected_wait_ms(call) + self.pool.usual_ms(call.partner) / 2

    def _hopeless(self, now_ms: float) -> list[Waiting]:
        calls = self.admission.waiting_calls()
        if not calls:
            return []
        slots = self.pool.usable_slots()
        return hopeless_calls(calls, self.pool.usual_ms, slots=slots, now_ms=now_ms)
