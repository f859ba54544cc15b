"""Refusal of calls that cannot be served in time, and the return of their callers."""

import pytest

from benchmarks.scarcity import SCENARIOS, Replay
from cassiahaven_core.admission import WaitingCall
from cassiahaven_core.load_shedding import MAX_PROMISES, ReturnSchedule
from cassiahaven_core.service import Refuse

[SURGE] = [item for item in SCENARIOS if item.name == "surge"]


class NoPromises(ReturnSchedule):
    """Tells callers when to come back, and does not know them when they do."""

    def promise(self, call, *, soonest_ms, spacing_ms, now_ms):
        return soonest_ms


def forget(policy, zone):
    policy._returns = NoPromises()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_that_come_back_when_told_are_not_refused_again(seed):
    """Guards against the second refusal, the largest loss under 2.2 times the load for 6 s."""
    replay = Replay(SURGE, seed).run()
    before = Replay(SURGE, seed, prepare=forget).run()
    assert replay.total("returned") > 100
    assert before.total("refused_again") > 20
    assert replay.total("refused_again") <= 3
    assert replay.total("served") > before.total("served")
    assert set(replay.reasons) == {"wait-too-long"}  # none waits for its deadline in vain


def refused(name, *, priority=1, deadline_ms=30_000.0):
    return WaitingCall(name, "r", True, deadline_ms, 0.0, priority=priority, return_key=name)


@pytest.fixture
def promise():
    schedule = ReturnSchedule()

    def tell(name, **changes):
        return schedule.promise(
            refused(name, **changes), soonest_ms=100.0, spacing_ms=50.0, now_ms=0.0
        )

    tell.schedule = schedule
    return tell


def test_returns_are_spread_with_the_more_urgent_ones_first(promise):
    """Guards against refused callers that all come back at once."""
    assert [promise("a"), promise("b"), promise("c")] == [100.0, 150.0, 200.0]
    assert [promise("urgent", priority=0), promise("urgent2", priority=0)] == [100.0, 150.0]
    assert promise("d") == 250.0


def test_no_more_is_promised_than_there_is_and_nothing_to_those_that_do_not_wait(promise):
    """Guards against capacity that is kept for callers that give up."""
    assert promise("gives up", deadline_ms=240.0) == 100.0
    assert promise("comes back") == 100.0
    for number in range(MAX_PROMISES + 10):
        promise(str(number), deadline_ms=1e9)
    assert promise.schedule.due_before(1e9, 1, 0.0) == MAX_PROMISES


def test_promise_holds_once_and_only_at_its_time(promise):
    """Guards against callers that retry at once and often, and against callers that never come."""
    for name in ("early", "late", "twice", "twice"):
        promise(name)
    assert not promise.schedule.redeem(refused("early"), 70.0)
    assert promise.schedule.redeem(refused("early"), 85.0)
    assert promise.schedule.redeem(refused("twice"), 260.0)
    assert promise.schedule.redeem(refused("twice"), 260.0)
    assert not promise.schedule.redeem(refused("twice"), 260.0)
    assert not promise.schedule.redeem(refused("late"), 1151.0)


def test_calls_before_its_time_leave_room_for_a_returning_call(make_policy):
    """Guards against new calls that take what a returning call was promised."""
    policy = make_policy(
        endpoints=1, slots=1, cells={"r": make_policy().admission.partner_by_name["parish"].cell}
    )
    policy.pool.typical_latency_ms_by_partner["r"] = 100.0

    def call(name, at_ms, *, target_ms):
        return WaitingCall(
            name, "r", True, at_ms + 3000, at_ms, target_at_ms=at_ms + target_ms, return_key=name
        )

    policy.submit(call("runs", 0.0, target_ms=900.0), 0.0)
    policy.submit(call("waits", 0.0, target_ms=900.0), 0.0)
    assert isinstance(policy.submit(call("back", 0.0, target_ms=150.0), 0.0)[0], Refuse)
    back_ms = policy.retry_after_ms(call("back", 0.0, target_ms=150.0), 0.0)
    [other] = policy.submit(call("other", 90.0, target_ms=250.0), 90.0)
    assert isinstance(other, Refuse)
    assert policy.submit(call("back", back_ms, target_ms=150.0), back_ms) == []
    assert [item.call_id for item in policy.admission.waiting_calls()] == ["waits", "back"]
