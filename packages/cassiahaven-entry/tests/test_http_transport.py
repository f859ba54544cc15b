"""HTTP transport over real sockets, against misbehaving upstreams."""

import errno
import json
import socket
import struct
import subprocess
import sys
import threading
import time
from unittest.mock import Mock

import pytest

from cassiahaven_core.answer_record import ConnectionEnd, Framing
from cassiahaven_core.edge import SendFailed, TransferBroken, UpstreamRequest
from cassiahaven_core.endpoint import CallResult, ProbeFailed
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_entry import http_transport as http_transport_module
from cassiahaven_entry._connection import (
    BODY_GRACE_MS,
    PeekingConnection,
    UpstreamSocket,
    WholeResponse,
)
from cassiahaven_entry.clock import now_ms
from cassiahaven_entry.event import LogEvent
from cassiahaven_entry.header_dialect import HeaderDialect
from cassiahaven_entry.http_probe import HttpProbe
from cassiahaven_entry.http_transport import HttpTransport, UnexpectedPlace
from cassiahaven_entry.metrics import Metrics
from cassiahaven_platform.dialects import PlatformUpstreams
from cassiahaven_standins.answer_framing import INVALID_STATUS_LINES

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RawUpstream:
    """Answer each connection's requests with the given bytes, then close it."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    @property
    def address(self):
        port = self.listener.getsockname()[1]
        return EndpointAddress("e", "1", "zone-a", "127.0.0.1", port, 1)

    def serve(self):
        while self.answers:
            connection, _ = self.listener.accept()
            self.connections += 1
            answers = self.answers.pop(0)
            with connection:
                for answer in answers:
                    data = connection.recv(65536)
                    if not data:
                        break
                    self.requests.append(data)
                    connection.sendall(answer)
        self.listener.close()


def request(*, idempotent):
    return UpstreamRequest("GET" if idempotent else "POST", "/x", (), b"", idempotent)


def test_stale_connection_never_carries_a_non_idempotent_call():
    upstream = RawUpstream([WHOLE], [WHOLE])
    transport = HttpTransport(HeaderDialect())
    first = transport.send(upstream.address, request(idempotent=True), 1000)
    assert b"".join(first.body) == b"ok"
    second = transport.send(upstream.address, request(idempotent=False), 1000)
    assert b"".join(second.body) == b"ok"
    assert upstream.connections == 2


def test_repeated_headers_reach_the_upstream_and_the_caller():
    answer = b"HTTP/1.1 200 OK\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 0\r\n\r\n"
    upstream = RawUpstream([answer])
    headers = (("X-Tag", "one"), ("X-Tag", "two"))
    call = UpstreamRequest("GET", "/x", headers, b"", True)
    sent = HttpTransport(HeaderDialect()).send(upstream.address, call, 1000)
    assert [value for name, value in sent.headers if name == "Set-Cookie"] == ["a", "b"]
    assert b"X-Tag: one" in upstream.requests[0]
    assert b"X-Tag: two" in upstream.requests[0]


@pytest.mark.parametrize("target", ["/a%2fb/%7e", "//double", "/x?q=%2F&r=a+b", "/caf%c3%a9"])
def test_target_reaches_the_upstream_as_the_caller_wrote_it(target):
    upstream = RawUpstream([WHOLE])
    call = UpstreamRequest("GET", target, (), b"", True)
    HttpTransport(HeaderDialect()).send(upstream.address, call, 1000)
    assert upstream.requests[0].startswith(f"GET {target} HTTP/1.1\r\n".encode())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsho",
    ],
)
def test_short_body_raises(answer):
    upstream = RawUpstream([answer])
    sent = HttpTransport(HeaderDialect()).send(upstream.address, request(idempotent=True), 1000)
    with pytest.raises(TransferBroken):
        b"".join(sent.body)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Len",
        b"HTTP/1.1 200 OK\r\n\r\nends with the connection",
    ],
)
def test_answer_without_a_whole_head_or_a_length_means_unknown(answer):
    upstream = RawUpstream([answer])
    sent = HttpTransport(HeaderDialect()).send(upstream.address, request(idempotent=True), 1000)
    assert isinstance(sent, SendFailed)
    assert sent.result is CallResult.CONNECTION_LOST


def test_refused_connection_means_not_run():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    address = EndpointAddress("e", "1", "zone-a", "127.0.0.1", port, 1)
    sent = HttpTransport(HeaderDialect()).send(address, request(idempotent=False), 1000)
    assert sent.result is CallResult.CONNECT_FAILED


def test_not_run_header_means_not_run_whatever_the_status():
    upstream = RawUpstream(
        [b"HTTP/1.1 503 Busy\r\nUpstream-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"]
    )
    sent = HttpTransport(HeaderDialect()).send(upstream.address, request(idempotent=False), 1000)
    assert sent.result is CallResult.REFUSED


def read_to_the_end(*, resets):
    listener = socket.create_server(("127.0.0.1", 0))
    plain = socket.create_connection(listener.getsockname())
    connection, _ = listener.accept()
    upstream_socket = UpstreamSocket(plain)
    connection.sendall(b"part of it")
    received = upstream_socket.recv(100)
    if resets:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()
    listener.close()
    return received + upstream_socket.recv(100)


def test_answer_without_a_length_that_is_reset_does_not_look_whole():
    assert read_to_the_end(resets=False) == b"part of it"
    with pytest.raises(ConnectionResetError):
        read_to_the_end(resets=True)


def test_connection_is_reused_under_the_eventlet_hub():
    upstream = RawUpstream([WHOLE, WHOLE, WHOLE])
    port = upstream.address.port
    script = (
        "import eventlet; eventlet.monkey_patch()\n"
        "from cassiahaven_core.edge import UpstreamRequest\n"
        "from cassiahaven_core.pool import EndpointAddress\n"
        "from cassiahaven_entry.header_dialect import HeaderDialect\n"
        "from cassiahaven_entry.http_transport import HttpTransport\n"
        "transport = HttpTransport(HeaderDialect())\n"
        f"address = EndpointAddress('e', '1', 'z', '127.0.0.1', {port}, 1)\n"
        "for _ in range(3):\n"
        "    sent = transport.send(address, UpstreamRequest('GET', '/', (), b'', True), 3000)\n"
        "    print(b''.join(sent.body))\n"
    )
    command = [sys.executable, "-W", "ignore", "-c", script]
    done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=30)
    assert done.stdout.splitlines() == ["b'ok'"] * 3, done.stderr
    assert upstream.connections == 1


def test_dying_process_counts_as_down_though_it_still_listens():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        address = EndpointAddress("e", "1", "zone-a", "127.0.0.1", port, 1)
        transport = HttpTransport(HeaderDialect())
        assert not transport.is_down(address)
        connection, _ = listener.accept()
        connection.close()
        closing = threading.Thread(target=lambda: listener.accept()[0].close())
        closing.start()
        assert transport.is_down(address)
        closing.join()
    assert transport.is_down(address)


def send_under_the_hub(port, *, patience_ms, timeout_ms):
    """Send a call in a process with the eventlet hub; return what came of it."""
    script = (
        "import eventlet; eventlet.monkey_patch()\n"
        "from cassiahaven_core.edge import SendFailed, UpstreamRequest\n"
        "from cassiahaven_core.pool import EndpointAddress\n"
        "from cassiahaven_entry.header_dialect import HeaderDialect\n"
        "from cassiahaven_entry.http_transport import HttpTransport\n"
        "transport = HttpTransport(HeaderDialect())\n"
        f"address = EndpointAddress('e', '1', 'z', '127.0.0.1', {port}, 1)\n"
        "call = UpstreamRequest('GET', '/', (), b'', True)\n"
        f"sent = transport.send(address, call, {timeout_ms}, patience_ms={patience_ms})\n"
        "print(sent.result.value if isinstance(sent, SendFailed) else b''.join(sent.body))\n"
    )
    command = [sys.executable, "-W", "ignore", "-c", script]
    done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=30)
    return done.stdout.strip() or done.stderr


@pytest.fixture
def slow_upstream():
    """Return a function that serves one connection with parts, each after a pause in seconds."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def start(*parts):
            def serve():
                connection, _ = listener.accept()
                with connection:
                    connection.recv(65536)
                    for pause_s, part in parts:
                        time.sleep(pause_s)
                        connection.sendall(part)
                    connection.recv(1)

            threading.Thread(target=serve, daemon=True).start()
            return listener.getsockname()[1]

        yield start


