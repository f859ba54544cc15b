"""The operators' commands."""

import json
import uuid
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

from cassiahaven_cli.client import Client
from cassiahaven_cli.failure import CommandFailed, ExitCode
from cassiahaven_cli.report import (
    columns,
    configuration_report,
    effective_report,
    explanation_report,
    status_report,
    table_report,
    value_text,
    where_report,
)
from cassiahaven_core.declaration import KnownNames, read_declarations
from cassiahaven_core.finding import InvalidDocument
from cassiahaven_core.table import CELL_FIELDS, DRAIN_ROW_PREFIX, INTEGER_FIELDS, drain_row
from cassiahaven_core.table_codec import value_to_plain

# Rows of a table that declarations do not hold.
UNDECLARED_ROWS = (DRAIN_ROW_PREFIX, "route:")


class Table:
    """Read and change the table of weights and limits."""

    def __init__(self, client: Client) -> None:
        self._client = client

    def get(
        self,
        service: str,
        zone: str | None = None,
        partner: str | None = None,
        *,
        json: bool = False,  # noqa: A002
    ) -> str:
        """Show a service's rows, or the values in force for one zone and partner.

        Args:
            service: Name of the service.
            zone: Availability zone.
            partner: Name of the partner.
            json: Print JSON.
        """
        if zone is None or partner is None:
            plain = self._client.get(f"/v1/table/{service}")
            return _dump(plain) if json else table_report(plain)
        plain = self._client.get(f"/v1/table/{service}/effective/{zone}/{partner}")
        return _dump(plain) if json else effective_report(zone, partner, plain)

    def set(self, service: str, row: str, *, seen: int | None = None, **fields: Any) -> str:
        """Change fields of one row, such as ``*/printer``, and keep its other fields.

        Args:
            service: Name of the service.
            row: ``availability_zone/partner``; either part may be ``*``.
            seen: Version of the row that the change is based on; default: the newest.
            fields: ``--weight``, ``--rate_per_s`` and so on; ``none`` unsets a field.
        """
        if not fields:
            raise CommandFailed(
                f"name at least one field of {', '.join(CELL_FIELDS)}", ExitCode.INVALID_INPUT
            )
        unknown = sorted(set(fields) - set(CELL_FIELDS))
        if unknown:
            raise CommandFailed(f"unknown field {', '.join(unknown)}", ExitCode.INVALID_INPUT)
        known = self._client.get(f"/v1/table/{service}")["rows"].get(row)
        value = dict(known["value"] or {}) if known else {}
        for name, item in fields.items():
            value.pop(name, None)
            if item not in (None, "none"):
                value[name] = _number(name, item)
        version = known["version"] if known else 0
        return self._edit(service, row, seen if seen is not None else version, value or None)

    def unset(self, service: str, row: str) -> str:
        """Remove a row, so that the next more general row applies."""
        known = self._client.get(f"/v1/table/{service}")["rows"].get(row)
        if known is None or known["value"] is None:
            return f"{service} {row}: not set"
        return self._edit(service, row, known["version"], None)

    def plan(self, folder: str) -> str:
        """Show what ``apply`` would change.

        Args:
            folder: Folder with one YAML file a service.
        """
        changes = self._changes(folder)
        if not changes:
            return "nothing to change"
        rows = [
            [service, row, value_text(before), value_text(after)]
            for service, row, _, before, after in changes
        ]
        return columns(["service", "row", "now", "will be"], rows)

    def apply(self, folder: str) -> str:
        """Change the table to match the declarations in a folder.

        Undeclared rows of a declared service are removed; endpoint rows are kept.

        Args:
            folder: Folder with one YAML file a service.
        """
        changes = self._changes(folder)
        lines = [
            self._edit(service, row, version, after) for service, row, version, _, after in changes
        ]
        return "\n".join(lines) or "nothing to change"

    def history(self, service: str, *, json: bool = False) -> str:  # noqa: A002
        """Show the newest accepted edits of a service, oldest first."""
        plain = self._client.get(f"/v1/table/{service}/history")
        if json:
            return _dump(plain)
        rows = [
            [item["version"], item["row"], value_text(item["value"]), item["edit"]]
            for item in plain
        ]
        return columns(["version", "row", "set to", "edit"], rows)

    def _edit(self, service: str, row: str, seen: int, value: Any) -> str:
        edit = {"edit": uuid.uuid4().hex, "row": row, "seen_version": seen, "value": value}
        answer = self._client.post(f"/v1/table/{service}/edits", edit)
        return f"{service} {row}: {value_text(value)}, accepted as version {answer['version']}"

    def _changes(self, folder: str) -> list[tuple[str, str, int, Any, Any]]:
        names = self._client.get("/v1/names")
        known = KnownNames(
            frozenset(names["services"]),
            frozenset(names["availability_zones"]),
            frozenset(names["partners"]),
        )
        try:
            declarations = read_declarations(Path(str(folder)), known)
        except InvalidDocument as error:
            raise CommandFailed(str(error), ExitCode.INVALID_INPUT) from None
        changes = []
        for declaration in declarations:
            rows = self._client.get(f"/v1/table/{declaration.service}")["rows"]
            current = {
                name: row for name, row in rows.items() if not name.startswith(UNDECLARED_ROWS)
            }
            wanted = {row: value_to_plain(cell) for row, cell in declaration.cell_by_row.items()}
            for row in sorted(current.keys() | wanted.keys()):
                before = current[row]["value"] if row in current else None
                version = current[row]["version"] if row in current else 0
                after = wanted.get(row)
                if before != after:
                    changes.append((declaration.service, row, version, before, after))
        return changes


