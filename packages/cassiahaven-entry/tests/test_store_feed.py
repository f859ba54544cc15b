"""What the store feed does about watches that wait on dead connections."""

import eventlet
import pytest

from cassiahaven_core.edge import FleetChanges, FleetStore, StoreUnavailable, Topic
from cassiahaven_entry.store_feed import StoreFeed


class SilentStore(FleetStore):
    """Let the watch of one topic fail and those of the others wait for ever."""

    def __init__(self):
        self.watches = []

    def read(self, topic):
        return FleetChanges(1, [], True)

    def watch(self, topic, *, revision, wait_ms):
        self.watches.append(topic)
        if topic is Topic.MEMBERS and self.watches.count(topic) == 1:
            raise StoreUnavailable("reset")
        eventlet.sleep(3600)

    def register(self, member):
        pass

    def check(self):
        pass


@pytest.fixture
def feed():
    store = SilentStore()
    feed = StoreFeed(
        store,
        is_wanted=lambda topic: True,
        on_changes=lambda topic, changes: None,
        on_store=lambda is_available: None,
    )
    tasks = [eventlet.spawn(feed.follow, topic) for topic in Topic]
    yield feed, store
    for task in tasks:
        task.kill()


def test_all_watches_start_anew_once_the_store_is_back(feed):
    feed, store = feed
    eventlet.sleep(0.05)
    assert not feed.is_available
    assert store.watches.count(Topic.ENDPOINTS) == 1
    feed.note(True)
    eventlet.sleep(0.3)
    for topic in Topic:
        assert store.watches.count(topic) == 2
