"""Evacuated zones and cold endpoints, with real entries against the platform's stand-ins."""

import json
import signal
import threading
import time

import pytest

from cassiahaven_cli.report import status_report
from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.platform_fleet import platform_fleet
from cassiahaven_standins.steady_load import steady_load

BOUND_S = 5.0
AIM_S = 2.0
COLD_PER_S = 2.5
COLD_MS = 3000
BOUNDS = ("evacuation=5000ms", "coldOverage=1.5", "coldSlack=8")


@pytest.fixture
def fleet(tmp_path):
    with platform_fleet(tmp_path, entries=3, has_proxies=True, bounds=BOUNDS) as running:
        for name, zone in (("i-a1", "a"), ("i-a2", "a"), ("i-b1", "b"), ("i-b2", "b")):
            running.add_endpoint(name, "one", zone)
        running.configure({"x": "one"}, cold_start_ms=COLD_MS, cold_per_s=COLD_PER_S)
        running.start()
        yield running


def arrivals_in(fleet, zone, since_s=0.0):
    return sorted(
        at_s
        for endpoint in fleet.endpoint_by_name.values()
        if endpoint.zone == zone
        for at_s in [
            *(at_s for at_s, _ in endpoint.state.arrivals),
            *endpoint.state.health_checks_s,
        ]
        if at_s >= since_s
    )


def status_of(entry):
    return status_report(json.loads(entry.http_get(entry.operator_port, "/v1/status")[1]))


def sleep(seconds):
    threading.Event().wait(seconds)


def test_evacuated_zone_gets_no_calls_and_returns_when_it_is_withdrawn(fleet):
    # Guards against calls to a zone that the operators have emptied, and against calls lost by it.
    with steady_load(fleet) as statuses:
        sleep(1.0)
        assert arrivals_in(fleet, "a")
        evacuated_s = time.monotonic()
        fleet.evacuate("a")
        sleep(AIM_S + 1.0)
        assert not arrivals_in(fleet, "a", evacuated_s + AIM_S)
        assert "evacuated availability zones: a" in status_of(fleet.entries[0])
        withdrawn_s = time.monotonic()
        fleet.store.state.delete("evacuations", "a")
        sleep(AIM_S + 1.0)
        assert arrivals_in(fleet, "a", withdrawn_s)
    assert set(statuses) == {200}
    for entry in fleet.entries:
        assert [event["zone"] for event in entry.events("evacuation_begun")] == ["a"]
        assert [event["zone"] for event in entry.events("evacuation_ended")] == ["a"]


def test_evacuation_survives_a_restart_and_an_unavailable_store(fleet):
    # Guards against entries that send to an evacuated zone since they have just started.
    evacuated_s = time.monotonic()
    fleet.evacuate("a")
    sleep(AIM_S)
    with steady_load(fleet):
        fleet.store.state.is_down = True
        sleep(1.0)
        fleet.store.state.is_down = False
        for entry in fleet.entries:
            entry.signal(signal.SIGKILL)
            entry.process.wait()
            entry.start()
        wait_until(lambda: all(entry.is_ready() for entry in fleet.entries), "entries are back")
        fleet.store.state.is_down = True
        sleep(1.0)
        fleet.store.state.is_down = False
    assert arrivals_in(fleet, "b", evacuated_s + AIM_S)
    assert not arrivals_in(fleet, "a", evacuated_s + AIM_S)


def test_lost_answer_to_the_watch_delays_an_evacuation_within_its_bound(fleet):
    # Guards against entries that wait for an answer that the store sent and the network lost.
    with steady_load(fleet):
        fleet.store.state.loses_watch_answers = True
        evacuated_s = time.monotonic()
        fleet.evacuate("a")
        sleep(1.5)
        fleet.store.state.loses_watch_answers = False
        sleep(BOUND_S)
    assert not arrivals_in(fleet, "a", evacuated_s + BOUND_S)


def test_empty_list_of_evacuations_costs_one_read_for_each_watcher(fleet):
    # Guards against reads of the topic again and again since nothing is listed.
    assert all(entry.is_ready() for entry in fleet.entries)
    with steady_load(fleet):
        sleep(1.0)
    started_at = fleet.store.state.call_count
    sleep(6.0)
    calls_per_s = (fleet.store.state.call_count - started_at) / 6.0
    watchers = 2  # one in each zone
    # At the first watcher two topics return every 1.5 s, evacuations every 3 s and two others every
    # 5 s; at the other one all return every 5 s. Checks every 0.5 s at most.
    assert calls_per_s <= 2 / 1.5 + 1 / 3 + 2 / 5 + 5 / 5 + watchers * 2 + 0.5


def test_endpoints_that_say_they_are_cold_get_no_more_than_they_bear(fleet):
    # Guards against full load from all entries on a zone whose endpoints return cold at once.
    with steady_load(fleet) as statuses:
        sleep(1.0)
        cold = [item.state for item in fleet.endpoint_by_name.values() if item.zone == "a"]
        for state in cold:
            state.cold_until_s = time.monotonic() + COLD_MS / 1000
        told_s = time.monotonic() + 0.3
        sleep(COLD_MS / 2000)
        assert "; cold for " in status_of(fleet.entries[0])
        sleep(COLD_MS / 2000)
    for state in cold:
        times_s = [at_s for at_s, _ in state.arrivals] + state.health_checks_s
        times_s = sorted(at_s for at_s in times_s if told_s <= at_s < state.cold_until_s)
        most = max((sum(s <= at < s + 1 for at in times_s) for s in times_s), default=0)
        assert most <= COLD_PER_S * 1.5 + 8
        assert len(times_s) >= 1
    assert set(statuses) == {200}
    assert any(entry.events("endpoint_cold") for entry in fleet.entries)
