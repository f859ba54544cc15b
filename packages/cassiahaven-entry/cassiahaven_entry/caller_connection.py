"""One caller's connection: reads requests ahead of their answers, which leave in order."""

import copy
import io
import re
import socket
import struct
from email.message import Message
from typing import Any

import eventlet
from eventlet import greenio, wsgi
from eventlet.event import Event
from eventlet.hubs import get_hub
from greenlet import getcurrent, greenlet

from cassiahaven_core.pipeline import Pipeline
from cassiahaven_entry.caller_dialect import TARGET, Environ
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log

EXCHANGE = "cassiahaven.exchange"
BUFFER_BYTES = 16_384
LINGER_S = 1.0  # callers close within a round trip of the last answer
LONGEST_LOGGED_TARGET = 200
DIGITS = re.compile(r"[0-9]+")
# Values of SO_LINGER.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SEND_AND_CLOSE = struct.pack("ii", 0, 0)


class CallerLeft(BaseException):
    """Raised in a call's task when its caller has closed the connection.

    It derives from ``BaseException`` so that handlers of ``Exception`` do not catch it.
    """


class _ReadingEnded(BaseException):
    """Raised in the reading task of a connection when its last answer has been sent."""


class _CallerStream(io.RawIOBase):
    """Bytes of a caller; times out only if no answer is due and none was sent lately."""

    def __init__(self, protocol: "CallerProtocol") -> None:
        self._protocol = protocol

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        while True:
            try:
                # The socket's own timeout also limits writes, which are not idle.
                with eventlet.Timeout(self._protocol.idle_timeout_s, TimeoutError("idle")):
                    return self._protocol.connection.recv_into(buffer)
            except TimeoutError:
                if not self._protocol.is_in_use():
                    raise
            except EOFError:
                return 0


class Exchange:
    """One request of a connection, from its head to the end of its answer.

    Attributes:
        arrived_ms: When the request was read.
        has_known_end: Whether its head tells where it ends; nothing is read behind it otherwise.
    """

    __slots__ = (
        "number",
        "arrived_ms",
        "has_known_end",
        "_connection",
        "_protocol",
        "_turn",
        "_body",
        "_task",
        "_left",
        "_is_body_whole",
    )

    def __init__(
        self,
        number: int,
        connection: "CallerProtocol",
        protocol: "CallerProtocol | None",
        *,
        has_known_end: bool = False,
    ) -> None:
        self.number = number
        self.arrived_ms = now_ms()
        self.has_known_end = has_known_end
        self._connection = connection
        self._protocol = protocol
        self._turn: Event | None = None
        self._body = Event()
        self._task: greenlet | None = None
        self._left = False
        self._is_body_whole = False

    def run(self) -> None:
        """Run the request and send its answer when it is due."""
        if self._left:
            target = self._protocol.environ[TARGET][:LONGEST_LOGGED_TARGET]
            log(LogEvent.CALLER_LEFT_EARLY, request=self._request_id(), target=target)
            return
        self._task = getcurrent()
        try:
            wsgi.HttpProtocol.handle_one_response(self._protocol)
            if self._is_body_whole and not self._protocol.wfile.has_failed:
                self._connection.set_reset_on_close(False)
        except CallerLeft:
            self._protocol.close_connection = True
        except OSError as error:
            self._protocol.close_connection = True
            log(LogEvent.ANSWER_NOT_SENT, request=self._request_id(), error=repr(error))
        finally:
            self._task = None
            self.record_body(0)
            self._connection.finish_exchange(self, closes=bool(self._protocol.close_connection))

    def await_turn(self) -> None:
        """Wait until the answers to all earlier requests of the connection are sent.

        Raises:
            CallerLeft: The connection ended before.
        """
        if self._left:
            raise CallerLeft
        if self._connection.pipeline.is_first(self.number):
            return
        self._turn = Event()
        self._turn.wait()

    def wake(self) -> None:
        """Let the answer go out: it is the next one due."""
        turn, self._turn = self._turn, None
        if turn is not None:
            turn.send()

    def await_body(self) -> None:
        """Wait until the request's body has been read from the connection."""
        if not self._body.ready():
            self._body.wait()

    def record_body(self, size: int) -> None:
        """Record that the body has been read; the next request may be read."""
        if not self._body.ready():
            self._connection.pipeline.record_body(self.number, size)
            self._body.send()

    def begin_answer(self, *, has_length: bool) -> None:
        """Reset the connection if it ends before the answer and nothing else would show that.

        Before HTTP/1.1 there are no chunks, so an answer without a length ends with its connection.
        """
        if not has_length and self._protocol.request_version != "HTTP/1.1":
            self._connection.set_reset_on_close(True)

    def end_body(self) -> None:
        """Record that the whole body has been handed to the server."""
        self._is_body_whole = True

    def end_connection(self) -> None:
        """Close the connection after this answer, unless a later request has been read."""
        if self._connection.pipeline.end_at(self.number):
            self._protocol.close_connection = True

    def cancel(self) -> None:
        """Raise ``CallerLeft`` in the request's task."""
        if self._left:
            return
        self._left = True
        if self._task is not None:
            get_hub().schedule_call_global(0, self._raise_caller_left)

    def _request_id(self) -> str | None:
        return self._connection.dialect.request_id(self._protocol.environ)

    def _raise_caller_left(self) -> None:
        if self._task is not None and not self._task.dead:
            # Keeps the server from reading on to the end of the request's body.
            self._protocol.close_connection = True
            self._task.throw(CallerLeft())


