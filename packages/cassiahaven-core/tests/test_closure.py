"""Calls to endpoints that turn requests away for a time, replayed on a simulated clock.

Most tests are named after the failure that they guard against.
"""

import heapq
import math
import random
from itertools import count

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.closure import MAX_CLOSURE_MS, REOPENING_CALLS, Closure, parse_closure_ms
from cassiahaven_core.endpoint import CallResult
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.lifecycle import EndpointStatus
from cassiahaven_core.pool import MAX_DELISTED_GATES, Pool
from cassiahaven_core.reason import RefusalReason
from cassiahaven_core.service import Dispatch, Refuse, ServicePolicy
from cassiahaven_core.table import CellValue

CELL = CellValue(
    weight=1.0, rate_per_s=1e9, concurrency=1000, queue_limit=1000, probe_budget_ms_per_s=0.0
)
WORK_MS = 100.0
REJECT_MS = 2.0
SPREAD_MS = 500.0
TICK_MS = 20.0
SLOTS = 8
CLOSED_FROM_MS = 3000.0
CLOSED_UNTIL_MS = 9000.0
END_MS = 13_000.0
REQUESTS_WHILE_CLOSED = 2
DEADLINE_MS = 2000.0


def make_address(name, incarnation="1"):
    return EndpointAddress(name, incarnation, "a", "127.0.0.1", 1, SLOTS, warm_up_ms=0.0)


def make_policy(names):
    pool = Pool(rng=random.Random(1))
    pool.set_endpoints([make_address(name) for name in names], 0.0)
    admission = Admission()
    admission.set_cell("p", CELL, 0.0)
    return ServicePolicy("s", pool, admission)


class Replay:
    """One entry with Poisson arrivals, and endpoints of which some are closed for a time.

    Attributes:
        arrivals: Time and endpoint of each request, of calls, retries and probe trials.
        told_ms: When each endpoint first said that it is closed.
        refused: Time, waiting time, reason and Retry-After of each refused call.
    """

    def __init__(self, *, closed, per_s, endpoints=3, closed_until_ms=CLOSED_UNTIL_MS, seed=1):
        self.names = [f"e{number}" for number in range(endpoints)]
        self.policy = make_policy(self.names)
        self.closed = closed
        self.closed_until_ms = closed_until_ms
        self.arrivals = []
        self.told_ms = {}
        self.refused = []
        self.answered_ms = []
        self._rng = random.Random(seed)
        self._per_s = per_s
        self._numbers = count()
        self._events = []
        self._at(0.0, self._arrive)
        self._at(TICK_MS, self._tick)

    def run(self):
        while self._events[0][0] < END_MS:
            now_ms, _, act, details = heapq.heappop(self._events)
            act(now_ms, *details)
        return self

    def _at(self, at_ms, act, *details):
        heapq.heappush(self._events, (at_ms, next(self._numbers), act, details))

    def _arrive(self, now_ms):
        idempotent = self._rng.random() < 0.5
        call = WaitingCall(f"c{next(self._numbers)}", "p", idempotent, now_ms + DEADLINE_MS, now_ms)
        self._apply(self.policy.submit(call, now_ms), now_ms, {call.call_id: call})
        self._at(now_ms + self._rng.expovariate(self._per_s / 1000), self._arrive)

    def _tick(self, now_ms):
        self._apply(self.policy.tick(now_ms), now_ms)
        address = self.policy.pool.start_probe_trial(now_ms)
        if address is not None:
            self.arrivals.append((now_ms, address.endpoint))
        self._at(now_ms + TICK_MS, self._tick)

    def _apply(self, effects, now_ms, known=None):
        self.calls = getattr(self, "calls", {}) | (known or {})
        for effect in effects:
            call = self.calls[effect.call_id]
            if isinstance(effect, Refuse):
                self._refuse(call, effect.reason, now_ms)
                continue
            name = effect.address.endpoint
            self.arrivals.append((now_ms, name))
            is_closed = name in self.closed and CLOSED_FROM_MS <= now_ms < self.closed_until_ms
            took_ms = REJECT_MS if is_closed else self._rng.uniform(0.5, 1.5) * WORK_MS
            self.policy.pool.mark_sent(name, call.call_id)
            self._at(now_ms + took_ms, self._finish, call, name, is_closed)

    def _refuse(self, call, reason, now_ms):
        retry_after_ms = self.policy.retry_after_ms(call, now_ms)
        self.refused.append((now_ms, now_ms - call.arrived_ms, reason, retry_after_ms))

    def _finish(self, now_ms, call, name, is_closed):
        if not is_closed:
            self.answered_ms.append((now_ms, name))
            self._apply(self.policy.finish(call, name, CallResult.OK, now_ms), now_ms)
            return
        self.told_ms.setdefault(name, now_ms)
        self.policy.pool.close_endpoint(name, "1", self.closed_until_ms - now_ms, now_ms)
        self._apply(self.policy.finish(call, name, CallResult.REFUSED, now_ms), now_ms)
        tried = call.tried | {name}
        retry = self.policy.retry(call, CallResult.REFUSED, tried, now_ms)
        if retry is None:
            self._refuse(call, RefusalReason.UPSTREAM_REFUSED, now_ms)
            return
        self.calls[call.call_id] = WaitingCall(
            call.call_id, "p", call.idempotent, call.deadline_ms, call.arrived_ms, tried
        )
        self._apply(retry[1], now_ms)

    def count(self, name, from_ms, to_ms):
        return sum(other == name and from_ms <= at_ms < to_ms for at_ms, other in self.arrivals)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("closed", [("e0",), ("e0", "e1"), ("e0", "e1", "e2")], ids=len)
