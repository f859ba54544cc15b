"""Sending of calls to upstreams, with retries."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

import eventlet

from cassiahaven_core.answer import MAX_KEPT_ANSWER_BYTES, Answer, AnswerMemory
from cassiahaven_core.closure import MAX_CLOSURE_MS
from cassiahaven_core.edge import (
    ResponseSignals,
    SendFailed,
    SendResult,
    TransferBroken,
    UpstreamAnswer,
    UpstreamDialect,
    UpstreamRequest,
    UpstreamTransport,
)
from cassiahaven_core.endpoint import CallResult, LoadReport, ProbeFailed
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.outcome import NotRun, Outcome, Ran, Unknown
from cassiahaven_core.peer_message import CrashNotice, DrainNotice, RateLimitNotice
from cassiahaven_core.quarantine import Quarantine
from cassiahaven_core.reason import RefusalReason, UnknownReason
from cassiahaven_core.service import Dispatch, Effect, Refuse
from cassiahaven_entry.call import AnswerStream, Call, Finished
from cassiahaven_entry.clock import now_ms
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.service_task import ServiceTask

SERVER_ERROR_STATUSES = frozenset({500, 502, 503, 504})
NOTABLE_WAIT_MS = 5.0  # shorter waits are left out of the explanation
MOST_PROBES_PER_ATTEMPT = 4  # with a quarter of endpoints slow, four slow in a row are rare
PROBE_TIMEOUT_MS = 50.0  # many round trips between zones; a slower endpoint is passed over
HEALTH_CHECK = "health check"
REFUSAL = "refusal"
REFUSAL_BY_RESULT = {
    CallResult.CONNECT_FAILED: RefusalReason.CONNECT_FAILED,
    CallResult.REFUSED: RefusalReason.UPSTREAM_REFUSED,
    CallResult.REPLACED: RefusalReason.UPSTREAM_REFUSED,
    CallResult.CANCELLED: RefusalReason.DEADLINE_EXCEEDED,
}
UNKNOWN_BY_RESULT = {
    CallResult.CONNECTION_LOST: UnknownReason.CONNECTION_LOST,
    CallResult.TIMEOUT: UnknownReason.ANSWER_TIMEOUT,
    CallResult.UNANSWERED: UnknownReason.ANSWER_TIMEOUT,
}


@dataclass(slots=True)
class Progress:
    """Results of a call's attempts so far.

    Attributes:
        unknown: Why it is unknown whether the call ran; set once an attempt may have run it.
        server_error_result: Last answer with a server error, returned if no retry succeeds.
    """

    unknown: UnknownReason | None = None
    server_error_result: Finished | None = None

    def finished(self, last: RefusalReason) -> Finished:
        """Return the result of the call if it is not retried; ``last`` applies if it never ran."""
        if self.server_error_result is not None:
            return self.server_error_result
        outcome: Outcome = NotRun(last)
        if self.unknown is not None:
            outcome = Unknown(self.unknown)
        return Finished(outcome)


class AttemptRunner:
    """Send calls to upstreams until one answers or no further attempt is allowed.

    Args:
        transport: Sends requests to upstreams.
        dialect: Protocol between entries and upstreams.
        quarantine: Refuses requests that are suspected of crashing upstreams.
        on_drain: Called when an upstream's answer signals that it is draining.
        on_crash: Called with each newly suspected crash, and again if it is retracted.
        on_rate_limit: Called when an upstream names another rate limit.
    """

    def __init__(
        self,
        transport: UpstreamTransport,
        dialect: UpstreamDialect,
        quarantine: Quarantine,
        *,
        metrics: Metrics,
        on_drain: Callable[[DrainNotice], None],
        on_crash: Callable[[CrashNotice], None],
        on_rate_limit: Callable[[RateLimitNotice], None],
    ) -> None:
        self._transport = transport
        self._dialect = dialect
        self._quarantine = quarantine
        self._metrics = metrics
        self._on_drain = on_drain
        self._on_crash = on_crash
        self._on_rate_limit = on_rate_limit
        self._memory = AnswerMemory()

    def run(
        self,
        call: Call,
        task: ServiceTask,
        *,
        check: Callable[[Call], RefusalReason | None] = lambda call: None,
    ) -> Finished:
        """Run ``call``, with retries, and return its result.

        Args:
            call: The call.
            task: Policy of the call's service.
            check: Called right before each attempt; returns why the call must not be sent.
        """
        if self._quarantine.is_quarantined(call.fingerprint, now_ms()):
            return Finished(NotRun(RefusalReason.QUARANTINED))
        effect: Effect | None = task.submit(call.waiting)
        progress = Progress()
        tried: set[str] = set()
        while True:
            if isinstance(effect, Refuse):
                return progress.finished(effect.reason)
            if effect.waited_ms >= NOTABLE_WAIT_MS:
                call.note("waited", f"{effect.waited_ms:.1f} ms for a free slot")
            effect = self._choose_endpoint(call, task, effect, frozenset(tried))
            address = effect.address
            unfit = self._unfit(call, task, address)
            if unfit is not None:
                call.note("placed again", f"{address.endpoint} {unfit}")
                self._metrics.placed_again.labels(call.service).inc()
                effect = task.place_again(call.waiting, address.endpoint, frozenset(tried))
                continue
            refusal = check(call)
            if refusal is not None:
                task.finish(call.waiting, address.endpoint, CallResult.CANCELLED)
                return progress.finished(refusal)
            self._note_zone(call, effect)
            tried.add(address.endpoint)
            ended = self._attempt(call, task, address, frozenset(tried))
            result = self._record_result(progress, ended)
            if result is CallResult.OK:
                return ended
            effect = self._retry(call, task, result, frozenset(tried))
            if effect is None:
                refusal = REFUSAL_BY_RESULT.get(result, RefusalReason.INTERNAL)
                return progress.finished(refusal)

    def _record_result(self, progress: Progress, ended: Finished | SendFailed) -> CallResult:
        if isinstance(ended, Finished):
            if ended.stream is not None or not _is_server_error(ended):
                return CallResult.OK
            progress.server_error_result = ended
            return CallResult.SERVER_ERROR
        if ended.result not in REFUSAL_BY_RESULT:
            progress.unknown = UNKNOWN_BY_RESULT.get(ended.result, UnknownReason.INTERNAL)
        return ended.result

    def _choose_endpoint(
        self,
        call: Call,
        task: ServiceTask,
        chosen: Dispatch,
        tried: frozenset[str],
    ) -> Dispatch:
        """Probe the selected endpoint; while probes find it slow or failing, try another one."""
        address = chosen.address
        # A service whose row of the configuration was rejected has no health path.
        for _ in range(MOST_PROBES_PER_ATTEMPT if task.health_path else 0):
            if not task.policy.try_spend_probe(address.endpoint, now_ms()):
                break
            self._metrics.probes.labels(call.service).inc()
            try:
                report = self._transport.probe(address, task.health_path, PROBE_TIMEOUT_MS)
            except BaseException:
                task.finish(call.waiting, address.endpoint, CallResult.CANCELLED)
                raise
            self.apply_probe(task, address, report)
            better = task.apply_probe(call.waiting, address.endpoint, report, tried)
            if better is None:
                break
            call.note("passed over", f"{address.endpoint} {_slowness_text(report)}")
            chosen, address = better, better.address
        return chosen

    def _unfit(self, call: Call, task: ServiceTask, address: EndpointAddress) -> str | None:
        """Return why a call must not be sent to the endpoint that it is assigned to, if so."""
        pool = task.policy.pool
        if not pool.may_send(address, now_ms()):
            # It was delisted, closed itself or said that it leaves since the call was assigned.
            return "takes no more calls"
        is_full = pool.was_found_full(
            address.endpoint, call.call_id, now_ms(), idempotent=call.waiting.idempotent
        )
        return "is filled by other entries" if is_full else None

    def _note_zone(self, call: Call, effect: Dispatch) -> None:
        """Log and count a call that leaves the zone of this entry."""
        if effect.left_zone is not None:
            reason = effect.left_zone.value
            call.note("left zone", f"{reason}, to {effect.address.availability_zone}")
            self._metrics.calls_leaving_zone.labels(call.service, reason).inc()
            self._metrics.bytes_leaving_zone.labels(call.service).inc(call.waiting.body_bytes)

    def _attempt(
        self, call: Call, task: ServiceTask, address: EndpointAddress, tried: frozenset[str]
    ) -> Finished | SendFailed:
        call.is_sent = True
        call.note("sent", f"{address.endpoint} in {address.availability_zone}")
        task.policy.pool.mark_sent(address.endpoint, call.call_id)
        if task.policy.pool.is_rate_limited(address.endpoint):
            self._metrics.calls_to_rate_limited.labels(call.service).inc()
        if task.policy.pool.is_cold(address.endpoint):
            self._metrics.calls_to_cold.labels(call.service, "call").inc()
        ended: Finished | SendFailed | None = None
        try:
            patience_ms = task.policy.answer_patience_ms(
                call.waiting, address.endpoint, tried, now_ms()
            )
            ended = self._receive(call, task, address, self._send(call, address, patience_ms))
        finally:
            if not isinstance(ended, Finished) or ended.stream is None:
                task.finish(call.waiting, address.endpoint, _result(ended))
        if isinstance(ended, SendFailed):
            call.note("failed", f"{ended.result.value}: {ended.detail} ({ended.record.text})")
            self._record_crash(call, address, ended)
        else:
            self._quarantine.clear(call.fingerprint)
        return ended

    def _send(self, call: Call, address: EndpointAddress, patience_ms: float | None) -> SendResult:
        left_ms = call.waiting.deadline_ms - now_ms()
        if left_ms <= 0:
            return SendFailed(CallResult.CANCELLED, "deadline exceeded before sending")
        added = self._dialect.request_headers(
            call.request, call.call_id, call.partner, address.endpoint, left_ms
        )
        headers = call.request.headers
        if call.account is not None:
            headers = self._dialect.account_headers(headers, call.account.name)
        request = UpstreamRequest(
            call.request.method,
            call.request.target,
            (*headers, *added),
            call.request.body,
            call.waiting.idempotent,
            call.request.request_id,
        )
        return self._transport.send(address, request, left_ms, patience_ms=patience_ms)

    def _receive(
        self, call: Call, task: ServiceTask, address: EndpointAddress, sent: SendResult
    ) -> Finished | SendFailed:
        self._apply_signal(call, task, address, sent.signal, _kind(sent))
        if isinstance(sent, SendFailed):
            return sent
        parts: list[bytes] = []
        size = reserved = 0
        is_kept = False
        try:
            for part in sent.body:
                parts.append(part)
                size += len(part)
                if size <= MAX_KEPT_ANSWER_BYTES:
                    continue
                if not self._memory.reserve(held=reserved, more=size - reserved):
                    is_kept = True
                    return self._stream(call, task, address, sent, parts, reserved)
                reserved = size
            is_kept = True
        except TransferBroken as error:
            detail = f"answer broken: {error}"
            return SendFailed(CallResult.CONNECTION_LOST, detail, record=sent.record)
        finally:
            if not is_kept:
                self._memory.release(reserved)
        outcome = Ran(sent.status, address.endpoint)
        if not reserved:
            answer = Answer(sent.status, sent.headers, b"".join(parts))
            return Finished(outcome, answer, record=sent.record)
        task.finish(call.waiting, address.endpoint, CallResult.OK)
        head = Answer(sent.status, sent.headers, b"")
        release = partial(self._release, reserved)
        return Finished(outcome, head, AnswerStream(parts, sent, release), sent.record)

    def _stream(
        self,
        call: Call,
        task: ServiceTask,
        address: EndpointAddress,
        sent: UpstreamAnswer,
        parts: list[bytes],
        reserved: int,
    ) -> Finished:
        def end(result: CallResult) -> None:
            self._memory.release(reserved)
            call.note("streamed", result.value)
            log(
                LogEvent.ANSWER_STREAMED,
                request=call.request.request_id,
                call=call.call_id,
                result=result.value,
                answer=sent.record.to_plain(),
            )
            task.finish(call.waiting, address.endpoint, result)

        call.drop_body()
        outcome = Ran(sent.status, address.endpoint)
        head = Answer(sent.status, sent.headers, b"")
        return Finished(outcome, head, AnswerStream(parts, sent, end), sent.record)

    def _release(self, reserved: int, _: CallResult) -> None:
        self._memory.release(reserved)

    def _apply_signal(
        self,
        call: Call,
        task: ServiceTask,
        address: EndpointAddress,
        signal: ResponseSignals,
        kind: str,
    ) -> None:
        if not signal.is_misdirected:
            self._apply_rate_limit(call, task, address, signal)
        if signal.load is not None:
            task.policy.pool.report_load(address.endpoint, signal.load, now_ms())
        # What another endpoint at this address says holds for that one only.
        is_own = not signal.is_misdirected or signal.instance == address.endpoint
        if signal.draining and is_own:
            self._record_leaving(task, address, kind, call.call_id)

        if is_own:
            self._apply_closure(
                task, address, signal.closed_for_ms, signal.unreadable_closure, call.call_id
            )
            task.record_cold(address, signal.cold_ms)

    def apply_probe(
        self, task: ServiceTask, address: EndpointAddress, report: LoadReport | ProbeFailed
    ) -> None:
        """Apply what an endpoint said of itself in its answer to a probe."""
        if report.is_leaving:
            self._record_leaving(task, address, HEALTH_CHECK)
        task.record_cold(address, report.cold_ms)
        if isinstance(report, ProbeFailed):
            self._apply_closure(task, address, report.closed_for_ms, report.unreadable_closure)

    def _apply_closure(
        self,
        task: ServiceTask,
        address: EndpointAddress,
        asked_ms: float | None,
        unreadable: str | None,
        call_id: str | None = None,
    ) -> None:
        if unreadable is not None:
            self._metrics.unusable_closures.labels(task.service, "ignored").inc()
            task.record_unreadable_closure(address, unreadable, call_id)
        if asked_ms is None:
            return
        self._metrics.closures.labels(task.service).inc()
        if asked_ms > MAX_CLOSURE_MS:
            self._metrics.unusable_closures.labels(task.service, "shortened").inc()
        task.close_endpoint(address, asked_ms, call_id)

    def _record_leaving(
        self, task: ServiceTask, address: EndpointAddress, source: str, call_id: str | None = None
    ) -> None:
        task.record_leaving(address, source, call_id)
        self._on_drain(DrainNotice(task.service, address.endpoint, address.incarnation, source))

    def _apply_rate_limit(
        self, call: Call, task: ServiceTask, address: EndpointAddress, signal: ResponseSignals
    ) -> None:
        if signal.unreadable_rate_limit is not None:
            self._metrics.unreadable_rate_limits.labels(call.service).inc()
            text = signal.unreadable_rate_limit
            task.record_unreadable_rate_limit(address.endpoint, call.call_id, text)
        elif signal.rate_limit_per_s is not None:
            rate_per_s = signal.rate_limit_per_s
            notice = task.apply_rate_limit(address.endpoint, call.call_id, rate_per_s)
            if notice is not None:
                self._on_rate_limit(notice)

    def _retry(
        self, call: Call, task: ServiceTask, result: CallResult, tried: frozenset[str]
    ) -> Effect | None:
        if self._quarantine.is_quarantined(call.fingerprint, now_ms()):
            call.note("not retried", RefusalReason.QUARANTINED.value)
            return None
        retry = task.retry(call.waiting, result, tried)
        if retry is None:
            self._metrics.retries_denied.labels(call.service).inc()
            return None
        reason, effect = retry
        self._metrics.retries.labels(call.service, reason.value).inc()
        call.note("retried", reason.value)
        return effect

    def _record_crash(self, call: Call, address: EndpointAddress, failed: SendFailed) -> None:
        if failed.result is not CallResult.CONNECTION_LOST:
            return
        incarnation = f"{address.endpoint}/{address.incarnation}"
        if self._quarantine.record(call.fingerprint, incarnation, now_ms()):
            notice = CrashNotice(call.fingerprint, incarnation)
            self._on_crash(notice)
            eventlet.spawn_n(self._verify_crash, notice, address)

    def _verify_crash(self, notice: CrashNotice, address: EndpointAddress) -> None:
        """Retract a suspected crash if the endpoint is up; the network may have cut the answer."""
        if not self._transport.is_down(address):
            self._quarantine.retract(notice.fingerprint, notice.incarnation)
            self._on_crash(replace(notice, is_retracted=True))


def _slowness_text(report: LoadReport | ProbeFailed) -> str:
    if isinstance(report, ProbeFailed):
        return f"not well: {report.detail}"
    return f"slowed {report.slowdown:.1f} times"


def _kind(sent: SendResult) -> str:
    if isinstance(sent, SendFailed):
        return REFUSAL if sent.result is CallResult.REFUSED else "discarded answer"
    return "failure" if sent.status in SERVER_ERROR_STATUSES else "answer"


def _is_server_error(finished: Finished) -> bool:
    return finished.answer is not None and finished.answer.status in SERVER_ERROR_STATUSES


def _result(ended: Finished | SendFailed | None) -> CallResult:
    match ended:
        case SendFailed(result=result):
            return result
        case Finished():
            return CallResult.SERVER_ERROR if _is_server_error(ended) else CallResult.OK
    return CallResult.CANCELLED
