"""The answer rig: a short seeded run, and checks that it would find a fault."""

import http.client
import socket
import threading
from contextlib import closing

import pytest

from cassiahaven_standins.answer_framing import FRAMING_BY_NAME, NO_LINGER, send_cut
from cassiahaven_standins.answer_reader import AnswerReader
from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.platform_answer_rig import SERVICE_BY_PREFIX, AnswerRig, RigReport
from cassiahaven_standins.platform_endpoint import EndpointHandler, EndpointState
from cassiahaven_standins.platform_fleet import platform_fleet
from cassiahaven_standins.platform_mixed_endpoint import Spoil
from cassiahaven_standins.quiet_server import QuietServer
from cassiahaven_standins.segment_proxy import SegmentProxy

BODY = bytes(range(256)) * 40
HEADERS = {"Request-Id": "r1", "Response-Signature": "sig-r1"}


def test_no_answer_that_looks_whole_is_another_one_under_random_faults(tmp_path):
    # Answers that were cut within their head or a chunk's size were passed on as whole ones.
    options = {"entries": 3, "has_proxies": True, "has_peer_proxies": True}
    with platform_fleet(tmp_path, **options) as fleet:
        rig = AnswerRig(fleet, 1)
        rig.run(6.0)
        report = RigReport(rig).to_plain()
    assert report["shown"] == []
    assert report["misread_requests"] == []
    assert report["calls"]["whole_successes"] > 100
    assert report["sent"]["by_spoil"].keys() == {item.value for item in Spoil}
    assert report["second_answers"]["sent"] > 0


class _CarelessRelay(EndpointHandler):
    """Pass on what arrives of an answer as if it were the whole one."""

    fleet = None

    def handle_request(self):
        service = SERVICE_BY_PREFIX[self.path.split("/")[2]]
        endpoint = next(
            item for item in self.fleet.endpoint_by_name.values() if item.state.service == service
        )
        headers = {
            "Request-Id": self.headers["Request-Id"],
            "Target-Instance": endpoint.state.endpoint,
        }
        size = int(self.headers.get("Content-Length") or 0)
        connection = http.client.HTTPConnection(endpoint.address, timeout=1)
        with closing(connection):
            try:
                connection.request(self.command, self.path, self.rfile.read(size), headers)
                response = connection.getresponse()
            except (OSError, http.client.HTTPException):
                self.close_connection = True
                return
            parts = []
            try:
                while part := response.read(1000):
                    parts.append(part)
            except (OSError, http.client.HTTPException):
                pass
        named = dict(response.getheaders())
        echoed = {name: named[name] for name in HEADERS if name in named}
        self._send(response.status, b"".join(parts), echoed)

    do_GET = do_POST = handle_request  # noqa: N815


class _RelayEntry:
    """A relay in the place of an entry."""

    def __init__(self, fleet, folder):
        self.name = "relay"
        self.log_path = folder / "relay.log"
        self.log_path.touch()
        handler = type(
            "Handler", (_CarelessRelay,), {"fleet": fleet, "state": EndpointState("relay", "")}
        )
        self._server = QuietServer(("127.0.0.1", 0), handler)
        self.front_port = self._server.server_address[1]

    def start(self):
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def is_ready(self):
        return True

    def close(self):
        self._server.shutdown()
        self._server.server_close()


@pytest.mark.parametrize(
    ("spoil", "is_found"), [(Spoil.CUT, True), (Spoil.STATUS, True), (Spoil.TWICE, False)]
)
def test_rig_finds_a_relay_that_passes_cut_answers_on(tmp_path, spoil, is_found):
    # A rig that finds nothing in any case would show nothing about the entries.
    with platform_fleet(tmp_path, entries=0) as fleet:
        fleet.entries.append(_RelayEntry(fleet, tmp_path))
        rig = AnswerRig(fleet, 1, spoils=[spoil], has_faults=False, slow_callers=0)
        rig.run(3.0)
        report = RigReport(rig).to_plain()
    assert report["calls"]["whole_successes"] > 20
    assert bool(report["violations"]) is is_found
    early = [name for name in report["violations_by_kind"] if name.startswith("ends early")]
    assert bool(early) is (spoil is Spoil.CUT)


@pytest.mark.parametrize("framing", FRAMING_BY_NAME)
@pytest.mark.parametrize("resets", [False, True])
def test_caller_takes_no_answer_that_ends_early_for_whole(framing, resets):
    # A caller that reads as carelessly as the library would not see what it is to look for.
    answer = FRAMING_BY_NAME[framing].encode("200 OK", HEADERS, BODY[:104])
    listener = socket.create_server(("127.0.0.1", 0))
    for size in range(len(answer.data)):
        with socket.create_connection(listener.getsockname(), 5) as caller:
            send_cut(listener.accept()[0], answer.data[:size], resets=resets)
            received = AnswerReader(caller).read()
        is_hidden = answer.ends_with_connection and not resets and size >= answer.head_size
        assert received.is_whole is is_hidden, size
    listener.close()


@pytest.mark.parametrize("framing", FRAMING_BY_NAME)
def test_parts_of_an_answer_cover_it(framing):
    # Cuts are drawn by part, so bytes that belong to none would never be cut.
    answer = FRAMING_BY_NAME[framing].encode("200 OK", HEADERS, BODY, interim=b"x" * 7)
    parts = [item for ranges in answer.parts_by_name().values() for item in ranges]
    positions = sorted(position for item in parts for position in item)
    assert positions == list(range(len(answer.data)))


@pytest.fixture
def proxied_pair():
    """Return the two ends of a connection through a proxy: the caller's and the target's."""
    listener = socket.create_server(("127.0.0.1", 0))
    proxy = SegmentProxy(listener.getsockname(), "seed")
    host, _, port = proxy.address.partition(":")
    caller = socket.create_connection((host, int(port)), 5)
    target, _ = listener.accept()
    target.settimeout(5)
    yield caller, target
    for item in (caller, target, listener, proxy):
        item.close()


def receive_all(connection):
    """Return all bytes received, and the error that followed, if any."""
    parts = []
    try:
        while part := connection.recv(65_536):
            parts.append(part)
    except OSError as error:
        return b"".join(parts), type(error)
    return b"".join(parts), None


def test_proxy_passes_all_bytes_and_an_orderly_end_on(proxied_pair):
    caller, target = proxied_pair
    caller.sendall(BODY)
    caller.shutdown(socket.SHUT_WR)
    assert receive_all(target) == (BODY, None)
    target.sendall(BODY * 20)  # the other direction stays open
    target.close()
    assert receive_all(caller) == (BODY * 20, None)


def test_proxy_passes_a_reset_on(proxied_pair):
    # An answer without a length that is reset would look whole behind an orderly end.
    caller, target = proxied_pair
    send_cut(target, BODY, resets=True)
    received, error = receive_all(caller)
    assert BODY.startswith(received)
    assert error is ConnectionResetError


def test_proxy_passes_a_reset_behind_an_orderly_end_on(proxied_pair):
    caller, target = proxied_pair
    target.sendall(BODY)
    target.shutdown(socket.SHUT_WR)
    assert receive_all(caller) == (BODY, None)
    target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    target.close()

    def is_reset():
        try:
            caller.sendall(b"x")
        except OSError:
            return True
        return False

    assert wait_until(is_reset, "the reset arrives", 5)
