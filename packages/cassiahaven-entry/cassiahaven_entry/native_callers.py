"""The native protocol for callers: calls to named services and address lookups."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from cassiahaven_core.edge import CallResponse
from cassiahaven_core.outcome import NotRun, Unknown
from cassiahaven_core.reason import RefusalReason
from cassiahaven_entry import call_header
from cassiahaven_entry.caller_dialect import CallerDialect, CallHead, Environ, RequestRejected

CALL_PREFIX = "/v1/call/"
ADDRESSES_PREFIX = "/v1/addresses/"
BEARER = "bearer "


class NativeCallers(CallerDialect):
    """Parse calls below ``/v1/call/`` and answer address lookups below ``/v1/addresses/``.

    Args:
        addresses: Returns the answer to an address lookup for a service and an availability
            zone, ``None`` for an unknown service.
        local_response: Returns the answer that the entry itself sends instead of an upstream's.
        largest_body_bytes: Returns the body size limit of a service.
    """

    dropped_headers = call_header.RESERVED | {"host", "authorization"}

    def __init__(
        self,
        *,
        addresses: Callable[[str, str | None], dict[str, Any] | None],
        local_response: Callable[[str, NotRun | Unknown, float | None], CallResponse],
        largest_body_bytes: Callable[[str], int],
    ) -> None:
        self._addresses = addresses
        self._local_response = local_response
        self._largest_body_bytes = largest_body_bytes

    def respond_locally(self, environ: Environ) -> CallResponse | None:
        """Return the answer to an address lookup, ``None`` for any other request."""
        path = environ["PATH_INFO"]
        if not path.startswith(ADDRESSES_PREFIX):
            return None
        service = path.removeprefix(ADDRESSES_PREFIX)
        answer = self._addresses(service, environ.get("HTTP_AVAILABILITY_ZONE"))
        if answer is None:
            return self._local_response(service, NotRun(RefusalReason.UNKNOWN_SERVICE), None)
        body = json.dumps(answer).encode()
        headers = (("Content-Type", "application/json"), ("Content-Length", str(len(body))))
        return CallResponse(HTTPStatus.OK, headers, iter((body,)))

    def read_head(self, environ: Environ) -> CallHead:
        """Parse the head of a call."""
        path = environ["PATH_INFO"]
        if not path.startswith(CALL_PREFIX):
            raise RequestRejected("", RefusalReason.UNKNOWN_SERVICE)
        service, _, _ = path.removeprefix(CALL_PREFIX).partition("/")
        return CallHead(
            service=service,
            target=_target(environ, service),
            token=_token(environ),
            key=environ.get("HTTP_IDEMPOTENCY_KEY"),
            timeout_ms=_timeout_ms(environ, service),
            largest_body_bytes=self._largest_body_bytes(service),
        )

    def local_response(
        self,
        service: str,
        outcome: NotRun | Unknown,
        *,
        request_id: str | None = None,
        retry_after_ms: float | None = None,
    ) -> CallResponse:
        """Return the answer that the entry itself sends instead of an upstream's."""
        return self._local_response(service, outcome, retry_after_ms)


def _target(environ: Environ, service: str) -> str:
    raw = environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]
    target = raw[len(CALL_PREFIX) + len(service) :] or "/"
    query = environ.get("QUERY_STRING")
    return f"{target}?{query}" if query else target


def _token(environ: Environ) -> str | None:
    authorization = environ.get("HTTP_AUTHORIZATION")
    if authorization is None:
        return None
    if not authorization.lower().startswith(BEARER):
        return ""
    return authorization[len(BEARER) :].strip()


def _timeout_ms(environ: Environ, service: str) -> float | None:
    text = environ.get("HTTP_REQUEST_TIMEOUT_MS")
    if text is None:
        return None
    if not text.isdigit():
        raise RequestRejected(service, RefusalReason.MALFORMED_REQUEST)
    return float(text)
