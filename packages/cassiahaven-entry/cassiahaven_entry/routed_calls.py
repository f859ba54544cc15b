"""Calls that the routing table assigns to a service, from request to response."""

from collections.abc import Callable
from copy import copy
from itertools import count

from cassiahaven_core.account import ClientAccount, combined_priority
from cassiahaven_core.admission import WaitingCall
from cassiahaven_core.answer_record import AnswerRecord
from cassiahaven_core.edge import CallRequest, CallResponse
from cassiahaven_core.explanation import ExplanationMemory
from cassiahaven_core.fair_service import FairService
from cassiahaven_core.outcome import NotRun, Outcome, Ran, Unknown
from cassiahaven_core.reason import RefusalReason, UnknownReason
from cassiahaven_core.route import NoRouteReason, Route, RoutingTable
from cassiahaven_core.usage_cap import Admitted, CapDecision, Capped
from cassiahaven_entry.attempts import AttemptRunner
from cassiahaven_entry.call import Call, Finished
from cassiahaven_entry.caller_connection import CallerLeft
from cassiahaven_entry.caller_dialect import CallerDialect
from cassiahaven_entry.clock import now_ms
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.service_task import ServiceTask
from cassiahaven_entry.usage_exchange import UsageExchange

NO_SERVICE = "none"
REFUSAL_BY_MISS = {
    NoRouteReason.NO_CONFIGURATION: RefusalReason.NOT_CONFIGURED,
    NoRouteReason.NO_ROUTE: RefusalReason.NO_ROUTE,
    NoRouteReason.REJECTED_ROUTE: RefusalReason.REJECTED_ROUTE,
}
CONTENT_LENGTH = "content-length"
RAN = Ran(0, "").header
# Refusals that say nothing about capacity: operators block or limit the calls, or they are faulty.
REFUSALS_NOT_COUNTED = frozenset(
    {
        RefusalReason.UNAUTHENTICATED,
        RefusalReason.ACCOUNTS_INCOMPLETE,
        RefusalReason.STORE_VIEW_STALE,
        RefusalReason.PARTNER_BLOCKED,
        RefusalReason.RATE_LIMITED,
        RefusalReason.USAGE_CAPPED,
        RefusalReason.QUARANTINED,
    }
)
UNLIMITED = Admitted()
CONFIGURATION_RETRY_MS = 500.0  # a configuration or contact to the store may arrive by then


