"""Tables under concurrent edits, lost responses, store outages and restarts."""

import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cassiahaven_core.table import Accepted, CellValue, Conflict, Edit
from cassiahaven_core.table_codec import table_from_plain
from cassiahaven_entry import tables as tables_module
from cassiahaven_entry.tables import TABLE_PREFIX, EditUndecided, WatchedTables
from cassiahaven_standins.memory_store import MemoryStore

SERVICE = "lookup"
ROWS = ("*/*", "a/parish")


class TableMachine(RuleBasedStateMachine):
    """Three entries, their operators and the messages between them."""

    def __init__(self):
        super().__init__()
        self.store = MemoryStore()
        self.messages = []
        self.accepted = {}
        self.edits = 0
        self.entries = [self.new_entry() for _ in range(3)]
        self.seen = [dict.fromkeys(ROWS, 0) for _ in range(3)]

    def new_entry(self):
        return WatchedTables(
            self.store, [SERVICE], on_change=lambda table: None, publish=self.messages.append
        )

    @rule(entry=st.integers(0, 2), row=st.sampled_from(ROWS), stale=st.booleans())
    def edit(self, entry, row, stale):
        tables = self.entries[entry]
        known = tables.table_by_service[SERVICE].row_by_name.get(row)
        seen = known.version if known and not stale else 0
        self.edits += 1
        edit = Edit(f"edit-{self.edits}", row, seen, CellValue(weight=float(self.edits)))
        result = tables.edit(SERVICE, edit)
        if isinstance(result, Accepted):
            self.accepted[edit.edit_id] = (row, result.version)
        elif isinstance(result, EditUndecided):
            assert self.store.is_down
        else:
            assert isinstance(result, Conflict)
            assert edit.edit_id not in self.history()

    @rule(entry=st.integers(0, 2), data=st.data())
    def deliver(self, entry, data):
        if self.messages:
            message = data.draw(st.sampled_from(self.messages))
            self.entries[entry].merge_rows(message, "peer")

    @rule(entry=st.integers(0, 2))
    def watch(self, entry):
        self.entries[entry].watch_once()

    @rule(entry=st.integers(0, 2))
    def restart(self, entry):
        self.entries[entry] = self.new_entry()
        self.seen[entry] = dict.fromkeys(ROWS, 0)

    @rule()
    def lose_an_answer(self):
        self.store.responses_to_lose = 1

    @precondition(lambda self: not self.store.is_down)
    @rule()
    def break_store(self):
        self.store.is_down = True

    @precondition(lambda self: self.store.is_down)
    @rule()
    def mend_store(self):
        self.store.is_down = False

    @invariant()
    def no_entry_goes_back(self):
        for seen, tables in zip(self.seen, self.entries, strict=True):
            rows = tables.table_by_service[SERVICE].row_by_name
            for name, row in rows.items():
                assert row.version >= seen[name]
                seen[name] = row.version

    @invariant()
    def accepted_edits_are_kept(self):
        history = self.history()
        for edit_id, (_, version) in self.accepted.items():
            assert history[edit_id] == version

    def history(self):
        stored = self.store.object_by_key.get(TABLE_PREFIX + SERVICE)
        if stored is None:
            return {}
        table = table_from_plain(json.loads(stored.value))
        return {entry.edit_id: entry.version for entry in table.history}

    def teardown(self):
        self.store.is_down = False
        self.store.responses_to_lose = 0
        for tables in self.entries:
            tables.watch_once()
        rows = [tables.table_by_service[SERVICE].row_by_name for tables in self.entries]
        assert rows[0] == rows[1] == rows[2]


def test_tables_under_races_and_faults(clock, monkeypatch):
    monkeypatch.setattr(tables_module, "log", lambda *arguments, **fields: None)
    profile = settings(
        derandomize=True, max_examples=60, stateful_step_count=30, deadline=None, database=None
    )
    run_state_machine_as_test(TableMachine, settings=profile)


def test_store_that_lost_its_data_does_not_revert_rows(store, clock):
    tables = WatchedTables(
        store, [SERVICE], on_change=lambda table: None, publish=lambda message: None
    )
    for number in range(3):
        edit = Edit(str(number), "*/*", number, CellValue(weight=float(number)))
        tables.edit(SERVICE, edit)
    store.object_by_key.clear()
    tables.watch_once()
    assert tables.revision_by_service == {SERVICE: 3}
    result = tables.edit(SERVICE, Edit("next", "*/*", 3, CellValue(weight=9.0)))
    assert result == Accepted(4)


def test_malformed_object_in_the_store_is_skipped(store, clock):
    store.put(TABLE_PREFIX + SERVICE, b"not json", version=0)
    tables = WatchedTables(
        store, [SERVICE], on_change=lambda table: None, publish=lambda message: None
    )
    tables.watch_once()
    assert tables.revision_by_service == {}
