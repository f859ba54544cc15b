"""Where a call would go and why, for operators; nothing is sent and no state is changed."""

import math
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from cassiahaven_core.account import ClientAccount
from cassiahaven_core.edge import CallRequest
from cassiahaven_core.reason import RefusalReason
from cassiahaven_core.route import NoRouteReason, Route
from cassiahaven_core.usage_cap import CapForecast, Capped
from cassiahaven_entry.clock import boot_ms, now_ms
from cassiahaven_entry.operator_api_base import BadRequest
from cassiahaven_entry.routed_calls import REFUSAL_BY_MISS
from cassiahaven_entry.routed_node import RoutedNode


class CallPlacement:
    """Explain where one entry would send a call.

    Args:
        node: The entry.
        query: ``host`` and ``path``, and optionally ``method``, ``account`` and ``zone``.

    Raises:
        BadRequest: The host, the path, the zone or the account is missing or unknown.
    """

    def __init__(self, node: RoutedNode, query: Mapping[str, str]) -> None:
        self._node = node
        self._host = query.get("host", "")
        self._path = query.get("path", "")
        self._method = query.get("method", "GET")
        self._zone = query.get("zone") or node.settings.availability_zone
        if not self._host or not self._path.startswith("/"):
            raise BadRequest("name a host and a path that begins with /")
        if self._zone not in node.settings.region_by_zone:
            raise BadRequest(f"unknown availability zone {self._zone}")
        self._account = self._find_account(query.get("account", ""))

    def to_plain(self) -> dict[str, Any]:
        """Return the explanation as plain values."""
        node = self._node
        serving = node.serving_entries(self._host, self._zone)
        plain: dict[str, Any] = {
            "entry": node.settings.name,
            "host": self._host,
            "path": self._path,
            "method": self._method,
            "zone": self._zone,
            "version": node.routing.version,
            "route": None,
            "account": self._account_to_plain(),
            "serving": [{"name": item.name, "operators": item.operators} for item in serving],
            "ages_ms": _finite(node.ages_ms()),
            "quota": None,
            "endpoints": [],
        }
        route = node.routing.match(self._host, self._path.partition("?")[0])
        if isinstance(route, NoRouteReason):
            return plain | _refused(REFUSAL_BY_MISS[route].value)
        service = node.routing.next_service(route)
        plain["route"] = {
            "name": route.name,
            "service": service,
            "is_idempotent": route.is_idempotent,
            "priority": route.priority,
            "target_ms": route.target_ms,
            "timeout_ms": route.timeout_ms,
        }
        account = node.calls.identify_holder(self._account, route)
        if isinstance(account, RefusalReason):
            return plain | _refused(account.value)
        if account is not None and account.name and node.usage is not None:
            cap = node.usage.caps.forecast(account.name, boot_ms())
            if cap is not None:
                plain["quota"] = _cap_to_plain(cap)
                if isinstance(cap.decision, Capped):
                    reason = RefusalReason.USAGE_CAPPED.value
                    return plain | _refused(reason, cap.decision.retry_after_ms)
        return plain | self._forecast(route, service, account)

    def _forecast(
        self, route: Route, service: str, account: ClientAccount | None
    ) -> dict[str, Any]:
        call = self._node.calls.sample(self._request(), route, account)
        found = asdict(self._node.task(service).forecast(call))
        return _finite(found | {"verdict": found["verdict"].value})

    def _request(self) -> CallRequest:
        return CallRequest(
            "", self._method, self._path, (), b"", None, None, None, self._host, arrived_ms=now_ms()
        )

    def _find_account(self, name: str) -> ClientAccount | None:
        if not name:
            return None
        account = self._node.routing.account_by_name.get(name)
        if account is None:
            raise BadRequest(f"unknown account {name}")
        return account

    def _account_to_plain(self) -> dict[str, Any] | None:
        if self._account is None:
            return None
        # Digests of keys stay out of what operators see.
        names = ("name", "priority", "rate_per_s", "burst")
        return {name: getattr(self._account, name) for name in names}


def _finite(value: Any) -> Any:
    """Return plain values with ``None`` for infinite numbers, which JSON does not have."""
    match value:
        case dict():
            return {name: _finite(item) for name, item in value.items()}
        case list() | tuple():
            return [_finite(item) for item in value]
        case float():
            return value if math.isfinite(value) else None
    return value


def _cap_to_plain(cap: CapForecast) -> dict[str, Any]:
    plain = asdict(cap)
    return _finite(plain | {"decision": cap.decision.state.value})


def _refused(reason: str, retry_after_ms: float | None = None) -> dict[str, Any]:
    return {
        "verdict": "refused",
        "endpoint": "",
        "reason": reason,
        "wait_ms": None,
        "retry_after_ms": retry_after_ms,
        "waiting": 0,
        "left_zone": "",
    }
