"""The store feed's detection of watches that wait on dead connections."""

import math
from itertools import count

import eventlet
import pytest

from cassiahaven_core.edge import FleetChange, FleetChanges, FleetStore, StoreUnavailable, Topic
from cassiahaven_core.membership import MAX_STORE_VIEW_AGE_MS
from cassiahaven_core.store_outage import StoreOutageDetector
from cassiahaven_entry.fleet_links import REPORT_INTERVAL_MS
from cassiahaven_entry.store_feed import (
    START_INTERVAL_MS,
    WAIT_MS_BY_TOPIC,
    WATCH_WAIT_MS,
    StoreFeed,
)

SLOW_ANSWER_MS = 100.0  # 25 times the store's usual response time


class SilentStore(FleetStore):
    """Fail the first watch of one topic and never return from the others."""

    def __init__(self):
        self.watches = []

    def read(self, topic):
        return FleetChanges(1, [], True)

    def watch(self, topic, *, revision, wait_ms):
        self.watches.append(topic)
        if topic is Topic.TABLES and self.watches.count(topic) == 1:
            raise StoreUnavailable("reset")
        eventlet.sleep(3600)

    def register(self, member):
        pass

    def get(self, key):
        return None

    def put(self, key, value, *, version):
        return None

    def check(self):
        pass


@pytest.fixture
def feed():
    store = SilentStore()
    feed = StoreFeed(
        store,
        is_wanted=lambda topic: True,
        on_changes=lambda topic, changes: None,
        contact=StoreOutageDetector(),
    )
    tasks = [eventlet.spawn(feed.follow, topic) for topic in Topic]
    yield feed, store
    for task in tasks:
        task.kill()


def test_all_watches_restart_when_the_store_recovers(feed):
    feed, store = feed
    eventlet.sleep(0.05)
    assert not feed.is_available
    assert store.watches.count(Topic.ENDPOINTS) == 1
    feed.record_availability(True)
    eventlet.sleep(0.3)
    for topic in Topic:
        assert store.watches.count(topic) == 2


class EndOfTest(Exception):
    """Raised to end the endless task of a test."""


class CheckedStore(SilentStore):
    """Record the age of the last response at each check."""

    def __init__(self):
        super().__init__()
        self.ages_ms = []
        self.feed = None

    def check(self):
        self.ages_ms.append(self.feed.age_ms)
        if len(self.ages_ms) == 5:
            raise EndOfTest


@pytest.mark.parametrize("answered_after_ms", [0.0, 1.0, 250.0])
def test_checks_keep_the_store_age_below_the_limit_of_subscribers(clock, answered_after_ms):
    store = CheckedStore()
    store.feed = StoreFeed(
        store,
        is_wanted=lambda topic: True,
        on_changes=lambda topic, changes: None,
        contact=StoreOutageDetector(),
    )
    clock.advance_ms(answered_after_ms)
    store.feed.record_availability(True)
    clock.advance_ms(-answered_after_ms)
    with pytest.raises(EndOfTest):
        store.feed.check()
    assert max(store.ages_ms) + SLOW_ANSWER_MS + REPORT_INTERVAL_MS <= MAX_STORE_VIEW_AGE_MS


def test_recovery_of_the_store_is_detected_when_no_topic_is_watched(clock):
    store = CheckedStore()
    questions = count()

    def is_wanted(topic):
        if next(questions) == 100:
            raise EndOfTest
        return False

    store.feed = StoreFeed(
        store,
        is_wanted=is_wanted,
        on_changes=lambda topic, changes: None,
        contact=StoreOutageDetector(),
    )
    store.feed.record_availability(False, "reset")
    with pytest.raises(EndOfTest):
        store.feed.check()
    assert store.feed.is_available
    assert len(store.ages_ms) == 1


def test_topics_are_read_as_soon_as_it_is_known_that_they_are_wanted(clock):
    members_known_ms = clock() * 1000 + 35.0
    read_ms = []

    class StartedStore(SilentStore):
        def read(self, topic):
            read_ms.append(clock() * 1000)
            raise EndOfTest

    feed = StoreFeed(
        StartedStore(),
        is_wanted=lambda topic: clock() * 1000 >= members_known_ms,
        on_changes=lambda topic, changes: None,
        contact=StoreOutageDetector(),
        is_starting=lambda: clock() * 1000 < members_known_ms,
    )
    with pytest.raises(EndOfTest):
        feed.follow(Topic.ENDPOINTS)
    assert read_ms[0] - members_known_ms <= START_INTERVAL_MS


WINDOW_S = 42.0
WATCHERS = 3


class QuietStore(SilentStore):
    """Answer after 4 ms, to watches at the end of their wait or with a sign of life."""

    def __init__(self, clock, *, has_signs_of_life):
        super().__init__()
        self.calls = 0
        self._clock = clock
        self._ends_s = clock() + WINDOW_S
        self._has_signs_of_life = has_signs_of_life

    def read(self, topic):
        self._answer(0)
        return FleetChanges(1, [], True)

    def watch(self, topic, *, revision, wait_ms):
        is_sign = self._has_signs_of_life and topic is Topic.ENDPOINTS
        self._answer(0 if is_sign else wait_ms)
        changes = [FleetChange("i-1", None)] if is_sign else []
        return FleetChanges(revision + len(changes), changes, False)

    def _answer(self, wait_ms):
        if self._clock() >= self._ends_s:
            raise EndOfTest
        self.calls += 1
        self._clock.advance_ms(wait_ms + 4)


def calls_of(clock, topic, *, leads, has_signs_of_life=False):
    store = QuietStore(clock, has_signs_of_life=has_signs_of_life)
    feed = StoreFeed(
        store,
        is_wanted=lambda topic: True,
        on_changes=lambda topic, changes: False,
        contact=StoreOutageDetector(),
        leads=lambda: leads,
    )
    with pytest.raises(EndOfTest):
        feed.follow(topic)
    return store.calls


def test_watches_of_a_quiet_fleet_cost_few_store_calls(clock):
    # Guards against watches of all watchers that return as often as those of a single one.
    calls = sum(
        calls_of(clock, topic, leads=number == 0) for number in range(WATCHERS) for topic in Topic
    )
    # A watch for each wait and a read of each topic; the other watchers use the longest wait.
    longest = math.ceil(WINDOW_S * 1000 / WATCH_WAIT_MS) + 1
    first = [
        math.ceil(WINDOW_S * 1000 / WAIT_MS_BY_TOPIC.get(topic, WATCH_WAIT_MS)) + 1
        for topic in Topic
    ]
    assert calls <= sum(first) + (WATCHERS - 1) * len(Topic) * longest


def test_signs_of_life_of_endpoints_cost_few_store_calls(clock):
    # Guards against a store call for each 100 ms in which endpoints write without a change.
    calls = calls_of(clock, Topic.ENDPOINTS, leads=True, has_signs_of_life=True)
    assert calls <= WINDOW_S * 2.5


def test_watches_restart_when_the_first_watcher_is_lost(feed):
    # Guards against a change whose answer is lost until the end of a long wait, as the watcher
    # that waits less has died at the same time.
    feed, store = feed
    eventlet.sleep(0.05)
    feed.record_availability(True)
    eventlet.sleep(0.2)
    feed._leads = lambda: False
    check = eventlet.spawn(feed.check)
    eventlet.sleep(0.7)
    before = store.watches.count(Topic.CONFIGURATION)
    feed._leads = lambda: True
    eventlet.sleep(0.7)
    check.kill()
    assert store.watches.count(Topic.CONFIGURATION) == before + 1
