"""State requests and replies when all subscribers learn of a change at once."""

import re
import socket
import threading
from contextlib import nullcontext

import eventlet
import pytest
from websockets.exceptions import InvalidHandshake
from websockets.sync.client import connect
from websockets.utils import accept_key

from cassiahaven_core.membership import Fleet, Member
from cassiahaven_core.peer_message import (
    Encoded,
    RateLimitNotice,
    RateLimitNotices,
    StateNews,
    StateRequest,
    WatcherReport,
    decode,
)
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
    assert decode(reply.data) == StateNews("configuration", 2, True, ROUTES)
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
