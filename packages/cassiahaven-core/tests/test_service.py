"""Endpoint selection, admission limits, fair queueing and retries of one service."""

from collections import Counter
from dataclasses import replace

from cassiahaven_core.endpoint import CallResult
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.endpoint_gate import SlotShare
from cassiahaven_core.lifecycle import EndpointEvent, EndpointStatus
from cassiahaven_core.reason import RefusalReason
from cassiahaven_core.retry import RetryLimits
from cassiahaven_core.service import Dispatch, Refuse
from cassiahaven_core.table import CellValue

CELL = CellValue(
    weight=1.0, rate_per_s=1e9, concurrency=1000, queue_limit=100, probe_budget_ms_per_s=0.0
)


def test_calls_spread_over_free_endpoints(make_policy, make_call):
    policy = make_policy(endpoints=3, slots=2)
    used = Counter(
        policy.submit(make_call(str(number)), 0.0)[0].address.endpoint for number in range(6)
    )
    assert used == {"e0": 2, "e1": 2, "e2": 2}


def test_waiting_call_is_sent_when_a_slot_is_free(make_policy, make_call):
    policy = make_policy(endpoints=1, slots=1)
    first, second = make_call("1"), make_call("2")
    policy.submit(first, 0.0)
    assert policy.submit(second, 1.0) == []
    effects = policy.finish(first, "e0", CallResult.OK, 5.0)
    assert effects == [Dispatch("2", policy.pool.endpoint_by_id["e0"].address, 5.0)]


def test_call_past_its_deadline_is_refused_before_it_is_sent(make_policy, make_call):
    policy = make_policy(endpoints=1, slots=1)
    first = make_call("1")
    policy.submit(first, 0.0)
    policy.submit(make_call("2", deadline_ms=50.0), 1.0)
    effects = policy.finish(first, "e0", CallResult.OK, 50.0)
    assert effects == [Refuse("2", RefusalReason.DEADLINE_EXCEEDED)]
    assert policy.submit(make_call("3", deadline_ms=40.0), 50.0) == [
        Refuse("3", RefusalReason.DEADLINE_EXCEEDED)
    ]


def test_call_that_cannot_be_served_in_time_is_refused_at_once(make_policy, make_call):
    policy = make_policy(endpoints=1, slots=1)
    for number in range(20):
        policy.submit(make_call(str(number)), 0.0)
    effects = policy.submit(make_call("late", deadline_ms=30.0), 0.0)
    assert effects == [Refuse("late", RefusalReason.WAIT_TOO_LONG)]


def test_queue_limit_blocked_partner_and_rate_limit(make_policy, make_call):
    cells = {
        "parish": replace(CELL, queue_limit=1),
        "printer": replace(CELL, weight=0.0),
        "clinic": replace(CELL, rate_per_s=2.0),
    }
    policy = make_policy(endpoints=1, slots=1, cells=cells)
    policy.submit(make_call("1"), 0.0)
    policy.submit(make_call("2"), 0.0)
    assert policy.submit(make_call("3"), 0.0) == [Refuse("3", RefusalReason.QUEUE_FULL)]
    blocked = policy.submit(make_call("4", partner="printer"), 0.0)
    assert blocked == [Refuse("4", RefusalReason.PARTNER_BLOCKED)]
    reasons = [policy.submit(make_call(f"c{n}", partner="clinic"), 0.0) for n in range(3)]
    assert reasons[2] == [Refuse("c2", RefusalReason.RATE_LIMITED)]
    assert policy.submit(make_call("c3", partner="clinic"), 600.0) == []


def test_concurrency_limit_leaves_slots_to_other_partners(make_policy, make_call):
    cells = {"parish": CELL, "printer": replace(CELL, concurrency=1)}
    policy = make_policy(endpoints=1, slots=4, cells=cells)
    for number in range(3):
        policy.submit(make_call(f"b{number}", partner="printer"), 0.0)
    assert policy.admission.partner_by_name["printer"].in_flight == 1
    assert isinstance(policy.submit(make_call("p"), 0.0)[0], Dispatch)


