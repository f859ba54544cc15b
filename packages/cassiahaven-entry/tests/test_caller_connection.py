"""Connections of callers: requests are read ahead, answers leave in order, callers may leave.

Server and callers run as green threads of one hub.
"""

import subprocess
import sys

import eventlet
import pytest
from eventlet.event import Event
from eventlet.green import socket

from cassiahaven_core.edge import CallResponse, TransferBroken
from cassiahaven_core.pipeline import MAX_REQUESTS
from cassiahaven_core.request_memory import RequestMemory
from cassiahaven_entry.caller_connection import CallerLeft
from cassiahaven_entry.caller_dialect import TARGET, CallerDialect, CallHead
from cassiahaven_entry.gateway import HttpFrontend

WAIT_S = 5.0
MEMORY_BYTES = 4_000_000  # 1.6 MB for bodies, of which large ones leave 0.2 MB
UPLOAD = b"x" * 600_000
SMUGGLED = b"GET /now/smuggled HTTP/1.1\r\nHost: h\r\n\r\n"


class EchoDialect(CallerDialect):
    """Take each request as a call whose name is its target."""

    dropped_headers = frozenset()
    idle_timeout_ms = 300.0

    def respond_locally(self, environ):
        return None

    def read_head(self, environ):
        deadline_ms = environ.get("HTTP_DEADLINE_MS")
        timeout_ms = None if deadline_ms is None else float(deadline_ms)
        return CallHead("s", environ[TARGET], None, None, timeout_ms, 1_000_000)

    def local_response(self, service, outcome, *, request_id=None, retry_after_ms=None):
        body = outcome.header.encode()
        headers = (("Content-Length", str(len(body))),)
        if retry_after_ms is not None:
            headers = (*headers, ("Retry-After", str(retry_after_ms)))
        return CallResponse(400, headers, iter((body,)))


class Backend:
    """Handle calls: each blocks until it is released, unless it is named ``/now``."""

    def __init__(self):
        self.release_by_target = {}
        self.started = []
        self.left = []
        self.request_by_target = {}
        self.waits_for_turn = set()
        self.body_by_target = {}
        self.targets_without_length = set()

    def __call__(self, request):
        target = request.target
        self.request_by_target[target] = request
        try:
            if target in self.waits_for_turn:
                request.await_turn()
            self.started.append(target)
            if not target.startswith("/now"):
                self.release_by_target.setdefault(target, Event()).wait()
        except CallerLeft:
            self.left.append(target)
            raise
        body = self.body_by_target.get(target, [f"{target} ".encode() + request.body])
        size = sum(len(part) for part in body if isinstance(part, bytes))
        headers = (("Content-Length", str(size)),)
        if target in self.targets_without_length:
            headers = ()
        return CallResponse(200, headers, self._parts(body))

    def release(self, target):
        self.release_by_target.setdefault(target, Event()).send()

    def _parts(self, body):
        for part in body:
            if isinstance(part, Event):
                part.wait()
            elif isinstance(part, type):
                raise part("cut")
            else:
                yield part


