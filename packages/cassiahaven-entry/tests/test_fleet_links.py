"""State requests and replies when all subscribers learn of a change at once."""

import re
import socket
import threading
from contextlib import nullcontext
from types import SimpleNamespace

import eventlet
import pytest
from websockets.exceptions import InvalidHandshake
from websockets.sync.client import connect
from websockets.utils import accept_key

from cassiahaven_core.membership import Fleet, Member
from cassiahaven_core.peer_message import (
    Encoded,
    MemberReport,
    RateLimitNotice,
    RateLimitNotices,
    ReportRequest,
    StateNews,
    StateRequest,
    WatcherReport,
    WatcherReportChange,
    decode,
)
from cassiahaven_core.store_version import StoreVersion
from cassiahaven_core.watcher_report import ReportReplica
from cassiahaven_entry.clock import now_ms
from cassiahaven_entry.fleet_links import (
    COALESCE_MS,
    NEAR_WATCHER_HEAD_START_MS,
    REPORT_INTERVAL_MS,
    FleetLinks,
    LinkCallbacks,
    StateRequestPacer,
    WatcherLink,
)
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.routed_node import RoutedNode
from cassiahaven_standins.fleet import free_port

ROUTES = {str(number): ["route", number] for number in range(1000)}


def member(name):
    return Member(name, f"{name}-1", name[0], f"{name}:1", "127.0.0.1:1")


class CountingState:
    """Count how often the state is serialized."""

    def __init__(self):
        self.version = 2
        self.written = 0

    def state_update(self, request):
        self.written += 1
        return StateNews(request.topic, self.version, True, ROUTES)


@pytest.fixture
def state():
    return CountingState()


@pytest.fixture
def links(state):
    own = Member("a1", "a1-1", "a", "a1:1", f"127.0.0.1:{free_port()}")
    made = FleetLinks(Fleet(own), fleet_state(state), key="k", metrics=Metrics())
    threading.Thread(target=made.serve, daemon=True).start()
    yield made
    made.close()


def fleet_state(state):
    return LinkCallbacks(
        report=lambda: None,
        versions=lambda: {"configuration": state.version},
        state_request=lambda topic: StateRequest(topic, 1),
        state_update=state.state_update,
        on_state_update=lambda state_update, peer: None,
        on_crash=lambda notice: None,
        on_rate_limit=lambda notice: None,
    )


def test_large_configuration_is_encoded_once_for_all_subscribers(links, state):
    replies = [links.receive(str(n), StateRequest("configuration", 1)) for n in range(141)]
    assert state.written == 1
    [reply] = replies[0]
    assert isinstance(reply, Encoded)
    assert decode(reply.data) == StateNews("configuration", StoreVersion(0, 2), True, ROUTES)
    state.version = 3
    links.receive("0", StateRequest("configuration", 1))
    assert state.written == 2


def test_change_is_requested_from_the_near_watcher_only(clock, state):
    own = Fleet(member("a2"))
    request_pacer = StateRequestPacer()
    asked = []
    state.version = 1
    for name in ("b1", "a1", "c1"):
        link = WatcherLink(member(name), "k", own, fleet_state(state), request_pacer, lambda: True)
        link.send = lambda message, name=name: asked.append(name)
        link._receive(WatcherReport(["a2"], [], 0.0, {"configuration": 2}))
    assert asked == ["a1"]


def test_subscriber_that_missed_a_change_asks_for_the_full_report(clock, state):
    """Guards against a subscriber that keeps a wrong list of live entries after a gap."""
    asked = []
    fleet = Fleet(member("a2"))
    fleet.set_members([member(name) for name in ("a2", "b1", "c1")])
    callbacks = fleet_state(state)
    link = WatcherLink(member("b1"), "k", fleet, callbacks, StateRequestPacer(), lambda: True)
    link.send = asked.append
    versions = {"configuration": 2}
    link._receive(WatcherReport(["a2", "b1"], [], 0.0, versions, 1))
    for _ in range(2):
        link._receive(WatcherReportChange(3, [], ["c1"], [], [], 0.0, {}))
    assert asked == [ReportRequest()]
    link._receive(WatcherReport(["b1", "c1"], [], 0.0, versions, 4))
    assert fleet.live_names(now_ms()) == {"a2", "b1", "c1"}
    link._on_connected()
    link._receive(WatcherReport(["b1"], [], 0.0, versions, 1))
    link._receive(WatcherReportChange(2, ["a2"], [], [], [], 0.0, {}))
    assert fleet.live_names(now_ms()) == {"a2", "b1"}


