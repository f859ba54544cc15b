"""Connections that detect truncated answers and, to upstreams, enforce a deadline."""

import errno
import io
import re
import socket
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from http.client import HTTPException, HTTPResponse
from typing import Any

import eventlet
import urllib3
from eventlet.greenio import GreenSocket
from urllib3.connection import HTTPConnection

from cassiahaven_core.answer_record import AnswerRecord, ConnectionEnd
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.repeated_answer import LONGEST_HEAD_BYTES, ends_within_head

MOST_RECEIVES_WITHOUT_YIELD = 16  # the library reads 8 KB at a time
LONGEST_LOGGED_BYTES = 200
SHORTEST_TIMEOUT_S = 0.001  # 0 would make the socket non-blocking
DIGITS = re.compile(r"[0-9]+")
LONGEST_STATUS_LINE = 65_536
BODY_GRACE_MS = 250.0  # a body sent just before the deadline may still be in transit
# The parts of a head that its sender writes at once arrive sooner; and a call of 222 ms of work
# has 294 ms left until its latency target.
HEAD_REST_MS = 150.0
RECEIVE_BYTES = 8192
# Servers may leave out the reason together with the space before it.
VALID_STATUS_LINE = re.compile(rb"(HTTP/1\.[0-9]) ([1-5][0-9]{2})(?: ([^\r\n]*))?\r?\n")
STATUS_LINE = re.compile(r"HTTP/[0-9]\.[0-9] +[0-9]{3}")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(;[^\r\n]*)?\r\n")
BODILESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class InvalidStatusLine(HTTPException):
    """Raised if what arrives in place of a response does not begin with a valid status line.

    Attributes:
        start: The first bytes that arrived.
    """

    def __init__(self, line: bytes) -> None:
        self.start = line[:LONGEST_LOGGED_BYTES]
        super().__init__(f"invalid status line {self.start!r}")


class ResponseWithinHead(HTTPException):
    """Raised if another response begins within the head of a response."""


class _AnswerBytes(io.RawIOBase):
    """Bytes of an answer; raises if the connection ends before the answer does.

    Args:
        raw: Bytes of the connection.
        record: Updated with what is received.

    Attributes:
        may_end: Whether the end of the connection is the end of the answer.
        is_paused: Whether reads return nothing, so that only what has been buffered is read.
        last: The last bytes received.
    """

    def __init__(self, raw: io.RawIOBase, record: AnswerRecord) -> None:
        self.may_end = False
        self.is_paused = False
        self.last = b""
        self._raw = raw
        self._record = record

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if self.is_paused:
            return None
        try:
            count = self._raw.readinto(buffer)
        except OSError as error:
            self._record.connection = _connection_end(error)
            raise
        if count == 0 and len(buffer):
            self._record.connection = ConnectionEnd.CLOSED
            if not self.may_end:
                message = "the connection ended within an answer"
                raise ConnectionResetError(errno.ECONNRESET, message)
        self._record.received_bytes += count or 0
        if count:
            received = bytes(memoryview(buffer)[:count][-LONGEST_HEAD_BYTES:])
            self.last = (self.last + received)[-LONGEST_HEAD_BYTES:]
        return count

    def close(self) -> None:
        self._raw.close()
        super().close()


class _ChunkedBytes:
    """Bytes of a chunked body; raises if a chunk does not begin or end as it should.

    The library reads the two bytes behind a chunk by themselves and ignores what they are, and it
    accepts sizes such as ``-1`` or ``0x5``.

    Args:
        buffered: Bytes of the connection, from the first chunk on.
    """

    def __init__(self, buffered: io.BufferedReader) -> None:
        self._buffered = buffered
        self._last_read = b"\r\n"  # the head ends with a line break, too
        self._is_in_trailers = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._buffered, name)

    def read(self, size: int) -> bytes:
        """Read bytes of a chunk, or the line break behind it."""
        self._last_read = self._buffered.read(size)
        return self._last_read

    def readline(self, limit: int) -> bytes:
        """Read the line with a chunk's size, or a trailer.

        Raises:
            HTTPException: The line is no chunk's size, or does not follow a chunk.
        """
        line = self._buffered.readline(limit)
        if not self._is_in_trailers:
            matched = CHUNK_SIZE_LINE.fullmatch(line)
            if matched is None or self._last_read != b"\r\n":
                raise HTTPException(f"malformed chunk before {line[:LONGEST_LOGGED_BYTES]!r}")
            self._is_in_trailers = int(matched[1], 16) == 0
        return line