@pytest.mark.parametrize("per_s", [80.0, 150.0, 400.0])
def test_closed_endpoints_get_more_than_two_requests(closed, per_s, seed):
    replay = Replay(closed=closed, per_s=per_s, seed=seed).run()
    assert set(replay.told_ms) == set(closed)
    for name, told_ms in replay.told_ms.items():
        assert replay.count(name, told_ms + SPREAD_MS, CLOSED_UNTIL_MS) <= REQUESTS_WHILE_CLOSED
    used = {name for at_ms, name in replay.answered_ms if at_ms > CLOSED_UNTIL_MS + 1000.0}
    assert used == set(replay.names)


def test_calls_are_refused_where_neighbours_have_room():
    replay = Replay(closed=("e0", "e1"), per_s=50.0).run()
    assert replay.refused == []


def test_calls_wait_for_their_deadline_where_all_endpoints_are_closed():
    replay = Replay(closed=("e0", "e1", "e2"), per_s=100.0).run()
    from_ms = max(replay.told_ms.values()) + SPREAD_MS
    refused = [item for item in replay.refused if from_ms < item[0] < CLOSED_UNTIL_MS]
    assert len(refused) > 300
    assert {reason for _, _, reason, _ in refused} == {RefusalReason.UPSTREAM_CLOSED}
    assert max(waited_ms for _, waited_ms, _, _ in refused) == 0
    for at_ms, _, _, retry_after_ms in refused:
        assert 0 <= at_ms + retry_after_ms - CLOSED_UNTIL_MS <= 1.0


def test_all_that_waited_goes_to_an_endpoint_that_opens():
    replay = Replay(closed=("e0", "e1", "e2"), per_s=600.0).run()
    for name in replay.names:
        shortest_ms = 0.5 * WORK_MS
        at_once = replay.count(name, CLOSED_UNTIL_MS, CLOSED_UNTIL_MS + shortest_ms)
        assert 1 <= at_once <= REOPENING_CALLS
    later_ms = CLOSED_UNTIL_MS + 2000.0
    assert len([at for at, _ in replay.answered_ms if at > later_ms]) > 200


