"""The platform's store as the entry's feed follows it, on a clock that the test controls."""

import json
from urllib.parse import parse_qs, urlsplit

import pytest
import urllib3

from cassiahaven_core.edge import Topic
from cassiahaven_core.routed_settings import SocketAddress
from cassiahaven_core.store_outage import StoreOutageDetector
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.store_feed import StoreFeed
from cassiahaven_platform.store import PlatformStore

CONTACT_MS = 3000.0  # after a disturbance of the store, entries have to keep every time limit
SLOWEST_ANSWER_MS = 240.0  # the store's usual 4 ms, 60 times slower


class ChangeSeen(Exception):
    """Raised by the store when the lost change is asked for again."""


class HttpOfStore:
    """In place of urllib3's pool: answer lists at once, and lose the first answer to a watch."""

    def __init__(self, clock):
        self.clock = clock
        self.lost_at_s = None

    def urlopen(self, method, target, *, body, headers, timeout):
        query = parse_qs(urlsplit(target).query)
        self.clock.advance_ms(SLOWEST_ANSWER_MS)
        if "watch" not in query:
            plain = {"items": [], "more": False, "storeRevision": 5}
            return urllib3.HTTPResponse(json.dumps(plain).encode(), status=200)
        if self.lost_at_s is None:
            # The change happens as soon as the watch has begun; its answer never arrives.
            self.lost_at_s = self.clock()
            self.clock.advance_ms(timeout.read_timeout * 1000 - SLOWEST_ANSWER_MS)
            raise urllib3.exceptions.ReadTimeoutError(None, target, "timed out")
        assert query["watch"] == ["5"]
        raise ChangeSeen


@pytest.fixture
def platform_store():
    return PlatformStore(SocketAddress("127.0.0.1", 1), "edge-a", Metrics())


@pytest.mark.parametrize("topic", [Topic.CONFIGURATION, Topic.ENDPOINTS])
def test_lost_answer_to_a_watch_hides_a_change_no_longer_than_contact(clock, platform_store, topic):
    # A lost answer alone must not leave an old configuration or an endpoint that drains in use.
    platform_store._http = http = HttpOfStore(clock)

    def is_wanted(topic):
        if http.lost_at_s is not None:
            assert (clock() - http.lost_at_s) * 1000 <= CONTACT_MS - SLOWEST_ANSWER_MS
        return True

    feed = StoreFeed(
        platform_store,
        is_wanted=is_wanted,
        on_changes=lambda topic, changes: None,
        contact=StoreOutageDetector(),
    )
    with pytest.raises(ChangeSeen):
        feed.follow(topic)
    assert (clock() - http.lost_at_s) * 1000 <= CONTACT_MS
