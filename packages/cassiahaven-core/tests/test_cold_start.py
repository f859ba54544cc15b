"""Calls to cold endpoints: what all entries together send, replayed on a simulated clock."""

import random

import pytest

from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.cold_start import ColdListings, ColdShare, ColdShares, Contact, parse_cold_ms
from cassiahaven_core.endpoint import CallResult
from cassiahaven_core.lifecycle import EndpointEvent
from cassiahaven_core.pool import Pool
from cassiahaven_core.rate_limit import RateShare
from cassiahaven_core.registry import Registration
from cassiahaven_core.service import Dispatch, ServicePolicy
from cassiahaven_core.table import CellValue
from cassiahaven_standins.cold_fleet import (
    END_MS,
    FAULT_MS,
    FAULTS,
    PER_S,
    SLACK,
    ZONES,
    SimulatedFleet,
    cold_pool,
    make_address,
)

BOUND = PER_S * 1.5 + SLACK  # calls that all entries may send in any second
CELL = CellValue(
    weight=1.0, rate_per_s=1e9, concurrency=1000, queue_limit=100, probe_budget_ms_per_s=0.0
)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("entries, large", [(21, 6), (18, 0)])
def test_all_entries_together_keep_to_what_cold_endpoints_bear(entries, large, fault):
    # Guards against crashes of a zone's 40 endpoints that return cold at once, while entries
    # start, die, hand over or lose contact and each of them has calls for all of them.
    fleet = SimulatedFleet(entries=entries, large=large).run(FAULTS[fault])
    assert fleet.most_in_a_second() <= BOUND
    # The capacity is used where nothing happens.
    assert fleet.sent_between(4000.0, FAULT_MS) >= PER_S * 0.6
    assert fleet.sent_between(15_000.0, END_MS) >= PER_S * 0.3


@pytest.mark.parametrize("fault", ["55 % are killed", "a third is cut off as a group"])
@pytest.mark.parametrize("entries, large", [(21, 6), (18, 0)])
def test_cold_endpoints_get_calls_while_many_entries_are_lost(entries, large, fault):
    # Guards against a zone that returns cold and serves nothing, as the entries that are left are
    # no more than half, or wait to take over shares.
    fleet = SimulatedFleet(entries=entries, large=large).run(FAULTS[fault])
    assert fleet.sent_between(FAULT_MS, FAULT_MS + 6000.0) >= PER_S * 0.5


def test_entries_of_a_small_fleet_without_contact_share_what_cold_endpoints_bear():
    # Guards against endpoints that get no calls while they are cold since half of two entries is
    # dead, and against more calls than they bear from entries that do not see each other.
    fleet = SimulatedFleet(entries=6, large=6)
    fleet.run(lambda it: it.group_by_name.update({m.name: m.name for m in it.members}))
    assert fleet.most_in_a_second() <= BOUND
    assert fleet.sent_between(10_000.0, END_MS) >= PER_S * 0.6


def make_policy(pool):
    admission = Admission()
    admission.set_cell("p", CELL, 0.0)
    return ServicePolicy("s", pool, admission)


def submit(policy, number, now_ms, deadline_ms=2000.0):
    call = WaitingCall(f"c{number}", "p", True, now_ms + deadline_ms, now_ms)
    return policy.submit(call, now_ms)


def mixed_pool(*, cold=10, warm=20):
    pool = cold_pool([])
    addresses = [make_address(f"cold{n}") for n in range(cold)]
    addresses += [make_address(f"far{n}", zone="b", cold_ends_ms=0.0) for n in range(warm)]
    pool.set_endpoints(addresses, 0.0)
    return pool


def test_calls_go_to_warm_endpoints_of_another_zone_while_their_own_is_cold():
    # Guards against calls that wait for a cold endpoint while a warm one has a free slot.
    policy = make_policy(mixed_pool())
    effects = [effect for number in range(20) for effect in submit(policy, number, 10.0)]
    assert [type(effect) for effect in effects] == [Dispatch] * 20
    assert all(effect.address.endpoint.startswith("far") for effect in effects)


def test_cold_endpoints_do_not_count_as_full_slots():
    # Guards against waits that are promised on capacity that a third of the endpoints lacks.
    pool = mixed_pool(cold=10, warm=20)
    assert pool.usable_slots(200.0, 10.0) == 20 * 1 + 10 * PER_S * 0.2


def test_calls_wait_for_their_turn_if_all_endpoints_are_cold():
    policy = make_policy(cold_pool(["e0"]))
    assert submit(policy, 0, 10.0) == []
    assert policy.tick(300.0) == []
    assert [type(effect) for effect in policy.tick(400.0)] == [Dispatch]


def test_probes_of_cold_endpoints_count_as_calls():
    # Guards against a burst of health checks when a zone returns cold.
    pool = cold_pool(["e0", "e1"])
    assert not pool.try_spend_probe("e0", rate_per_s=15.0, now_ms=1000.0)
    for number in range(3):
        pool.start(pool.endpoint_by_id["e0"], str(number), "k", 1000.0)
        pool.finish("e0", str(number), CallResult.CONNECTION_LOST, 1000.0)
    trials = [now for now in range(2000, 12_000, 20) if _try(pool, now)]
    assert 1 <= len(trials) <= 10 * PER_S
    assert min(b - a for a, b in zip(trials, trials[1:], strict=False)) >= 400


