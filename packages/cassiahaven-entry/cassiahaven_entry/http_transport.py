"""Calls to upstreams over HTTP."""

import socket
from collections.abc import Callable, Container, Iterator
from enum import Enum
from functools import partial
from http import HTTPStatus
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)
from urllib3.util import SKIP_HEADER

from cassiahaven_core.answer_record import AnswerRecord, Framing
from cassiahaven_core.edge import (
    ResponseSignals,
    SendFailed,
    SendResult,
    TransferBroken,
    UpstreamAnswer,
    UpstreamDialect,
    UpstreamRequest,
    UpstreamTransport,
)
from cassiahaven_core.endpoint import CallResult, LoadReport, ProbeFailed
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_entry._connection import (
    BODILESS_STATUSES,
    BODY_GRACE_MS,
    InvalidStatusLine,
    PeekingConnection,
    ResponseWithinHead,
    WholeResponsePool,
)
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.repeated_answer import RepeatedAnswer

CONNECT_TIMEOUT_S = 0.5
DOWN_CHECK_TIMEOUT_S = 0.1  # a dying process closes its sockets sooner, even on a busy machine
UNACKNOWLEDGED_TIMEOUT_MS = 600  # drops an unresponsive connection while there is time to retry
PART_BYTES = 65_536
LARGEST_DISCARDED_BYTES = 4096  # for longer bodies a new connection costs less than reading on
DISCARD_TIMEOUT_MS = 20.0  # a short body arrives together with its headers
MOST_POOLED_CONNECTIONS = 32
MS_PER_S = 1000.0
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


SOCKET_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
]
# urllib3 adds these headers if the caller sent none.
SUPPRESSED_HEADERS = ("User-Agent", "Accept-Encoding")


class UnexpectedPlace(Enum):
    """Where bytes were found that no call was waiting for."""

    IDLE_CONNECTION = "idle connection"  # found when a call was about to use the connection
    BEHIND_ANSWER = "behind an answer"
    IN_PLACE_OF_ANSWER = "in place of an answer"  # a response that names another request
    STATUS_LINE = "in place of a status line"  # what arrived is no response
    WITHIN_HEAD = "within a head"  # a response cut off in its head, and then another one


class _CallHeaders(urllib3.HTTPHeaderDict):
    """Headers that carry the raw target past urllib3, which rewrites percent-encodings.

    They also carry the record of the answer to the connection on which the call is sent.
    """

    target: str = ""
    record: AnswerRecord

    def copy(self) -> "_CallHeaders":
        copied = super().copy()
        copied.target = self.target
        copied.record = self.record
        return copied


class _ConnectionPool(WholeResponsePool):
    ConnectionCls = PeekingConnection
    on_unexpected_bytes: Callable[[bytes], None] | None = None

    def _new_conn(self) -> PeekingConnection:
        conn = super()._new_conn()
        conn.on_unexpected_bytes = self.on_unexpected_bytes
        return conn

    def _make_request(
        self, conn, method, url, *, headers, timeout, **options
    ):  # noqa: ANN001, ANN003, ANN202
        conn.expire_in(timeout.total * MS_PER_S)
        conn.start_exchange(headers.record)
        return super()._make_request(
            conn, method, headers.target, headers=headers, timeout=timeout, **options
        )


