"""Endpoints that are removed while entries cannot reach the platform's store."""

import signal
import threading
from itertools import count

import pytest

from cassiahaven_core.membership import Fleet, Member
from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.platform_fleet import platform_fleet

CONTACT_S = 3.0
DRAIN_BOUND_S = 2.0
WATCHER_SILENCE_S = 2.5  # longer than followers consider a silent watcher alive
CALLS = 12
CORES = 0.86


@pytest.fixture
def fleet(tmp_path):
    with platform_fleet(tmp_path, entries=4, has_proxies=True) as running:
        for name in ("i-1", "i-2", "i-3"):
            running.add_endpoint(name, "one")
        running.configure({"x": "one"})
        running.start()
        wait_until(
            lambda: all(
                (entry.events("live_entries_changed") or [{"live": 0}])[-1]["live"] == 4
                for entry in running.entries
            ),
            "every entry knows all others",
        )
        yield running


@pytest.fixture
def assert_no_late_call(fleet):
    numbers = count()

    def check(endpoint, entries):
        threading.Event().wait(DRAIN_BOUND_S)
        state = fleet.endpoint_by_name[endpoint].state
        before = len(state.received_requests)
        for entry in entries:
            for _ in range(CALLS):
                request = f"late-{next(numbers)}"
                assert fleet.call(entry, "GET", "/safe/x/", request=request)[0] == 200
            assert len(state.received_requests) == before, f"{entry.name} sent a call to {endpoint}"

    return check


@pytest.fixture
def watcher_by_zone(fleet):
    """Return the entry of each zone that watches the store."""
    members = [Member(item.name, "", item.zone, "", "", CORES) for item in fleet.entries]
    view = Fleet(members[0])
    view.set_members(members)
    return {item.availability_zone: fleet.entry_by_name[item.name] for item in view.watchers()}


def cut_store_connection(fleet, entry):
    """Cut the connection between an entry and the store and wait until the entry detects it."""
    proxy = fleet.proxies[fleet.entries.index(entry)]
    proxy.is_silent = True
    proxy.reset_all()
    wait_until(
        lambda: entry.events("store_unavailable"), "the entry reports the store as unavailable"
    )
    return proxy


def test_removed_endpoint_gets_no_call_from_an_entry_that_once_lost_the_store(
    fleet, watcher_by_zone, assert_no_late_call
):
    watchers = watcher_by_zone.values()
    followers = [item for item in fleet.entries if item not in watchers]
    # While the watchers are stopped, the followers read the store themselves.
    for watcher in watchers:
        watcher.signal(signal.SIGSTOP)
    threading.Event().wait(WATCHER_SILENCE_S)
    proxies = [cut_store_connection(fleet, follower) for follower in followers]
    for watcher in watchers:
        watcher.signal(signal.SIGCONT)
    threading.Event().wait(WATCHER_SILENCE_S)
    for proxy in proxies:
        proxy.heal()
    threading.Event().wait(CONTACT_S)
    fleet.store.state.delete("servers", "i-1")
    assert_no_late_call("i-1", fleet.entries)


def test_removed_endpoint_gets_no_call_from_an_entry_that_alone_lost_the_store(
    fleet, watcher_by_zone, assert_no_late_call
):
    cut = watcher_by_zone["a"]
    cut_store_connection(fleet, cut)
    threading.Event().wait(CONTACT_S)
    fleet.store.state.delete("servers", "i-1")
    assert_no_late_call("i-1", [cut])
