"""State of one call while it runs, and its result."""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from cassiahaven_core.account import ClientAccount
from cassiahaven_core.admission import WaitingCall
from cassiahaven_core.answer import Answer
from cassiahaven_core.answer_record import AnswerRecord
from cassiahaven_core.edge import CallRequest, TransferBroken, UpstreamAnswer
from cassiahaven_core.endpoint import CallResult
from cassiahaven_core.explanation import Explanation, Step
from cassiahaven_core.outcome import Outcome
from cassiahaven_core.quarantine import request_fingerprint
from cassiahaven_core.settings import ServiceSettings
from cassiahaven_entry.clock import now_ms


class Call:
    """State of one call while it runs.

    Attributes:
        account: Client account of the call, ``None`` if calls belong to no accounts.
        is_sent: Whether an attempt to send it has begun.
    """

    __slots__ = (
        "request",
        "service",
        "waiting",
        "account",
        "is_sent",
        "fingerprint",
        "explanation",
    )

    def __init__(
        self,
        request: CallRequest,
        service: str,
        waiting: WaitingCall,
        *,
        account: ClientAccount | None = None,
    ) -> None:
        self.request = request
        self.service = service
        self.account = account
        self.is_sent = False
        self.fingerprint = request_fingerprint(
            service, waiting.partner, request.method, request.target, request.body
        )
        self.waiting = replace(waiting, return_key=self.fingerprint)
        self.explanation = Explanation(
            waiting.call_id, service, waiting.partner, request.method, request.target, time.time()
        )

    @classmethod
    def to_service(
        cls, request: CallRequest, service: ServiceSettings, partner: str, call_id: str
    ) -> "Call":
        """Create a call to a service of the settings, with the service's timeout as default."""
        timeout_ms = request.timeout_ms if request.timeout_ms is not None else service.timeout_ms
        arrived_ms = request.arrived_ms
        is_idempotent = request.method in service.idempotent_methods
        waiting = WaitingCall(call_id, partner, is_idempotent, arrived_ms + timeout_ms, arrived_ms)
        return cls(request, service.name, waiting)

    @property
    def call_id(self) -> str:
        """Return the unique id of the call."""
        return self.waiting.call_id

    @property
    def partner(self) -> str:
        """Return the partner that sent the call."""
        return self.waiting.partner

    @property
    def is_of_account(self) -> bool:
        """Return whether the call belongs to a client account."""
        return self.account is not None and bool(self.account.name)

    def drop_body(self) -> None:
        """Drop the request's body, which no further attempt needs."""
        self.request = replace(self.request, body=b"")

    def note(self, what: str, detail: str = "") -> None:
        """Add a step to the explanation."""
        at_ms = round(now_ms() - self.waiting.arrived_ms, 3)
        self.explanation.steps.append(Step(at_ms, what, detail))


class AnswerStream:
    """Body of a large answer, streamed to the caller in parts; reports the result once.

    Args:
        first_parts: Parts that have been read already.
        answer: Answer whose body yields the remaining parts.
        on_end: Called once with the result of the transfer.
    """

    __slots__ = ("_first_parts", "_answer", "_on_end", "_is_over")

    def __init__(
        self,
        first_parts: list[bytes],
        answer: UpstreamAnswer,
        on_end: Callable[[CallResult], None],
    ) -> None:
        self._first_parts = first_parts
        self._answer = answer
        self._on_end = on_end
        self._is_over = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._first_parts:
            return self._first_parts.pop(0)
        try:
            return next(self._answer.body)
        except StopIteration:
            self._end(CallResult.OK)
            raise
        except TransferBroken:
            self._end(CallResult.CONNECTION_LOST)
            raise

    def close(self) -> None:
        """Cancel the transfer unless it has ended."""
        self._end(CallResult.CANCELLED)

    def _end(self, result: CallResult) -> None:
        if self._is_over:
            return
        self._is_over = True
        if result is not CallResult.OK:
            self._answer.close()
        self._on_end(result)


@dataclass(frozen=True, slots=True)
class Finished:
    """Outcome of a call and the answer for its caller.

    Attributes:
        outcome: Whether the call ran.
        answer: The upstream's answer, without its body if the body is streamed.
        stream: Body of an answer that is too large to store.
        record: How the answer was read.
    """

    outcome: Outcome
    answer: Answer | None = None
    stream: AnswerStream | None = None
    record: AnswerRecord | None = None

    @property
    def whole_answer(self) -> Answer | None:
        """Return the answer with its body, ``None`` if the body is streamed."""
        return self.answer if self.stream is None else None