class HttpTransport(UpstreamTransport):
    """Send calls over HTTP, with a connection pool for each endpoint incarnation.

    A non-idempotent call gets a new connection: a pooled one may die unnoticed, and then it would
    be unknown whether the call ran.

    Args:
        dialect: Protocol between entries and upstreams.
        metrics: Counts how answers were read.
    """

    def __init__(self, dialect: UpstreamDialect, *, metrics: Metrics | None = None) -> None:
        self._dialect = dialect
        self._metrics = metrics or Metrics()
        self._pool_by_incarnation: dict[tuple[str, str], urllib3.HTTPConnectionPool] = {}

    def send(
        self,
        address: EndpointAddress,
        request: UpstreamRequest,
        timeout_ms: float,
        *,
        patience_ms: float | None = None,
    ) -> SendResult:
        """Send ``request`` once and return the answer, its body not read yet, or the failure."""
        record = AnswerRecord()
        result = self._send(address, request, timeout_ms, patience_ms, record)
        if isinstance(result, SendFailed):
            self._count(record)
        return result

    def _send(
        self,
        address: EndpointAddress,
        request: UpstreamRequest,
        timeout_ms: float,
        patience_ms: float | None,
        record: AnswerRecord,
    ) -> SendResult:
        pool = self._pool(address) if request.idempotent else self._single_use_pool(address)
        head_ms = timeout_ms if patience_ms is None else min(timeout_ms, patience_ms)
        timeout_s = head_ms / MS_PER_S
        timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), total=timeout_s)
        try:
            response = pool.urlopen(
                request.method,
                request.target,
                body=request.body or None,
                headers=_headers(request, record),
                retries=False,
                redirect=False,
                timeout=timeout,
                preload_content=False,
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return SendFailed(CallResult.CONNECT_FAILED, str(error), record=record)
        except ReadTimeoutError as error:
            # The connection is closed: whatever it still brings belongs to this call.
            is_impatient = head_ms < timeout_ms
            result = CallResult.UNANSWERED if is_impatient else CallResult.TIMEOUT
            return SendFailed(result, str(error), record=record)
        except (HTTPError, OSError) as error:
            self._report_unreadable_head(address, error, record, request.request_id)
            return SendFailed(CallResult.CONNECTION_LOST, str(error), record=record)
        record.framing, record.declared_bytes = _framing(request, response)
        return self._answer(address, request, response, timeout_ms - head_ms, record)

    def probe(
        self, address: EndpointAddress, path: str, timeout_ms: float
    ) -> LoadReport | ProbeFailed:
        """Request an endpoint's health path and return the load that it reports."""
        request = UpstreamRequest("GET", path, (), b"", True)
        record = AnswerRecord()
        try:
            response = self._pool(address).urlopen(
                request.method,
                path,
                headers=_headers(request, record),
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(total=timeout_ms / MS_PER_S),
                preload_content=False,
                decode_content=False,
            )
        except (HTTPError, OSError) as error:
            self._report_unreadable_head(address, error, record, None)
            return ProbeFailed(f"{type(error).__name__}: {error}")
        value_by_name = _value_by_name(response)
        answered = self._dialect.read_head(response.status, value_by_name, None).request_id
        if answered is not None:
            response.close()
            self._report_unexpected(
                address,
                UnexpectedPlace.IN_PLACE_OF_ANSWER,
                named=answered,
                status=response.status,
                answer=record.to_plain(),
            )
            return ProbeFailed("answer belongs to a call")
        _discard(response)
        self._report_surplus(address, record, None)
        return self._dialect.read_health(response.status, value_by_name, address.endpoint)

    def is_down(self, address: EndpointAddress) -> bool:
        """Return whether the address refuses a new connection or closes it at once.

        A dying process closes its sockets one by one and the listening socket not first, so it may
        still accept a connection.
        """
        try:
            with socket.create_connection(
                (address.host, address.port), DOWN_CHECK_TIMEOUT_S
            ) as probe:
                probe.settimeout(DOWN_CHECK_TIMEOUT_S)
                return not probe.recv(1)
        except TimeoutError:
            return False
        except OSError:
            return True

    def forget(self, listed: set[tuple[str, str]]) -> None:
        """Close the pools of endpoint incarnations that are not in ``listed``."""
        for key in list(self._pool_by_incarnation):
            if key not in listed:
                self._pool_by_incarnation.pop(key).close()

    def _answer(
        self,
        address: EndpointAddress,
        request: UpstreamRequest,
        response: urllib3.BaseHTTPResponse,
        left_ms: float,
        record: AnswerRecord,
    ) -> SendResult:
        value_by_name = _value_by_name(response)
        if response.status < HTTPStatus.OK:
            response.close()
            detail = f"interim status {response.status}"
            return SendFailed(CallResult.CONNECTION_LOST, detail, record=record)
        signal = self._dialect.read_head(response.status, value_by_name, request.request_id)
        if not signal.is_genuine:
            response.close()
            if signal.request_id != request.request_id:
                self._report_unexpected(
                    address,
                    UnexpectedPlace.IN_PLACE_OF_ANSWER,
                    request=request.request_id,
                    named=signal.request_id,
                    status=response.status,
                    answer=record.to_plain(),
                )
            detail = "answer belongs to another call"
            told = ResponseSignals(
                draining=signal.draining,
                is_misdirected=signal.is_misdirected,
                instance=signal.instance,
                closed_for_ms=signal.closed_for_ms,
                unreadable_closure=signal.unreadable_closure,
            )
            return SendFailed(CallResult.CONNECTION_LOST, detail, told, record)
        if signal.not_run:
            _discard(response)
            self._report_surplus(address, record, request.request_id)
            result = CallResult.REPLACED if signal.is_misdirected else CallResult.REFUSED
            return SendFailed(result, f"status {response.status}", signal, record)
        if not self._dialect.accepts_unframed and not _has_known_end(
            request, response, value_by_name
        ):
            # A complete answer could not be told from a truncated one.
            response.close()
            return SendFailed(CallResult.CONNECTION_LOST, "answer without a length", record=record)
        dropped = HOP_BY_HOP
        if response.status == HTTPStatus.NO_CONTENT:
            dropped = HOP_BY_HOP | {"content-length"}
        headers = tuple(
            (name, value) for name, value in response.headers.items() if name.lower() not in dropped
        )
        if response.connection is not None:
            response.connection.extend(left_ms + BODY_GRACE_MS)
        body = self._parts(address, request.request_id, response, record)
        return UpstreamAnswer(response.status, headers, body, response.close, signal, record)

    def _parts(
        self,
        address: EndpointAddress,
        request_id: str | None,
        response: urllib3.BaseHTTPResponse,
        record: AnswerRecord,
    ) -> Iterator[bytes]:
        repeated = RepeatedAnswer(request_id) if request_id else None
        try:
            for part in _read(response):
                if repeated is not None and repeated.begins_in(part, record.surplus):
                    raise HTTPError("the answer begins again within its body")
                record.body_bytes += len(part)
                yield part
        except (HTTPError, OSError) as error:
            response.close()
            raise TransferBroken(str(error)) from None
        else:
            response.release_conn()
            record.is_whole = True
            self._report_surplus(address, record, request_id)
        finally:
            self._count(record)

    def _count(self, record: AnswerRecord) -> None:
        end = "whole" if record.is_whole else "broken"
        labels = (record.framing.value, record.connection.value, end)
        self._metrics.answers.labels(*labels).inc()

    def _report_unreadable_head(
        self,
        address: EndpointAddress,
        error: Exception,
        record: AnswerRecord,
        request_id: str | None,
    ) -> None:
        for cause in error.args:
            if isinstance(cause, ResponseWithinHead):
                place, found = UnexpectedPlace.WITHIN_HEAD, {}
            elif isinstance(cause, InvalidStatusLine):
                place, found = UnexpectedPlace.STATUS_LINE, {"start": cause.start.decode("latin-1")}
            else:
                continue
            self._report_unexpected(
                address, place, request=request_id, answer=record.to_plain(), **found
            )

    def _report_surplus(
        self, address: EndpointAddress, record: AnswerRecord, request_id: str | None
    ) -> None:
        if record.surplus_bytes:
            self._report_unexpected(
                address,
                UnexpectedPlace.BEHIND_ANSWER,
                request=request_id,
                answer=record.to_plain(),
            )

    def _report_unexpected(
        self, address: EndpointAddress, place: UnexpectedPlace, **fields: Any
    ) -> None:
        self._metrics.unexpected_bytes.labels(place.value).inc()
        log(
            LogEvent.UNEXPECTED_BYTES,
            endpoint=address.endpoint,
            incarnation=address.incarnation,
            place=place.value,
            **fields,
        )

    def _report_idle_bytes(self, address: EndpointAddress, found: bytes) -> None:
        start = found.decode("latin-1")
        self._report_unexpected(address, UnexpectedPlace.IDLE_CONNECTION, start=start)

    def _pool(self, address: EndpointAddress) -> urllib3.HTTPConnectionPool:
        key = (address.endpoint, address.incarnation)
        pool = self._pool_by_incarnation.get(key)
        if pool is None:
            pool = self._new_pool(address, MOST_POOLED_CONNECTIONS)
            self._pool_by_incarnation[key] = pool
        return pool

    def _single_use_pool(self, address: EndpointAddress) -> urllib3.HTTPConnectionPool:
        return self._new_pool(address, 1)

    def _new_pool(self, address: EndpointAddress, size: int) -> urllib3.HTTPConnectionPool:
        pool = _ConnectionPool(
            address.host,
            address.port,
            maxsize=size,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )
        pool.on_unexpected_bytes = partial(self._report_idle_bytes, address)
        return pool


def _headers(request: UpstreamRequest, record: AnswerRecord) -> _CallHeaders:
    headers = _CallHeaders(request.headers)
    headers.target = request.target
    headers.record = record
    for name in SUPPRESSED_HEADERS:
        if name not in headers:
            headers[name] = SKIP_HEADER
    return headers


def _value_by_name(response: urllib3.BaseHTTPResponse) -> dict[str, str]:
    """Return the headers by name in lower case; several values of a name are joined."""
    return {name.lower(): response.headers[name] for name in response.headers}


def _discard(response: urllib3.BaseHTTPResponse) -> None:
    """Drain a short body so that its connection can be reused; close the connection otherwise."""
    length = response.headers.get("Content-Length", "")
    if length.isdigit() and int(length) <= LARGEST_DISCARDED_BYTES:
        if response.connection is not None:
            response.connection.expire_in(DISCARD_TIMEOUT_MS)
        response.drain_conn()
    if response.closed:
        response.release_conn()
    else:
        response.close()


def _has_known_end(
    request: UpstreamRequest, response: urllib3.BaseHTTPResponse, names: Container[str]
) -> bool:
    if request.method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    return "content-length" in names or "transfer-encoding" in names


def _framing(
    request: UpstreamRequest, response: urllib3.BaseHTTPResponse
) -> tuple[Framing, int | None]:
    """Return what tells where the answer ends, and the length that its head declares."""
    length = response.headers.get("Content-Length", "").strip()
    declared = int(length) if length.isdigit() else None
    if request.method == "HEAD" or response.status in BODILESS_STATUSES:
        return Framing.BODILESS, declared
    if "Transfer-Encoding" in response.headers:
        return Framing.CHUNKS, declared
    return (Framing.CONNECTION if declared is None else Framing.LENGTH), declared


def _read(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    length = response.headers.get("Content-Length", "")
    if length.isdigit() and int(length) <= PART_BYTES:
        yield response.read(decode_content=False)
    else:
        yield from response.stream(PART_BYTES, decode_content=False)