def test_answer_that_does_not_begin_within_the_patience_counts_as_unanswered(slow_upstream):
    port = slow_upstream((5.0, WHOLE))
    assert send_under_the_hub(port, patience_ms=200, timeout_ms=4000) == "unanswered"


def test_answer_that_does_not_begin_before_the_deadline_is_a_timeout(slow_upstream):
    port = slow_upstream((5.0, WHOLE))
    assert send_under_the_hub(port, patience_ms=900, timeout_ms=200) == "timeout"


def test_answer_that_began_within_the_patience_may_take_until_the_deadline(slow_upstream):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
    port = slow_upstream((0.0, head + b"o"), (1.5, b"k"))
    assert send_under_the_hub(port, patience_ms=400, timeout_ms=8000) == "b'ok'"


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SIGNED = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Signature: s\r\n"


@pytest.fixture
def events(monkeypatch):
    """Return the list of log lines that the transport writes."""
    lines = []
    monkeypatch.setattr(
        http_transport_module, "log", lambda event, **fields: lines.append((event, fields))
    )
    return lines


@pytest.mark.parametrize(
    ("rest", "framing", "declared", "body"),
    [
        (b"Content-Length: 2\r\n\r\nok", Framing.LENGTH, 2, 2),
        (b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Framing.CHUNKS, None, 2),
        (b"\r\nok", Framing.CONNECTION, None, 2),
        (b"Content-Length: 0\r\n\r\n", Framing.LENGTH, 0, 0),
    ],
)
def test_how_a_whole_answer_was_read_is_recorded(rest, framing, declared, body):
    metrics = Metrics()
    transport = HttpTransport(PlatformUpstreams(), metrics=metrics)
    call = UpstreamRequest("GET", "/x", (), b"", True, "r1")
    answer = SIGNED % b"r1" + rest
    sent = transport.send(RawUpstream([answer]).address, call, 1000)
    assert len(b"".join(sent.body)) == body
    record = sent.record
    assert (record.framing, record.declared_bytes, record.body_bytes) == (framing, declared, body)
    assert record.received_bytes == len(answer)
    assert record.is_whole
    assert record.exchange == 1
    closed = framing is Framing.CONNECTION
    assert record.connection is (ConnectionEnd.CLOSED if closed else ConnectionEnd.OPEN)
    labels = {"framing": framing.value, "connection": record.connection.value, "end": "whole"}
    assert metrics.registry.get_sample_value("cassiahaven_answers_total", labels) == 1


