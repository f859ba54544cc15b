"""HTTP server for callers."""

from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from itertools import count

import eventlet
from eventlet import wsgi

from cassiahaven_core.edge import CallerFrontend, CallRequest, CallResponse
from cassiahaven_core.outcome import NotRun
from cassiahaven_core.reason import RefusalReason
from cassiahaven_core.request_memory import (
    LARGEST_SMALL_BODY_BYTES,
    Body,
    BodyReservation,
    RequestMemory,
)
from cassiahaven_entry.body_buffer import BodyBuffer
from cassiahaven_entry.caller_connection import EXCHANGE, CallerProtocol, Exchange
from cassiahaven_entry.caller_dialect import (
    TARGET,
    CallerDialect,
    CallHead,
    Environ,
    RequestRejected,
)
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.http_transport import HOP_BY_HOP
from cassiahaven_entry.metrics import Metrics

SOCKET_TIMEOUT_S = 15.0  # 5 s disconnected callers on slow links in the middle of a body
LARGEST_CONNECTION_COUNT = 2000
LONGEST_URL_BYTES = 8192
BODY_PART_BYTES = 65_536
PARTS_WITHOUT_YIELD = 16  # a caller may send without a pause, so other tasks would starve
MEMORY_RETRY_MS = 1000.0  # most uploads have ended by then
LONGEST_UPLOAD_S = 600.0  # bounds what callers name as their deadline
BACKLOG = 1024


class _UploadExpired(Exception):
    """Raised when the caller's deadline passes while its body is read."""


