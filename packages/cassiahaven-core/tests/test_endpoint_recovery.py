"""Return of endpoints that were unreachable or turned calls away, without a network."""

import pytest

from benchmarks.scarcity import Replay, Scenario
from cassiahaven_core.endpoint import CallResult, LoadReport, ProbeFailed
from cassiahaven_core.lifecycle import EndpointStatus

GONE_FROM_MS, BACK_MS = 5000.0, 10_000.0
# Lookups and payments as in the deployments; two zones have just enough slots for the third.
OUTAGE = Scenario(
    "zone gone",
    {"a": 8, "b": 8, "c": 8},
    0.5,
    unreachable=(("a", GONE_FROM_MS, BACK_MS),),
    is_noisy=False,
)


def answers_of_zone(replay: Replay, start_ms: float, end_ms: float) -> int:
    return sum(
        start_ms <= at_ms < end_ms
        for name, served_at in replay.served_at.items()
        if name.startswith("a")
        for at_ms in served_at
    )


@pytest.mark.parametrize("seed", range(4))
def test_unreachable_zone_is_in_full_use_two_seconds_after_its_return(seed):
    """Guards against trials that double up to 30 s and keep a zone out long after it is back."""
    replay = Replay(OUTAGE, seed).run()
    before = answers_of_zone(replay, GONE_FROM_MS - 3000, GONE_FROM_MS)
    after = answers_of_zone(replay, BACK_MS + 1000, BACK_MS + 4000)
    assert after > before * 0.75


def fail(policy, call, endpoint, now_ms, result, count=1):
    for number in range(count):
        item = call(f"f{now_ms}-{number}", arrived_ms=now_ms)
        policy.pool.start(policy.pool.endpoint_by_id[endpoint], item.call_id, "parish", now_ms)
        policy.pool.finish(endpoint, item.call_id, result, now_ms)


def probe(policy, report, now_ms):
    address = policy.pool.start_probe_trial(now_ms)
    if address is not None:
        policy.pool.finish_probe_trial(address.endpoint, report, now_ms)
    return address


@pytest.mark.parametrize(
    "unusable", [ProbeFailed("timed out"), LoadReport(2, 3)], ids=["silent", "full"]
)
def test_endpoint_that_cost_calls_returns_once_a_probe_finds_it_usable_again(
    make_policy, make_call, unusable
):
    """Guards against an endpoint that lost calls for 8 s and was tried again after 16 s more."""
    policy = make_policy(endpoints=3, slots=2)
    e0 = policy.pool.endpoint_by_id["e0"]
    fail(policy, make_call, "e0", 0.0, CallResult.UNANSWERED, 3)
    e0.ejections = 5
    assert e0.gate.room == 1
    probed_ms = [at for at in range(0, 8000, 20) if probe(policy, unusable, float(at))]
    assert 6 <= len(probed_ms) <= 9
    # Calls leave the trials to the probes, whose failure costs no caller its call.
    assert not policy.pool.has_due_trial(8000.0)
    for at_ms in range(8000, 9300, 20):
        probe(policy, LoadReport(0), float(at_ms))
    assert e0.is_serving
    assert e0.gate.most_in_flight == 2
    assert e0.ejections == 0


def test_refused_trials_are_repeated_every_second_but_bounded_over_all_endpoints(
    make_policy, make_call
):
    """Guards against a zone's ejected endpoints that use up the retries of all calls."""
    policy = make_policy(endpoints=40, slots=3)
    names = [f"e{number}" for number in range(20)]
    for name in names:
        fail(policy, make_call, name, 0.0, CallResult.CONNECT_FAILED, 3)
    trials = []
    for at_ms in range(0, 10_000, 10):
        endpoint = policy.pool.choose(float(at_ms), idempotent=True)
        if endpoint.status is EndpointStatus.TRIAL:
            trials.append(endpoint.address.endpoint)
            fail(policy, make_call, endpoint.address.endpoint, at_ms, CallResult.CONNECT_FAILED)
    assert set(trials) == set(names)
    assert 40 <= len(trials) <= 50
    assert all(policy.pool.endpoint_by_id[name].ejections == 0 for name in names)


def test_returned_endpoint_gets_one_more_call_in_flight_for_each_success(make_policy, make_call):
    """Guards against all waiting calls rushing to an endpoint the moment it is back."""
    policy = make_policy(endpoints=2, slots=6)
    fail(policy, make_call, "e0", 0.0, CallResult.REFUSED, 3)
    for at_ms in range(1000, 1400, 20):
        probe(policy, LoadReport(0), float(at_ms))
    calls = [make_call(str(n), arrived_ms=1500.0, deadline_ms=9999.0) for n in range(11)]
    used = [policy.submit(item, 1500.0) for item in calls]
    sent = [item.address.endpoint for effects in used for item in effects]
    assert sent.count("e0") == 2
    first = sent.index("e0")
    effects = policy.finish(calls[first], "e0", CallResult.OK, 1600.0)
    assert [item.address.endpoint for item in effects].count("e0") == 2


@pytest.mark.parametrize(
    "report", [ProbeFailed("refused"), LoadReport(0, 0, 5.0)], ids=["failed", "slow"]
)
def test_endpoint_whose_trial_moved_elsewhere_is_tried_again(make_policy, make_call, report):
    """Guards against an endpoint that stays out for good, as no call is left to end its trial."""
    policy = make_policy(endpoints=2, slots=2)
    fail(policy, make_call, "e0", 0.0, CallResult.CONNECT_FAILED, 3)
    call = make_call("trial", arrived_ms=1000.0, deadline_ms=9000.0)
    [effect] = policy.submit(call, 1000.0)
    assert effect.address.endpoint == "e0"
    assert policy.apply_probe(call, "e0", report, 1000.0).address.endpoint == "e1"
    assert policy.pool.endpoint_by_id["e0"].status is EndpointStatus.EJECTED
    for at_ms in range(1020, 2100, 20):
        probe(policy, LoadReport(0), float(at_ms))
    assert policy.pool.endpoint_by_id["e0"].is_serving
