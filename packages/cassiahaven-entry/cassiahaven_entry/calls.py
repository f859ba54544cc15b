"""Calls to the services of the settings, from request to response."""

import hashlib
from itertools import count

from cassiahaven_core.edge import CallRequest, CallResponse
from cassiahaven_core.explanation import ExplanationMemory
from cassiahaven_core.idempotency import ScopedKey
from cassiahaven_core.outcome import NotRun, Outcome, Ran, Unknown, response_status
from cassiahaven_core.reason import RefusalReason, UnknownReason
from cassiahaven_core.settings import PUBLIC_PARTNER, ServiceSettings, Settings
from cassiahaven_entry import call_header
from cassiahaven_entry.attempts import AttemptRunner
from cassiahaven_entry.call import Call, Finished
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.keys import Keys
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.service_task import ServiceTask

ANSWER_NOT_KEPT_STATUS = 409
UNAVAILABLE_STATUS = 503
RETRY_AFTER = "Retry-After"
CONTENT_LENGTH = "Content-Length"
PLAIN_TEXT = ("Content-Type", "text/plain; charset=utf-8")


class CallRunner:
    """Authenticate calls, claim their idempotency keys, send them and record explanations.

    Args:
        settings: Settings of the entry.
        process: Unique name of this process.
        task_by_service: The task of each service, which owns its policy.
        keys: Idempotency keys.
        attempts: Sends calls to upstreams and retries them.
    """

    def __init__(
        self,
        settings: Settings,
        process: str,
        task_by_service: dict[str, ServiceTask],
        keys: Keys,
        attempts: AttemptRunner,
        *,
        metrics: Metrics,
    ) -> None:
        self.explanations = ExplanationMemory()
        self._settings = settings
        self._process = process
        self._task_by_service = task_by_service
        self._keys = keys
        self._attempts = attempts
        self._metrics = metrics
        self._call_numbers = count(1)

    def run(self, request: CallRequest) -> CallResponse:
        """Run ``request`` and return the response to its caller."""
        service = self._settings.service_by_name.get(request.service)
        if service is None:
            return self.refuse(request.service, NotRun(RefusalReason.UNKNOWN_SERVICE))
        partner = self._partner(request.token, service)
        if partner is None:
            return self.refuse(request.service, NotRun(RefusalReason.UNAUTHENTICATED))
        if len(request.body) > service.largest_body_bytes:
            return self.refuse(request.service, NotRun(RefusalReason.BODY_TOO_LARGE))
        call = Call.to_service(request, service, partner, self._new_call_id())
        if not call.waiting.idempotent:
            # An answer before this one may close the connection; callers then repeat this call.
            request.await_turn()
        try:
            finished = self._claim_and_run(call)
        except Exception as error:
            log(LogEvent.CALL_FAILED_INTERNALLY, call=call.call_id, error=repr(error))
            finished = Finished(Unknown(UnknownReason.INTERNAL))
        return self._respond(call, finished)

    def refuse(
        self, service: str, outcome: NotRun, retry_after_ms: float | None = None
    ) -> CallResponse:
        """Count and return the refusal of a request that was rejected before it became a call."""
        known = service if service in self._settings.service_by_name else "unknown"
        self._metrics.refusals.labels(known, outcome.reason.value).inc()
        return _plain_response(self._new_call_id(), outcome, _retry_after(retry_after_ms))

    def largest_body_bytes(self, service: str) -> int:
        """Return the body size limit of ``service``, 0 if the service is unknown."""
        known = self._settings.service_by_name.get(service)
        return known.largest_body_bytes if known is not None else 0

    def _new_call_id(self) -> str:
        return f"{self._process}-{next(self._call_numbers)}"

    def _partner(self, token: str | None, service: ServiceSettings) -> str | None:
        if token is None:
            return PUBLIC_PARTNER if service.public else None
        # Looking up a digest keeps the lookup time from leaking the token (timing attack).
        digest = hashlib.sha256(token.encode()).hexdigest()
        partner = self._settings.partner_by_digest.get(digest)
        return partner.name if partner is not None else None

    def _claim_and_run(self, call: Call) -> Finished:
        task = self._task_by_service[call.service]
        if call.request.key is None:
            return self._attempts.run(call, task)
        scoped = ScopedKey(call.partner, call.service, call.request.key)
        claim = self._keys.claim(scoped, call.fingerprint, call.waiting.deadline_ms)
        if claim.replay is not None:
            call.note("key answered from memory", claim.replay.outcome.header)
            return Finished(claim.replay.outcome, claim.replay.answer)
        finished = Finished(Unknown(UnknownReason.INTERNAL))
        try:
            finished = self._attempts.run(call, task)
        finally:
            self._keys.complete(claim.scoped, finished.outcome, finished.whole_answer)
        return finished

    def _respond(self, call: Call, finished: Finished) -> CallResponse:
        outcome = finished.outcome
        self._count(call, outcome)
        call.explanation.outcome = outcome.header
        self.explanations.add(call.explanation)
        answer = finished.answer
        if answer is None:
            return _plain_response(call.call_id, outcome, self._retry_after(call, outcome))
        headers = (*_outcome_headers(call.call_id, outcome), *answer.headers)
        if finished.stream is not None:
            return CallResponse(answer.status, headers, finished.stream)
        if not any(name.lower() == CONTENT_LENGTH.lower() for name, _ in headers):
            headers = (*headers, (CONTENT_LENGTH, str(len(answer.body))))
        return CallResponse(answer.status, headers, iter((answer.body,)))

    def _retry_after(self, call: Call, outcome: Outcome) -> tuple[tuple[str, str], ...]:
        if not isinstance(outcome, NotRun) or response_status(outcome) != UNAVAILABLE_STATUS:
            return ()
        policy = self._task_by_service[call.service].policy
        return _retry_after(policy.retry_after_ms(call.waiting, now_ms()))

    def _count(self, call: Call, outcome: Outcome) -> None:
        service = call.service
        kind = outcome.header.partition(";")[0]
        self._metrics.calls.labels(service, call.partner, kind).inc()
        self._metrics.latency.record(service, now_ms() - call.waiting.arrived_ms)
        match outcome:
            case NotRun(reason=reason):
                self._metrics.refusals.labels(service, reason.value).inc()
            case Unknown(reason=reason):
                self._metrics.unknowns.labels(service, reason.value).inc()


def _retry_after(delay_ms: float | None) -> tuple[tuple[str, str], ...]:
    return () if delay_ms is None else ((RETRY_AFTER, f"{delay_ms / MS_PER_S:.3f}"),)


def _outcome_headers(call_id: str, outcome: Outcome) -> tuple[tuple[str, str], ...]:
    return ((call_header.CALL_ID, call_id), (call_header.CALL_OUTCOME, outcome.header))


def _plain_response(
    call_id: str, outcome: Outcome, added: tuple[tuple[str, str], ...] = ()
) -> CallResponse:
    body = f"{outcome.header}\n".encode()
    own = (*_outcome_headers(call_id, outcome), PLAIN_TEXT, (CONTENT_LENGTH, str(len(body))))
    headers = (*own, *added)
    # Replay of a call that ran, but whose answer was too large to keep.
    status = ANSWER_NOT_KEPT_STATUS if isinstance(outcome, Ran) else response_status(outcome)
    return CallResponse(status, headers, iter((body,)))