def _try(pool, now_ms):
    address = pool.start_probe_trial(float(now_ms))
    if address is None:
        return False
    pool.handle(address.endpoint, EndpointEvent.FAILING, "probe failed", float(now_ms))
    return True


def test_endpoint_takes_one_more_call_for_each_success_after_it_became_warm():
    # Guards against a burst from all entries at the end of the cold time.
    pool = cold_pool(["e0"])
    pool.record_cold("e0", "1", 1000.0, 0.0)
    started = []
    for _ in range(2):
        while (endpoint := pool.choose(1000.0, idempotent=False)) is not None:
            started.append(str(len(started)))
            pool.start(endpoint, started[-1], "k", 1000.0)
            pool.mark_sent("e0", started[-1])
        assert pool.endpoint_by_id["e0"].in_flight == (1 if len(started) == 1 else 2)
        pool.finish("e0", started[0], CallResult.OK, 1100.0)
    assert not pool.try_spend_probe("e0", rate_per_s=15.0, now_ms=1001.0)


def test_endpoint_that_says_it_is_cold_is_cold_again_until_it_says_otherwise():
    pool = cold_pool([])
    pool.set_endpoints([make_address("e0", cold_ends_ms=0.0)], 0.0)
    assert pool.opens_in_ms(5.0) == 0
    pool.record_cold("e0", "other start", 3000.0, 10.0)
    assert pool.opens_in_ms(10.0) == 0
    pool.record_cold("e0", "1", 3000.0, 10.0)
    assert pool.opens_in_ms(10.0) == 1000 / PER_S
    pool.record_cold("e0", "1", 0.0, 20.0)
    assert pool.opens_in_ms(20.0) == 0


def test_services_without_a_limit_are_as_before():
    pool = Pool(rng=random.Random(1))
    pool.set_endpoints([make_address("e0")], 0.0)
    pool.record_cold("e0", "1", 3000.0, 0.0)
    assert pool.usable_slots(100.0, 0.0) == 3
    for number in range(3):
        pool.start(pool.choose(0.0, idempotent=True), str(number), "k", 0.0)
    assert pool.try_spend_probe("e0", rate_per_s=15.0, now_ms=0.0)
    assert pool.serving_rate_per_s() == float("inf")


def test_entry_that_was_frozen_gets_its_share_back_only_after_the_takeover_time():
    # Guards against calls of an entry whose share another one has taken over meanwhile.
    shares = ColdShares("n0", ZONES, SLACK)
    options = {"members": 20, "contact": Contact.MAJOR}
    for now_ms in range(0, 2001, 250):
        share = shares.update({"n0": "a", "n1": "b"}, now_ms=now_ms, **options)
    assert share.rate_per_s(PER_S, "a") == PER_S * 0.8
    frozen = shares.update({"n0": "a"}, now_ms=6000.0, **options)
    assert frozen.rate_per_s(PER_S, "a") == 0
    assert share.ends_ms < 6000.0


def test_starts_are_cold_by_their_age_and_by_their_registration():
    # Guards against entries that take all endpoints for cold when they restart themselves.
    def item(name, born_ms, cold_ms=0.0):
        return Registration(name, "s", "h", 1, "a", 3, False, born_ms, cold_ms)

    unix_ms = 1_800_000_000_000
    young, old = item("young", unix_ms - 1000), item("old", unix_ms - 60_000)
    future, says = item("future", unix_ms + 10**9), item("says", unix_ms - 60_000, 2500.0)
    listings = ColdListings()
    listings.observe([young, old, future, says], 100.0, unix_ms)
    listings.observe([young, old, future, says], 900.0, unix_ms + 800)
    assert listings.ends_ms(young, 4000.0) == 3100.0
    assert listings.ends_ms(old, 4000.0) < 100.0
    assert listings.ends_ms(future, 4000.0) < 100.0
    assert listings.ends_ms(says, 4000.0) == 2600.0


