"""Calls to cold endpoints: what all entries together send, replayed on a simulated clock."""

import random
from itertools import count

import pytest

from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.cold_start import (
    ColdListings,
    ColdShare,
    ColdShares,
    has_contact,
    parse_cold_ms,
)
from cassiahaven_core.endpoint import CallResult
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.lifecycle import EndpointEvent
from cassiahaven_core.membership import Fleet, Member
from cassiahaven_core.pool import Pool
from cassiahaven_core.rate_limit import RateShare
from cassiahaven_core.registry import Registration
from cassiahaven_core.service import Dispatch, ServicePolicy
from cassiahaven_core.table import CellValue

PER_S = 2.5
SLACK = 8
BOUND = PER_S * 1.5 + SLACK  # calls that all entries may send in any second
ZONES = ("a", "b", "c")
ENDPOINTS = 40
STEP_MS = 25.0
REPORT_MS = 500.0
HOUSEKEEPING_MS = 250.0
FAULT_MS = 6000.0
END_MS = 20_000.0
CELL = CellValue(
    weight=1.0, rate_per_s=1e9, concurrency=1000, queue_limit=100, probe_budget_ms_per_s=0.0
)


def make_address(name, *, zone="a", cold_ends_ms=END_MS * 2):
    distance_ms = 0.0 if zone == "a" else 1.0
    return EndpointAddress(
        name, "1", zone, "h", 1, 3, distance_ms, warm_up_ms=0.0, cold_ends_ms=cold_ends_ms
    )


def cold_pool(names, *, share=None, now_ms=0.0):
    pool = Pool(rng=random.Random(1))
    pool.set_cold_share(share or ColdShare(), now_ms)
    pool.set_cold_limit(PER_S, now_ms)
    pool.set_endpoints([make_address(name) for name in names], now_ms)
    return pool


class SimulatedEntry:
    """An entry that sends to cold endpoints whatever its share lets through."""

    def __init__(self, member, members, now_ms):
        self.fleet = Fleet(member)
        self.fleet.set_members(members)
        self.shares = ColdShares(member.name, ZONES, SLACK)
        self.pool = cold_pool([f"e{n}" for n in range(ENDPOINTS)], share=ColdShare({}, 0.0))
        self.started_ms = now_ms

    def compute_share(self, now_ms):
        serving = {
            item.name: item.availability_zone
            for zone in ZONES
            for item in self.fleet.serving_entries(zone, 0.8, now_ms)
        }
        share = self.shares.update(
            serving,
            members=len(self.fleet.member_by_name),
            is_in_contact=has_contact(self.fleet, now_ms),
            now_ms=now_ms,
        )
        self.pool.set_cold_share(share, now_ms)


