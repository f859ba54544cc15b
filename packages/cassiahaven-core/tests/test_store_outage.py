"""Tests of when missing registrations are attributed to a store outage."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahaven_core.membership import REPORT_TIMEOUT_MS, Fleet, Member
from cassiahaven_core.store_outage import MIN_OUTAGE_MS, REREGISTRATION_MS, StoreOutageDetector

REPORT_MS = 500.0


@pytest.fixture
def contact():
    contact = StoreOutageDetector()
    contact.record_answer(0.0)
    return contact


@pytest.fixture
def follower():
    fleet = Fleet(Member("a1", "a1-1", "a", "a1:1", "a1:2"))
    names = ("a1", "b1", "c1")
    fleet.set_members([Member(n, f"{n}-1", n[0], f"{n}:1", f"{n}:2") for n in names])
    return fleet


def test_an_outage_ends_with_the_first_answer_and_endpoints_get_time_to_register_again(contact):
    contact.record_request(500.0)
    assert not contact.is_store_down(500.0 + MIN_OUTAGE_MS - 1)
    assert contact.is_store_down(500.0 + MIN_OUTAGE_MS)
    contact.record_answer(6000.0)
    assert not contact.is_store_down(6000.0)
    assert contact.may_have_expired(6000.0 + REREGISTRATION_MS - 1)
    assert not contact.may_have_expired(6000.0 + REREGISTRATION_MS)


def test_a_request_that_is_answered_late_is_no_outage(contact):
    contact.record_request(500.0)
    contact.record_answer(500.0 + MIN_OUTAGE_MS - 1)
    assert not contact.may_have_expired(500.0 + MIN_OUTAGE_MS)


def test_time_without_requests_is_no_outage(contact):
    contact.record_request(60_000.0)
    contact.record_answer(60_004.0)
    assert not contact.may_have_expired(60_004.0)


def test_an_older_answer_does_not_end_an_outage(contact):
    contact.record_request(500.0)
    contact.record_answer(400.0)
    assert contact.is_store_down(500.0 + MIN_OUTAGE_MS)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.floats(0, 60_000), max_size=40),
    st.lists(st.floats(0, REPORT_MS), min_size=120, max_size=120),
)
def test_own_failures_show_no_outage_while_a_watcher_hears_the_store(failures, ages):
    contact = StoreOutageDetector()
    reports = [(REPORT_MS * n, age) for n, age in enumerate(ages, 1)]
    steps = [(at, None) for at in failures] + reports
    for at_ms, age_ms in sorted(steps, key=lambda step: step[0]):
        if age_ms is None:
            contact.record_request(at_ms)
        else:
            contact.record_answer(at_ms - age_ms)
        assert not contact.may_have_expired(at_ms)


def test_a_watcher_without_the_store_shows_no_outage_while_another_reaches_it(follower):
    for step in range(20):
        now_ms = step * REPORT_MS
        follower.record_watcher_report(
            "b1", live=[], draining=[], store_age_ms=now_ms, now_ms=now_ms
        )
        follower.record_watcher_report(
            "c1", live=[], draining=[], store_age_ms=400.0, now_ms=now_ms
        )
        assert not follower.store.may_have_expired(now_ms)


def test_a_follower_learns_of_an_outage_from_its_watchers(follower):
    follower.record_watcher_report("b1", live=[], draining=[], store_age_ms=0.0, now_ms=0.0)
    for step in range(1, 10):
        follower.record_watcher_heartbeat(
            "b1", store_age_ms=step * REPORT_MS, now_ms=step * REPORT_MS
        )
    assert follower.store.is_store_down(9 * REPORT_MS)
    follower.record_watcher_heartbeat("b1", store_age_ms=0.0, now_ms=10 * REPORT_MS)
    assert not follower.store.is_store_down(10 * REPORT_MS)
    assert follower.store.may_have_expired(10 * REPORT_MS + REREGISTRATION_MS - 1)


def test_loss_of_the_watchers_is_no_outage(follower):
    follower.record_watcher_report("b1", live=[], draining=[], store_age_ms=400.0, now_ms=0.0)
    asked_ms = REPORT_TIMEOUT_MS
    follower.store.record_request(asked_ms)
    follower.store.record_answer(asked_ms + 4)
    assert not follower.store.may_have_expired(asked_ms + 4)
