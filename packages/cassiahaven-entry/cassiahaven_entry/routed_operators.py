"""Operator API of an entry on a platform: metrics, status, tables and call explanations.

It needs no key: any client that can reach it can also reach and write the fleet's store.
"""

from dataclasses import asdict
from typing import Any

from cassiahaven_core.account import ClientAccount
from cassiahaven_core.edge import CallResponse, Topic
from cassiahaven_core.explanation import Explanation
from cassiahaven_core.route import RouteRule
from cassiahaven_core.store_version import NO_VERSION, StoreVersion
from cassiahaven_core.table_codec import row_to_plain
from cassiahaven_entry.call_placement import CallPlacement
from cassiahaven_entry.caller_dialect import Environ
from cassiahaven_entry.clock import boot_ms
from cassiahaven_entry.operator_api_base import (
    BadRequest,
    BaseOperatorApi,
    Reply,
    endpoints_to_plain,
    json_reply,
)
from cassiahaven_entry.routed_node import RoutedNode

ROUTE_ROW_PREFIX = "route:"
ACCOUNT_ROW_PREFIX = "account:"
CONFIGURATION_ROW = "configuration"


class RoutedOperatorApi(BaseOperatorApi):
    """Handle operator requests to one entry.

    Tables contain three kinds of rows: cells and drained endpoints, which operators edit here, and
    read-only routes, which come from the configuration that the platform's operators write. Client
    accounts come from there too, and apply to all services.

    Args:
        node: The entry.
    """

    def __init__(self, node: RoutedNode) -> None:
        super().__init__(node.tables, node.metrics)
        self._node = node

    def answer(self, environ: Environ) -> CallResponse:
        """Return the response to an operator's request."""
        reply = self.reply(environ)
        headers = (("Content-Type", reply.content_type),)
        return CallResponse(reply.status.value, headers, iter((reply.body,)))

    def _names(self) -> dict[str, list[str]]:
        config = self._node.routing.config
        return {
            "services": sorted(self._node.tables.table_by_service),
            "availability_zones": sorted(self._node.settings.region_by_zone),
            "partners": sorted(
                {route.name for route in config.routes} | self._node.routing.account_by_name.keys()
                if config
                else ()
            ),
        }

    def _rules(self, service: str) -> dict[str, RouteRule]:
        config = self._node.routing.config
        return config.rules(service) if config is not None else {}

    def _table(self, service: str) -> dict[str, Any]:
        table = self._node.tables.table_by_service[service]
        rows = {
            name: {**row_to_plain(row), **self._rollout(Topic.TABLES)}
            for name, row in sorted(table.row_by_name.items())
        }
        rollout = self._rollout(Topic.CONFIGURATION)
        for route, rule in sorted(self._rules(service).items()):
            rows[ROUTE_ROW_PREFIX + route] = {
                "version": self._node.routing.version,
                "edit": CONFIGURATION_ROW,
                "value": asdict(rule),
                **rollout,
            }
        return {"service": service, "revision": table.revision, "rows": rows}

    def _rollout(self, topic: Topic) -> dict[str, Any]:
        """Return how many of the reporting entries have this entry's version, and which do not."""
        versions = self._versions(topic)
        own = self._node.view.versions()[topic.value]
        missing = sorted(name for name, version in versions.items() if version < own)
        return {
            "in_force": len(versions) - len(missing),
            "entries": len(versions),
            "missing": missing,
        }

    def _versions(self, topic: Topic) -> dict[str, StoreVersion]:
        versions = {self._node.settings.name: self._node.view.versions()[topic.value]}
        for name, reported in self._node.fleet.versions_by_name.items():
            versions[name] = reported.get(topic.value, NO_VERSION)
        return versions

    def _effective(self, service: str, zone: str, partner: str) -> dict[str, Any]:
        cell = self._node.tables.table_by_service[service].effective(zone, partner)
        fields = {name: {"value": item.value, "row": item.row} for name, item in cell.items()}
        rule = self._rules(service).get(partner)
        if rule is not None:
            row = f"{ROUTE_ROW_PREFIX}{partner}, configuration {self._node.routing.version}"
            fields |= {name: {"value": value, "row": row} for name, value in asdict(rule).items()}
        account = self._node.routing.account_by_name.get(partner)
        if account is not None:
            row = f"{ACCOUNT_ROW_PREFIX}{partner}, configuration {self._node.routing.version}"
            # The cell has a rate of its own, which applies in addition.
            values = {
                "priority": account.priority,
                "quota_rate_per_s": account.rate_per_s,
                "quota_burst": account.burst,
            }
            fields |= {name: {"value": value, "row": row} for name, value in values.items()}
        return fields

    def _configuration_rows(self) -> dict[str, Any]:
        rollout = self._rollout(Topic.CONFIGURATION)
        return {
            ACCOUNT_ROW_PREFIX
            + name: {
                "version": self._node.routing.version,
                "edit": CONFIGURATION_ROW,
                "value": _account_to_plain(account),
                **rollout,
            }
            for name, account in sorted(self._node.routing.account_by_name.items())
        }

    def _status(self) -> dict[str, Any]:
        node = self._node
        live = node.live_names()
        entries = [
            {
                "name": member.name,
                "process": member.process,
                "availability_zone": member.availability_zone,
                "host": member.callers.rpartition(":")[0],
                "caller_port": int(member.callers.rpartition(":")[2]),
                "operator_port": int(member.operators.rpartition(":")[2]),
                "draining": member.name in node.fleet.draining,
            }
            for member in node.fleet.member_by_name.values()
            if member.name in live
        ]
        return {
            "entry": node.settings.name,
            "store_available": node.feed.is_available,
            "store_era": node.view.era,
            "entries": sorted(entries, key=lambda item: item["name"]),
            "unreachable": sorted(node.fleet.member_by_name.keys() - live),
            "configuration": self._configuration_status(),
            "evacuated": sorted(node.view.evacuated_zones),
            "usage_caps": node.usage.caps.to_plain(boot_ms()) if node.usage is not None else {},
            "services": {
                name: self._service_status(name) for name in sorted(node.tables.table_by_service)
            },
        }

    def _configuration_status(self) -> dict[str, Any]:
        config = self._node.routing.config
        rejected = config.rejected if config is not None else ()
        return {
            "version": self._node.routing.version,
            "rejected": [
                {"table": row.table.value, "row": row.name, "finding": row.finding}
                for row in rejected
            ],
        }

    def _service_status(self, service: str) -> dict[str, Any]:
        task = self._node.task(service)
        return {
            "revision_by_entry": {
                name: version.revision
                for name, version in self._versions(Topic.CONFIGURATION).items()
            },
            "lost_rows": sorted(self._node.tables.table_by_service[service].lost_row_by_name),
            "active": sorted(self._node.serving_entry_names()),
            "standby": [],
            "demand_per_s": round(task.demand_per_s, 1),
            "waiting": task.policy.admission.waiting,
            "endpoints": endpoints_to_plain(task.policy.pool),
        }

    def _where(self, query: dict[str, str]) -> Reply:
        return json_reply(CallPlacement(self._node, query).to_plain())

    def _find_explanation(self, call_id: str) -> Explanation | None:
        return self._node.calls.explanations.find(call_id)

    def _edit(self, service: str, plain: Any) -> Reply:
        row = str(plain.get("row", "")) if isinstance(plain, dict) else ""
        if row.startswith((ROUTE_ROW_PREFIX, ACCOUNT_ROW_PREFIX)):
            raise BadRequest("rows of routes and accounts follow the configuration; change that")
        return super()._edit(service, plain)


def _account_to_plain(account: ClientAccount) -> dict[str, Any]:
    """Return an account without its keys."""
    return {
        "priority": account.priority,
        "rate_per_s": account.rate_per_s,
        "burst": account.burst,
        "keys": len(account.key_digests),
    }
