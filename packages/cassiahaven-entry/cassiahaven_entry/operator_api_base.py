"""Request handling shared by the operator APIs of all kinds of entry."""

import json
from abc import ABC, abstractmethod
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

from cassiahaven_core.edge import StoreUnavailable
from cassiahaven_core.explanation import Explanation
from cassiahaven_core.pool import Pool
from cassiahaven_core.table_codec import table_to_plain
from cassiahaven_entry.caller_dialect import Environ
from cassiahaven_entry.clock import now_ms
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.tables import Tables

LARGEST_REQUEST_BYTES = 1_048_576
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
JSON_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class Reply:
    """Response to an operator's request."""

    status: HTTPStatus
    body: bytes
    content_type: str = JSON_TYPE


class BadRequest(Exception):
    """Raised for an invalid operator request."""


def read_json(environ: Environ) -> Any:
    """Return the JSON value of a request's body.

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
    """Return the endpoints of a service with their status and its reason, by name."""
    cold_ms = pool.cold_left_ms_by_name(now_ms())
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
            "cold_ms": round(cold_ms.get(name, 0)),
        }
        for name, endpoint in sorted(pool.endpoint_by_id.items())
    }


def json_reply(value: Any) -> Reply:
    """Return a response with ``value`` as JSON."""
    return Reply(HTTPStatus.OK, json.dumps(value).encode())


def error_reply(status: HTTPStatus, message: str) -> Reply:
    """Return an error response."""
    return Reply(status, json.dumps({"error": message}).encode())


class BaseOperatorApi(ABC):
    """Handle operator requests to one entry.

    Args:
        tables: Active service tables.
        metrics: Counters.
    """

    def __init__(self, tables: Tables, metrics: Metrics) -> None:
        self._tables = tables
        self._metrics = metrics

    def reply(self, environ: Environ) -> Reply:
        """Return the response to a request."""
        try:
            return self._route(environ)
        except BadRequest as error:
            self._metrics.operator_rejections.labels("malformed-request").inc()
            return error_reply(HTTPStatus.BAD_REQUEST, str(error))
        except StoreUnavailable as error:
            return error_reply(HTTPStatus.SERVICE_UNAVAILABLE, f"object store: {error}")
        except Exception as error:
            log(LogEvent.OPERATOR_REQUEST_FAILED, path=environ["PATH_INFO"], error=repr(error))
            return error_reply(
                HTTPStatus.INTERNAL_SERVER_ERROR, "the entry failed, see event CH-602"
            )

    @abstractmethod
    def _names(self) -> dict[str, list[str]]:
        """Return the names that rows may use: services, availability zones, partners."""

    @abstractmethod
    def _status(self) -> dict[str, Any]:
        """Return the entries and the endpoints of all services."""

    @abstractmethod
    def _table(self, service: str) -> dict[str, Any]:
        """Return a service's rows, each with its rollout across the entries."""

    @abstractmethod
    def _effective(self, service: str, zone: str, partner: str) -> dict[str, Any]:
        """Return each effective value for a cell and the row that it comes from."""

    def _where(self, query: dict[str, str]) -> Reply:
        """Return where a call would go; only entries with routes can tell."""
        return error_reply(HTTPStatus.NOT_FOUND, "this kind of entry has no routes")

    def _configuration_rows(self) -> dict[str, Any]:
        """Return the rows of the configuration that apply to all services, with their rollout."""
        return {}

    @abstractmethod
    def _find_explanation(self, call_id: str) -> Explanation | None:
        """Return the explanation of a call, ``None`` if this entry has none."""

    def _route(self, environ: Environ) -> Reply:
        parts = environ["PATH_INFO"].strip("/").split("/")
        match environ["REQUEST_METHOD"], parts:
            case "GET", ["metrics"]:
                return Reply(HTTPStatus.OK, self._metrics.text(), METRICS_TYPE)
            case "GET", ["v1", "names"]:
                return json_reply(self._names())
            case "GET", ["v1", "status"]:
                return json_reply(self._status())
            case "GET", ["v1", "where"]:
                return self._where(dict(parse_qsl(environ.get("QUERY_STRING", ""))))
            case "GET", ["v1", "effective"]:
                return json_reply(self._configuration_rows())
            case "GET", ["v1", "calls", call_id]:
                return self._explanation(call_id)
            case "GET", ["v1", "table", service]:
                return json_reply(self._table(self._require_service(service)))
            case "GET", ["v1", "table", service, "history"]:
                table = self._tables.history(self._require_service(service))
                return json_reply(table_to_plain(table)["history"])
            case "GET", ["v1", "table", service, "effective", zone, partner]:
                return json_reply(self._effective(self._require_service(service), zone, partner))
            case "POST", ["v1", "table", service, "edits"]:
                return self._edit(self._require_service(service), read_json(environ))
        return error_reply(HTTPStatus.NOT_FOUND, "no such resource")

    def _require_service(self, service: str) -> str:
        if service not in self._tables.table_by_service:
            raise BadRequest(f"unknown service {service}")
        return service

    def _explanation(self, call_id: str) -> Reply:
        found = self._find_explanation(call_id)
        if found is None:
            return error_reply(HTTPStatus.NOT_FOUND, f"no memory of call {call_id} at this entry")
        return json_reply(found.to_plain())

    def _edit(self, service: str, plain: Any) -> Reply:
        # Imported here because the schema library loads slowly and edits are rare.
        from cassiahaven_core.declaration import KnownNames
        from cassiahaven_entry.table_edits import edit_table

        names = {name: frozenset(listed) for name, listed in self._names().items()}
        return edit_table(self._tables, service, plain, KnownNames(**names))