class WholeResponse(HTTPResponse):
    """Response whose connection may end only where its framing says that it ends.

    The library takes the end of the connection for the end of the headers, of a chunk's size and
    of the trailers, so an answer that is cut there would look complete. It also ignores headers
    behind a malformed line, and lengths and transfer codings that it cannot read. A response that
    is cut off within its head, and followed by another one, looks like one response.
    Statuses up to 999, and whatever else Python reads as such a number, pass for statuses.

    Args:
        record: Updated with what is received.
    """

    def __init__(
        self, sock: socket.socket, *args: Any, record: AnswerRecord | None = None, **options: Any
    ) -> None:
        super().__init__(sock, *args, **options)
        self._socket = sock
        self._record = record or AnswerRecord()
        self._bytes = _AnswerBytes(self.fp.detach(), self._record)
        self.fp = io.BufferedReader(self._bytes)

    def begin(self) -> None:
        """Read the head of the response.

        Raises:
            HTTPException: The end of the response cannot be told from its headers.
        """
        super().begin()
        if self.msg.defects or self.msg.get_payload():
            raise HTTPException("malformed headers")
        if any(STATUS_LINE.search(text) for text in (self.reason, *self.msg.values())):
            raise ResponseWithinHead("another response begins within the head")
        lengths = self.msg.get_all("content-length", [])
        codings = self.msg.get_all("transfer-encoding", [])
        is_length_malformed = any(not DIGITS.fullmatch(length.strip()) for length in lengths)
        if len(lengths) + len(codings) > 1 or is_length_malformed or (codings and not self.chunked):
            raise HTTPException(f"unreadable framing: {lengths} {codings}")
        self._bytes.may_end = self.length is None and not self.chunked
        if self.chunked and self.status in BODILESS_STATUSES:
            # The library would read chunks, which such a response does not have.
            self.chunked = False
            self._close_conn()
        elif self.chunked:
            self.fp = _ChunkedBytes(self.fp)

    def _read_status(self) -> tuple[str, int, str]:
        """Read a status line; return version, status and reason.

        Raises:
            InvalidStatusLine: The line is none, so what follows is no response.
        """
        line = self.fp.readline(LONGEST_STATUS_LINE)
        matched = VALID_STATUS_LINE.fullmatch(line)
        if matched is None:
            raise InvalidStatusLine(line)
        version, status, reason = (part or b"" for part in matched.groups())
        return version.decode(), int(status), reason.decode("latin-1")

    def _close_conn(self) -> None:
        """Record what was received behind the answer, and drop the buffer that holds it."""
        if not self.fp.closed:
            # Peeking would otherwise wait for more if nothing is buffered.
            self._bytes.is_paused = True
            self._record.surplus = self.fp.peek()
            self._receive_rest_of_head()
        super()._close_conn()

    def _receive_rest_of_head(self) -> None:
        """Receive the rest of a head that begins within the body, if its end looks like one.

        A body that is cut off and filled up by the next response is as long as it should be. Only
        the request's id in that response's head shows it, and the head may arrive in parts.
        """
        body = self._bytes.last[: len(self._bytes.last) - self._record.surplus_bytes]
        if self.chunked or self.length != 0 or not isinstance(self._socket, UpstreamSocket):
            return
        if self._method == "HEAD" or not ends_within_head(body):
            return
        until_ms = min(now_ms() + HEAD_REST_MS, self._socket.expires_ms - BODY_GRACE_MS)
        timeout_s = self._socket.gettimeout()
        try:
            while ends_within_head(body + self._record.surplus) and now_ms() < until_ms:
                self._socket.settimeout(max(SHORTEST_TIMEOUT_S, (until_ms - now_ms()) / MS_PER_S))
                received = self._socket.recv(RECEIVE_BYTES)
                if not received:
                    return
                self._record.surplus += received
        except OSError:
            return  # nothing more arrives in time, or the connection ended
        finally:
            self._socket.settimeout(timeout_s)


