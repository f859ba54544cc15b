"""Outcomes of a call, as reported to its caller and in explanations."""

from dataclasses import dataclass
from typing import TypeAlias

from cassiahaven_core.reason import RefusalReason, UnknownReason


@dataclass(frozen=True, slots=True)
class Ran:
    """An upstream ran the call and answered it."""

    status: int
    endpoint: str

    @property
    def header(self) -> str:
        """Return the value of the ``Call-Outcome`` response header."""
        return "ran"


@dataclass(frozen=True, slots=True)
class NotRun:
    """No upstream ran any part of the call."""

    reason: RefusalReason

    @property
    def header(self) -> str:
        """Return the value of the ``Call-Outcome`` response header."""
        return f"not-run; reason={self.reason.value}"


@dataclass(frozen=True, slots=True)
class Unknown:
    """An upstream may or may not have run the call."""

    reason: UnknownReason

    @property
    def header(self) -> str:
        """Return the value of the ``Call-Outcome`` response header."""
        return f"unknown; reason={self.reason.value}"


Outcome: TypeAlias = Ran | NotRun | Unknown

STATUS_BY_REFUSAL: dict[RefusalReason, int] = {
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.MALFORMED_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.BODY_INCOMPLETE: 400,
    RefusalReason.DEADLINE_EXCEEDED: 504,
    RefusalReason.RATE_LIMITED: 429,
    RefusalReason.USAGE_CAPPED: 429,
    RefusalReason.PARTNER_BLOCKED: 403,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.INTERNAL: 500,
}
DEFAULT_REFUSAL_STATUS = 503
UNKNOWN_STATUS = 502


def response_status(outcome: Outcome) -> int:
    """Return the HTTP status code that reports ``outcome`` to the caller."""
    match outcome:
        case Ran(status=status):
            return status
        case NotRun(reason=reason):
            return STATUS_BY_REFUSAL.get(reason, DEFAULT_REFUSAL_STATUS)
        case Unknown():
            return UNKNOWN_STATUS