@pytest.mark.parametrize(
    ("answer", "framing"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Le", Framing.UNKNOWN),
        (WHOLE[:-1], Framing.LENGTH),
        (CHUNKED + b"2\r\nok\r\n0", Framing.CHUNKS),
    ],
)
def test_how_an_answer_that_ends_early_was_read_is_recorded(answer, framing):
    metrics = Metrics()
    upstream = RawUpstream([answer])
    transport = HttpTransport(HeaderDialect(), metrics=metrics)
    sent = transport.send(upstream.address, request(idempotent=True), 1000)
    if not isinstance(sent, SendFailed):
        with pytest.raises(TransferBroken):
            b"".join(sent.body)
    assert (sent.record.framing, sent.record.received_bytes) == (framing, len(answer))
    assert sent.record.connection is ConnectionEnd.CLOSED
    assert not sent.record.is_whole
    labels = {"framing": framing.value, "connection": "closed", "end": "broken"}
    assert metrics.registry.get_sample_value("cassiahaven_answers_total", labels) == 1


def test_position_of_a_call_on_its_connection_is_recorded():
    upstream = RawUpstream([WHOLE, WHOLE], [WHOLE])
    transport = HttpTransport(HeaderDialect())
    exchanges = []
    for idempotent in (True, True, False):
        sent = transport.send(upstream.address, request(idempotent=idempotent), 1000)
        assert b"".join(sent.body) == b"ok"
        exchanges.append(sent.record.exchange)
    assert exchanges == [1, 2, 1]