class SimulatedFleet:
    """Entries that learn of each other through watchers, all with demand without end."""

    def __init__(self, *, entries, large, seed=1):
        self.rng = random.Random(seed)
        self.members = [
            Member(f"n{n}", "p", ZONES[n % 3], "c:1", "p:1", 2.15 if n < large else 0.43)
            for n in range(entries)
        ]
        self.entry_by_name = {
            member.name: SimulatedEntry(member, self.members, 0.0) for member in self.members
        }
        self.down_until_ms = {}
        self.frozen_until_ms = {}
        self.group_by_name = {}
        self.draining = set()
        self.sent_ms_by_endpoint = {f"e{n}": [] for n in range(ENDPOINTS)}
        self.phase_ms = {m.name: self.rng.randrange(0, 500, 25) for m in self.members}
        self._numbers = count()

    def run(self, fault):
        now_ms = 0.0
        while now_ms < END_MS:
            now_ms += STEP_MS
            if now_ms == FAULT_MS:
                fault(self)
            self.step(now_ms)
        return self

    def step(self, now_ms):
        for name, until_ms in list(self.down_until_ms.items()):
            if now_ms >= until_ms:
                del self.down_until_ms[name]
                member = next(m for m in self.members if m.name == name)
                self.entry_by_name[name] = SimulatedEntry(member, self.members, now_ms)
        for name, entry in self.entry_by_name.items():
            if name in self.down_until_ms or now_ms < self.frozen_until_ms.get(name, 0.0):
                continue
            # An entry that was frozen sends before it learns anything.
            self.send(entry, now_ms)
            if (now_ms + self.phase_ms[name]) % REPORT_MS == 0:
                self.report(name, entry, now_ms)
            if (now_ms + self.phase_ms[name]) % HOUSEKEEPING_MS == 0:
                entry.compute_share(now_ms)

    def send(self, entry, now_ms):
        while (endpoint := entry.pool.choose(now_ms, idempotent=True)) is not None:
            name, call = endpoint.address.endpoint, str(next(self._numbers))
            entry.pool.start(endpoint, call, "k", now_ms)
            entry.pool.mark_sent(name, call)
            entry.pool.finish(name, call, CallResult.OK, now_ms)
            self.sent_ms_by_endpoint[name].append(now_ms)

    def report(self, name, entry, now_ms):
        for watcher in entry.fleet.watchers():
            if self.reaches(name, watcher.name) and watcher.name != name:
                known = self.entry_by_name[watcher.name].fleet
                known.record_report(name, is_draining=name in self.draining, now_ms=now_ms)
        for other, follower in self.entry_by_name.items():
            follows = any(item.name == name for item in follower.fleet.watchers())
            if other != name and follows and self.reaches(name, other):
                follower.fleet.record_watcher_report(
                    name,
                    live=entry.fleet.own_subscribers(now_ms),
                    draining=entry.fleet.draining,
                    store_age_ms=0.0,
                    now_ms=now_ms,
                )

    def reaches(self, name, other):
        if other in self.down_until_ms:
            return False
        return self.group_by_name.get(name) == self.group_by_name.get(other)

    def most_in_a_second(self):
        most = 0
        for sent_ms in self.sent_ms_by_endpoint.values():
            first = 0
            for last, at_ms in enumerate(sent_ms):
                while at_ms - sent_ms[first] > 1000.0:
                    first += 1
                most = max(most, last - first + 1)
        return most

    def sent_between(self, from_ms, to_ms):
        """Return the mean calls a second to one endpoint."""
        sent = sum(
            from_ms <= at_ms < to_ms
            for sent_ms in self.sent_ms_by_endpoint.values()
            for at_ms in sent_ms
        )
        return sent / ENDPOINTS / (to_ms - from_ms) * 1000


def kill(fleet, share):
    names = fleet.rng.sample(sorted(fleet.entry_by_name), int(len(fleet.members) * share))
    for name in names:
        fleet.down_until_ms[name] = FAULT_MS + fleet.rng.randrange(1000, 3500, 25)


def partition_third(fleet, *, is_group):
    for number, member in enumerate(fleet.members):
        if number % 3 == 0:
            fleet.group_by_name[member.name] = "cut off" if is_group else member.name


def freeze_large(fleet):
    for number, member in enumerate(fleet.members[:6]):
        fleet.frozen_until_ms[member.name] = FAULT_MS + 4000.0 + 200 * number


def restart_large(fleet):
    for number, member in enumerate(fleet.members[:6]):
        fleet.down_until_ms[member.name] = FAULT_MS + 1000.0 + 400 * number


FAULTS = {
    "none": lambda fleet: None,
    "all entries are killed": lambda fleet: kill(fleet, 1.0),
    "55 % are killed": lambda fleet: kill(fleet, 0.55),
    "16 % are killed": lambda fleet: kill(fleet, 0.16),
    "a third is cut off as a group": lambda fleet: partition_third(fleet, is_group=True),
    "a third is cut off one by one": lambda fleet: partition_third(fleet, is_group=False),
    "the large ones freeze": freeze_large,
    "the large ones restart": restart_large,
}


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
    options = {"members": 20, "is_in_contact": True}
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