class Caller:
    """A raw connection to the frontend."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.settimeout(WAIT_S)
        self.data = b""

    def send(self, *targets, method="GET", body=b"", headers=""):
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        text = "".join(
            f"{method} {target} HTTP/1.1\r\nHost: h\r\n{headers}{length}\r\n" + body.decode()
            for target in targets
        )
        self.socket.sendall(text.encode())

    def read(self):
        """Return status, body and whether the answer closes the connection."""
        while b"\r\n\r\n" not in self.data:
            self._receive()
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        values = dict(line.split(": ", 1) for line in lines[1:])
        size = int(values["content-length"])
        while len(self.data) < size:
            self._receive()
        body, self.data = self.data[:size], self.data[size:]
        return int(lines[0].split()[1]), body, values.get("connection") == "close"

    def is_closed(self):
        return not self.data and self.socket.recv(1) == b""

    def is_reset(self):
        """Read to the end of the connection; return whether a reset ended it."""
        with eventlet.Timeout(WAIT_S):
            while True:
                try:
                    # Green sockets report a reset as an orderly end.
                    if not self.socket.fd.recv(65536):
                        return False
                except BlockingIOError:
                    eventlet.sleep(0.005)
                except ConnectionResetError:
                    return True

    def _receive(self):
        received = self.socket.recv(65536)
        if not received:
            raise ConnectionError(f"closed after {self.data!r}")
        self.data += received


def until(check):
    with eventlet.Timeout(WAIT_S):
        while not check():
            eventlet.sleep(0.005)


@pytest.fixture
def backend():
    return Backend()


@pytest.fixture
def memory():
    return RequestMemory(MEMORY_BYTES)


@pytest.fixture
def frontend(backend, memory):
    frontend = HttpFrontend("127.0.0.1", 0, dialect=EchoDialect(), memory=memory)
    task = eventlet.spawn(frontend.serve, backend)
    yield frontend
    task.kill()


@pytest.fixture
def connect(frontend):
    return lambda: Caller(frontend._socket.getsockname()[1])


def test_requests_run_side_by_side_and_are_answered_in_order(backend, connect):
    caller = connect()
    caller.send("/a", "/b", "/c")
    until(lambda: len(backend.started) == 3)
    for target in ("/c", "/b"):
        backend.release(target)
    eventlet.sleep(0.05)
    assert caller.data == b""
    backend.release("/a")
    assert [caller.read() for _ in range(3)] == [
        (200, target, False) for target in (b"/a ", b"/b ", b"/c ")
    ]
    caller.send("/now")
    assert caller.read()[1] == b"/now "


def test_reading_ahead_is_bounded_and_goes_on_as_answers_leave(backend, connect):
    caller = connect()
    targets = [f"/{number}" for number in range(MAX_REQUESTS + 3)]
    caller.send(*targets)
    until(lambda: len(backend.started) == MAX_REQUESTS)
    eventlet.sleep(0.05)
    assert len(backend.started) == MAX_REQUESTS
    for target in targets:
        backend.release(target)
    assert [caller.read()[1].strip().decode() for _ in targets] == targets


def test_sixteen_requests_with_bodies_each_get_their_own(backend, connect):
    caller = connect()
    for number in range(16):
        caller.send(f"/now{number}", method="POST", body=b"x" * (number + 1))
    for number in range(16):
        assert caller.read()[1] == f"/now{number} ".encode() + b"x" * (number + 1)


def test_chunked_bodies_are_read_before_the_next_request(backend, connect):
    caller = connect()
    chunked = (
        "POST /now HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    )
    caller.socket.sendall(chunked.encode() * 3)
    assert [caller.read()[1] for _ in range(3)] == [b"/now abc"] * 3


UNKNOWN_ENDS = {
    "another coding": "Transfer-Encoding: gzip, chunked\r\n",
    "identity": "Transfer-Encoding: identity\r\n",
    "two codings": "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "two lengths": "Content-Length: 0\r\nContent-Length: 30\r\n",
    "sign": "Content-Length: +0\r\n",
    "space before the colon": "Content-Length : 30\r\n",
    "length behind a malformed line": "no colon\r\nContent-Length: 30\r\n",
}


@pytest.mark.parametrize("position", ["first", "behind another"])
@pytest.mark.parametrize("fault", UNKNOWN_ENDS)
def test_body_of_a_request_without_a_known_end_is_not_read_as_a_request(
    backend, connect, fault, position
):
    # Orders with another transfer coding ran with an empty body, and their body as a request.
    caller = connect()
    if position != "first":
        caller.send("/now")
    smuggled = "GET /now/smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
    head = f"POST /now/order HTTP/1.1\r\nHost: h\r\n{UNKNOWN_ENDS[fault]}\r\n"
    caller.socket.sendall((head + smuggled).encode())
    if position != "first":
        assert caller.read()[:2] == (200, b"/now ")
    status, _, closes = caller.read()
    assert (status, closes) == (400, True)
    assert caller.is_closed()
    assert not [target for target in backend.started if target != "/now"]


@pytest.mark.parametrize(
    ("header", "body"),
    [
        ("Content-Length: \t3 \t", "abc"),
        ("Transfer-Encoding:  Chunked ", "3\r\nabc\r\n0\r\n\r\n"),
    ],
)
def test_whitespace_around_the_length_or_coding_is_ignored(backend, connect, header, body):
    caller = connect()
    caller.socket.sendall(f"POST /now HTTP/1.1\r\nHost: h\r\n{header}\r\n\r\n{body}".encode())
    assert caller.read() == (200, b"/now abc", False)


def test_a_caller_that_asks_before_it_sends_a_body_is_told_to_go_on_in_its_turn(backend, connect):
    caller = connect()
    caller.send("/a")
    until(lambda: backend.started == ["/a"])
    head = "POST /now HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
    caller.socket.sendall(head.encode())
    eventlet.sleep(0.05)
    backend.release("/a")
    assert caller.read()[1] == b"/a "
    assert caller.socket.recv(65536).startswith(b"HTTP/1.1 100 Continue\r\n")
    caller.socket.sendall(b"body")
    assert caller.read()[1] == b"/now body"


def test_a_call_that_must_not_run_twice_waits_until_those_before_it_are_answered(backend, connect):
    backend.waits_for_turn.add("/order")
    caller = connect()
    caller.send("/a", "/order", "/b")
    until(lambda: backend.started == ["/a", "/b"])
    eventlet.sleep(0.05)
    assert "/order" not in backend.started
    backend.release("/a")
    until(lambda: "/order" in backend.started)
    backend.release("/order")
    backend.release("/b")
    assert [caller.read()[1] for _ in range(3)] == [b"/a ", b"/order ", b"/b "]


def test_the_time_of_arrival_is_when_a_request_was_read(backend, connect):
    backend.waits_for_turn.add("/order")
    caller = connect()
    caller.send("/a", "/order")
    until(lambda: "/order" in backend.request_by_target)
    arrived_ms = {name: item.arrived_ms for name, item in backend.request_by_target.items()}
    assert arrived_ms["/order"] - arrived_ms["/a"] < 100
    eventlet.sleep(0.2)
    backend.release("/a")
    until(lambda: "/order" in backend.started)
    assert backend.request_by_target["/order"].arrived_ms == arrived_ms["/order"]


@pytest.mark.parametrize("count", [1, 2, 5])
def test_a_caller_that_leaves_cancels_all_it_asked_for(backend, connect, frontend, count):
    caller = connect()
    targets = [f"/{number}" for number in range(count)]
    caller.send(*targets)
    until(lambda: len(backend.started) == count)
    caller.socket.close()
    until(lambda: sorted(backend.left) == targets)
    assert frontend.in_flight == 0


def test_a_caller_that_leaves_after_it_asked_to_close_is_noticed_too(backend, connect, frontend):
    caller = connect()
    caller.send("/a", headers="Connection: close\r\n")
    until(lambda: backend.started == ["/a"])
    caller.socket.close()
    until(lambda: backend.left == ["/a"])
    assert frontend.in_flight == 0


def test_a_caller_that_leaves_while_a_body_fills_the_window_is_noticed(backend, connect):
    caller = connect()
    caller.send("/a", method="POST", body=b"x" * 900_000)
    until(lambda: backend.started == ["/a"])
    caller.socket.close()
    until(lambda: backend.left == ["/a"])


def test_a_caller_that_leaves_in_the_middle_of_an_answer_ends_its_transfer(backend, connect):
    rest = Event()
    backend.body_by_target["/now"] = [b"x" * 5000, rest, b"second"]
    caller = connect()
    caller.send("/now")
    until(lambda: caller.socket.recv(65536))
    caller.socket.close()
    eventlet.sleep(0.1)
    assert not rest.ready()
    assert not rest._waiters


def test_request_cut_in_its_head_does_not_run_with_the_body_of_the_one_behind_it(backend, connect):
    # Two heads were read as one: the first request ran with the second one's headers and body.
    line = "POST /now/cut HTTP/1.1\r\n"
    head = f"{line}Host: h\r\nX-Trace: abc\r\nContent-Length: 4\r\n\r\n"
    for size in range(len(line), len(head)):
        caller = connect()
        caller.socket.sendall(head[:size].encode())
        caller.send("/now/next", method="POST", body=b"next")
        assert caller.read()[0] == 400, head[:size]
    assert backend.started == []


def test_a_malformed_request_is_answered_in_its_turn_and_ends_the_connection(backend, connect):
    caller = connect()
    caller.send("/a", "/b")
    caller.socket.sendall(b"nonsense\r\n\r\n")
    caller.send("/c")
    until(lambda: len(backend.started) == 2)
    backend.release("/b")
    backend.release("/a")
    assert [caller.read()[1] for _ in range(2)] == [b"/a ", b"/b "]
    assert b" 400 " in caller.socket.recv(65536)
    assert "/c" not in backend.started


def test_an_answer_that_breaks_off_ends_the_requests_behind_it(backend, connect, frontend):
    backend.body_by_target["/a"] = [b"x" * 5000, TransferBroken, b"rest"]
    backend.waits_for_turn.add("/order")
    caller = connect()
    caller.send("/a", "/b", "/order")
    until(lambda: backend.started == ["/a", "/b"])
    backend.release("/a")
    with pytest.raises(ConnectionError):
        caller.read()
    until(lambda: frontend.in_flight == 0)
    assert "/order" not in backend.started
    assert sorted(backend.left) == ["/b", "/order"]


@pytest.mark.parametrize("error", [None, TransferBroken, RuntimeError])
def test_answer_that_ends_with_its_connection_is_reset_if_it_breaks_off(backend, connect, error):
    # An orderly end looked like that of a whole answer: before HTTP/1.1 there are no chunks.
    backend.body_by_target["/now"] = [b"x" * 5000, error or b"y" * 5000]
    backend.targets_without_length.add("/now")
    caller = connect()
    caller.socket.sendall(b"GET /now HTTP/1.0\r\nHost: h\r\n\r\n")
    assert caller.is_reset() == (error is not None)


def test_answer_that_ends_with_its_connection_is_reset_if_its_caller_sends_no_more(
    backend, connect
):
    # The call is cancelled when its caller seems to leave; the part that was sent looked whole.
    backend.body_by_target["/now"] = [b"x" * 5000, Event()]
    backend.targets_without_length.add("/now")
    caller = connect()
    caller.socket.sendall(b"GET /now HTTP/1.0\r\nHost: h\r\n\r\n")
    caller.socket.recv(65536)
    caller.socket.shutdown(socket.SHUT_WR)
    assert caller.is_reset()


STREAM_WITHOUT_END = """
import eventlet; eventlet.monkey_patch()
from cassiahaven_core.edge import CallResponse
from cassiahaven_entry.gateway import HttpFrontend
from cassiahaven_entry.native_callers import NativeCallers
from cassiahaven_entry.caller_dialect import CallHead
class Callers(NativeCallers):
    def __init__(self): pass
    def respond_locally(self, environ): return None
    def read_head(self, environ): return CallHead("s", "/", None, None, None, 0)