@pytest.mark.parametrize(("is_ready", "named"), [(False, ["b1"]), (True, ["a2"])])
def test_lookup_at_an_entry_that_is_not_ready_names_others(clock, is_ready, named):
    """Guards against lookups without an answer at an entry that knows live ones."""
    fleet = Fleet(member("a2"))
    fleet.set_members([member(name) for name in ("a2", "a3", "b1")])
    fleet.record_watcher_report(
        "b1",
        live=["a2", "a3", "b1"],
        draining=[],
        store_age_ms=0.0,
        now_ms=now_ms(),
        starting=["a2", "a3"],
    )
    node = SimpleNamespace(
        fleet=fleet, is_ready=is_ready, is_draining=False, settings=SimpleNamespace(name="a2")
    )
    assert [item.name for item in RoutedNode.serving_entries(node, "", "a")] == named


def test_new_subscriber_can_apply_the_next_change(links):
    """Guards against a first report that is newer than the one that changes are based on."""
    versions = {"configuration": 2}
    links._state.report = lambda: WatcherReport(["a1"], [], 0.0, versions)
    links.receive("0", MemberReport("a2", False))
    links._publish_report()
    links._state.report = lambda: WatcherReport(["a1", "a2"], [], 0.0, versions)
    [first] = links.greeting()
    published = []
    links._server.publish = published.append
    links._publish_report()
    replica = ReportReplica()
    replica.apply(first)
    assert not replica.apply(published[0])
    assert set(replica.report.live) == {"a1", "a2"}


def test_far_watcher_is_requested_when_the_near_one_does_not_reply():
    request_pacer = StateRequestPacer()
    assert not request_pacer.is_due("configuration", prefers_another=True, now_ms=0.0)
    assert request_pacer.is_due("configuration", prefers_another=False, now_ms=1.0)
    assert not request_pacer.is_due(
        "configuration", prefers_another=True, now_ms=NEAR_WATCHER_HEAD_START_MS
    )
    assert request_pacer.is_due("configuration", prefers_another=True, now_ms=500.0)


def test_links_are_opened_as_soon_as_the_members_are_known(links):
    fleet = links._fleet
    task = eventlet.spawn(links.run)
    eventlet.sleep(0.05)
    assert not links.link_by_name
    known_ms = now_ms()
    fleet.set_members([fleet.own, *(member(f"{zone}1") for zone in "bc")])
    while not links.link_by_name:
        eventlet.sleep(0.005)
    task.kill()
    assert now_ms() - known_ms < REPORT_INTERVAL_MS / 5


def test_limits_of_many_endpoints_are_sent_to_every_subscriber_one_by_one(links):
    published = []
    links._server.publish = published.append
    notices = [RateLimitNotice("one", f"e{number}", "1", 1.0) for number in range(20)]
    for position, notice in enumerate(notices):
        links.receive(f"c{position}", RateLimitNotices([notice]))
    changed = RateLimitNotice("one", "e0", "1", None)
    links.publish_rate_limit(changed)
    eventlet.sleep(2 * COALESCE_MS / 1000)
    assert published == [RateLimitNotices([changed, *notices[1:]])]


@pytest.mark.parametrize(
    "status", [b"000", b"1_01", b"+101", b"99", b"601", b"200", b"1o1", b"", b"101"]
)
def test_link_is_opened_by_status_101_alone(status):
    # An address of an entry that is gone may belong to a broken server, which is no peer.
    answered = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            connection, _ = listener.accept()
            with connection:
                request = connection.recv(65536).decode()
                key = re.search("Sec-WebSocket-Key: (.*)\r", request)[1]
                connection.sendall(
                    b"HTTP/1.1 %s X\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                    b"Sec-WebSocket-Accept: %s\r\n\r\n" % (status, accept_key(key).encode())
                )
            answered.set()

        threading.Thread(target=serve, daemon=True).start()
        is_valid = status == b"101"
        with nullcontext() if is_valid else pytest.raises(InvalidHandshake):
            url = f"ws://127.0.0.1:{listener.getsockname()[1]}"
            connect(url, compression=None, proxy=None, close_timeout=0.1).close()
    assert answered.wait(5)
