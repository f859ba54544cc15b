"""Answers of endpoints in every framing of HTTP, cut off after each byte."""

import json
import socket
import subprocess
import sys
import threading

import pytest

from cassiahaven_standins.answer_framing import (
    FRAMING_BY_NAME,
    ConnectionFraming,
    LengthFraming,
    send_cut,
)

BODY = b"abcdefghijklmnopqrstuvwxyz" * 4
HEADERS = {"Request-Id": "r1", "Response-Signature": "3e1b.07.5a2.600.0.c9f2a4d1"}
SERVER_THREADS = 8
SEND_ALL = """
import base64, json, sys
import eventlet; eventlet.monkey_patch()
from cassiahaven_core.edge import SendFailed, TransferBroken, UpstreamRequest
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_entry.http_transport import HttpTransport
from cassiahaven_platform.dialects import PlatformUpstreams
port, count, body_bytes = map(int, sys.argv[1:])
transport = HttpTransport(PlatformUpstreams())
address = EndpointAddress("e", "1", "z", "127.0.0.1", port, 1)
def send(number):
    is_get = number % 2 == 0
    method, body = ("GET", b"") if is_get else ("POST", b"b" * body_bytes)
    call = UpstreamRequest(method, f"/{number}", (), body, is_get, "r1")
    sent = transport.send(address, call, 20_000)
    if isinstance(sent, SendFailed):
        return None
    try:
        return b"".join(sent.body).decode()
    except TransferBroken:
        return None
print(json.dumps(list(eventlet.GreenPool(16).imap(send, range(count)))))
"""


class CutServer:
    """Send the answer that the number in a request's path selects, and end the connection.

    Args:
        cuts: The bytes to send for each number, and whether to end the connection by a reset.
        reads_body: Whether to read the request's body before answering.
    """

    def __init__(self, cuts, *, reads_body=True):
        self.cuts = cuts
        self.reads_body = reads_body
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        for _ in range(SERVER_THREADS):
            threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            try:
                head, _, body = self.read_until(connection, b"\r\n\r\n").partition(b"\r\n\r\n")
                if self.reads_body and head.startswith(b"POST") and not body:
                    connection.recv(65536)
                data, resets = self.cuts[int(head.split(b" ")[1][1:])]
                send_cut(connection, data, resets=resets)
            except OSError:
                connection.close()

    def read_until(self, connection, end):
        data = b""
        while end not in data:
            part = connection.recv(4096)
            if not part:
                raise ConnectionResetError
            data += part
        return data


@pytest.fixture
def send_calls():
    """Return a function that sends a GET or a POST for each cut, and returns the bodies received.

    The body is ``None`` if the answer was not received as a whole.
    """
    servers = []

    def send(cuts, *, body_bytes=200, **options):
        server = CutServer(cuts, **options)
        servers.append(server)
        port = server.listener.getsockname()[1]
        command = [sys.executable, "-W", "ignore", "-c", SEND_ALL]
        command += [str(port), str(len(cuts)), str(body_bytes)]
        done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=120)
        assert done.returncode == 0, done.stderr
        bodies = json.loads(done.stdout)
        return [None if body is None else body.encode() for body in bodies]

    yield send
    for server in servers:
        server.listener.close()


@pytest.mark.parametrize(
    ("framing", "status"),
    [(name, "200 OK") for name in FRAMING_BY_NAME]
    + [(name, "500 Internal Server Error") for name in ("length", "chunks", "connection")],
)
def test_answer_that_ends_early_never_looks_whole(send_calls, framing, status):
    # An answer cut within its head, a chunk's size or the trailers was passed on as a whole one.
    answer = FRAMING_BY_NAME[framing].encode(status, HEADERS, BODY)
    cuts = [
        (size, resets)
        for size in range(len(answer.data) + 1)
        for resets in (False, True)
        for _ in ("GET", "POST")
    ]
    bodies = send_calls([(answer.data[:size], resets) for size, resets in cuts])
    for (size, resets), body in zip(cuts, bodies, strict=True):
        if answer.ends_with_connection and not resets and size >= answer.head_size:
            assert body == answer.data[answer.head_size : size]  # its end cannot be told
        elif size == len(answer.data) and not resets:
            assert body == BODY
        elif size == len(answer.data) and not answer.ends_with_connection:
            assert body in (BODY, None)
        else:
            assert body is None, (size, resets)


def test_answer_that_is_reset_while_the_request_is_sent_does_not_look_whole(send_calls):
    # The failed send consumed the error, so the reset looked like the end of the connection.
    answer = ConnectionFraming().encode("200 OK", HEADERS, BODY)
    cuts = [(answer.data[:-10], True)] * 20
    bodies = send_calls(cuts, body_bytes=4_000_000, reads_body=False)
    assert bodies == [None] * len(cuts)


