"""The rows that differ between two versions of a configuration, as plain lists."""

from difflib import SequenceMatcher
from hashlib import blake2b
from typing import Any

import cbor2

DIGEST_BYTES = 8


def config_digest(plain: list[Any]) -> bytes:
    """Return a digest of a configuration's plain form."""
    return blake2b(cbor2.dumps(plain), digest_size=DIGEST_BYTES).digest()


def config_change(before: list[Any], after: list[Any]) -> list[Any]:
    """Return what turns the plain form ``before`` into ``after``.

    The result holds the version, then for each table either its edits as lists of start, end and
    new rows, or the whole table in a mapping if the table was or is absent.
    """
    tables: list[Any] = []
    for position, rows in enumerate(after[1:], start=1):
        known = before[position] if position < len(before) else None
        is_comparable = isinstance(known, list) and isinstance(rows, list)
        tables.append(_edits(known, rows) if is_comparable else {"rows": rows})
    return [after[0], *tables]


def apply_config_change(before: list[Any], change: list[Any]) -> list[Any]:
    """Return the plain form that ``change`` makes of ``before``.

    Raises:
        TypeError, ValueError, LookupError: The change does not fit.
    """
    after: list[Any] = [change[0]]
    for position, table in enumerate(change[1:], start=1):
        if isinstance(table, dict):
            after.append(table["rows"])
            continue
        rows = list(before[position])
        for start, end, new_rows in reversed(table):
            rows[start:end] = new_rows
        after.append(rows)
    return after


def _edits(before: list[Any], after: list[Any]) -> list[Any]:
    keys = [[cbor2.dumps(row) for row in rows] for rows in (before, after)]
    return [
        [start, end, after[new_start:new_end]]
        for tag, start, end, new_start, new_end in SequenceMatcher(
            None, *keys, autojunk=False
        ).get_opcodes()
        if tag != "equal"
    ]