def test_registration_that_is_no_longer_cold_ends_the_cold_time():
    # Guards against an entry that learned an old registration of a peer, and takes the endpoint for
    # cold up to the whole cold time after it said that it is warm.
    cold = Registration("e0", "s", "h", 1, "a", 3, False, 1_799_999_940_000, 3000.0)
    warm = Registration("e0", "s", "h", 1, "a", 3, False, 1_799_999_940_000, 0.0)
    listings, pool = ColdListings(), cold_pool([])
    for item, now_ms in ((cold, 0.0), (warm, 200.0)):
        listings.observe([item], now_ms, 1_800_000_000_000 + now_ms)
        ends_ms = listings.ends_ms(item, 4000.0)
        pool.set_endpoints([make_address("e0", cold_ends_ms=ends_ms)], now_ms)
        assert pool.is_cold("e0") == (item is cold)
    # What the endpoint itself said later counts, whatever its registration says.
    listings.observe([cold], 300.0, 1_800_000_000_300)
    pool.set_endpoints([make_address("e0", cold_ends_ms=listings.ends_ms(cold, 4000.0))], 300.0)
    pool.record_cold("e0", "1", 1000.0, 400.0)
    listings.observe([warm], 500.0, 1_800_000_000_500)
    pool.set_endpoints([make_address("e0", cold_ends_ms=listings.ends_ms(warm, 4000.0))], 500.0)
    assert pool.cold_left_ms_by_name(500.0) == {"e0": 900.0}
    # A start that is young is cold, whatever its registration says.
    young = Registration("e1", "s", "h", 1, "a", 3, False, 1_800_000_000_000)
    listings.observe([young], 600.0, 1_800_000_000_600)
    assert listings.ends_ms(young, 4000.0) == 4000.0


@pytest.mark.parametrize(
    "text, value", [("1500", 1500.0), ("0", 0.0), ("", None), ("-1", None), ("1e3", None)]
)
def test_remaining_time_is_read(text, value):
    assert parse_cold_ms(text) == value


def test_rate_limit_of_a_cold_endpoint_still_counts():
    pool = cold_pool(["e0"])
    pool.set_rate_share(RateShare("a", size_by_zone={"a": 1}), 0.0)
    pool.apply_rate_limit("e0", "none", 0.5, 0.0)
    assert pool.serving_rate_per_s() == 0.5


def two_zone_policy():
    pool = Pool(rng=random.Random(1))
    zones = {"a1": "a", "a2": "a", "b1": "b"}
    pool.set_endpoints(
        [make_address(name, zone=zone, cold_ends_ms=0.0) for name, zone in zones.items()], 0.0
    )
    return make_policy(pool)


def test_evacuated_zone_gets_no_assigned_call_and_waiting_calls_go_elsewhere():
    # Guards against calls that reach an evacuated zone since they were assigned before.
    policy = two_zone_policy()
    [in_a] = submit(policy, 0, 0.0)
    assert in_a.address.availability_zone == "a"
    policy.pool.set_evacuated(frozenset({"a"}), 1.0)
    assert not policy.pool.may_send(in_a.address, 1.0)
    call = WaitingCall(in_a.call_id, "p", True, 2000.0, 0.0)
    placed = policy.place_again(call, in_a.address.endpoint, frozenset(), 1.0)
    assert [effect.address.endpoint for effect in placed] == ["b1"]
    assert submit(policy, 1, 2.0) == []  # waits for a slot of the other zone
    policy.pool.set_evacuated(frozenset({"a", "b"}), 3.0)
    assert not policy.pool.has_serving_endpoint()


def test_ejected_endpoint_of_an_evacuated_zone_gets_no_trial():
    pool = two_zone_policy().pool
    pool.handle("a1", EndpointEvent.FAILING, "failed", 0.0)
    pool.set_evacuated(frozenset({"a"}), 1.0)
    assert pool.start_probe_trial(60_000.0) is None
    assert not pool.has_due_trial(60_000.0)
    assert not pool.try_spend_probe("a2", rate_per_s=15.0, now_ms=60_000.0)
    pool.set_evacuated(frozenset(), 60_000.0)
    assert pool.has_due_trial(60_000.0)


def test_zone_returns_from_an_evacuation_step_by_step():
    # Guards against a burst on endpoints that may be cold, from all entries at once.
    policy = two_zone_policy()
    policy.pool.set_evacuated(frozenset({"a"}), 0.0)
    policy.pool.set_evacuated(frozenset(), 10.0)
    for number in range(10):
        submit(policy, number, 20.0)
    in_flight = {name: item.in_flight for name, item in policy.pool.endpoint_by_id.items()}
    assert in_flight == {"a1": 1, "a2": 1, "b1": 1}


def test_refused_connection_lets_the_endpoint_return_step_by_step():
    # Guards against full load on a process that starts anew under its old registration.
    pool = cold_pool([])
    pool.set_endpoints([make_address("e0", cold_ends_ms=0.0)], 0.0)
    pool.start(pool.endpoint_by_id["e0"], "c", "k", 0.0)
    pool.finish("e0", "c", CallResult.CONNECT_FAILED, 1.0)
    pool.start(pool.choose(2.0, idempotent=False), "d", "k", 2.0)
    assert pool.choose(2.0, idempotent=False) is None


def test_entry_without_a_share_refuses_until_the_endpoints_are_warm():
    # Guards against callers that are sent back at once to an entry that cannot serve them yet.
    pool = cold_pool([], share=ColdShare({}, 0.0))
    pool.set_endpoints([make_address("e0", cold_ends_ms=3000.0)], 0.0)
    policy = make_policy(pool)
    [refused] = submit(policy, 0, 10.0, deadline_ms=1000.0)
    call = WaitingCall(refused.call_id, "p", True, 1010.0, 10.0)
    assert policy.retry_after_ms(call, 10.0) == 2990.0
