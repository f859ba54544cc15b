"""Calls that the routing table assigns to a service, from request to response."""

from collections.abc import Callable
from copy import copy
from itertools import count

from cassiahaven_core.admission import WaitingCall
from cassiahaven_core.answer_record import AnswerRecord
from cassiahaven_core.edge import CallRequest, CallResponse
from cassiahaven_core.explanation import ExplanationMemory
from cassiahaven_core.outcome import NotRun, Outcome, Ran, Unknown
from cassiahaven_core.reason import RefusalReason, UnknownReason
from cassiahaven_core.route import NoRouteReason, Route, RoutingTable
from cassiahaven_entry.attempts import AttemptRunner
from cassiahaven_entry.call import Call, Finished
from cassiahaven_entry.caller_connection import CallerLeft
from cassiahaven_entry.caller_dialect import CallerDialect
from cassiahaven_entry.clock import now_ms
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.service_task import ServiceTask

NO_SERVICE = "none"
REFUSAL_BY_MISS = {
    NoRouteReason.NO_CONFIGURATION: RefusalReason.NOT_CONFIGURED,
    NoRouteReason.NO_ROUTE: RefusalReason.NO_ROUTE,
    NoRouteReason.REJECTED_ROUTE: RefusalReason.REJECTED_ROUTE,
}
CONTENT_LENGTH = "content-length"
CONFIGURATION_RETRY_MS = 500.0  # a configuration may arrive by then


class RoutedCalls:
    """Match calls to routes, run them and log how they ended.

    Args:
        process: Unique name of this process.
        routing: The configuration in force.
        task_for: Returns the task that owns a service's policy.
        attempts: Sends calls to upstreams and retries them.
        dialect: Protocol that callers speak.
    """

    def __init__(
        self,
        process: str,
        routing: RoutingTable,
        task_for: Callable[[str], ServiceTask],
        attempts: AttemptRunner,
        dialect: CallerDialect,
        *,
        metrics: Metrics,
    ) -> None:
        self._process = process
        self._routing = routing
        self._task_for = task_for
        self._attempts = attempts
        self._dialect = dialect
        self._metrics = metrics
        self._numbers = count(1)
        self.explanations = ExplanationMemory()

    def run(self, request: CallRequest) -> CallResponse:
        """Run ``request`` and return the response to its caller."""
        path = request.target.partition("?")[0]
        route = self._routing.match(request.host, path)
        if isinstance(route, NoRouteReason):
            return self._refuse_unrouted(request, route)
        if not route.is_idempotent:
            # An answer before this one may close the connection; callers then repeat this call.
            request.await_turn()
        service = self._routing.choose_service(route)
        call = Call(request, service, self._waiting(request, route))
        task = self._task_for(service)
        try:
            finished = self._attempts.run(call, task)
        except CallerLeft:
            self._record_end(call, route, "caller-left")
            raise
        except Exception as error:
            log(LogEvent.CALL_FAILED_INTERNALLY, call=call.call_id, error=repr(error))
            finished = Finished(Unknown(UnknownReason.INTERNAL))
        return self._respond(call, route, task, finished)

    def sample(self, request: CallRequest, route: Route) -> WaitingCall:
        """Return the call that ``request`` would become, without counting it."""
        twin = copy(self)
        twin._numbers = count(1)
        return twin._waiting(request, route)

    def _waiting(self, request: CallRequest, route: Route) -> WaitingCall:
        arrived_ms = request.arrived_ms
        limit_ms = route.timeout_ms
        if request.timeout_ms is not None:
            limit_ms = min(limit_ms, request.timeout_ms)
        return WaitingCall(
            f"{self._process}-{next(self._numbers)}",
            route.name,
            route.is_idempotent,
            arrived_ms + limit_ms,
            arrived_ms,
            priority=route.priority,
            target_at_ms=arrived_ms + route.target_ms,
            most_attempts=route.most_attempts,
        )

    def _refuse_unrouted(self, request: CallRequest, miss: NoRouteReason) -> CallResponse:
        reason = REFUSAL_BY_MISS[miss]
        self._metrics.refusals.labels(NO_SERVICE, reason.value).inc()
        log(
            LogEvent.CALL_WITHOUT_ROUTE,
            request=request.request_id,
            host=request.host,
            target=request.target,
            version=self._routing.version,
            reason=reason.value,
        )
        return self._dialect.local_response(
            NO_SERVICE,
            NotRun(reason),
            request_id=request.request_id,
            retry_after_ms=CONFIGURATION_RETRY_MS,
        )

    def _respond(
        self, call: Call, route: Route, task: ServiceTask, finished: Finished
    ) -> CallResponse:
        outcome = finished.outcome
        self._count(call, outcome)
        answer = finished.answer
        if answer is None:
            retry_after_ms = None
            if isinstance(outcome, NotRun):
                retry_after_ms = task.policy.retry_after_ms(call.waiting, now_ms())
            response = self._dialect.local_response(
                call.service,
                outcome,
                request_id=call.request.request_id,
                retry_after_ms=retry_after_ms,
            )
            self._record_end(call, route, outcome.header, status=response.status)
            return response
        self._record_end(call, route, outcome.header, status=answer.status, record=finished.record)
        if finished.stream is not None:
            return CallResponse(answer.status, answer.headers, finished.stream)
        headers = answer.headers
        if not any(name.lower() == CONTENT_LENGTH for name, _ in headers):
            headers = (*headers, ("Content-Length", str(len(answer.body))))
        return CallResponse(answer.status, headers, iter((answer.body,)))

    def _count(self, call: Call, outcome: Outcome) -> None:
        kind = outcome.header.partition(";")[0]
        self._metrics.calls.labels(call.service, call.partner, kind).inc()
        self._metrics.latency.record(call.service, now_ms() - call.waiting.arrived_ms)
        match outcome:
            case NotRun(reason=reason):
                self._metrics.refusals.labels(call.service, reason.value).inc()
            case Unknown(reason=reason):
                self._metrics.unknowns.labels(call.service, reason.value).inc()
            case Ran():
                pass

    def _record_end(
        self,
        call: Call,
        route: Route,
        outcome: str,
        *,
        status: int | None = None,
        record: AnswerRecord | None = None,
    ) -> None:
        call.explanation.outcome = outcome
        # Callers identify a call by the request id that they sent.
        call.explanation.call_id = call.request.request_id or call.call_id
        self.explanations.add(call.explanation)
        log(
            LogEvent.CALL_ENDED,
            request=call.request.request_id,
            call=call.call_id,
            route=route.name,
            service=call.service,
            version=self._routing.version,
            outcome=outcome,
            status=status,
            target_ms=route.target_ms,
            took_ms=round(now_ms() - call.waiting.arrived_ms, 1),
            answer=record.to_plain() if record is not None else None,
            steps=[
                f"{step.at_ms:.0f} {step.what} {step.detail}" for step in call.explanation.steps
            ],
        )
