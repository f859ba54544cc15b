"""The client of the platform's store: lost answers, and changes while a list is read."""

import json
import socket
import threading
from urllib.parse import parse_qs, urlsplit

import pytest
import urllib3

from cassiahaven_core.edge import HistoryGone, StoreUnavailable, Topic
from cassiahaven_core.routed_settings import SocketAddress
from cassiahaven_core.store_outage import StoreOutageDetector
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.store_feed import StoreFeed
from cassiahaven_platform.store import PlatformStore
from cassiahaven_standins.answer_framing import INVALID_STATUS_LINES, LengthFraming, send_cut
from cassiahaven_standins.platform_store import PlatformStore as StoreStandin

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


@pytest.fixture
def standin():
    server = StoreStandin()
    yield server
    server.close()


@pytest.fixture
def store_of_standin(standin):
    host, _, port = standin.address.partition(":")
    return PlatformStore(SocketAddress(host, int(port)), "edge-a", Metrics())


def registration(state="ready"):
    return {
        "service": "orders",
        "address": "127.0.0.1:9",
        "zone": "a",
        "version": "v1",
        "slots": 3,
        "state": state,
        "coldRemaining": "0ms",
        "sequence": 1,
        "born": 1_790_000_000_000,
    }


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


def drain_first(state):
    state.put("servers", "i-1", registration("draining"))


def remove_first(state):
    state.delete("servers", "i-1")


def drain_and_add(state):
    drain_first(state)
    state.put("servers", "i-0", registration())
    state.put("servers", "i-3", registration("draining"))


def drain_last(state):
    state.put("servers", "i-3", registration("draining"))


@pytest.mark.parametrize("read_name", ["i-1", "i-2"])
@pytest.mark.parametrize("change", [drain_first, remove_first, drain_last, drain_and_add])
def test_change_between_two_pages_of_a_list_is_not_lost(
    standin, store_of_standin, change, read_name
):
    # An endpoint of a page already read drains, and the entry would send to it until it ends.
    state = standin.state
    state.page_items = 1
    for number in (1, 2, 3):
        state.put("servers", f"i-{number}", registration())

    def change_once(kind, after):
        if after == read_name:
            state.before_page = lambda kind, after: None
            change(state)

    state.before_page = change_once
    listed = store_of_standin.read(Topic.ENDPOINTS)
    assert listed.revision == state.revision
    stored = {name: item["spec"]["state"] for (_, name), item in state.object_by_key.items()}
    assert {
        item.name: "draining" if item.item.is_draining else "ready" for item in listed.changes
    } == stored
    # A topic that did not change while it was read needs no further call.
    calls = state.call_count
    store_of_standin.read(Topic.ENDPOINTS)
    assert state.call_count == calls + len(stored)


def test_list_is_read_again_if_the_changes_between_its_pages_are_unknown(standin, store_of_standin):
    state = standin.state
    state.page_items = 1
    for number in (1, 2):
        state.put("servers", f"i-{number}", registration())

    def change_and_forget(kind, after):
        if after:
            drain_first(state)
            state.drop_watch_history()

    state.before_page = change_and_forget
    with pytest.raises(HistoryGone):
        store_of_standin.read(Topic.ENDPOINTS)


UNREADABLE_VALUES = {
    "nested lists": b"[" * 2000 + b"]" * 2000,
    "nested objects": b'{"a":' * 900 + b"1" + b"}" * 900,
    "deeply nested lists": b"[" * 200_000 + b"]" * 200_000,
    "brackets in texts": b'["]]", ' * 2000 + b'"\\"[["' + b"]" * 2000,
    "number of many digits": b"1" * 5000,
    "bytes that are no UTF-8": b'"\xff\xfe"',
    "address with bytes that are no UTF-8": b'"127.0.0.1\xff:9"',
    "lone surrogate": b'"\\udcff"',
    "port out of range": b'"127.0.0.1:99999"',
    "port in other digits": '"127.0.0.1:\u0669"'.encode(),
    "host that is no address": b'"some host:9"',
    "very long text": b'"' + b"x" * 1_000_000 + b'"',
}


class RawHttp:
    """In place of urllib3's pool: answer every call with the same bytes."""

    def __init__(self, data):
        self.data = data

    def urlopen(self, method, target, *, body, headers, timeout):
        return urllib3.HTTPResponse(self.data, status=200)


@pytest.mark.parametrize("field", ["address", "service", "state", "slots", "born", "other"])
@pytest.mark.parametrize("value", UNREADABLE_VALUES)
def test_unreadable_entry_of_another_writer_hides_no_other_entry(platform_store, value, field):
    # The whole list could not be decoded, so no entry heard of any endpoint again.
    objects = [
        json.dumps({"metadata": {"name": name}, "spec": registration()}).encode()
        for name in ("i-1", "i-2", "i-3")
    ]
    spec = json.dumps(registration() | {field: "@"}).encode()
    spec = spec.replace(b'"@"', UNREADABLE_VALUES[value])
    objects[1] = b'{"metadata":{"name":"i-2"},"spec":' + spec + b"}"
    listed = b'{"items":[' + b",".join(objects) + b'],"more":false,"storeRevision":7}'
    events = [b'{"object":' + item + b',"deleted":false}' for item in objects]
    watched = b'{"events":[' + b",".join(events) + b'],"storeRevision":7}'
    for data, read in (
        (listed, lambda: platform_store.read(Topic.ENDPOINTS)),
        (watched, lambda: platform_store.watch(Topic.ENDPOINTS, revision=1, wait_ms=0)),
    ):
        platform_store._http = RawHttp(data)
        changes = read()
        assert changes.revision == 7
        assert [change.name for change in changes.changes] == ["i-1", "i-2", "i-3"]
        first, foreign, last = changes.changes
        assert first.item is not None
        assert last.item is not None
        assert len(foreign.finding) <= 200
        if field == "address":
            assert foreign.item is None
            assert foreign.finding