def test_waiting_partners_share_by_weight(make_policy, make_call):
    cells = {"parish": replace(CELL, weight=3.0), "printer": CELL}
    policy = make_policy(endpoints=1, slots=1, cells=cells)
    running = make_call("first")
    policy.submit(running, 0.0)
    calls = {}
    for number in range(40):
        for partner in ("printer", "parish"):
            call = make_call(f"{partner}{number}", partner=partner)
            calls[call.call_id] = call
            policy.submit(call, 0.0)
    served = Counter()
    now_ms = 0.0
    for _ in range(40):
        now_ms += 5.0
        [effect] = policy.finish(running, "e0", CallResult.OK, now_ms)
        running = calls[effect.call_id]
        served[running.partner] += 1
    assert 28 <= served["parish"] <= 32


def test_endpoint_with_slow_running_call_is_avoided(make_policy, make_call):
    policy = make_policy(endpoints=2, slots=4)
    first = policy.submit(make_call("slow"), 0.0)[0].address.endpoint
    later = [policy.submit(make_call(str(n)), 100.0)[0].address.endpoint for n in range(3)]
    assert first not in later


def test_fast_failing_endpoint_gets_few_calls_and_recovers_by_trial(make_policy, make_call):
    policy = make_policy(endpoints=3, slots=2)
    now_ms, failures = 0.0, 0
    for number in range(200):
        now_ms += 1.0
        call = make_call(str(number), deadline_ms=now_ms + 100, arrived_ms=now_ms)
        endpoint = policy.submit(call, now_ms)[0].address.endpoint
        failures += endpoint == "e1"
        result = CallResult.SERVER_ERROR if endpoint == "e1" else CallResult.OK
        policy.finish(call, endpoint, result, now_ms + 0.2)
    assert failures <= 3
    for number in range(3):
        policy.pool.start(policy.pool.endpoint_by_id["e1"], f"x{number}", "parish", now_ms)
        policy.pool.finish("e1", f"x{number}", CallResult.SERVER_ERROR, now_ms)
    assert policy.pool.endpoint_by_id["e1"].status is EndpointStatus.EJECTED
    order = make_call("order", idempotent=False, deadline_ms=9999.0)
    assert policy.submit(order, now_ms + 1500)[0].address.endpoint != "e1"
    trial = make_call("trial", deadline_ms=9999.0)
    assert policy.submit(trial, now_ms + 1500)[0].address.endpoint == "e1"
    policy.finish(trial, "e1", CallResult.OK, now_ms + 1505)
    assert policy.pool.endpoint_by_id["e1"].status is EndpointStatus.COLD


def test_ejection_keeps_half_of_the_endpoints(make_policy, make_call):
    policy = make_policy(endpoints=4, slots=2)
    for number in range(300):
        now_ms = float(number)
        call = make_call(str(number), deadline_ms=now_ms + 100, arrived_ms=now_ms)
        [effect] = policy.submit(call, now_ms)
        assert isinstance(effect, Dispatch)
        policy.finish(call, effect.address.endpoint, CallResult.CONNECT_FAILED, now_ms)
    serving = [item for item in policy.pool.endpoint_by_id.values() if item.is_serving]
    assert len(serving) == 2


def test_retries_stay_within_a_tenth_of_the_calls_when_everything_fails(make_policy, make_call):
    policy = make_policy(endpoints=6, slots=2)
    retries = 0
    for number in range(1000):
        now_ms = float(number)
        call = make_call(str(number), deadline_ms=now_ms + 100, arrived_ms=now_ms)
        [effect] = policy.submit(call, now_ms)
        tried = frozenset({effect.address.endpoint})
        policy.finish(call, effect.address.endpoint, CallResult.CONNECT_FAILED, now_ms)
        while retry := policy.retry(call, CallResult.CONNECT_FAILED, tried, now_ms):
            retries += 1
            [effect] = retry[1]
            tried |= {effect.address.endpoint}
            policy.finish(call, effect.address.endpoint, CallResult.CONNECT_FAILED, now_ms)
    assert retries <= 100 + RetryLimits().slack


