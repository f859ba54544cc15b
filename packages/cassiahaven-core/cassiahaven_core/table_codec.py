"""Conversion of table rows to and from plain values for CBOR and JSON."""

from typing import Any

from cassiahaven_core.table import CELL_FIELDS, CellValue, HistoryEntry, Row, RowValue, ServiceTable


def value_to_plain(value: RowValue) -> Any:
    """Return ``value`` as a mapping without unset fields, a boolean or ``None``."""
    if not isinstance(value, CellValue):
        return value
    plain = {name: getattr(value, name) for name in CELL_FIELDS}
    return {name: item for name, item in plain.items() if item is not None}


def value_from_plain(plain: Any) -> RowValue:
    """Decode a row value.

    Raises:
        TypeError: A mapping has an unknown field.
    """
    if isinstance(plain, dict):
        return CellValue(**plain)
    return plain


def row_to_plain(row: Row) -> dict[str, Any]:
    """Return ``row`` as a mapping."""
    return {"version": row.version, "edit": row.edit_id, "value": value_to_plain(row.value)}


def row_from_plain(plain: dict[str, Any]) -> Row:
    """Decode a row from a mapping."""
    return Row(plain["version"], plain["edit"], value_from_plain(plain["value"]))


def table_to_plain(table: ServiceTable) -> dict[str, Any]:
    """Return ``table`` as a mapping, as it is stored."""
    rows = {name: row_to_plain(row) for name, row in sorted(table.row_by_name.items())}
    history = [
        {
            "version": entry.version,
            "edit": entry.edit_id,
            "row": entry.row,
            "value": value_to_plain(entry.value),
        }
        for entry in table.history
    ]
    return {
        "service": table.service,
        "revision": table.revision,
        "rows": rows,
        "history": history,
    }


def table_from_plain(plain: dict[str, Any]) -> ServiceTable:
    """Decode a table from a mapping."""
    rows = {name: row_from_plain(row) for name, row in plain["rows"].items()}
    history = [
        HistoryEntry(
            entry["version"], entry["edit"], entry["row"], value_from_plain(entry["value"])
        )
        for entry in plain["history"]
    ]
    return ServiceTable(plain["service"], plain["revision"], rows, history)
