"""Endpoints that said in an answer that they leave, and later news of them.

Most tests are named after the failure that they guard against.
"""

import random
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.endpoint import CallResult
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.leaving import MAX_STARTS, RETENTION_MS, LeavingEndpoints
from cassiahaven_core.lifecycle import EndpointEvent, EndpointStatus
from cassiahaven_core.pool import Pool
from cassiahaven_core.reason import RefusalReason
from cassiahaven_core.service import Dispatch, Refuse, ServicePolicy
from cassiahaven_core.table import CellValue

CELL = CellValue(
    weight=1.0, rate_per_s=1e9, concurrency=1000, queue_limit=1000, probe_budget_ms_per_s=0.0
)
NAMES = ("e0", "e1", "e2")
STARTS = ("1", "2")


def make_address(name, incarnation="1", *, slots=1):
    return EndpointAddress(name, incarnation, "a", "127.0.0.1", 1, slots, warm_up_ms=0.0)


def make_call(call_id, now_ms=0.0, *, idempotent=True):
    return WaitingCall(call_id, "p", idempotent, now_ms + 1000.0, now_ms)


@pytest.fixture
def policy():
    pool = Pool(rng=random.Random(1))
    pool.set_endpoints([make_address("e0"), make_address("e1")], 0.0)
    admission = Admission()
    admission.set_cell("p", CELL, 0.0)
    return ServicePolicy("s", pool, admission)


def dispatched(effects):
    return {item.call_id: item.address.endpoint for item in effects if isinstance(item, Dispatch)}


def test_endpoint_that_leaves_gets_calls_after_its_registration_lapsed_and_came_back(policy):
    pool = policy.pool
    pool.record_leaving("e0", "1", "answer", 10.0)
    pool.set_endpoints([make_address("e1")], 20.0)
    upheld = pool.set_endpoints([make_address("e0"), make_address("e1")], 5000.0)
    assert [item.endpoint for item in upheld] == ["e0"]
    assert pool.endpoint_by_id["e0"].status is EndpointStatus.DRAINING
    assert dispatched(policy.submit(make_call("c", 5000.0), 5000.0)) == {"c": "e1"}


def test_endpoint_that_left_before_it_was_listed_gets_calls(policy):
    policy.pool.record_leaving("e2", "1", "answer", 10.0)
    policy.pool.set_endpoints([make_address("e2")], 20.0)
    assert policy.submit(make_call("c", 30.0), 30.0) == [Refuse("c", RefusalReason.NO_UPSTREAM)]


def test_new_start_under_the_same_id_counts_as_leaving(policy):
    pool = policy.pool
    pool.record_leaving("e0", "1", "answer", 10.0)
    assert pool.set_endpoints([make_address("e0", "2")], 20.0) == []
    assert pool.endpoint_by_id["e0"].status is EndpointStatus.READY
    assert not pool.record_leaving("e0", "1", "answer", 30.0)
    assert pool.endpoint_by_id["e0"].status is EndpointStatus.READY


def test_operator_puts_an_endpoint_that_leaves_back_into_service(policy):
    pool = policy.pool
    pool.handle("e0", EndpointEvent.OPERATOR_DRAIN, "operator", 5.0)
    pool.record_leaving("e0", "1", "answer", 10.0)
    pool.handle("e0", EndpointEvent.OPERATOR_UNDRAIN, "operator", 20.0)
    assert pool.endpoint_by_id["e0"].status is EndpointStatus.DRAINING


def test_waiting_call_is_sent_to_an_endpoint_that_said_meanwhile_that_it_leaves(policy):
    first = dispatched([*policy.submit(make_call("c0"), 0.0), *policy.submit(make_call("c1"), 0.0)])
    assert policy.submit(make_call("c2"), 0.0) == []
    by_endpoint = {endpoint: call_id for call_id, endpoint in first.items()}
    policy.pool.record_leaving("e0", "1", "answer", 5.0)
    effects = policy.finish(make_call(by_endpoint["e0"]), "e0", CallResult.OK, 5.0)
    assert effects == []
    effects = policy.finish(make_call(by_endpoint["e1"]), "e1", CallResult.OK, 6.0)
    assert dispatched(effects) == {"c2": "e1"}


def test_retry_goes_to_an_endpoint_that_said_that_it_leaves(policy):
    [sent] = policy.submit(make_call("c"), 0.0)
    other = {"e0": "e1", "e1": "e0"}[sent.address.endpoint]
    policy.pool.record_leaving(other, "1", "health check", 5.0)
    policy.finish(make_call("c"), sent.address.endpoint, CallResult.CONNECT_FAILED, 6.0)
    tried = frozenset({sent.address.endpoint})
    assert policy.retry(make_call("c"), CallResult.CONNECT_FAILED, tried, 6.0) is None


@pytest.mark.parametrize("idempotent", [True, False])
def test_assigned_call_is_sent_to_an_endpoint_that_said_meanwhile_that_it_leaves(
    policy, idempotent
):
    call = make_call("c", idempotent=idempotent)
    [sent] = policy.submit(call, 0.0)
    name = sent.address.endpoint
    assert policy.pool.may_send(sent.address, 2.0)
    policy.pool.record_leaving(name, "1", "answer", 1.0)
    assert not policy.pool.may_send(sent.address, 2.0)
    effects = policy.place_again(call, name, frozenset(), 2.0)
    assert dispatched(effects) == {"c": {"e0": "e1", "e1": "e0"}[name]}
    assert not policy.pool.endpoint_by_id[name].in_flight
    assert policy.admission.partner_by_name["p"].in_flight == 1