def test_bytes_behind_an_answer_are_reported(events):
    upstream = RawUpstream([WHOLE + WHOLE])
    metrics = Metrics()
    transport = HttpTransport(HeaderDialect(), metrics=metrics)
    sent = transport.send(upstream.address, request(idempotent=True), 1000)
    assert b"".join(sent.body) == b"ok"
    assert sent.record.surplus_bytes == len(WHOLE)
    [(event, fields)] = events
    assert event is LogEvent.UNEXPECTED_BYTES
    assert fields["place"] == UnexpectedPlace.BEHIND_ANSWER.value
    labels = {"place": UnexpectedPlace.BEHIND_ANSWER.value}
    assert metrics.registry.get_sample_value("cassiahaven_unexpected_bytes_total", labels) == 1


def test_answer_that_names_another_request_is_reported(events):
    answer = SIGNED % b"r0" + b"Content-Length: 2\r\n\r\nok"
    transport = HttpTransport(PlatformUpstreams())
    call = UpstreamRequest("GET", "/x", (), b"", True, "r1")
    sent = transport.send(RawUpstream([answer]).address, call, 1000)
    assert sent.result is CallResult.CONNECTION_LOST
    [(event, fields)] = events
    assert event is LogEvent.UNEXPECTED_BYTES
    assert fields["place"] == UnexpectedPlace.IN_PLACE_OF_ANSWER.value
    assert (fields["request"], fields["named"]) == ("r1", "r0")


def test_answer_that_arrives_on_an_idle_connection_is_reported():
    script = """
import eventlet; eventlet.monkey_patch()
import json, sys
from cassiahaven_core.edge import UpstreamRequest
from cassiahaven_core.pool import EndpointAddress
from cassiahaven_entry import http_transport
from cassiahaven_entry.header_dialect import HeaderDialect
lines = []
http_transport.log = lambda event, **fields: lines.append(fields)
transport = http_transport.HttpTransport(HeaderDialect())
address = EndpointAddress("e", "1", "z", "127.0.0.1", int(sys.argv[1]), 1)
for _ in range(2):
    sent = transport.send(address, UpstreamRequest("GET", "/", (), b"", True), 3000)
    b"".join(sent.body)
    eventlet.sleep(0.5)
print(json.dumps(lines))
"""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            for _ in range(2):
                connection, _ = listener.accept()
                connection.recv(65536)
                connection.sendall(WHOLE)
                time.sleep(0.2)
                connection.sendall(WHOLE)

        threading.Thread(target=serve, daemon=True).start()
        port = listener.getsockname()[1]
        command = [sys.executable, "-W", "ignore", "-c", script, str(port)]
        done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=30)
    [line] = json.loads(done.stdout or done.stderr)
    assert line["place"] == UnexpectedPlace.IDLE_CONNECTION.value
    assert line["start"] == WHOLE.decode()


@pytest.mark.parametrize(
    ("framing", "first", "last"),
    [
        ("Content-Length: 2", b"o", b"k"),
        ("Transfer-Encoding: chunked", b"1\r\no\r\n", b"1\r\nk\r\n0\r\n\r\n"),
    ],
)
def test_answer_that_closes_its_connection_may_take_until_the_deadline(
    slow_upstream, framing, first, last
):
    # Its connection is detached before the body is read, so the patience applied to the body too.
    head = f"HTTP/1.1 200 OK\r\nConnection: close\r\n{framing}\r\n\r\n"
    port = slow_upstream((0.0, head.encode() + first), (1.5, last))
    assert send_under_the_hub(port, patience_ms=400, timeout_ms=8000) == "b'ok'"


@pytest.mark.parametrize(
    "code", ["ECONNRESET", "EPIPE", "ESHUTDOWN", "ETIMEDOUT", "EHOSTUNREACH", "ENETDOWN", "EBADF"]
)
def test_error_of_a_connection_does_not_look_like_its_end(code):
    # The library returns nothing, as at an orderly end, for some errors.
    plain = Mock(gettimeout=Mock(return_value=None), fileno=Mock(return_value=-1))
    plain.recv_into.side_effect = OSError(getattr(errno, code), code)
    with pytest.raises(OSError):
        UpstreamSocket(plain).recv_into(bytearray(10))


def test_end_of_a_connection_behind_a_reset_that_a_check_found_is_not_used():
    # The system reports a reset once; after the check has taken it, the connection looks ended.
    listener = socket.create_server(("127.0.0.1", 0))
    connection = PeekingConnection(*listener.getsockname())
    plain = socket.create_connection(listener.getsockname())
    connection.sock = UpstreamSocket(plain)
    accepted, _ = listener.accept()
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    assert connection.is_connected
    accepted.close()
    listener.close()
    assert not connection.is_connected
    assert not connection.is_connected


