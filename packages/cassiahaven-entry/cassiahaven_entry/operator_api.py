"""Operator API over HTTP: tables, status, call explanations and metrics."""

import hmac
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

import eventlet
from eventlet import wsgi

from cassiahaven_core.explanation import Explanation
from cassiahaven_core.table_codec import row_to_plain
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.gateway import Environ
from cassiahaven_entry.node import Node
from cassiahaven_entry.operator_api_base import (
    BaseOperatorApi,
    Reply,
    endpoints_to_plain,
    error_reply,
)

SOCKET_TIMEOUT_S = 15.0


class OperatorApi(BaseOperatorApi):
    """Serve the operator API of one entry.

    Args:
        node: The entry.
    """

    def __init__(self, node: Node) -> None:
        super().__init__(node.tables, node.metrics)
        self._node = node
        self._authorization = f"Bearer {node.settings.keys.operator}"
        entry = node.settings.entry
        self._socket = eventlet.listen((entry.host, entry.operator_port), reuse_port=False)

    def run(self) -> None:
        """Serve until the process ends."""
        wsgi.server(
            self._socket,
            self._application,
            log_output=False,
            debug=False,
            socket_timeout=SOCKET_TIMEOUT_S,
        )

    def _application(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        reply = self._reply(environ)
        headers = [
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ]
        start_response(f"{reply.status.value} {reply.status.phrase}", headers)
        return [reply.body]

    def _reply(self, environ: Environ) -> Reply:
        given = environ.get("HTTP_AUTHORIZATION", "")
        if not hmac.compare_digest(given.encode(), self._authorization.encode()):
            self._node.metrics.operator_rejections.labels("wrong-key").inc()
            log(LogEvent.OPERATOR_REJECTED, reason="wrong-key")
            return error_reply(HTTPStatus.UNAUTHORIZED, "wrong or missing operator key")
        return self.reply(environ)

    def _names(self) -> dict[str, Any]:
        settings = self._node.settings
        return {
            "services": sorted(settings.service_by_name),
            "availability_zones": sorted(settings.zone_by_name),
            "partners": sorted(settings.partner_names),
        }

    def _table(self, service: str) -> dict[str, Any]:
        table = self._node.tables.table_by_service[service]
        revisions = self._revision_by_entry(service)
        rows = {}
        for name, row in sorted(table.row_by_name.items()):
            missing = sorted(entry for entry, held in revisions.items() if held < row.version)
            rows[name] = {
                **row_to_plain(row),
                "in_force": len(revisions) - len(missing),
                "entries": len(revisions),
                "missing": missing,
            }
        return {"service": service, "revision": table.revision, "rows": rows}

    def _effective(self, service: str, zone: str, partner: str) -> dict[str, Any]:
        table = self._node.tables.table_by_service[service]
        found = table.effective(zone, partner)
        return {name: {"value": item.value, "row": item.row} for name, item in found.items()}

    def _revision_by_entry(self, service: str) -> dict[str, int]:
        table = self._node.tables.table_by_service[service]
        revisions = {self._node.settings.entry.name: table.revision}
        for name, link in self._node.members.link_by_name.items():
            held = link.revision_by_service.get(service, 0) if link.is_live else 0
            revisions[name] = held
        return revisions

    def _status(self) -> dict[str, Any]:
        node = self._node
        own = node.own_address()
        entries = [
            {
                "name": entry.name,
                "process": entry.process,
                "availability_zone": entry.availability_zone,
                "host": entry.host,
                "caller_port": entry.caller_port,
                "operator_port": entry.operator_port,
                "draining": entry.draining,
            }
            for entry in node.members.live_entries(own)
        ]
        unreachable = [
            name for name, link in sorted(node.members.link_by_name.items()) if not link.is_live
        ]
        return {
            "entry": own.name,
            "store_available": node.tables.is_store_available,
            "entries": sorted(entries, key=lambda item: item["name"]),
            "unreachable": unreachable,
            "services": {name: self._service_status(name) for name in node.task_by_service},
        }

    def _service_status(self, service: str) -> dict[str, Any]:
        task = self._node.task_by_service[service]
        zone = self._node.settings.entry.availability_zone
        chosen = self._node.entry_set(service, zone)
        return {
            "revision_by_entry": self._revision_by_entry(service),
            "active": [entry.name for entry in chosen.active],
            "standby": [entry.name for entry in chosen.standby],
            "demand_per_s": round(task.demand_per_s, 1),
            "waiting": task.policy.admission.waiting,
            "endpoints": endpoints_to_plain(task.policy.pool),
        }

    def _find_explanation(self, call_id: str) -> Explanation | None:
        return self._node.calls.explanations.find(call_id)