def test_assigned_call_waits_for_its_deadline_once_no_endpoint_is_left(policy):
    call = make_call("c")
    [sent] = policy.submit(call, 0.0)
    for name in ("e0", "e1"):
        policy.pool.record_leaving(name, "1", "answer", 1.0)
    effects = policy.place_again(call, sent.address.endpoint, frozenset(), 2.0)
    assert effects == [Refuse("c", RefusalReason.NO_UPSTREAM)]
    assert policy.admission.is_idle


def test_call_is_sent_to_another_start_at_the_address_that_it_was_assigned_to(policy):
    [sent] = policy.submit(make_call("c"), 0.0)
    policy.pool.set_endpoints([make_address(name, "2") for name in ("e0", "e1")], 1.0)
    assert not policy.pool.may_send(sent.address, 2.0)


def test_starts_that_ended_are_kept_through_a_day_of_releases():
    leaving = LeavingEndpoints()
    for minute in range(24 * 60):
        now_ms = minute * 60_000.0
        leaving.learn("e", str(minute), "answer", now_ms)
        leaving.keep_listed({("e", str(minute))}, now_ms)
    assert len(leaving.leaving_by_start) <= RETENTION_MS / 60_000.0 + 1


def test_many_starts_that_leave_at_once_take_memory_without_bound():
    leaving = LeavingEndpoints()
    for number in range(3 * MAX_STARTS):
        leaving.learn(f"e{number}", "1", "answer", float(number))
    assert len(leaving.leaving_by_start) == MAX_STARTS
    assert leaving.find(f"e{3 * MAX_STARTS - 1}", "1") is not None


def test_listed_start_is_forgotten():
    leaving = LeavingEndpoints()
    leaving.learn("e", "1", "answer", 0.0)
    for hour in range(24):
        leaving.keep_listed({("e", "1")}, hour * RETENTION_MS)
    assert leaving.find("e", "1").learned_ms == 0.0


start = st.tuples(st.sampled_from(NAMES), st.sampled_from(STARTS))
a_list = st.dictionaries(st.sampled_from(NAMES), st.sampled_from(STARTS))
# A list stands for news of any age: of the store, a watcher, or registrations that come back.
news = st.one_of(
    st.tuples(st.just("list"), a_list),
    st.tuples(st.just("draining"), start),
    st.tuples(st.just("own answer"), start),
    st.tuples(st.just("undrain"), st.sampled_from(NAMES)),
    st.tuples(st.just("call"), st.booleans()),
    st.tuples(
        st.just("finish"),
        st.sampled_from(
            [CallResult.OK, CallResult.REFUSED, CallResult.CONNECT_FAILED, CallResult.CANCELLED]
        ),
    ),
    st.tuples(st.just("wait"), st.floats(1.0, 5000.0)),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(news, max_size=60))
def test_older_news_undoes_what_an_endpoint_said_itself(sequence):
    pool = Pool(rng=random.Random(1))
    admission = Admission()
    admission.set_cell("p", CELL, 0.0)
    policy = ServicePolicy("s", pool, admission)
    numbers = count()
    now_ms = 0.0
    told, others_told, running = set(), set(), []

    def apply(effects):
        for effect in effects:
            if isinstance(effect, Dispatch):
                address = effect.address
                assert (address.endpoint, address.incarnation) not in told
                running.append(effect)

    for kind, detail in sequence:
        now_ms += 1.0
        if kind == "list":
            pool.set_endpoints([make_address(*item, slots=2) for item in detail.items()], now_ms)
        elif kind == "draining":
            endpoint = pool.endpoint_by_id.get(detail[0])
            if endpoint is not None and endpoint.address.incarnation == detail[1]:
                others_told.add(detail)
                pool.handle(detail[0], EndpointEvent.DRAIN, "registration", now_ms)
        elif kind == "own answer":
            told.add(detail)
            pool.record_leaving(*detail, "answer", now_ms)
        elif kind == "undrain":
            pool.handle(detail, EndpointEvent.OPERATOR_DRAIN, "operator", now_ms)
            pool.handle(detail, EndpointEvent.OPERATOR_UNDRAIN, "operator", now_ms)
        elif kind == "call":
            call = make_call(f"c{next(numbers)}", now_ms, idempotent=detail)
            apply(policy.submit(call, now_ms))
        elif kind == "finish" and running:
            effect = running.pop(0)
            call = make_call(effect.call_id, now_ms)
            apply(policy.finish(call, effect.address.endpoint, detail, now_ms))
        elif kind == "wait":
            now_ms += detail
        apply(policy.tick(now_ms))
        for endpoint in pool.endpoint_by_id.values():
            listed = (endpoint.address.endpoint, endpoint.address.incarnation)
            assert pool.may_send(endpoint.address, now_ms) <= (listed not in told)
            # Nothing but what was said of this very start takes an endpoint out for good.
            if listed not in told | others_told:
                assert endpoint.status is not EndpointStatus.DRAINING