def test_length_of_an_answer_without_content_is_not_passed_on():
    # A caller that goes by the length would take the start of its next answer for the body.
    upstream = RawUpstream([b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\nX-Tag: a\r\n\r\n"])
    sent = HttpTransport(HeaderDialect()).send(upstream.address, request(idempotent=True), 1000)
    assert sent.headers == (("X-Tag", "a"),)
    assert b"".join(sent.body) == b""


def test_response_that_begins_within_a_head_is_counted():
    # The logs did not tell an answer that was mixed with a late one from a lost connection.
    upstream = RawUpstream([b"HTTP/1.1 200 OK\r\nX-Tag: a" + WHOLE])
    metrics = Metrics()
    transport = HttpTransport(HeaderDialect(), metrics=metrics)
    assert isinstance(transport.send(upstream.address, request(idempotent=True), 1000), SendFailed)
    assert b'unexpected_bytes_total{place="within a head"} 1.0' in metrics.text()


@pytest.mark.parametrize("is_probe", [False, True])
@pytest.mark.parametrize("line", INVALID_STATUS_LINES)
def test_response_with_an_invalid_status_is_no_answer_and_its_bytes_are_logged(
    events, line, is_probe
):
    # Status 600 and 999 reached callers, and ``2_00``, a tab and HTTP/0.9 were taken for 200.
    spoiled = line + WHOLE[WHOLE.index(b"\r\n") :]
    upstream = RawUpstream([spoiled, WHOLE], [WHOLE])
    transport = HttpTransport(HeaderDialect())
    if is_probe:
        assert isinstance(transport.probe(upstream.address, "/health", 1000), ProbeFailed)
    else:
        sent = transport.send(upstream.address, request(idempotent=True), 1000)
        assert sent.result is CallResult.CONNECTION_LOST
        assert sent.record.framing is Framing.UNKNOWN
    [(event, fields)] = events
    assert event is LogEvent.UNEXPECTED_BYTES
    assert fields["place"] == UnexpectedPlace.STATUS_LINE.value
    assert fields["start"] == line.decode("latin-1") + "\r\n"
    assert b"".join(transport.send(upstream.address, request(idempotent=True), 1000).body) == b"ok"
    assert upstream.connections == 2


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 200 OK",
        b"HTTP/1.0 200 OK",
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 299 Not assigned",
        b"HTTP/1.1 599  Two spaces \t and \xe9",
    ],
)
def test_response_with_a_valid_status_is_passed_on(line):
    # A check that is too strict would break answers of sound endpoints.
    upstream = RawUpstream([line + WHOLE[WHOLE.index(b"\r\n") :]])
    sent = HttpTransport(HeaderDialect()).send(upstream.address, request(idempotent=True), 1000)
    assert (sent.status, b"".join(sent.body)) == (int(line[9:12]), b"ok")


@pytest.mark.parametrize("line", INVALID_STATUS_LINES)
def test_health_check_with_an_invalid_status_fails(line):
    # ``2_00`` counted as healthy.
    upstream = RawUpstream([line + WHOLE[WHOLE.index(b"\r\n") :]], [WHOLE])
    assert not HttpProbe().probe(upstream.address)
    assert HttpProbe().probe(upstream.address)


@pytest.mark.parametrize(("left_ms", "waits"), [(0.0, False), (60_000.0, True)])
def test_body_that_ends_like_a_head_waits_only_before_the_deadline(monkeypatch, left_ms, waits):
    # The call was answered in time; waiting for the rest of a head would make the answer late.
    receives = []

    def recv(sock, size):
        receives.append(size)
        return b""

    monkeypatch.setattr(UpstreamSocket, "recv", recv)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        plain = socket.create_connection(listener.getsockname())
        connection, _ = listener.accept()
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nH")
        upstream_socket = UpstreamSocket(plain)
        upstream_socket.expires_ms = now_ms() + left_ms + BODY_GRACE_MS
        response = WholeResponse(upstream_socket)
        response.begin()
        assert response.read() == b"H"
        connection.close()
    assert bool(receives) is waits