class WholeResponseConnection(HTTPConnection):
    """Connection that reports truncated answers."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._record_in(AnswerRecord())

    @property
    def has_surplus(self) -> bool:
        """Return whether bytes followed the last answer; what follows them is no answer."""
        return self._record.surplus_bytes > 0

    def close(self) -> None:
        """Close the connection; another one may be opened in its place."""
        super().close()
        self._record_in(AnswerRecord())

    def _record_in(self, record: AnswerRecord) -> None:
        """Record in ``record`` how the next response is read."""
        self._record = record
        # The library creates the response.
        self.response_class = partial(WholeResponse, record=record)


class WholeResponsePool(urllib3.HTTPConnectionPool):
    """Connections to one host that report truncated answers."""

    ConnectionCls = WholeResponseConnection

    def _put_conn(self, conn: WholeResponseConnection | None) -> None:
        if conn is not None and conn.has_surplus:
            conn.close()
        super()._put_conn(conn)


def whole_response_pools(**options: Any) -> urllib3.PoolManager:
    """Return pools of connections that report truncated answers."""
    pools = urllib3.PoolManager(**options)
    pools.pool_classes_by_scheme = {**pools.pool_classes_by_scheme, "http": WholeResponsePool}
    return pools


class UpstreamSocket(GreenSocket):
    """Raise if the connection was reset or the exchange exceeds its deadline.

    The library reports a reset or a broken pipe as the end of the stream, so a truncated answer
    that ends with its connection would look complete. The system reports a reset only once: after a
    failed send, the next receives return what had arrived, and then the end of the stream. Timeouts
    of the library apply to each receive, so an upstream that sends a byte now and then would never
    hit them.

    Attributes:
        expires_ms: Deadline of the exchange.
    """

    expires_ms = float("inf")
    _receives_without_yield = 0
    _has_failed_send = False

    def gettimeout(self) -> float | None:
        """Return the timeout of a receive in seconds, bounded by the deadline of the exchange."""
        timeout_s = super().gettimeout()
        if self.expires_ms == float("inf"):
            return timeout_s
        left_s = max(SHORTEST_TIMEOUT_S, (self.expires_ms - now_ms()) / MS_PER_S)
        return left_s if timeout_s is None else min(timeout_s, left_s)

    def _recv_loop(self, recv_meth: Callable, empty_val: Any, *args: Any) -> Any:
        was_reset = False
        self._yield_if_due()

        def receive(*values: Any) -> Any:
            nonlocal was_reset
            if now_ms() >= self.expires_ms:
                raise TimeoutError("the exchange took too long")
            try:
                return recv_meth(*values)
            except BlockingIOError:
                self._receives_without_yield = 0
                raise
            except (ConnectionResetError, BrokenPipeError):
                was_reset = True
                raise

        received = super()._recv_loop(receive, empty_val, *args)
        if was_reset or (self._has_failed_send and received == empty_val):
            raise ConnectionResetError(errno.ECONNRESET, "connection reset by the upstream")
        return received

    def _send_loop(self, send_method: Callable, data: bytes, *args: Any) -> int:
        try:
            return super()._send_loop(send_method, data, *args)
        except OSError:
            self._has_failed_send = True
            raise

    def _yield_if_due(self) -> None:
        # A receive that finds data does not yield to the hub, and an upstream may send without a
        # pause, so other greenlets would starve.
        self._receives_without_yield += 1
        if self._receives_without_yield >= MOST_RECEIVES_WITHOUT_YIELD:
            self._receives_without_yield = 0
            eventlet.sleep(0)


class PeekingConnection(WholeResponseConnection):
    """Check for a closed connection without yielding to the hub, and enforce a deadline.

    Attributes:
        on_unexpected_bytes: Called with the first bytes found while no call was waiting for any.
    """

    on_unexpected_bytes: Callable[[bytes], None] | None = None
    _expires_ms = float("inf")
    _exchanges = 0
    # ``sock`` is ``None`` while an answer is read that closes the connection.
    _upstream_socket: UpstreamSocket | None = None

    def start_exchange(self, record: AnswerRecord) -> None:
        """Record in ``record`` how the next answer is read."""
        self._record_in(record)
        self._exchanges += 1
        record.exchange = self._exchanges

    def close(self) -> None:
        """Close the connection; another one may be opened in its place."""
        super().close()
        self._exchanges = 0

    def expire_in(self, timeout_ms: float) -> None:
        """Set the deadline of the exchange to ``timeout_ms`` milliseconds from now."""
        self._expire_at(now_ms() + timeout_ms)

    def extend(self, more_ms: float) -> None:
        """Extend the deadline of the exchange, which alone limits each receive from now on."""
        self._expire_at(self._expires_ms + more_ms)
        if self._upstream_socket is not None:
            self._upstream_socket.settimeout(None)

    def _expire_at(self, at_ms: float) -> None:
        self._expires_ms = at_ms
        if self._upstream_socket is not None:
            self._upstream_socket.expires_ms = at_ms

    def _new_conn(self) -> socket.socket:
        opened = super()._new_conn()
        plain_socket = getattr(opened, "fd", None)
        if plain_socket is None:
            return opened
        bounded = UpstreamSocket(plain_socket)
        # Keep the first wrapper alive: it closes the shared socket when it is garbage-collected.
        bounded.first_wrapper = opened
        bounded.settimeout(opened.gettimeout())
        bounded.expires_ms = self._expires_ms
        self._upstream_socket = bounded
        return bounded

    @property
    def is_connected(self) -> bool:
        """Return whether the peer has neither closed the connection nor sent unexpected data."""
        green_socket = self.sock
        if green_socket is None:
            return False
        raw_socket = getattr(green_socket, "fd", None)
        if raw_socket is None:
            return super().is_connected
        try:
            found = raw_socket.recv(LONGEST_LOGGED_BYTES, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if found and self.on_unexpected_bytes is not None:
            self.on_unexpected_bytes(found)
        return False


def _connection_end(error: OSError) -> ConnectionEnd:
    if isinstance(error, ConnectionResetError):
        return ConnectionEnd.RESET
    return ConnectionEnd.TIMEOUT if isinstance(error, TimeoutError) else ConnectionEnd.ERROR
