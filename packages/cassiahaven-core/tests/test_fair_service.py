"""Loads beyond the capacity, replayed against the decision which account is served."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, replace
from itertools import count

import pytest

from cassiahaven_core.account import combined_priority
from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.endpoint import CallResult
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.fair_service import WINDOW_MS, FairService
from cassiahaven_core.pool import Pool
from cassiahaven_core.service import Dispatch, ServicePolicy
from cassiahaven_core.table import BUILT_IN_DEFAULTS

WORK_MS = 100.0
SLOTS = 10
CAPACITY_PER_S = SLOTS * 1000 / WORK_MS
TICK_MS = 20.0
LOAD_MS = 20_000.0
SURGE_MS = 14_000.0  # surges last 5 to 8 s
BOUND = 0.25


@dataclass(frozen=True)
class Source:
    """Calls of one account to one route, with ``surge`` times as many from ``SURGE_MS`` on."""

    account: str
    per_s: float
    priority: int = 0
    route_priority: int = 0
    surge: float = 1.0


class Replay:
    """Send calls to a service and count for each account and route what was asked and served."""

    def __init__(self, *, seed, fair_service, retrying_share=0.0, judged_from_ms=0.0):
        self.rng = random.Random(seed)
        self.fair_service = fair_service
        pool = Pool(rng=random.Random(seed))
        endpoints = [EndpointAddress(f"e{n}", "1", "zone", "h", 1, 1) for n in range(SLOTS)]
        pool.set_endpoints(endpoints, 0.0)
        self.policy = ServicePolicy("s", pool, Admission(fair_service=fair_service))
        self.retrying_share = retrying_share
        self.judged_from_ms = judged_from_ms
        self.asked, self.served = Counter(), Counter()
        self.call_by_id = {}
        self.numbers = count()
        self.events = []

    def run(self, sources):
        for source in sources:
            self.policy.admission.set_cell(source.account, BUILT_IN_DEFAULTS, 0.0)
            at_ms = 0.0
            while at_ms < LOAD_MS:
                retries = 3 if self.rng.random() < self.retrying_share else 0
                self.at(at_ms + self.rng.random(), self.ask, source, retries)
                per_s = source.per_s * (source.surge if at_ms >= SURGE_MS else 1.0)
                at_ms += self.rng.expovariate(per_s) * 1000
        for number in range(int(LOAD_MS / TICK_MS)):
            self.at(number * TICK_MS, lambda now_ms: self.apply(self.policy.tick(now_ms), now_ms))
        while self.events:
            now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments, now_ms)
        return self

    def at(self, at_ms, action, *arguments):
        heapq.heappush(self.events, (at_ms, next(self.numbers), action, arguments))

    def ask(self, source, retries, now_ms):
        call = WaitingCall(
            str(next(self.numbers)),
            source.account,
            True,
            now_ms + 2000.0,
            now_ms,
            priority=combined_priority(source.priority, source.route_priority),
            target_at_ms=now_ms + 500.0,
            work_class="route",
        )
        self.call_by_id[call.call_id] = (call, source, retries)
        self.apply(self.policy.submit(call, now_ms), now_ms)

    def apply(self, effects, now_ms):
        for effect in effects:
            call, _, _ = self.call_by_id[effect.call_id]
            if isinstance(effect, Dispatch):
                self.policy.pool.mark_sent(effect.address.endpoint, call.call_id)
                ends_ms = now_ms + WORK_MS * self.rng.uniform(0.8, 1.2)
                self.at(ends_ms, self.finish, call, effect.address.endpoint)
            else:
                self.end(call, False, now_ms)

    def finish(self, call, endpoint, now_ms):
        effects = self.policy.finish(call, endpoint, CallResult.OK, now_ms)
        self.end(call, True, now_ms)
        self.apply(effects, now_ms)

    def end(self, call, is_served, now_ms):
        _, source, retries = self.call_by_id.pop(call.call_id)
        self.fair_service.record(call.partner, is_served=is_served, now_ms=now_ms)
        if call.arrived_ms >= self.judged_from_ms:
            for key in (source.account, source.route_priority, "all"):
                self.asked[key] += 1
                self.served[key] += is_served
        if not is_served and retries:
            self.at(now_ms + 1.0, self.ask, source, retries - 1)

    def share(self, key="all"):
        return self.served[key] / self.asked[key]

    def lowest(self, sources):
        """Return the lowest share of an account in relation to the share of all."""
        return min(self.share(source.account) for source in sources) / self.share()


class Unfair(FairService):
    """The behaviour without the rule."""

    def is_behind(self, account):
        return False


FLOOD = [Source("flood", 30.0, surge=7.0), *(Source(f"a{n}", 3.0, priority=1) for n in range(20))]
SIZES = [200.0 / (n + 1) / 5 for n in range(85)]
EQUAL_FLOOD = [replace(source, priority=0) for source in FLOOD]
RETRYING = [Source(f"a{n}", size, priority=n % 3) for n, size in enumerate(SIZES)]
FULL = [Source(f"a{n}", 9.5, priority=n % 2) for n in range(20)]
LOADS = {
    "an urgent account sends seven times its usual load": (FLOOD, 0.0, SURGE_MS),
    "an equal account sends seven times its usual load": (EQUAL_FLOOD, 0.0, SURGE_MS),
    "callers retry at once": (RETRYING, 0.3, 0.0),
    "urgent accounts nearly fill the capacity": (FULL, 0.0, 0.0),
}


def replay(name, fair_service, seed=1):
    sources, share, from_ms = LOADS[name]
    replayed = Replay(
        seed=seed, fair_service=fair_service, retrying_share=share, judged_from_ms=from_ms
    )
    return replayed.run(sources), replayed.lowest(sources)


@pytest.mark.parametrize("name", LOADS)
def test_no_account_is_served_far_less_often_than_all_together(name):
    replayed, lowest = replay(name, FairService())
    assert lowest >= BOUND
    # The rule costs no capacity.
    judged_s = (LOAD_MS - replayed.judged_from_ms) / 1000
    assert replayed.served["all"] > 0.9 * CAPACITY_PER_S * judged_s


@pytest.mark.parametrize("name", [name for name in LOADS if "equal" not in name])
def test_priority_alone_starves_accounts(name):
    # Guards the test above: these loads must be ones that need the rule.
    assert replay(name, Unfair())[1] < BOUND


@pytest.mark.parametrize("has_account_priority", [True, False])
def test_urgent_calls_that_fit_are_served_and_the_others_get_the_rest(has_account_priority):
    # Calls of an account wait in one queue, in which urgent ones waited behind the others.
    sources = [
        Source(
            f"a{n}", 7.0, priority=urgency if has_account_priority else 0, route_priority=urgency
        )
        for n in range(10)
        for urgency in (0, 1)
    ]
    if has_account_priority:
        sources = [replace(s, account=f"{s.account}/{s.priority}") for s in sources]
    replay = Replay(seed=2, fair_service=FairService()).run(sources)
    assert replay.share(0) > 0.95
    assert replay.share(1) > 0.25
    assert replay.lowest(sources) >= BOUND


def test_account_is_behind_until_its_running_calls_make_up_for_it():
    fair_service = FairService()
    for number in range(10):
        fair_service.record("ada", is_served=True, now_ms=number)
        fair_service.record("bo", is_served=False, now_ms=number)
    assert fair_service.is_behind("bo")
    assert (fair_service.share("bo"), fair_service.overall_share) == (0.0, 0.5)
    assert not fair_service.is_behind("ada")
    assert not fair_service.is_behind("nobody")
    # Until the first of its calls ends, the account would have taken all slots.
    for _ in range(3):
        fair_service.start("bo")
    assert not fair_service.is_behind("bo")
    for _ in range(3):
        fair_service.finish("bo")
    assert fair_service.is_behind("bo")
    fair_service.expire(2 * WINDOW_MS)
    assert not fair_service.is_behind("bo")
    assert fair_service.overall_share is None