def test_call_assigned_before_an_endpoint_closed_is_sent_to_it():
    policy = make_policy(["e0", "e1"])
    call = WaitingCall("c", "p", False, DEADLINE_MS, 0.0)
    [sent] = policy.submit(call, 0.0)
    name = sent.address.endpoint
    policy.pool.close_endpoint(name, "1", 5000.0, 1.0)
    assert not policy.pool.may_send(sent.address, 1.0)
    [moved] = policy.place_again(call, name, frozenset(), 1.0)
    assert moved.address.endpoint != name
    policy.pool.close_endpoint(moved.address.endpoint, "1", 3000.0, 2.0)
    effects = policy.place_again(call, moved.address.endpoint, frozenset(), 2.0)
    assert effects == [Refuse("c", RefusalReason.UPSTREAM_CLOSED)]
    assert policy.retry_after_ms(call, 2.0) == 3000.0


def test_waiting_calls_are_held_once_all_endpoints_closed_themselves():
    policy = make_policy(["e0"])
    for number in range(SLOTS + 3):
        policy.submit(WaitingCall(f"c{number}", "p", True, DEADLINE_MS, 0.0), 0.0)
    assert policy.admission.waiting == 3
    policy.pool.close_endpoint("e0", "1", 5000.0, 1.0)
    effects = policy.tick(1.0)
    assert {item.reason for item in effects} == {RefusalReason.UPSTREAM_CLOSED}
    assert len(effects) == 3


def test_closed_endpoint_is_probed():
    policy = make_policy(["e0"])
    assert policy.pool.try_spend_probe("e0", rate_per_s=100.0, now_ms=10.0)
    policy.pool.close_endpoint("e0", "1", 5000.0, 1000.0)
    assert not policy.pool.try_spend_probe("e0", rate_per_s=100.0, now_ms=2000.0)
    assert policy.pool.try_spend_probe("e0", rate_per_s=100.0, now_ms=6001.0)


@pytest.mark.parametrize("idempotent", [True, False])
def test_closed_endpoint_that_is_also_ejected_gets_trials(idempotent):
    policy = make_policy(["e0", "e1"])
    call = WaitingCall("c", "p", idempotent, DEADLINE_MS, 0.0)
    for number in range(3):
        policy.pool.start(policy.pool.endpoint_by_id["e0"], f"f{number}", "p", 0.0)
        policy.pool.finish("e0", f"f{number}", CallResult.CONNECT_FAILED, 1.0)
    assert policy.pool.endpoint_by_id["e0"].status is EndpointStatus.EJECTED
    policy.pool.close_endpoint("e0", "1", 60_000.0, 2.0)
    assert policy.pool.start_probe_trial(50_000.0) is None
    assert not policy.pool.has_due_trial(50_000.0)
    [sent] = policy.submit(call, 0.0)
    assert sent.address.endpoint == "e1"
    assert policy.pool.start_probe_trial(61_000.0) is not None


def test_refusals_of_a_closed_endpoint_eject_it_beyond_its_time():
    policy = make_policy(["e0", "e1"])
    endpoint = policy.pool.endpoint_by_id["e0"]
    for number in range(6):
        policy.pool.start(endpoint, f"c{number}", "p", 0.0)
    for number in range(6):
        policy.pool.close_endpoint("e0", "1", 500.0, 5.0)
        policy.pool.finish("e0", f"c{number}", CallResult.REFUSED, 5.0)
    assert endpoint.status is EndpointStatus.READY
    assert endpoint.consecutive_failures == 0


@pytest.mark.parametrize(("first_ms", "last_ms"), [(9000.0, 500.0), (500.0, 9000.0), (9000.0, 0.0)])
def test_an_earlier_word_of_an_endpoint_holds_over_a_later_one(first_ms, last_ms):
    policy = make_policy(["e0"])
    policy.pool.close_endpoint("e0", "1", first_ms, 0.0)
    assert policy.pool.close_endpoint("e0", "1", last_ms, 100.0) == first_ms - 100.0
    assert policy.pool.closed_for_ms(100.0) == last_ms


