"""What differs between the protocols that callers may speak."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any, TypeAlias

from cassiahaven_core.edge import CallResponse
from cassiahaven_core.outcome import NotRun, Unknown
from cassiahaven_core.reason import RefusalReason

Environ: TypeAlias = dict[str, Any]
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0  # what callers of the native protocol are told
TARGET = "cassiahaven.target"  # the request target as the caller wrote it


class RequestRejected(Exception):
    """Report a request that cannot become a call."""

    __slots__ = ("service", "reason", "request_id")

    def __init__(self, service: str, reason: RefusalReason, request_id: str | None = None) -> None:
        super().__init__(reason.value)
        self.service = service
        self.reason = reason
        self.request_id = request_id


@dataclass(frozen=True, slots=True)
class CallHead:
    """Hold what the head of a request says; see ``CallRequest`` for the fields.

    Attributes:
        largest_body_bytes: How much of a body is read.
    """

    service: str
    target: str
    token: str | None
    key: str | None
    timeout_ms: float | None
    largest_body_bytes: int
    host: str = ""
    request_id: str | None = None


class CallerDialect(ABC):
    """Read callers' requests and answer those that are no calls."""

    @abstractmethod
    def answer_directly(self, environ: Environ) -> CallResponse | None:
        """Return the answer to a question to the entry itself, ``None`` if it is a call."""

    @abstractmethod
    def read_head(self, environ: Environ) -> CallHead:
        """Return what the head of a request says.

        Raises:
            RequestRejected: The request cannot become a call.
        """

    @abstractmethod
    def own_answer(
        self,
        service: str,
        outcome: NotRun | Unknown,
        *,
        request_id: str | None = None,
        retry_after_ms: float | None = None,
    ) -> CallResponse:
        """Return the answer that the entry gives in place of an upstream's.

        Args:
            service: Name of the service, empty if it is not known.
            outcome: What is known of the call.
            request_id: The caller's own name for the call.
            retry_after_ms: When a call that was not run may find room, milliseconds from now.
        """

    @property
    def idle_timeout_ms(self) -> float:
        """Return how long a caller's connection may stay idle, milliseconds."""
        return DEFAULT_IDLE_TIMEOUT_MS

    @property
    @abstractmethod
    def dropped_headers(self) -> frozenset[str]:
        """Return the names, in lower case, of headers that do not go to upstreams."""
