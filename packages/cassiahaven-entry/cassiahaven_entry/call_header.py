"""Names of the headers that callers, entries and upstreams exchange."""

CALL_ID = "Call-Id"
CALL_OUTCOME = "Call-Outcome"
IDEMPOTENCY_KEY = "Idempotency-Key"
REQUEST_TIMEOUT_MS = "Request-Timeout-Ms"
CALL_PARTNER = "Call-Partner"
RESERVED = frozenset(
    name.lower() for name in (CALL_ID, CALL_OUTCOME, REQUEST_TIMEOUT_MS, CALL_PARTNER)
)