def test_closure_ends_with_a_registration_that_lapsed_and_came_back():
    policy = make_policy(["e0"])
    policy.pool.close_endpoint("e0", "1", 5000.0, 0.0)
    policy.pool.set_endpoints([], 100.0)
    policy.pool.set_endpoints([make_address("e0")], 200.0)
    assert policy.pool.closed_for_ms(200.0) == 4800.0
    policy.pool.set_endpoints([make_address("e0", "2")], 300.0)
    assert policy.pool.closed_for_ms(300.0) == 0
    assert policy.pool.close_endpoint("e0", "1", 5000.0, 400.0) is None


def test_closures_of_delisted_endpoints_are_kept_without_bound():
    policy = make_policy([])
    for number in range(2 * MAX_DELISTED_GATES):
        policy.pool.set_endpoints([make_address(f"e{number}")], float(number))
        policy.pool.close_endpoint(f"e{number}", "1", 1e9, float(number))
    assert len(policy.pool._delisted_gates) == MAX_DELISTED_GATES


def test_a_million_seconds_take_an_endpoint_out_for_good():
    policy = make_policy(["e0"])
    policy.pool.close_endpoint("e0", "1", 1e9, 0.0)
    assert policy.pool.closed_for_ms(0.0) == MAX_CLOSURE_MS
    effects = policy.submit(
        WaitingCall("c", "p", True, MAX_CLOSURE_MS + 1000.0, 0.0), MAX_CLOSURE_MS
    )
    assert isinstance(effects[0], Dispatch)


def test_endpoint_stays_at_a_few_calls_after_it_opened():
    closure = Closure(100.0, 0.0)
    assert not closure.admits([], 99.0)
    # Calls from before it closed may take long and do not count.
    assert closure.admits([-50.0] * 10, 100.0)
    assert not closure.admits([100.0] * REOPENING_CALLS, 101.0)
    closure.record_success(-50.0)
    assert not closure.admits([100.0] * REOPENING_CALLS, 101.0)
    closure.record_success(100.0)
    assert closure.admits([100.0] * REOPENING_CALLS, 101.0)
    policy = make_policy(["e0"])
    policy.pool.close_endpoint("e0", "1", 100.0, 0.0)
    endpoint = policy.pool.endpoint_by_id["e0"]
    for number in range(SLOTS):
        policy.pool.start(endpoint, f"c{number}", "p", 200.0)
        policy.pool.finish("e0", f"c{number}", CallResult.OK, 210.0)
    assert endpoint.gate.closure is None


@pytest.mark.parametrize(
    ("text", "expected_ms"),
    [("2", 2000.0), ("0.25", 250.0), ("0", 0.0), (" 3 ", 3000.0), ("1000000", 1e9)],
)
def test_time_is_read(text, expected_ms):
    assert parse_closure_ms(text) == expected_ms


@pytest.mark.parametrize(
    "text", ["", "-1", "soon", "nan", "inf", "1e6", "1,5", "Sat, 05 Dec 2026 16:00:00 GMT", "٣"]
)
def test_time_that_cannot_be_read_closes_an_endpoint(text):
    assert parse_closure_ms(text) is None


@given(st.text(max_size=30) | st.from_regex(r"[0-9]{1,400}(\.[0-9]{1,9})?", fullmatch=True))
def test_any_text_is_harmful(text):
    asked_ms = parse_closure_ms(text)
    if asked_ms is not None:
        policy = make_policy(["e0"])
        policy.pool.close_endpoint("e0", "1", asked_ms, 0.0)
        left_ms = policy.pool.closed_for_ms(0.0)
        assert math.isfinite(left_ms)
        assert 0 <= left_ms <= MAX_CLOSURE_MS