class Commands:
    """Operate cassiahaven: change its table, show its status, explain its decisions."""

    def __init__(self, client: Client) -> None:
        self._client = client
        self.table = Table(client)

    def status(self, *, json: bool = False) -> str:  # noqa: A002
        """Show the entries, the endpoints and the table revision in force at each entry."""
        plain = self._client.get("/v1/status")
        return _dump(plain) if json else status_report(plain)

    def effective(self, row: str | None = None, *, json: bool = False) -> str:  # noqa: A002
        """Show rows of the configuration in force that apply to all services, such as accounts.

        Args:
            row: Name of one row, such as ``account:NAME``; default: all rows.
            json: Print JSON.
        """
        rows = self._client.get("/v1/effective")
        if row is not None:
            if row not in rows:
                raise CommandFailed(f"no row {row} in force", ExitCode.NOT_FOUND)
            rows = {row: rows[row]}
        return _dump(rows) if json else configuration_report(rows)

    def why(self, call_id: str, *, json: bool = False) -> str:  # noqa: A002
        """Explain what happened to a call and why.

        Args:
            call_id: Value of the response's ``Call-Id`` header.
            json: Print JSON.
        """
        for entry in self._client.get("/v1/status")["entries"]:
            address = f"{entry['host']}:{entry['operator_port']}"
            plain = self._client.get_from(address, f"/v1/calls/{call_id}")
            if plain is not None:
                return _dump(plain) if json else explanation_report(plain)
        raise CommandFailed(f"no entry has a record of call {call_id}", ExitCode.NOT_FOUND)

    def where(
        self,
        host: str,
        path: str,
        *,
        method: str = "GET",
        account: str = "",
        zone: str = "",
        json: bool = False,  # noqa: A002
    ) -> str:
        """Explain where a call would go now, and why; nothing is sent.

        Args:
            host: Host that the caller addresses.
            path: Path of the call.
            method: Method of the call.
            account: Name of the client account; default: a call without a key.
            zone: Availability zone of the caller; default: that of the entry.
            json: Print JSON.
        """
        fields = {"host": host, "path": path, "method": method, "account": account, "zone": zone}
        target = f"/v1/where?{urlencode(fields)}"
        plain = self._client.get(target)
        serving = plain["serving"]
        if serving and plain["entry"] not in {item["name"] for item in serving}:
            # Only the entry that would serve the call knows its own queues and slots.
            plain = self._client.get_from(serving[0]["operators"], target) or plain
        return _dump(plain) if json else where_report(plain)

    def drain(self, service: str, endpoint: str) -> str:
        """Stop sending new calls to an endpoint."""
        return self._set_drain(service, endpoint, True)

    def undrain(self, service: str, endpoint: str) -> str:
        """Resume sending calls to an endpoint that an operator drained."""
        return self._set_drain(service, endpoint, False)

    def addresses(self, service: str, *, json: bool = False) -> str:  # noqa: A002
        """Show the entries whose addresses callers get for a service."""
        plain = self._client.get("/v1/status")
        item = plain["services"].get(service)
        if item is None:
            raise CommandFailed(f"unknown service {service}", ExitCode.INVALID_INPUT)
        role_by_name = {
            **dict.fromkeys(item["standby"], "standby"),
            **dict.fromkeys(item["active"], "active"),
        }
        entries = [
            {**entry, "role": role_by_name[entry["name"]]}
            for entry in plain["entries"]
            if entry["name"] in role_by_name
        ]
        if json:
            return _dump(entries)
        rows = [
            [entry["name"], f"{entry['host']}:{entry['caller_port']}", entry["role"]]
            for entry in entries
        ]
        return columns(["entry", "address", "role"], rows)

    def _set_drain(self, service: str, endpoint: str, value: bool) -> str:
        row = drain_row(endpoint)
        known = self._client.get(f"/v1/table/{service}")["rows"].get(row)
        return self.table._edit(service, row, known["version"] if known else 0, value)


def _number(name: str, item: Any) -> int | float:
    if isinstance(item, bool) or not isinstance(item, int | float):
        raise CommandFailed(f"{name}: {item} is not a number", ExitCode.INVALID_INPUT)
    if name in INTEGER_FIELDS and item != int(item):
        raise CommandFailed(f"{name}: {item} is not a whole number", ExitCode.INVALID_INPUT)
    return item


def _dump(value: Any) -> str:
    return json.dumps(value, indent=2, sort_keys=True)
