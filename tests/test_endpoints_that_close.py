"""Real entries keep the time for which an endpoint that turned a call away wants none.

Tests are named after the failure that they guard against, judged from what the endpoints get.
"""

import signal
import time

import pytest

from cassiahaven_standins.caller_load import CallerLoad
from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.platform_fleet import platform_fleet

CLOSED_S = 4.0
LEARN_S = 1.0
SPREAD_S = 0.5
REUSE_S = 5.0
AT_ONCE_S = 0.3
ENDPOINTS = ("i-0", "i-1", "i-2")


@pytest.fixture
def fleet(tmp_path):
    with platform_fleet(tmp_path, entries=3, has_proxies=True) as running:
        for number, name in enumerate(ENDPOINTS):
            running.add_endpoint(name, "one", zone="ab"[number % 2])
        running.configure({"x": "one"})
        running.start()
        yield running


@pytest.fixture
def load(fleet):
    running = CallerLoad(fleet, callers=12)
    running.start()
    time.sleep(LEARN_S)
    yield running
    running.stop()


def close(fleet, names, text):
    """Let endpoints turn calls away with ``Retry-After``; return when."""
    for name in names:
        state = fleet.endpoint_by_name[name].state
        state.retry_after = text
        state.fault = "shed"
    return time.monotonic()


def reopen(fleet, names):
    for name in names:
        fleet.endpoint_by_name[name].state.fault = ""
    return time.monotonic()


def health_checks(fleet, name, from_s, to_s):
    checks_s = list(fleet.endpoint_by_name[name].state.health_checks_s)
    return sum(from_s <= at_s < to_s for at_s in checks_s)


@pytest.mark.parametrize("closed", [ENDPOINTS[:1], ENDPOINTS[:2], ENDPOINTS], ids=len)
def test_endpoints_get_requests_while_they_want_none(fleet, load, closed):
    closed_s = close(fleet, closed, f"{CLOSED_S}")
    time.sleep(CLOSED_S - 2 * SPREAD_S)
    reopened_s = reopen(fleet, closed)
    wait_until(
        lambda: all(load.arrivals(name, reopened_s + SPREAD_S) > 20 for name in closed),
        "the endpoints are used again",
        3 * REUSE_S,
    )
    load.stop()
    for name in closed:
        assert load.requests_while_closed(name) == []
        checks = health_checks(fleet, name, closed_s + LEARN_S, reopened_s)
        assert checks <= 2 * len(fleet.entries)
    refused = [item for item in load.answers if item[1] != 200]
    if len(closed) < len(ENDPOINTS):
        assert len(refused) <= len(load.answers) // 50


def test_calls_are_held_or_sent_back_too_early_where_all_endpoints_are_closed(fleet, load):
    closed_s = close(fleet, ENDPOINTS, f"{CLOSED_S}")
    time.sleep(CLOSED_S - 2 * SPREAD_S)
    load.stop()
    refused = [item for item in load.answers if item[0] > closed_s + LEARN_S]
    assert len(refused) > 20
    firsts_s = [
        min(at_s for at_s, _, _ in fleet.endpoint_by_name[name].state.closing_responses)
        for name in ENDPOINTS
    ]
    for sent_s, status, headers, took_s in refused:
        assert status == 503
        assert took_s < AT_ONCE_S
        returns_s = sent_s + took_s + float(headers["Retry-After"])
        assert min(firsts_s) + CLOSED_S - 0.1 <= returns_s <= closed_s + LEARN_S + CLOSED_S
    reasons = {event["outcome"] for entry in fleet.entries for event in entry.events("call_ended")}
    assert "not-run; reason=upstream-closed" in reasons


def test_restarted_frozen_or_cut_entry_sends_requests_to_closed_endpoints(fleet, load):
    first, second, _ = fleet.entries
    close(fleet, ENDPOINTS[:2], "8")
    time.sleep(LEARN_S)
    proxy = fleet.proxies[2]
    proxy.is_silent = True
    proxy.reset_all()
    load.interrupt(first, signal.SIGKILL, 0.5, first.start)
    load.interrupt(second, signal.SIGSTOP, 1.0, lambda: second.signal(signal.SIGCONT))
    proxy.heal()
    wait_until(first.is_ready, "the entry is ready again")
    time.sleep(4.0)
    load.stop()
    for name in ENDPOINTS[:2]:
        assert fleet.endpoint_by_name[name].state.closing_responses
        assert load.requests_while_closed(name) == []


@pytest.mark.parametrize("text", ["soon", "-1", "Sat, 05 Dec 2026 16:00:00 GMT", "nan", "1000000"])
def test_odd_values_harm_callers_or_neighbours(fleet, load, text):
    close(fleet, ENDPOINTS[:1], text)
    time.sleep(2 * LEARN_S)
    if text == "1000000":
        assert load.requests_while_closed("i-0") == []
    reopened_s = reopen(fleet, ENDPOINTS[:1])
    time.sleep(2 * LEARN_S)
    if text == "1000000":
        # It asked for more than any endpoint means, and gets another call after some minutes.
        assert load.arrivals("i-0", reopened_s + SPREAD_S) <= 2 * len(fleet.entries)
    else:
        wait_until(lambda: load.arrivals("i-0", reopened_s) > 20, "the endpoint is used", REUSE_S)
    load.stop()
    assert all(entry.process.poll() is None for entry in fleet.entries)
    refused = [item for item in load.answers if item[1] != 200]
    assert len(refused) <= len(load.answers) // 50
    event = "endpoint_closed" if text == "1000000" else "closure_unreadable"
    assert any(entry.events(event) for entry in fleet.entries)


def test_large_fleet_sends_requests_to_closed_endpoints(tmp_path):
    with platform_fleet(tmp_path, entries=30) as fleet:
        for number, name in enumerate(ENDPOINTS):
            fleet.add_endpoint(name, "one", zone="ab"[number % 2])
        fleet.configure({"x": "one"})
        fleet.start()
        load = CallerLoad(fleet, callers=30)
        load.start()
        try:
            time.sleep(2 * LEARN_S)
            closed = ENDPOINTS[:2]
            close(fleet, closed, "6")
            time.sleep(5.0)
            reopened_s = reopen(fleet, closed)
            wait_until(
                lambda: all(load.arrivals(name, reopened_s + 1.0) > 20 for name in closed),
                "the endpoints are used again",
                3 * REUSE_S,
            )
        finally:
            load.stop()
        assert [found for name in closed for found in load.requests_while_closed(name)] == []
        assert all(fleet.endpoint_by_name[name].state.closing_responses for name in closed)