def body():
    yield b"x" * 5000
    eventlet.sleep(60)
frontend = HttpFrontend("127.0.0.1", 0, dialect=Callers())
print(frontend._socket.getsockname()[1], flush=True)
frontend.serve(lambda request: CallResponse(200, (), body()))
"""


def test_answer_that_ends_with_its_connection_is_reset_if_its_entry_is_killed():
    # The system closes the connections of a killed process in an orderly way by default.
    command = [sys.executable, "-W", "ignore", "-c", STREAM_WITHOUT_END]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as entry:
        port = int(entry.stdout.readline())
        caller = Caller(port)
        caller.socket.sendall(b"GET / HTTP/1.0\r\nHost: h\r\n\r\n")
        received = 0
        while received < 5000:
            received += len(caller.socket.recv(65536))
        entry.kill()
        assert caller.is_reset()


def test_a_stop_answers_what_was_read_and_passes_nothing_further_on(backend, connect, frontend):
    caller = connect()
    caller.send("/a", "/b")
    until(lambda: len(backend.started) == 2)
    frontend.is_closing = True
    caller.send("/late")
    eventlet.sleep(0.05)
    backend.release("/a")
    backend.release("/b")
    assert caller.read() == (200, b"/a ", False)
    assert caller.read() == (200, b"/b ", True)
    assert caller.is_closed()
    assert "/late" not in backend.started


def test_a_request_read_while_the_last_answer_is_sent_is_not_passed_on(backend, connect, frontend):
    backend.body_by_target["/a"] = [b"x" * 20_000_000]
    caller = connect()
    caller.send("/a")
    until(lambda: backend.started == ["/a"])
    caller.socket.sendall(b"GET /late HTTP/1.1\r\nHo")
    eventlet.sleep(0.05)
    frontend.is_closing = True
    backend.release("/a")
    eventlet.sleep(0.1)
    caller.socket.sendall(b"st: h\r\n\r\n")
    eventlet.sleep(0.1)
    assert "/late" not in backend.started
    status, body, closes = caller.read()
    assert (status, len(body), closes) == (200, 20_000_000, True)
    assert caller.is_closed()
    assert backend.started == ["/a"]


def test_a_stop_lets_an_idle_connection_ask_once_more(backend, connect, frontend):
    caller = connect()
    caller.send("/now")
    assert caller.read() == (200, b"/now ", False)
    frontend.is_closing = True
    caller.send("/now")
    assert caller.read() == (200, b"/now ", True)
    assert caller.is_closed()


def test_the_last_answer_arrives_though_further_requests_were_sent(backend, connect, frontend):
    frontend.is_closing = True
    backend.body_by_target["/now"] = [b"x" * 200_000]
    caller = connect()
    caller.send("/now", *[f"/late{number}" for number in range(200)])
    eventlet.sleep(0.1)
    status, body, closes = caller.read()
    assert (status, len(body), closes) == (200, 200_000, True)


def test_an_idle_connection_is_closed_but_not_one_with_an_answer_due(backend, connect):
    idle, busy = connect(), connect()
    busy.send("/a")
    assert idle.is_closed()
    eventlet.sleep(0.4)
    backend.release("/a")
    assert busy.read()[1] == b"/a "
    busy.send("/now")
    assert busy.read()[1] == b"/now "
    assert busy.is_closed()


def test_a_stopping_entry_is_not_idle_until_its_last_answers_were_read(backend, connect, frontend):
    frontend.is_closing = True
    caller = connect()
    caller.send("/now", "/late")
    assert caller.read() == (200, b"/now ", True)
    eventlet.sleep(0.05)
    assert frontend.in_flight == 0
    assert not frontend.is_idle
    caller.socket.close()
    until(lambda: frontend.is_idle)


def test_a_caller_that_never_closes_does_not_hold_up_a_stop(backend, connect, frontend):
    frontend.is_closing = True
    caller = connect()
    caller.send("/now")
    assert caller.read() == (200, b"/now ", True)
    until(lambda: frontend.is_idle)


def test_a_caller_that_pauses_in_an_answer_longer_than_it_may_idle_gets_all_of_it(backend, connect):
    backend.body_by_target["/now"] = [b"x" * 20_000_000]
    caller = connect()
    caller.send("/now")
    eventlet.sleep(2 * EchoDialect.idle_timeout_ms / 1000)
    assert len(caller.read()[1]) == 20_000_000


@pytest.fixture
def uploaders(backend, connect, memory):
    """Callers of two calls that hold large bodies until they are released."""
    callers = [connect(), connect()]
    for number, caller in enumerate(callers):
        caller.send(f"/held/{number}", method="POST", body=UPLOAD)
    until(lambda: len(backend.started) == len(callers))
    assert memory.held_bytes == len(callers) * len(UPLOAD)
    return callers


@pytest.mark.parametrize("is_chunked", [False, True])
def test_body_that_does_not_fit_is_refused_and_not_read_as_a_request(
    backend, connect, uploaders, is_chunked
):
    # Large uploads together outgrew the memory of the process, which was killed.
    body = SMUGGLED * (len(UPLOAD) // len(SMUGGLED))
    caller = connect()
    if is_chunked:
        head = "POST /now/refused HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        caller.socket.sendall(head.encode() + chunk)
    else:
        caller.send("/now/refused", method="POST", body=body)
    status, answer, is_last = caller.read()
    assert (status, answer) == (400, b"not-run; reason=request-memory-full")
    assert not is_last
    caller.send("/now/next")
    assert caller.read()[:2] == (200, b"/now/next ")
    assert "/now/refused" not in backend.started
    assert "/now/smuggled" not in backend.started


def test_body_that_does_not_fit_is_refused_before_it_arrives(connect, uploaders):
    caller = connect()
    caller.socket.sendall(
        b"POST /now/refused HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\nx"
    )
    status, answer, _ = caller.read()
    assert (status, answer) == (400, b"not-run; reason=request-memory-full")


def test_small_bodies_pass_while_uploads_fill_their_part_of_the_memory(connect, uploaders):
    refused = connect()
    refused.send("/now/large", method="POST", body=b"x" * 300_000)
    assert refused.read()[0] == 400
    caller = connect()
    for number in range(20):
        caller.send(f"/now/{number}", method="POST", body=b"x" * 200_000)
        assert caller.read()[0] == 200


def test_memory_of_a_body_is_released_at_the_end_of_its_call(backend, uploaders, memory):
    for number, caller in enumerate(uploaders):
        backend.release(f"/held/{number}")
        assert caller.read()[:2] == (200, f"/held/{number} ".encode() + UPLOAD)
    assert memory.held_bytes == 0


def test_memory_of_a_body_is_released_before_its_answer_is_streamed(backend, connect, memory):
    rest = Event()
    backend.body_by_target["/now/stream"] = [b"first", rest, b"second"]
    caller = connect()
    caller.send("/now/stream", method="POST", body=UPLOAD)
    until(lambda: backend.started)
    until(lambda: memory.held_bytes == 0)
    rest.send()
    assert caller.read()[1] == b"firstsecond"


@pytest.mark.parametrize("headers", ["", "Deadline-Ms: 200\r\n"])
def test_upload_that_stalls_is_given_up_and_its_memory_released(backend, connect, memory, headers):
    # A body whose sender stayed silent was waited for without end.
    caller = connect()
    head = f"POST /now/stalled HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: 600000\r\n\r\n"
    caller.socket.sendall(head.encode() + b"x" * 300_000)
    until(lambda: memory.held_bytes == len(UPLOAD))
    status, answer, is_last = caller.read()
    reason = "deadline-exceeded" if headers else "body-incomplete"
    assert (status, answer, is_last) == (400, f"not-run; reason={reason}".encode(), True)
    assert memory.held_bytes == 0
    assert not backend.started


def test_slow_upload_is_read_within_its_deadline(backend, connect, memory):
    caller = connect()
    head = "POST /now/slow HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 5000\r\nContent-Length: 8\r\n\r\n"
    caller.socket.sendall(head.encode())
    for _ in range(8):
        eventlet.sleep(0.1)  # in all over twice the idle timeout
        caller.socket.sendall(b"x")
    assert caller.read()[:2] == (200, b"/now/slow xxxxxxxx")


def test_memory_is_released_if_the_caller_leaves_within_its_body(backend, connect, memory):
    caller = connect()
    caller.socket.sendall(
        b"POST /now/left HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\n" + b"x" * 300_000
    )
    until(lambda: memory.held_bytes == len(UPLOAD))
    caller.socket.close()
    until(lambda: memory.held_bytes == 0)
    assert not backend.started


def test_memory_is_released_if_the_caller_leaves_during_its_call(backend, uploaders, memory):
    for caller in uploaders:
        caller.socket.close()
    until(lambda: memory.held_bytes == 0)
    assert sorted(backend.left) == ["/held/0", "/held/1"]