def test_non_idempotent_call_is_retried_only_if_it_was_not_run(make_policy, make_call):
    policy = make_policy()
    call = make_call("order", idempotent=False)
    [effect] = policy.submit(call, 0.0)
    tried = frozenset({effect.address.endpoint})
    policy.finish(call, effect.address.endpoint, CallResult.CONNECTION_LOST, 1.0)
    for result in (CallResult.CONNECTION_LOST, CallResult.TIMEOUT, CallResult.SERVER_ERROR):
        assert policy.retry(call, result, tried, 1.0) is None
    _, [dispatch] = policy.retry(call, CallResult.REFUSED, tried, 1.0)
    assert dispatch.address.endpoint not in tried


def test_retry_waits_for_a_slot_at_another_endpoint(make_policy, make_call):
    policy = make_policy(endpoints=2, slots=1)
    first, second = make_call("1"), make_call("2")
    [failed] = policy.submit(first, 0.0)
    [busy] = policy.submit(second, 0.0)
    policy.finish(first, failed.address.endpoint, CallResult.CONNECT_FAILED, 1.0)
    tried = frozenset({failed.address.endpoint})
    _, effects = policy.retry(first, CallResult.CONNECT_FAILED, tried, 1.0)
    assert effects == []
    [sent] = policy.finish(second, busy.address.endpoint, CallResult.OK, 5.0)
    assert (sent.call_id, sent.address) == ("1", busy.address)


def test_retry_without_untried_endpoint_does_not_block_queue(make_policy, make_call):
    policy = make_policy(endpoints=2, slots=1)
    first, second = make_call("1"), make_call("2")
    [failed] = policy.submit(first, 0.0)
    [busy] = policy.submit(second, 0.0)
    policy.finish(first, failed.address.endpoint, CallResult.CONNECT_FAILED, 1.0)
    policy.retry(first, CallResult.CONNECT_FAILED, frozenset({failed.address.endpoint}), 1.0)
    policy.pool.handle(busy.address.endpoint, EndpointEvent.DRAIN, "VM list", 2.0)
    [refused, sent] = policy.submit(make_call("3"), 2.0)
    assert refused == Refuse("1", RefusalReason.NO_UPSTREAM)
    assert (sent.call_id, sent.address) == ("3", failed.address)


def test_draining_endpoint_gets_no_calls_and_stays_draining_when_relisted(make_policy, make_call):
    policy = make_policy(endpoints=2, slots=4)
    policy.pool.handle("e0", EndpointEvent.DRAIN, "VM list", 0.0)
    listed = [item.address for item in policy.pool.endpoint_by_id.values()]
    policy.pool.set_endpoints(listed, 1.0)
    used = {policy.submit(make_call(str(n)), 1.0)[0].address.endpoint for n in range(4)}
    assert used == {"e1"}
    policy.pool.set_endpoints([replace(item, incarnation="2") for item in listed], 2.0)
    assert policy.pool.endpoint_by_id["e0"].status is EndpointStatus.COLD


def test_waiting_calls_are_refused_once_no_endpoint_is_left(make_policy, make_call):
    policy = make_policy(endpoints=1, slots=1)
    policy.submit(make_call("1"), 0.0)
    policy.submit(make_call("2"), 0.0)
    policy.pool.handle("e0", EndpointEvent.DRAIN, "operator", 1.0)
    assert policy.tick(1.0) == [Refuse("2", RefusalReason.NO_UPSTREAM)]
    assert policy.submit(make_call("3"), 2.0) == [Refuse("3", RefusalReason.NO_UPSTREAM)]


def test_slot_shares_of_all_members_add_up_to_the_slots():
    for size in range(1, 8):
        for slots in range(1, 9):
            address = EndpointAddress("e", "1", "zone", "127.0.0.1", 1, slots)
            shares = [SlotShare(position, size).slots(address) for position in range(size)]
            assert sum(shares) == slots
            assert max(shares) - min(shares) <= 1


def test_distant_endpoints_are_used_only_when_near_ones_are_full(make_policy, make_call):
    policy = make_policy(endpoints=0)
    near = EndpointAddress("near", "1", "a", "127.0.0.1", 1, 2)
    far = EndpointAddress("far", "1", "b", "127.0.0.1", 1, 2, distance_ms=1.5)
    policy.pool.set_endpoints([far, near], 0.0)
    used = [policy.submit(make_call(str(n)), 0.0)[0].address.endpoint for n in range(3)]
    assert used == ["near", "near", "far"]
