"""Tests of versions, conflicts and precedence of table rows."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahaven_core.table import Accepted, CellKey, CellValue, Conflict, Edit, Row, ServiceTable
from cassiahaven_core.table_codec import table_from_plain, table_to_plain


def edit(edit_id: str, row: str, seen: int, weight: float) -> Edit:
    return Edit(edit_id, row, seen, CellValue(weight=weight))


def test_edits_of_different_rows_succeed_and_of_one_row_conflict():
    table = ServiceTable("lookup")
    assert table.apply(edit("1", "*/*", 0, 1.0)) == Accepted(1)
    assert table.apply(edit("2", "a/parish", 0, 2.0)) == Accepted(2)
    result = table.apply(edit("3", "*/*", 0, 3.0))
    assert result == Conflict("*/*", 0, Row(1, "1", CellValue(weight=1.0)))


def test_repeated_edit_is_accepted_again_even_after_a_later_edit():
    table = ServiceTable("lookup")
    table.apply(edit("1", "*/*", 0, 1.0))
    table.apply(edit("2", "*/*", 1, 2.0))
    assert table.apply(edit("1", "*/*", 0, 1.0)) == Accepted(1)
    assert table.row_by_name["*/*"].value == CellValue(weight=2.0)


def test_the_narrowest_row_wins_field_by_field():
    table = ServiceTable("lookup")
    for number, (row, weight) in enumerate([("*/*", 1.0), ("a/*", 2.0), ("*/parish", 3.0)]):
        table.apply(edit(str(number), row, 0, weight))
    table.apply(Edit("9", "a/parish", 0, CellValue(queue_limit=7)))
    effective = table.effective("a", "parish")
    assert (effective["weight"].value, effective["weight"].row) == (3.0, "*/parish")
    assert (effective["queue_limit"].value, effective["queue_limit"].row) == (7, "a/parish")
    assert effective["concurrency"].row == "built-in"
    assert table.effective("a", "printer")["weight"].row == "a/*"


def test_malformed_cell_keys_are_rejected():
    for text in ("", "a", "a/b/c", "/b"):
        with pytest.raises(ValueError, match="availability_zone/partner"):
            CellKey.parse(text)


ROWS = st.dictionaries(
    st.sampled_from(["*/*", "a/x", "b/x"]),
    st.builds(
        lambda version: Row(version, str(version), CellValue(weight=float(version))),
        st.integers(1, 5),
    ),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(ROWS, max_size=5), st.randoms(use_true_random=False))
def test_merging_in_any_order_gives_the_same_rows(batches, rng):
    shuffled = list(batches)
    rng.shuffle(shuffled)
    tables = []
    for order in (batches, shuffled, shuffled + batches):
        table = ServiceTable("lookup")
        for rows in order:
            table.merge(0, rows.items())
        tables.append(table.row_by_name)
    assert tables[0] == tables[1] == tables[2]


def test_stored_form_round_trips():
    table = ServiceTable("lookup")
    table.apply(edit("1", "*/*", 0, 1.0))
    table.apply(Edit("2", "endpoint:e1", 0, True))
    table.apply(Edit("3", "*/*", 1, None))
    assert table_from_plain(table_to_plain(table)) == table
    assert table.drained_endpoints() == {"e1"}


def test_rows_of_a_restored_store_replace_later_ones_and_the_lost_ones_are_named():
    """Guards against a lost edit that stays in force, or hides a new one of the same version."""
    table = ServiceTable("lookup")
    kept, old, lost, gone = (Row(n, f"edit-{n}", CellValue(weight=n)) for n in (1, 2, 3, 4))
    table.merge(3, [("*/*", kept), ("a/*", lost)])
    table.merge(4, [("b/*", gone)], base_revision=3)
    assert table.merge(9, [("b/*", old)], base_revision=8, era=1) == []
    assert table.merge(2, [("*/*", kept), ("a/*", old)], era=1) == ["a/*", "b/*"]
    assert table.row_by_name == {"*/*": kept, "a/*": old}
    assert table.lost_row_by_name == {"a/*": lost, "b/*": gone}
    assert table.merge(7, [("b/*", gone)]) == []
    again = Row(3, "edit-5", CellValue(weight=5.0))
    assert table.merge(3, [("a/*", again)], era=1) == ["a/*"]
    assert table.row_by_name["a/*"] == again
    assert table.lost_row_by_name == {"b/*": gone}