def test_page_that_ends_with_an_unreadable_name_is_read_on_behind_the_last_readable_one(
    platform_store,
):
    class Pages:
        """In place of urllib3's pool: two pages, the first with an unreadable name at its end."""

        def urlopen(self, method, target, *, body, headers, timeout):
            after = parse_qs(urlsplit(target).query).get("after", [""])[0]
            names = {"": ["i-1", "\udcff"], "i-1": ["\udcff", "i-2"]}[after]
            items = [{"metadata": {"name": name}, "spec": registration()} for name in names]
            plain = {"items": items, "more": not after, "storeRevision": 7}
            return urllib3.HTTPResponse(json.dumps(plain).encode(), status=200)

    platform_store._http = Pages()
    listed = platform_store.read(Topic.ENDPOINTS)
    assert {item.name for item in listed.changes if item.item} == {"i-1", "i-2"}


def test_watch_from_a_revision_that_a_restored_store_issued_again_is_not_mistaken(
    standin, store_of_standin
):
    """Guards against changes that a restore undid and a watch that hides it."""
    state = standin.state
    state.put("servers", "i-1", registration())
    copy = state.copy()
    state.put("servers", "i-1", registration("draining"))
    known = store_of_standin.read(Topic.ENDPOINTS)
    state.restore(copy)
    with pytest.raises(HistoryGone):
        store_of_standin.watch(Topic.ENDPOINTS, revision=known.revision, wait_ms=0)
    state.put("servers", "i-2", registration())
    state.put("servers", "i-3", registration())
    told = store_of_standin.watch(Topic.ENDPOINTS, revision=known.revision, wait_ms=0)
    assert known.version < told.version
    assert (known.era, told.era) == (0, 1)


def test_list_with_pages_from_before_and_after_a_restore_is_read_again(standin, store_of_standin):
    """Guards against a list of objects that no state of the store held together."""
    state = standin.state
    state.page_items = 1
    for number in (1, 2):
        state.put("servers", f"i-{number}", registration())
    copy = state.copy()
    state.before_page = lambda kind, after: after and state.restore(copy)
    with pytest.raises(HistoryGone):
        store_of_standin.read(Topic.ENDPOINTS)


@pytest.mark.parametrize("text", ["1", "", "-3", "2.0", "\u0663", "9" * 30])
def test_answer_of_an_earlier_era_or_of_none_is_refused(platform_store, text):
    """Guards against an answer from before the last restore that arrives late."""
    platform_store.era = 2
    with pytest.raises(StoreUnavailable):
        platform_store._record_era(text)
    assert platform_store.era == 2


def test_feed_reads_a_topic_anew_as_soon_as_any_answer_is_of_a_later_era(standin):
    """Guards against a watch that waits on while the store was restored to an older state."""
    host, _, port = standin.address.partition(":")
    store = PlatformStore(SocketAddress(host, int(port)), "edge-a", Metrics())
    state = standin.state
    state.put("servers", "i-1", registration())
    copy = state.copy()
    state.put("servers", "i-1", registration("draining"))
    seen = []

    def on_changes(topic, changes):
        seen.append((changes.era, changes.is_whole, changes.changes[0].item.is_draining))
        if len(seen) == 1:
            state.restore(copy)
            # The revision that the entry knows is issued again.
            state.put("servers", "i-2", registration())
        else:
            raise ChangeSeen

    feed = StoreFeed(
        store,
        is_wanted=lambda topic: True,
        on_changes=on_changes,
        contact=StoreOutageDetector(),
    )
    with pytest.raises(ChangeSeen):
        feed.follow(Topic.ENDPOINTS)
    assert seen == [(0, True, True), (1, True, False)]


@pytest.mark.parametrize("line", INVALID_STATUS_LINES)
def test_answer_with_an_invalid_status_is_no_answer(line):
    # A status of ``2_00`` was taken for 200, so an invalid list replaced the endpoints.
    body = b'{"items":[],"more":false,"storeRevision":7}'
    answer = LengthFraming().encode("200 OK", {}, body)
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            for data in (answer.with_status_line(line).data, answer.data):
                connection, _ = listener.accept()
                connection.recv(65536)
                send_cut(connection, data, resets=False)

        threading.Thread(target=serve, daemon=True).start()
        port = listener.getsockname()[1]
        store = PlatformStore(SocketAddress("127.0.0.1", port), "edge-a", Metrics())
        with pytest.raises(StoreUnavailable):
            store.read(Topic.ENDPOINTS)
        assert store.read(Topic.ENDPOINTS).revision == 7
