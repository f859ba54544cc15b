"""What both operators' sides share: replies, and requests with a body."""

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from cassiahaven_core.pool import Pool
from cassiahaven_entry.caller_dialect import Environ

LARGEST_REQUEST_BYTES = 1_048_576
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
JSON_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold the answer to an operator's request."""

    status: HTTPStatus
    body: bytes
    content_type: str = JSON_TYPE


class BadRequest(Exception):
    """Report a fault in an operator's request."""


def read_json(environ: Environ) -> Any:
    """Return the value in a request's body.

    Raises:
        BadRequest: The body is too large or not JSON.
    """
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit() or int(length) > LARGEST_REQUEST_BYTES:
        raise BadRequest("the request is too large")
    try:
        return json.loads(environ["wsgi.input"].read(int(length)))
    except ValueError as error:
        raise BadRequest(f"not JSON: {error}") from None


def endpoints_to_plain(pool: Pool) -> dict[str, dict[str, Any]]:
    """Return the endpoints of a service and why each is in or out, by name."""
    return {
        name: {
            "status": endpoint.status.value,
            "reason": endpoint.status_reason,
            "in_flight": endpoint.in_flight,
            "slots": endpoint.address.slots,
            "reported_in_flight": endpoint.reported.running if endpoint.reported else None,
            "slowness": round(endpoint.slowness, 2),
            "failures": endpoint.consecutive_failures,
            "availability_zone": endpoint.address.availability_zone,
        }
        for name, endpoint in sorted(pool.endpoint_by_id.items())
    }


def json_reply(value: Any) -> Reply:
    """Return ``value`` as the answer."""
    return Reply(HTTPStatus.OK, json.dumps(value).encode())


def error_reply(status: HTTPStatus, message: str) -> Reply:
    """Return what went wrong as the answer."""
    return Reply(status, json.dumps({"error": message}).encode())
