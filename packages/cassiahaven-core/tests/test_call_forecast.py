"""Forecasts of calls: they match what is decided, and change nothing."""

import random

import pytest

from cassiahaven_core.call_forecast import Verdict, forecast_call
from cassiahaven_core.endpoint import CallResult
from cassiahaven_core.lifecycle import EndpointEvent
from cassiahaven_core.route import GatewayConfig, Route, RoutingTable, ServiceShare
from cassiahaven_core.service import Dispatch, Refuse
from cassiahaven_core.table import CellValue

CELL = CellValue(
    weight=1.0, rate_per_s=1e9, concurrency=1000, queue_limit=100, probe_budget_ms_per_s=0.0
)

RESULTS = [CallResult.OK] * 6 + [
    CallResult.CONNECTION_LOST,
    CallResult.REFUSED,
    CallResult.UNANSWERED,
]


def replay(policy, make_call, seed, *, asks):
    """Play a random load; return all effects, and how many forecasts did not come true."""
    rng = random.Random(seed)
    running, effects, wrong, now_ms = {}, [], 0, 0.0
    for number in range(250):
        now_ms += rng.choice([1.0, 20.0, 400.0])
        found = []
        if rng.random() < 0.55:
            deadline_ms = now_ms + rng.choice([50.0, 2000.0])
            call = make_call(
                f"c{number}",
                idempotent=rng.random() < 0.7,
                deadline_ms=deadline_ms,
                arrived_ms=now_ms,
            )
            said = forecast_call(policy, call, CELL, now_ms) if asks else None
            found = policy.submit(call, now_ms)
            running[call.call_id] = call, None
            if said is not None:
                own = [effect for effect in found if effect.call_id == call.call_id]
                wrong += not came_true(said, own)
        elif running:
            name, (call, endpoint) = rng.choice(list(running.items()))
            if endpoint is not None:
                del running[name]
                found = policy.finish(call, endpoint, rng.choice(RESULTS), now_ms)
        if rng.random() < 0.05:
            policy.pool.close_endpoint(f"e{rng.randrange(4)}", "1", 300.0, now_ms)
        if rng.random() < 0.05:
            policy.pool.apply_rate_limit_notice(f"e{rng.randrange(4)}", "1", 5.0, now_ms)
        found += policy.tick(now_ms)
        for effect in found:
            if isinstance(effect, Dispatch):
                call, _ = running[effect.call_id]
                running[effect.call_id] = call, effect.address.endpoint
            else:
                running.pop(effect.call_id, None)
        effects += found
    return effects, wrong


def came_true(said, own):
    match own:
        case []:
            return said.verdict is Verdict.WAITS
        case [Dispatch(address=address)]:
            return (said.verdict, said.endpoint) == (Verdict.SENT, address.endpoint)
        case [Refuse(reason=reason)]:
            return (said.verdict, said.reason) == (Verdict.REFUSED, reason.value)
    return False


@pytest.mark.parametrize("seed", range(8))
def test_same_is_decided_with_forecasts_as_without(make_policy, make_call, seed):
    # A forecast that starts a trial, takes a token or draws a random number would change calls.
    without, _ = replay(make_policy(endpoints=4), make_call, seed, asks=False)
    with_forecasts, wrong = replay(make_policy(endpoints=4), make_call, seed, asks=True)
    assert with_forecasts == without
    assert wrong == 0
    assert {type(effect) for effect in without} == {Dispatch, Refuse}


def test_each_endpoint_that_is_left_out_has_its_reason(make_policy, make_call):
    # Operators would look for a fault where an endpoint has only closed itself.
    policy = make_policy(endpoints=6)
    pool = policy.pool
    pool.close_endpoint("e0", "1", 500.0, 0.0)
    pool.apply_rate_limit_notice("e1", "1", 0.0, 0.0)
    pool.record_leaving("e2", "1", "answer", 0.0)
    for number in range(2):
        pool.start(pool.endpoint_by_id["e3"], f"c{number}", "parish", 0.0)
    for _ in range(8):
        pool.start(pool.endpoint_by_id["e4"], "failing", "parish", 0.0)
        pool.finish("e4", "failing", CallResult.CONNECTION_LOST, 0.0)
    found = forecast_call(policy, make_call("c"), CELL, 0.0)
    reason_by_name = {item.endpoint: item.reason for item in found.endpoints}
    assert (found.verdict, found.endpoint) == (Verdict.SENT, "e5")
    assert [item.position for item in found.endpoints][:2] == [1, None]
    assert reason_by_name["e0"] == "closed itself for 500 ms"
    assert reason_by_name["e1"].startswith("rate limit")
    assert reason_by_name["e2"] == "draining: answer"
    assert reason_by_name["e3"] == "slots taken: 2 of 2"
    assert reason_by_name["e4"].startswith("ejected: ")


def test_refused_call_names_reason_and_time_to_return(make_policy, make_call):
    # Without the time, an operator could not tell a closure from an outage.
    policy = make_policy(endpoints=1)
    policy.pool.close_endpoint("e0", "1", 500.0, 0.0)
    found = forecast_call(policy, make_call("c"), CELL, 0.0)
    assert (found.verdict, found.reason) == (Verdict.REFUSED, "upstream-closed")
    assert found.retry_after_ms == 500.0


def test_call_behind_a_full_service_waits(make_policy, make_call):
    # A waiting call has an expected time, and is not counted as waiting.
    policy = make_policy(endpoints=1, slots=1)
    policy.submit(make_call("first"), 0.0)
    found = forecast_call(policy, make_call("c"), CELL, 0.0)
    assert found.verdict is Verdict.WAITS
    assert found.wait_ms > 0
    assert policy.admission.waiting == 0
    assert policy.admission.waiting == 0
    policy.pool.handle("e0", EndpointEvent.DRAIN, "test", 0.0)
    assert forecast_call(policy, make_call("c"), CELL, 0.0).reason == "no-upstream"


def test_asking_for_the_next_service_counts_no_call():
    # A split of 1 to 1 would give the next caller the other service.
    shares = (ServiceShare("one", 1.0), ServiceShare("two", 1.0))
    route = Route("r", "h", "/", shares, True, 1000.0, 500.0, 2)
    table = RoutingTable()
    table.activate(GatewayConfig(1, (route,), {}))
    for _ in range(6):
        expected = table.next_service(route)
        assert table.next_service(route) == expected
        assert table.choose_service(route) == expected
