"""Interface of the protocols that callers may speak."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Any, TypeAlias

from cassiahaven_core.edge import CallResponse
from cassiahaven_core.outcome import NotRun, Unknown
from cassiahaven_core.reason import RefusalReason

Environ: TypeAlias = dict[str, Any]
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0  # the value given to callers of the native protocol
TARGET = "cassiahaven.target"  # the request target as the caller wrote it


class RequestRejected(Exception):
    """Raised for a request that is rejected before it becomes a call."""

    __slots__ = ("service", "reason", "request_id", "retry_after_ms")

    def __init__(
        self,
        service: str,
        reason: RefusalReason,
        request_id: str | None = None,
        *,
        retry_after_ms: float | None = None,
    ) -> None:
        super().__init__(reason.value)
        self.service = service
        self.reason = reason
        self.request_id = request_id
        self.retry_after_ms = retry_after_ms


@dataclass(frozen=True, slots=True)
class CallHead:
    """Parsed head of a request; see ``CallRequest`` for the other fields.

    Attributes:
        largest_body_bytes: Limit of the body size.
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
    """Parse callers' requests and answer those that are not calls."""

    @abstractmethod
    def respond_locally(self, environ: Environ) -> CallResponse | None:
        """Return the answer to a request to the entry itself, ``None`` if it is a call."""

    def request_id(self, environ: Environ) -> str | None:
        """Return the id that the caller gave to a request, ``None`` without one."""
        return None

    @abstractmethod
    def read_head(self, environ: Environ) -> CallHead:
        """Parse the head of a request.

        Raises:
            RequestRejected: The request cannot become a call.
        """

    @abstractmethod
    def local_response(
        self,
        service: str,
        outcome: NotRun | Unknown,
        *,
        request_id: str | None = None,
        retry_after_ms: float | None = None,
    ) -> CallResponse:
        """Return the answer that the entry itself sends instead of an upstream's.

        Args:
            service: Name of the service, empty if unknown.
            outcome: Why the call did not run, or why it is unknown whether it ran.
            request_id: Id that the caller gave to the call.
            retry_after_ms: When a refused call may be admitted, milliseconds from now.
        """

    @property
    def idle_timeout_ms(self) -> float:
        """Return the idle timeout of callers' connections in milliseconds."""
        return DEFAULT_IDLE_TIMEOUT_MS

    @property
    @abstractmethod
    def dropped_headers(self) -> frozenset[str]:
        """Return the lower-case names of headers that are not forwarded to upstreams."""
