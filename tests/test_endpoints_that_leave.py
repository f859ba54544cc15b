"""Real entries send no call to an endpoint that told them in an answer that it leaves.

Tests are named after the failure that they guard against, judged from what the endpoints get.
"""

import signal
import time

import pytest

from cassiahaven_standins.caller_load import CallerLoad
from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.platform_fleet import platform_fleet

DRAIN_BOUND_S = 2.0
LEARN_S = 1.0
OUTAGE_S = 3.0


@pytest.fixture
def fleet(tmp_path):
    with platform_fleet(tmp_path, entries=3, has_proxies=True) as running:
        for number in range(3):
            running.add_endpoint(f"i-{number}", "one", zone="ab"[number % 2])
        running.configure({"x": "one"})
        running.start()
        yield running


@pytest.fixture
def load(fleet):
    running = CallerLoad(fleet, callers=9)
    running.start()
    time.sleep(LEARN_S)
    yield running
    running.stop()


def leave(fleet, name):
    """Let an endpoint say that it leaves and wait until most entries were told."""
    fleet.endpoint_by_name[name].state.is_leaving = True
    time.sleep(LEARN_S)
    return time.monotonic()


def assert_unused(load, name, seconds):
    """Assert that an endpoint gets no call for some seconds, from ``DRAIN_BOUND_S`` on."""
    time.sleep(DRAIN_BOUND_S)
    from_s = time.monotonic()
    time.sleep(seconds)
    assert load.arrivals(name, from_s) == 0
    assert load.arrivals("i-1", from_s) + load.arrivals("i-2", from_s) > 10
    assert load.late_requests(name, DRAIN_BOUND_S) == []


def test_endpoint_that_leaves_without_a_word_in_the_store_gets_calls(fleet, load):
    assert load.arrivals("i-0") > 10
    leave(fleet, "i-0")
    assert_unused(load, "i-0", 3.0)
    load.stop()
    refused = [status for status in load.statuses if status != 200]
    assert len(refused) <= len(load.statuses) // 50
    assert any(entry.events("endpoint_leaving") for entry in fleet.entries)


def test_endpoint_that_leaves_gets_calls_after_an_outage_with_an_older_list(fleet, load):
    # In the outage its registration expires; the store then lists it as ready as before.
    store = fleet.store.state
    store.is_down = True
    leave(fleet, "i-0")
    time.sleep(OUTAGE_S)
    store.delete("servers", "i-0")
    store.is_down = False
    time.sleep(OUTAGE_S)
    store.put("servers", "i-0", fleet.endpoint_by_name["i-0"].registration())
    assert_unused(load, "i-0", 3.0)
    upheld = [event for entry in fleet.entries for event in entry.events("endpoint_leaving_upheld")]
    assert upheld
    assert all(event["age_ms"] > 0 and event["source"] for event in upheld)


def test_endpoint_that_leaves_gets_calls_after_its_evacuation_was_taken_back(fleet, load):
    leave(fleet, "i-0")
    fleet.drain("i-0")
    time.sleep(1.0)
    store = fleet.store.state
    store.delete("servers", "i-0")
    time.sleep(1.0)
    store.put("servers", "i-0", fleet.endpoint_by_name["i-0"].registration())
    assert_unused(load, "i-0", 3.0)


def test_entry_that_was_restarted_frozen_or_cut_sends_calls_to_an_endpoint_that_leaves(fleet, load):
    leave(fleet, "i-0")
    first, second, _ = fleet.entries
    proxy = fleet.proxies[2]
    proxy.is_silent = True
    proxy.reset_all()
    load.interrupt(first, signal.SIGKILL, 0.5, first.start)
    load.interrupt(second, signal.SIGSTOP, 1.5, lambda: second.signal(signal.SIGCONT))
    proxy.heal()
    wait_until(first.is_ready, "the entry is ready again")
    time.sleep(LEARN_S)
    # The restarted entry is told once more, and then bound again.
    assert_unused(load, "i-0", 3.0)


def test_new_start_under_the_same_id_gets_no_calls(fleet, load):
    leave(fleet, "i-0")
    time.sleep(DRAIN_BOUND_S)
    endpoint = fleet.endpoint_by_name["i-0"]
    endpoint.state.is_leaving = False
    from_s = time.monotonic()
    registration = endpoint.registration() | {"born": 1700000009999}
    fleet.store.state.put("servers", "i-0", registration)
    wait_until(lambda: load.arrivals("i-0", from_s) > 10, "the new start gets calls", 10)


def test_large_fleet_sends_calls_to_an_endpoint_that_leaves(tmp_path):
    with platform_fleet(tmp_path, entries=30) as fleet:
        for number in range(3):
            fleet.add_endpoint(f"i-{number}", "one", zone="ab"[number % 2])
        fleet.configure({"x": "one"})
        fleet.start()
        load = CallerLoad(fleet, callers=30)
        load.start()
        try:
            time.sleep(2 * LEARN_S)
            fleet.endpoint_by_name["i-0"].state.is_leaving = True
            time.sleep(2 * LEARN_S + DRAIN_BOUND_S)
            from_s = time.monotonic()
            time.sleep(5.0)
            # Entries that have not called it since may send it the call that tells them.
            assert load.arrivals("i-0", from_s) <= len(fleet.entries)
            assert load.late_requests("i-0", DRAIN_BOUND_S) == []
        finally:
            load.stop()
