"""Reasons for refusals, unknown outcomes and retries."""

from enum import Enum


class RefusalReason(Enum):
    """Why a call was not run."""

    UNKNOWN_SERVICE = "unknown-service"
    NO_ROUTE = "no-route"
    REJECTED_ROUTE = "rejected-route"
    NOT_CONFIGURED = "not-configured"
    UNAUTHENTICATED = "unauthenticated"
    ACCOUNTS_INCOMPLETE = "accounts-incomplete"
    STORE_VIEW_STALE = "store-view-stale"
    MALFORMED_REQUEST = "malformed-request"
    BODY_TOO_LARGE = "body-too-large"
    BODY_INCOMPLETE = "body-incomplete"
    REQUEST_MEMORY_FULL = "request-memory-full"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    QUEUE_FULL = "queue-full"
    WAIT_TOO_LONG = "wait-too-long"
    RATE_LIMITED = "rate-limited"
    USAGE_CAPPED = "usage-capped"
    PARTNER_BLOCKED = "partner-blocked"
    NO_UPSTREAM = "no-upstream"
    UPSTREAM_REFUSED = "upstream-refused"
    UPSTREAM_RATE_LIMITED = "upstream-rate-limited"
    UPSTREAM_CLOSED = "upstream-closed"
    CONNECT_FAILED = "connect-failed"
    KEY_REUSED = "key-reused"
    KEY_MEMORY_FULL = "key-memory-full"
    QUARANTINED = "quarantined"
    INTERNAL = "internal"


class UnknownReason(Enum):
    """Why it is unknown whether a call was run."""

    CONNECTION_LOST = "connection-lost"
    ANSWER_TIMEOUT = "answer-timeout"
    MAKER_UNREACHABLE = "maker-unreachable"
    HELD_ELSEWHERE = "held-elsewhere"
    KEY_EXPIRED = "key-expired"
    KEY_MEMORY_FULL = "key-memory-full"
    STORE_UNAVAILABLE = "store-unavailable"
    INTERNAL = "internal"


class RetryReason(Enum):
    """Why a call was sent to another upstream."""

    CONNECT_FAILED = "connect-failed"
    UPSTREAM_REFUSED = "upstream-refused"
    CONNECTION_LOST = "connection-lost"
    SERVER_ERROR = "server-error"
    UNANSWERED = "unanswered"
