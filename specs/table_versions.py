"""Specification: an accepted edit is never lost, and no entry reverts a row to an older version.

Two entries edit the table through a store with conditional updates. The store's answer may be lost
after the write, rows reach the entries in any order and more than once, and an entry may crash and
restart with an empty table.
"""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from dataclasses import dataclass, replace
from unittest.mock import patch

from cassiahaven_core.table import (
    Accepted,
    CellValue,
    Conflict,
    Edit,
    HistoryEntry,
    Row,
    ServiceTable,
)
from specs.explorer import Spec

SERVICE = "service"
ROWS = ("*/*", "a/*")


@dataclass(frozen=True, slots=True)
class FrozenTable:
    """Hashable snapshot of a table, or of only the rows that changed since a base revision.

    Attributes:
        base: Revision since which ``rows`` changed; 0 if ``rows`` holds all rows.
    """

    revision: int = 0
    rows: frozenset[tuple[str, Row]] = frozenset()
    history: tuple[HistoryEntry, ...] = ()
    base: int = 0

    def thaw(self) -> ServiceTable:
        """Return a mutable table with the same contents."""
        return ServiceTable(SERVICE, self.revision, dict(self.rows), list(self.history))


@dataclass(frozen=True, slots=True)
class Writer:
    """Progress of one operator's edit.

    Attributes:
        entry: Index of the entry that the operator uses.
        seen: Row version that the edit is based on.
        read: Table read from the store and its version there; ``None`` before a read.
        reported: Result shown to the operator; empty while there is none.
    """

    edit_id: str
    row: str
    entry: int
    seen: int
    read: tuple[FrozenTable, int] | None = None
    reported: str = ""


@dataclass(frozen=True, slots=True)
class World:
    """State of the whole system.

    Attributes:
        version: Version of the stored object, for conditional updates.
        messages: Rows sent to entries; any of them may arrive again at any time.
        fault: Set once an entry has reverted a row.
    """

    store: FrozenTable
    version: int
    entries: tuple[FrozenTable, ...]
    writers: tuple[Writer, ...]
    messages: frozenset[FrozenTable]
    crashes: int = 0
    fault: str = ""


def freeze(table: ServiceTable, *, with_history: bool = True) -> FrozenTable:
    """Return a hashable snapshot of ``table``."""
    history = tuple(table.history) if with_history else ()
    return FrozenTable(table.revision, frozenset(table.row_by_name.items()), history)


