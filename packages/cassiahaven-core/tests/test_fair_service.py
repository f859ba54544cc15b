"""Loads beyond the capacity, replayed against the decision which account is served."""

from dataclasses import replace

import pytest

from cassiahaven_core.fair_service import WINDOW_MS, FairService
from cassiahaven_standins.service_replay import (
    ALL,
    CAPACITY_PER_S,
    SURGE_MS,
    ServiceReplay,
    Source,
)

BOUND = 0.25


class Unfair(FairService):
    """The behaviour without the rule."""

    def is_behind(self, account):
        return False


FLOOD = [Source("flood", 30.0, surge=7.0), *(Source(f"a{n}", 3.0, priority=1) for n in range(20))]
EQUAL_FLOOD = [replace(source, priority=0) for source in FLOOD]
RETRYING = [Source(f"a{n}", 40.0 / (n + 1), priority=n % 3) for n in range(85)]
FULL = [Source(f"a{n}", 9.5, priority=n % 2) for n in range(20)]
LOADS = {
    "an urgent account sends seven times its usual load": (FLOOD, 0.0, SURGE_MS),
    "an equal account sends seven times its usual load": (EQUAL_FLOOD, 0.0, SURGE_MS),
    "callers retry at once": (RETRYING, 0.3, 0.0),
    "urgent accounts nearly fill the capacity": (FULL, 0.0, 0.0),
}


def replay(name, fair_service, seed=1):
    sources, share, from_ms = LOADS[name]
    replayed = ServiceReplay(
        seed=seed, fair_service=fair_service, retrying_share=share, judged_from_ms=from_ms
    )
    replayed.run(sources)
    return replayed


@pytest.mark.parametrize("name", LOADS)
def test_no_account_is_served_far_less_often_than_all_together(name):
    replayed = replay(name, FairService())
    assert replayed.lowest_share() >= BOUND
    # The rule costs no capacity.
    assert replayed.served[ALL] > 0.9 * CAPACITY_PER_S * replayed.judged_s


@pytest.mark.parametrize("name", [name for name in LOADS if "equal" not in name])
def test_priority_alone_starves_accounts(name):
    # Guards the test above: these loads must be ones that need the rule.
    assert replay(name, Unfair()).lowest_share() < BOUND


@pytest.mark.parametrize("has_account_priority", [True, False])
def test_urgent_calls_that_fit_are_served_and_the_others_get_the_rest(has_account_priority):
    # Calls of an account wait in one queue, in which urgent ones waited behind the others.
    sources = [Source(f"a{n}", 7.0, route_priority=p) for n in range(10) for p in (0, 1)]
    if has_account_priority:
        sources = [
            replace(item, account=f"{item.account}/{number % 2}", priority=number % 2)
            for number, item in enumerate(sources)
        ]
    replayed = ServiceReplay(seed=2, fair_service=FairService())
    replayed.run(sources)
    assert replayed.share(0) > 0.95
    assert replayed.share(1) > BOUND
    assert replayed.lowest_share() >= BOUND


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
