"""Entries while the platform's store comes back from an older copy."""

import json

import pytest

from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.platform_fleet import platform_fleet

ENTRIES = "cassiahaven-entries"
ROUTE = "r-safe-x"
ROW = f"*/{ROUTE}"
PROPAGATION_BOUND_S = 3.0


@pytest.fixture
def fleet(tmp_path):
    with platform_fleet(tmp_path, entries=3) as running:
        running.add_endpoint("i-1", "one")
        running.configure({"x": "one"})
        running.start()
        yield running


def test_entries_act_on_nothing_that_the_store_has_forgotten(fleet, run_command):
    """Guards against lost rows in force, entries without a registration and older routes."""
    state = fleet.store.state

    def status():
        return json.loads(run_command(fleet, "status", "--json").stdout)

    def calls():
        return [fleet.call(item, "GET", "/safe/x/", request="r")[0] for item in fleet.entries]

    copy = state.copy()
    restarted = fleet.entries[2]
    restarted.close()
    restarted.start()
    wait_until(restarted.is_ready, "the entry is ready")
    forgotten = fleet.configure({"x": "one", "y": "one"})
    assert run_command(fleet, "table", "set", "one", ROW, "--weight", "0").returncode == 0
    wait_until(lambda: calls() == [503] * 3, "the lost row is in force")
    registered = state.object_by_key[ENTRIES, restarted.name]["spec"]
    state.is_down = True
    state.restore(copy)
    assert state.revision < forgotten
    state.is_down = False
    wait_until(lambda: calls() == [200] * 3, "the row is undone", timeout_s=PROPAGATION_BOUND_S)
    wait_until(
        lambda: state.object_by_key[ENTRIES, restarted.name]["spec"] == registered,
        "the entry has registered again",
        timeout_s=PROPAGATION_BOUND_S,
    )
    wait_until(lambda: status()["store_era"] == 1, "the era is known")
    assert status()["services"]["one"]["lost_rows"] == [ROW]
    assert ROW in run_command(fleet, "status").stdout
    for entry in fleet.entries:
        assert entry.events("store_restored")
        assert [line["rows"] for line in entry.events("table_rows_lost")] == [[ROW]]
        # The configuration in force is newer than the restored one.
        assert fleet.call(entry, "GET", "/safe/y/", request="r-y")[0] == 200
    assert run_command(fleet, "table", "set", "one", ROW, "--weight", "0").returncode == 0
    wait_until(
        lambda: calls() == [503] * 3, "the row is written again", timeout_s=PROPAGATION_BOUND_S
    )
    wait_until(lambda: not status()["services"]["one"]["lost_rows"], "no row is lost any more")