class _AnswerFile:
    """Send an answer once it is its turn, without a buffer: the server joins what belongs together.

    Args:
        connection: The caller's connection.

    Attributes:
        exchange: The request, ``None`` until its head has been read.
        is_error: Whether this is the answer to a request whose head could not be read.
        has_failed: Whether a part of the answer could not be sent.
    """

    closed = False

    def __init__(self, connection: "CallerProtocol") -> None:
        self._connection = connection
        self.exchange: Exchange | None = None
        self.is_error = False
        self.has_failed = False

    def write(self, data: bytes) -> int:
        if self.exchange is None:
            self.exchange = self._connection.add_error_exchange()
            self.is_error = True
        self.exchange.await_turn()
        try:
            self._connection.connection.sendall(data)
        except OSError:
            self.has_failed = True
            raise
        return len(data)

    def writelines(self, parts: list[bytes]) -> None:
        self.write(b"".join(parts))

    def flush(self) -> None:
        """Do nothing; there is no buffer."""

    def close(self) -> None:
        """Do nothing; the connection owns the socket."""


class CallerProtocol(wsgi.HttpProtocol):
    """Serve the requests of one connection, several at a time.

    One task reads the requests; each request runs in a task of its own. The reading task also
    notices that the caller leaves, and cancels what still runs for it.

    Attributes:
        dialect: Protocol that the caller speaks.
        pipeline: Requests that have been read and not answered yet.
        resets: Whether the end of the connection is a reset.
    """

    def setup(self) -> None:
        """Prepare the connection for reading ahead."""
        super().setup()
        self.rfile = io.BufferedReader(_CallerStream(self), BUFFER_BYTES)
        self.pipeline = Pipeline()
        self.resets = False
        # ``server.app`` is a bound method of the frontend, so ``__self__`` is the frontend.
        self._frontend = self.server.app.__self__
        self.dialect = self._frontend.dialect
        self._exchange_by_number: dict[int, Exchange] = {}
        self._reader: greenlet | None = None
        self._room: Event | None = None
        self._used_ms = now_ms()
        self._is_reading_body = False

    @property
    def idle_timeout_s(self) -> float:
        """Return the time without a request after which the connection is closed, seconds."""
        return self._frontend.idle_timeout_s

    def is_in_use(self) -> bool:
        """Return whether an answer is due, or was sent within the idle timeout.

        While a body is read, the caller is the one that has to send.
        """
        if self._is_reading_body:
            return False
        is_recent = now_ms() - self._used_ms < self.idle_timeout_s * MS_PER_S
        return not self.pipeline.is_empty or is_recent

    def handle(self) -> None:
        """Read and start requests until the connection ends."""
        self.close_connection = True
        self._reader = getcurrent()
        has_caller_left = False
        try:
            has_caller_left = self._read_requests()
        except _ReadingEnded:
            pass
        except TimeoutError:
            has_caller_left = True
        finally:
            self._reader = None
            self.pipeline.close()
            self._cancel_exchanges()
        if not has_caller_left and not self.resets:
            self._linger()

    def handle_one_response(self) -> None:
        """Start the request that has just been read."""
        if not self.pipeline.is_open:
            # An answer that closes the connection was begun while this request was being read.
            self.close_connection = True
            return
        has_known_end = _has_known_end(self.headers)
        if not has_known_end:
            # What follows may be its body, so it must not be read as further requests.
            self.close_connection = True
        number = self.pipeline.add(is_last=bool(self.close_connection))
        protocol = copy.copy(self)
        exchange = Exchange(number, self, protocol, has_known_end=has_known_end)
        protocol.wfile.exchange = exchange
        self.environ[EXCHANGE] = exchange
        self._exchange_by_number[number] = exchange
        eventlet.spawn_n(exchange.run)
        has_body = self.environ.get("CONTENT_LENGTH", "0") != "0"
        if has_known_end and (has_body or "HTTP_TRANSFER_ENCODING" in self.environ):
            self._is_reading_body = True
            try:
                exchange.await_body()
            finally:
                self._is_reading_body = False
        else:
            exchange.record_body(0)

    def get_environ(self) -> Environ:
        """Return the WSGI environment with the request target as the caller wrote it."""
        environ = super().get_environ()
        environ[TARGET] = self.raw_requestline.split(b" ", 2)[1].decode("latin-1")
        return environ

    def add_error_exchange(self) -> Exchange:
        """Add a request whose head could not be read; nothing is read behind it."""
        exchange = Exchange(self.pipeline.add(is_last=True), self, None)
        self._exchange_by_number[exchange.number] = exchange
        return exchange

    def finish_exchange(self, exchange: Exchange, *, closes: bool) -> None:
        """Let the next answer go out, or end the connection."""
        self._used_ms = now_ms()
        self._exchange_by_number.pop(exchange.number, None)
        if self.pipeline.is_closed:
            return
        is_server_closed = self.conn_state[2] == wsgi.STATE_CLOSE
        self.pipeline.finish(exchange.number, closes=closes)
        if is_server_closed and self.pipeline.is_empty:
            self.pipeline.close()
        if self.pipeline.is_closed:
            self._cancel_exchanges()
            get_hub().schedule_call_global(0, self._end_reading)
            return
        if self.pipeline.is_empty:
            self.conn_state[2] = wsgi.STATE_IDLE
        for number, waiting in self._exchange_by_number.items():
            if self.pipeline.is_first(number):
                waiting.wake()
        room, self._room = self._room, None
        if room is not None:
            room.send()

    def set_reset_on_close(self, resets: bool) -> None:
        """Set whether the end of the connection is a reset, also if the process is killed."""
        if self.resets == resets:
            return
        self.resets = resets
        value = RESET_ON_CLOSE if resets else SEND_AND_CLOSE
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def finish(self) -> None:
        """Close the connection."""
        # The buffers are not closed: a cancelled request may be about to leave one of them.
        if not self.resets:
            greenio.shutdown_safe(self.connection)
        self.connection.close()

    def _read_requests(self) -> bool:
        """Read requests until the connection ends; return whether the caller ended it."""
        while True:
            try:
                if not self.rfile.peek(1):
                    return True
            except TimeoutError:
                raise
            except OSError:
                return True
            if not self._await_room():
                return False
            self.wfile = _AnswerFile(self)
            self.handle_one_request()
            if self.wfile.is_error:
                return False
            if self.close_connection:
                self.pipeline.end()
                return self._await_end()

    def _await_room(self) -> bool:
        """Wait until another request may be read; return whether one may."""
        while not self.pipeline.may_read(
            is_stopping=self._frontend.is_closing or self.conn_state[2] == wsgi.STATE_CLOSE
        ):
            if self.pipeline.is_closed:
                return False
            self._room = Event()
            self._room.wait()
        return True

    def _await_end(self) -> bool:
        """Read on without using it until the last answer is sent or the caller leaves."""
        try:
            while not self.pipeline.is_closed:
                if not self.rfile.read1(BUFFER_BYTES):
                    return True
        except OSError:
            return True
        return False

    def _end_reading(self) -> None:
        if self._reader is not None and not self._reader.dead:
            self._reader.throw(_ReadingEnded())

    def _cancel_exchanges(self) -> None:
        for exchange in list(self._exchange_by_number.values()):
            exchange.cancel()

    def _linger(self) -> None:
        """Read on until the caller closes: closing with unread bytes would reset the connection.

        A reset may reach the caller before it has read the last answer.
        """
        self._frontend.lingering += 1
        try:
            self.connection.shutdown(socket.SHUT_WR)
            with eventlet.Timeout(LINGER_S, False):
                while self.connection.recv(BUFFER_BYTES):
                    pass
        except OSError:
            return  # the caller has closed the connection
        finally:
            self._frontend.lingering -= 1


def _has_known_end(headers: Message) -> bool:
    """Return whether the headers tell where a request ends.

    The library drops headers behind a malformed line, uses the first of several lengths, and takes
    a body in an unknown transfer coding for further requests. A request that is cut off within its
    head, and followed by another one, looks like one request with two hosts.
    """
    if headers.defects or headers.get_payload() or any(name != name.strip() for name in headers):
        return False
    if len(headers.get_all("host", [])) > 1:
        return False
    lengths = headers.get_all("content-length", [])
    codings = headers.get_all("transfer-encoding", [])
    if len(lengths) + len(codings) > 1:
        return False
    return all(DIGITS.fullmatch(length.strip()) for length in lengths) and all(
        coding.strip().lower() == "chunked" for coding in codings
    )