MALFORMED_HEADS = {
    "line without a colon": {"X": "y\r\nno colon", "Content-Length": "104"},
    "length that is no number": {"Content-Length": "104 bytes"},
    "two lengths": {"Content-Length": "104\r\nContent-Length: 7"},
    "list of lengths": {"Content-Length": "104, 104"},
    "negative length": {"Content-Length": "-1"},
    "unknown transfer coding": {"Transfer-Encoding": "gzip, chunked"},
    "length and chunks": {"Transfer-Encoding": "chunked", "Content-Length": "7"},
}


@pytest.mark.parametrize("fault", MALFORMED_HEADS)
def test_answer_whose_end_cannot_be_read_is_not_passed_on(send_calls, fault):
    # The library falls back to the end of the connection, or passes on a length that is wrong.
    headers = HEADERS | MALFORMED_HEADS[fault]
    body = b"68\r\n" + BODY + b"\r\n0\r\n\r\n" if "Transfer-Encoding" in headers else BODY
    data = ConnectionFraming().encode("200 OK", headers, body).data
    assert send_calls([(data, False)] * 2) == [None, None]


MALFORMED_CHUNKS = {
    "negative size": b"-1\r\nabc\r\n",
    "signed size": b"+3\r\nabc\r\n",
    "prefixed size": b"0x3\r\nabc\r\n",
    "size with an underscore": b"0_3\r\nabc\r\n",
    "size behind a space": b" 3\r\nabc\r\n",
    "size without a carriage return": b"3\nabc\r\n",
    "no line break behind a chunk": b"3\r\nabcXY",
    "chunk that is longer than its size": b"2\r\nabc\r\n",
}


@pytest.mark.parametrize("fault", MALFORMED_CHUNKS)
def test_answer_whose_chunks_cannot_be_read_is_not_passed_on(send_calls, fault):
    # The library skips two bytes behind a chunk unseen, and reads numbers in Python's notation.
    headers = HEADERS | {"Transfer-Encoding": "chunked"}
    data = ConnectionFraming().encode("200 OK", headers, MALFORMED_CHUNKS[fault]).data
    assert send_calls([(data + b"0\r\n\r\n", False)] * 2) == [None, None]


@pytest.mark.parametrize("line", [b"3 \r\n", b"03;name=value\r\n", b'3 ; name="a b"\r\n'])
def test_size_of_a_chunk_may_be_padded_or_extended(send_calls, line):
    # Endpoints may fill up the line of a chunk's size, or add to it.
    headers = HEADERS | {"Transfer-Encoding": "chunked"}
    chunks = line + b"abc\r\n0\r\n\r\n"
    data = ConnectionFraming().encode("200 OK", headers, chunks).data
    assert send_calls([(data, False)] * 2) == [b"abc", b"abc"]


@pytest.mark.parametrize("status", ["101 Switching Protocols", "103 Early Hints"])
def test_interim_answer_is_not_passed_on_as_the_last_one(send_calls, status):
    interim = f"HTTP/1.1 {status}\r\nRequest-Id: r1\r\n\r\n".encode()
    answer = LengthFraming(interim=interim).encode("200 OK", HEADERS, BODY)
    assert send_calls([(answer.data, False)] * 2) == [None, None]


@pytest.mark.parametrize("framing", FRAMING_BY_NAME)
def test_part_of_a_late_answer_does_not_shorten_the_next_one(send_calls, framing):
    # The length of a late answer that was cut within its head was taken for that of the next one.
    answer = FRAMING_BY_NAME[framing].encode("200 OK", HEADERS, BODY)
    late_headers = {"Request-Id": "r0", "Response-Signature": "sig-r0", "Server-Load": "1,0,8"}
    parts = []
    for late_framing in ("length", "chunks"):
        for headers in (late_headers, dict(reversed(late_headers.items()))):
            for framing_first in (False, True):
                late = FRAMING_BY_NAME[late_framing].encode(
                    "200 OK", headers, BODY[:30], framing_first=framing_first
                )
                parts += [late.data[:size] for size in range(1, len(late.data) + 1)]
    bodies = send_calls([(part + answer.data, False) for part in parts])
    wrong = {
        part: body for part, body in zip(parts, bodies, strict=True) if body not in (BODY, None)
    }
    assert wrong == {}


@pytest.mark.parametrize("framing", FRAMING_BY_NAME)
def test_answer_cut_in_its_body_is_not_filled_up_with_the_one_behind_it(send_calls, framing):
    # The head of the repeated answer became the end of a body that had the announced length.
    first = FRAMING_BY_NAME[framing].encode("200 OK", HEADERS, BODY)
    cuts = [
        (name, size)
        for name in ("length", "chunks", "connection")
        for size in range(first.head_size, len(first.data))
        for _ in ("GET", "POST")
    ]
    second_by_name = {
        name: FRAMING_BY_NAME[name].encode("200 OK", HEADERS, BODY).data for name, _ in cuts
    }
    bodies = send_calls([(first.data[:size] + second_by_name[name], False) for name, size in cuts])
    wrong = [
        (*cut, body) for cut, body in zip(cuts, bodies, strict=True) if body not in (BODY, None)
    ]
    assert wrong == []