class HttpFrontend(CallerFrontend):
    """Serve callers over HTTP.

    Args:
        host: Address to listen on.
        port: Port to listen on.
        dialect: Protocol that callers speak.
        memory: Limits the memory that request bodies take.
        metrics: Counts request bodies that did not fit.

    Attributes:
        dialect: Protocol that callers speak.
        in_flight: Number of requests being answered.
        lingering: Number of connections whose last answer may still be on its way.
        is_closing: Whether the answer to the last request read closes its connection.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        dialect: CallerDialect,
        memory: RequestMemory | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.in_flight = 0
        self.lingering = 0
        self.is_closing = False
        self.dialect = dialect
        self._memory = memory or RequestMemory()
        self._metrics = metrics or Metrics()
        self._metrics.request_body_bytes.set_function(lambda: self._memory.held_bytes)
        self._dropped_headers = HOP_BY_HOP | dialect.dropped_headers | {"content-length"}
        self._socket = eventlet.listen((host, port), backlog=BACKLOG, reuse_port=False)
        self._pool = eventlet.GreenPool(LARGEST_CONNECTION_COUNT)
        self._handler: Callable[[CallRequest], CallResponse] | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether every answer has reached its caller."""
        return not self.in_flight and not self.lingering

    @property
    def idle_timeout_s(self) -> float:
        """Return the idle timeout of callers' connections in seconds."""
        return self.dialect.idle_timeout_ms / MS_PER_S

    def serve(self, handler: Callable[[CallRequest], CallResponse]) -> None:
        """Serve until ``stop`` is called."""
        self._handler = handler
        wsgi.server(
            self._socket,
            self._application,
            custom_pool=self._pool,
            log_output=False,
            debug=False,
            socket_timeout=SOCKET_TIMEOUT_S,
            url_length_limit=LONGEST_URL_BYTES,
            protocol=CallerProtocol,
            capitalize_response_headers=False,
        )

    def stop(self) -> None:
        """Stop accepting connections; open ones are still served."""
        self._socket.close()

    def _application(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        self.in_flight += 1
        try:
            response = self._respond(environ)
        except BaseException:
            self.in_flight -= 1
            raise
        start_response(_status_line(response.status), list(response.headers))
        return _ResponseBody(response, self, environ[EXCHANGE])

    def _respond(self, environ: Environ) -> CallResponse:
        direct = self.dialect.respond_locally(environ)
        if direct is not None:
            return direct
        reservation = self._memory.new_reservation()
        try:
            return self._run(environ, reservation)
        finally:
            # No further attempt needs the body; an answer may still be streamed.
            reservation.release()

    def _run(self, environ: Environ, reservation: BodyReservation) -> CallResponse:
        head: CallHead | None = None
        try:
            if not environ[EXCHANGE].has_known_end:
                reason = RefusalReason.MALFORMED_REQUEST
                raise RequestRejected("", reason, self.dialect.request_id(environ))
            head = self.dialect.read_head(environ)
            request = self._read(environ, head, reservation)
        except RequestRejected as error:
            log(
                LogEvent.REQUEST_REJECTED,
                request=head.request_id if head is not None else error.request_id,
                reason=error.reason.value,
                target=environ[TARGET][:200],
            )
            request_id = head.request_id if head is not None else error.request_id
            outcome = NotRun(error.reason)
            return self.dialect.local_response(
                error.service, outcome, request_id=request_id, retry_after_ms=error.retry_after_ms
            )
        environ[EXCHANGE].record_body(len(request.body))
        return self._handler(request)

    def _read(self, environ: Environ, head: CallHead, reservation: BodyReservation) -> CallRequest:
        exchange: Exchange = environ[EXCHANGE]
        return CallRequest(
            service=head.service,
            method=environ["REQUEST_METHOD"],
            target=head.target,
            headers=tuple(self._headers(environ)),
            body=self._read_body(environ, head, reservation),
            token=head.token,
            key=head.key,
            timeout_ms=head.timeout_ms,
            host=head.host,
            request_id=head.request_id,
            arrived_ms=exchange.arrived_ms,
            await_turn=exchange.await_turn,
        )

    def _headers(self, environ: Environ) -> Iterator[tuple[str, str]]:
        connection_tokens = environ.get("HTTP_CONNECTION", "").lower().split(",")
        dropped = self._dropped_headers.union(name.strip() for name in connection_tokens)
        for name, value in environ["headers_raw"]:
            if name.lower() not in dropped:
                yield name, value

    def _read_body(self, environ: Environ, head: CallHead, reservation: BodyReservation) -> Body:
        declared = environ.get("CONTENT_LENGTH", "").strip()
        if declared and (not declared.isdigit() or int(declared) > head.largest_body_bytes):
            reason = (
                RefusalReason.BODY_TOO_LARGE
                if declared.isdigit()
                else RefusalReason.MALFORMED_REQUEST
            )
            raise RequestRejected(head.service, reason)
        if not declared and environ.get("HTTP_TRANSFER_ENCODING") is None:
            return b""
        declared_bytes = int(declared) if declared else 0
        self._reserve(declared_bytes, head, reservation)
        buffer = BodyBuffer(declared_bytes)
        exchange: Exchange = environ[EXCHANGE]
        failure: RefusalReason | None = None
        try:
            with eventlet.Timeout(_left_s(head, exchange), _UploadExpired):
                self._read_parts(environ, head, buffer, reservation)
        except _UploadExpired:
            failure = RefusalReason.DEADLINE_EXCEEDED
        except (OSError, ValueError):
            failure = RefusalReason.BODY_INCOMPLETE
        if failure is not None:
            exchange.end_connection()  # the rest of the body is not read
            raise RequestRejected(head.service, failure)
        if declared and buffer.size != declared_bytes:
            raise RequestRejected(head.service, RefusalReason.BODY_INCOMPLETE)
        return buffer.body()

    def _read_parts(
        self, environ: Environ, head: CallHead, buffer: BodyBuffer, reservation: BodyReservation
    ) -> None:
        for number in count(1):
            part = environ["wsgi.input"].read(BODY_PART_BYTES)
            if not part:
                return
            size = buffer.size + len(part)
            if size > head.largest_body_bytes:
                raise RequestRejected(head.service, RefusalReason.BODY_TOO_LARGE)
            if size > reservation.size:
                self._reserve(size, head, reservation)
            buffer.append(part)
            if number % PARTS_WITHOUT_YIELD == 0:
                eventlet.sleep(0)

    def _reserve(self, size: int, head: CallHead, reservation: BodyReservation) -> None:
        """Reserve memory for a body of ``size`` bytes in all.

        Raises:
            RequestRejected: There is no room; what is left of the body is read and dropped.
        """
        if reservation.grow(size):
            return
        is_small = size <= LARGEST_SMALL_BODY_BYTES
        self._metrics.request_bodies_rejected.labels("small" if is_small else "large").inc()
        log(
            LogEvent.REQUEST_MEMORY_FULL,
            request=head.request_id,
            body_bytes=size,
            held_bytes=self._memory.held_bytes,
            limit_bytes=self._memory.limit_bytes,
        )
        raise RequestRejected(
            head.service, RefusalReason.REQUEST_MEMORY_FULL, retry_after_ms=MEMORY_RETRY_MS
        )


class _ResponseBody:
    """Iterate over a response's body; closing it takes the request out of ``in_flight``.

    The head is sent with the first part, so that part waits until the answer is the next one due.
    """

    __slots__ = ("_body", "_has_length", "_frontend", "_exchange", "_is_due", "_is_closed")

    def __init__(self, response: CallResponse, frontend: HttpFrontend, exchange: Exchange) -> None:
        self._body = response.body
        self._has_length = any(name.lower() == "content-length" for name, _ in response.headers)
        self._frontend = frontend
        self._exchange = exchange
        self._is_due = False
        self._is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if not self._is_due:
            self._exchange.await_turn()
            self._is_due = True
            if self._frontend.is_closing:
                self._exchange.end_connection()
            self._exchange.begin_answer(has_length=self._has_length)
        try:
            return next(self._body)
        except StopIteration:
            self._exchange.end_body()
            raise

    def close(self) -> None:
        """Close the body and end the request, once."""
        if self._is_closed:
            return
        self._is_closed = True
        self._frontend.in_flight -= 1
        close = getattr(self._body, "close", None)
        if close is not None:
            close()


def _left_s(head: CallHead, exchange: Exchange) -> float | None:
    """Return the time left to read a body, ``None`` if its caller named no deadline."""
    if head.timeout_ms is None:
        return None
    left_s = (exchange.arrived_ms + head.timeout_ms - now_ms()) / MS_PER_S
    return min(max(0.0, left_s), LONGEST_UPLOAD_S)


def _status_line(status: int) -> str:
    try:
        return f"{int(status)} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unassigned"