class TableVersions(Spec[World]):
    """Explore concurrent edits, lost answers and reordered rows.

    Args:
        edits: Number of edits.
    """

    name = "table-versions"

    def __init__(self, *, edits: int = 4) -> None:
        self._edits = edits
        self.bound = (
            f"2 entries, {edits} edits of 2 rows by 2 operators, 1 crash, "
            "lost and repeated messages"
        )

    def initial(self) -> World:
        """Return an empty table and the pending edits.

        The edits are two concurrent ones of the same row, one of another row, and one of the first
        row that is based on version 1.
        """
        writers = (
            Writer("x", ROWS[0], 0, 0),
            Writer("y", ROWS[0], 1, 0),
            Writer("w", ROWS[1], 0, 0),
            Writer("z", ROWS[0], 1, 1),
        )
        return World(
            FrozenTable(), 0, (FrozenTable(), FrozenTable()), writers[: self._edits], frozenset()
        )

    def properties(self) -> dict[str, Callable[[World], bool]]:
        """Return the invariants of the stored table and of the entries' copies."""
        return {
            "accepted_is_kept": _accepted_is_kept,
            "never_goes_back": lambda world: world.fault != "went back",
            "conflict_is_told": _conflict_is_told,
            "revision_means_all_rows": _revision_means_all_rows,
        }

    def mutants(self) -> dict[str, Callable[[], AbstractContextManager[None]]]:
        """Return mutants of the service table."""
        original_apply = ServiceTable.apply

        def takes_the_last(self, revision, rows, *, base_revision=0):
            self.row_by_name.update(rows)
            self.revision = revision
            return []

        def ignores_seen_version(self, edit):
            current = self.row_by_name.get(edit.row)
            seen = current.version if current else 0
            return original_apply(self, replace(edit, seen_version=seen))

        def forgets_history(self, edit):
            result = original_apply(self, edit)
            self.history.clear()
            return result

        return {
            "changed rows count as all rows": lambda: patch.object(
                ServiceTable, "_has", lambda self, revision: True
            ),
            "merge takes the last rows": lambda: patch.object(
                ServiceTable, "merge", takes_the_last
            ),
            "apply ignores the version seen": lambda: patch.object(
                ServiceTable, "apply", ignores_seen_version
            ),
            "history is forgotten": lambda: patch.object(ServiceTable, "apply", forgets_history),
        }

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield every possible next step."""
        for index, writer in enumerate(world.writers):
            if writer.reported:
                continue
            yield f"read {writer.edit_id}", self._read(world, index)
            if writer.read is not None:
                yield from self._write(world, index)
        for message in world.messages | {replace(world.store, history=())}:
            for index in range(len(world.entries)):
                yield "deliver rows", self._merge(world, index, message)
        if not world.crashes:
            for index in range(len(world.entries)):
                entries = _replace_item(world.entries, index, FrozenTable())
                yield "crash", replace(world, entries=entries, crashes=1)

    def _read(self, world: World, index: int) -> World:
        writer = world.writers[index]
        table = world.store.thaw()
        own_table = world.entries[writer.entry].thaw()
        table.merge(own_table.revision, own_table.row_by_name.items())
        return _put(world, index, replace(writer, read=(freeze(table), world.version)))

    def _write(self, world: World, index: int) -> Iterator[tuple[str, World]]:
        writer = world.writers[index]
        read, version = writer.read
        table = read.thaw()
        before = table.revision
        edit = Edit(writer.edit_id, writer.row, writer.seen, CellValue(weight=float(index)))
        result = table.apply(edit)
        if isinstance(result, Conflict):
            yield "conflict", _put(world, index, replace(writer, reported="conflict"))
            return
        if table.revision == before:
            yield "found in history", self._accept(world, index, table, result)
            return
        if version != world.version:
            yield "lost the race", _put(world, index, replace(writer, read=None))
            return
        written = replace(world, store=freeze(table), version=world.version + 1)
        yield "written", self._accept(written, index, table, result)
        yield "answer lost", _put(written, index, replace(writer, read=None))

    def _accept(self, world: World, index: int, table: ServiceTable, result: Accepted) -> World:
        writer = world.writers[index]
        rows = freeze(table, with_history=False)
        after = _put(world, index, replace(writer, reported=f"accepted {result.version}"))
        row = table.row_by_name[writer.row]
        sent = rows
        if row.version == table.revision:
            changed = frozenset({(writer.row, row)})
            sent = FrozenTable(table.revision, changed, base=table.revision - 1)
        after = replace(after, messages=after.messages | {sent})
        return self._merge(after, writer.entry, rows)

    def _merge(self, world: World, index: int, rows: FrozenTable) -> World:
        before = dict(world.entries[index].rows)
        table = world.entries[index].thaw()
        table.merge(rows.revision, list(rows.rows), base_revision=rows.base)
        went_back = any(
            table.row_by_name[name].version < row.version for name, row in before.items()
        )
        entries = _replace_item(world.entries, index, freeze(table, with_history=False))
        fault = world.fault or ("went back" if went_back else "")
        return replace(world, entries=entries, fault=fault)


def _accepted_is_kept(world: World) -> bool:
    versions = {entry.edit_id: entry.version for entry in world.store.history}
    for writer in world.writers:
        kind, _, version = writer.reported.partition(" ")
        if kind == "accepted" and versions.get(writer.edit_id) != int(version):
            return False
    return True


def _conflict_is_told(world: World) -> bool:
    # Edits x and y are both based on a missing row, so at most one of them may be accepted.
    accepted = [
        writer.edit_id for writer in world.writers if writer.reported.startswith("accepted")
    ]
    in_history = [entry.edit_id for entry in world.store.history]
    if len(in_history) != len(set(in_history)):
        return False
    for writer in world.writers:
        row = dict(world.store.rows).get(writer.row)
        if writer.reported == "conflict" and row is not None and row.edit_id == writer.edit_id:
            return False
    return not {"x", "y"} <= set(accepted)


def _revision_means_all_rows(world: World) -> bool:
    for entry in world.entries:
        rows = dict(entry.rows)
        for change in world.store.history:
            if change.version > entry.revision:
                continue
            if change.row not in rows or rows[change.row].version < change.version:
                return False
    return True


def _put(world: World, index: int, writer: Writer) -> World:
    return replace(world, writers=_replace_item(world.writers, index, writer))


def _replace_item(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])