class RoutedCalls:
    """Match calls to routes, run them and log how they ended.

    Args:
        process: Unique name of this process.
        routing: The configuration in force.
        task_for: Returns the task that owns a service's policy.
        attempts: Sends calls to upstreams and retries them.
        dialect: Protocol that callers speak.
        has_current_view: Returns whether the state of accounts is recent enough to accept keys.
        fair_service: Counts of the client accounts' calls.
        usage: Decides whether accounts are within their usage caps, ``None`` without such caps.
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
        has_current_view: Callable[[], bool] = lambda: True,
        fair_service: FairService | None = None,
        usage: UsageExchange | None = None,
    ) -> None:
        self._process = process
        self._routing = routing
        self._task_for = task_for
        self._attempts = attempts
        self._dialect = dialect
        self._metrics = metrics
        self._has_current_view = has_current_view
        self._fair_service = fair_service or FairService()
        self._usage = usage
        self._numbers = count(1)
        self.explanations = ExplanationMemory()

    def run(self, request: CallRequest) -> CallResponse:
        """Run ``request`` and return the response to its caller."""
        path = request.target.partition("?")[0]
        route = self._routing.match(request.host, path)
        if isinstance(route, NoRouteReason):
            return self._refuse_unrouted(request, route)
        account = self._identify(request.token, route)
        if isinstance(account, RefusalReason):
            call = Call(request, route.shares[0].service, self._waiting(request, route, None))
            return self._refuse(call, route, account, CONFIGURATION_RETRY_MS)
        if not route.is_idempotent:
            # An answer before this one may close the connection; callers then repeat this call.
            request.await_turn()
        service = self._routing.choose_service(route)
        call = Call(request, service, self._waiting(request, route, account), account=account)
        task = self._task_for(service)
        decision = self._decide_usage(account)
        if isinstance(decision, Capped):
            call.note("usage cap", f"{decision.state.value} {decision.retry_after_ms:.0f} ms")
            finished = Finished(NotRun(RefusalReason.USAGE_CAPPED))
            return self._respond(call, route, task, finished, decision.retry_after_ms)
        try:
            finished = self._attempts.run(
                call, task, check=lambda call: self._check_again(call, route)
            )
        except CallerLeft:
            if not call.is_sent:
                self._give_back(account, decision)
            self._record_end(call, route, "caller-left")
            raise
        except Exception as error:
            log(LogEvent.CALL_FAILED_INTERNALLY, call=call.call_id, error=repr(error))
            finished = Finished(Unknown(UnknownReason.INTERNAL))
        if isinstance(finished.outcome, NotRun):
            self._give_back(account, decision)
        return self._respond(call, route, task, finished)

    def sample(
        self, request: CallRequest, route: Route, account: ClientAccount | None
    ) -> WaitingCall:
        """Return the call that ``request`` would become, without counting it."""
        twin = copy(self)
        twin._numbers = count(1)
        return twin._waiting(request, route, account)

    def identify_holder(
        self, account: ClientAccount | None, route: Route
    ) -> ClientAccount | RefusalReason | None:
        """Return the account of a call with a key of ``account``, or why the call is refused.

        Args:
            account: The account, ``None`` for a call without a key.
            route: The call's route.
        """
        if account is None:
            return self._identify(None, route)
        return account if self._has_current_view() else RefusalReason.STORE_VIEW_STALE

    def _identify(self, token: str | None, route: Route) -> ClientAccount | RefusalReason | None:
        """Return the account of a call as of now, or why the call is refused."""
        if self._routing.has_accounts and token and not self._has_current_view():
            return RefusalReason.STORE_VIEW_STALE
        return self._routing.identify(token, allows_anonymous=route.allows_anonymous)

    def _check_again(self, call: Call, route: Route) -> RefusalReason | None:
        """Identify a call anew: its key may have been revoked, or moved to another account."""
        account = self._identify(call.request.token, route)
        if isinstance(account, RefusalReason):
            call.note("not sent", account.value)
            self._metrics.calls_not_sent.labels(call.service, account.value).inc()
            return account
        call.account = account
        return None

    def _waiting(
        self, request: CallRequest, route: Route, account: ClientAccount | None
    ) -> WaitingCall:
        arrived_ms = request.arrived_ms
        limit_ms = route.timeout_ms
        if request.timeout_ms is not None:
            limit_ms = min(limit_ms, request.timeout_ms)
        return WaitingCall(
            f"{self._process}-{next(self._numbers)}",
            account.name if account is not None and account.name else route.name,
            route.is_idempotent,
            arrived_ms + limit_ms,
            arrived_ms,
            priority=_priority(route, account),
            target_at_ms=arrived_ms + route.target_ms,
            most_attempts=route.most_attempts,
            work_class=route.name,
            body_bytes=len(request.body),
        )

    def _refuse(
        self, call: Call, route: Route, reason: RefusalReason, retry_after_ms: float
    ) -> CallResponse:
        """Refuse a call before it waits for its service."""
        outcome = NotRun(reason)
        self._count(call, outcome)
        return self._answer_locally(call, route, outcome, retry_after_ms)

    def _answer_locally(
        self, call: Call, route: Route, outcome: NotRun | Unknown, retry_after_ms: float | None
    ) -> CallResponse:
        """Record the end of a call that no endpoint answered, and return the entry's answer."""
        response = self._dialect.local_response(
            call.service,
            outcome,
            request_id=call.request.request_id,
            retry_after_ms=retry_after_ms,
        )
        self._record_end(call, route, outcome.header, status=response.status)
        return response

    def _decide_usage(self, account: ClientAccount | None) -> CapDecision:
        """Count a call of ``account`` unless it exceeds the usage cap."""
        if self._usage is None or account is None or not account.name:
            return UNLIMITED
        return self._usage.check(account.name)

    def _give_back(self, account: ClientAccount | None, admitted: Admitted) -> None:
        """Stop counting a call that did not run, so that calls below the cap are not refused."""
        if self._usage is not None and account is not None:
            self._usage.give_back(account.name, admitted)

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
        self,
        call: Call,
        route: Route,
        task: ServiceTask,
        finished: Finished,
        retry_after_ms: float | None = None,
    ) -> CallResponse:
        outcome = finished.outcome
        self._count(call, outcome)
        answer = finished.answer
        if answer is None:
            if retry_after_ms is None and isinstance(outcome, NotRun):
                retry_after_ms = task.policy.retry_after_ms(call.waiting, now_ms())
            return self._answer_locally(call, route, outcome, retry_after_ms)
        self._record_end(call, route, outcome.header, status=answer.status, record=finished.record)
        if finished.stream is not None:
            return CallResponse(answer.status, answer.headers, finished.stream)
        headers = answer.headers
        if not any(name.lower() == CONTENT_LENGTH for name, _ in headers):
            headers = (*headers, ("Content-Length", str(len(answer.body))))
        return CallResponse(answer.status, headers, iter((answer.body,)))

    def _count(self, call: Call, outcome: Outcome) -> None:
        if call.is_of_account and _is_capacity_tried(outcome):
            is_served = isinstance(outcome, Ran)
            self._fair_service.record(call.partner, is_served=is_served, now_ms=now_ms())
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

    def _fairness(self, account: str) -> dict[str, float | str | None]:
        """Return how often an account and all accounts together were served lately."""
        share, overall = self._fair_service.share(account), self._fair_service.overall_share
        return {
            "account": account,
            "account_share": None if share is None else round(share, 3),
            "overall_share": None if overall is None else round(overall, 3),
        }

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
        is_fairness_shown = call.is_of_account and outcome != RAN
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
            **(self._fairness(call.partner) if is_fairness_shown else {}),
            steps=[
                f"{step.at_ms:.0f} {step.what} {step.detail}" for step in call.explanation.steps
            ],
        )


def _priority(route: Route, account: ClientAccount | None) -> int:
    if account is None:
        return route.priority
    return combined_priority(account.priority, route.priority)


def _is_capacity_tried(outcome: Outcome) -> bool:
    return not (isinstance(outcome, NotRun) and outcome.reason in REFUSALS_NOT_COUNTED)
