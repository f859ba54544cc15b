"""Stand-in for an endpoint on the platform that records the requests it ran."""

import random
import socket
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler
from typing import Any

from cassiahaven_standins.answer_framing import (
    FRAMING_BY_NAME,
    INVALID_STATUS_LINES,
    NO_LINGER,
    LengthFraming,
)
from cassiahaven_standins.quiet_server import QuietServer

POLL_S = 0.1
MAX_FLOOD_S = 10.0
DOWNLOAD_PREFIX = "/download/"
DOWNLOAD_BYTES = 300_000
MAX_HANG_S = 10.0
SECOND_ANSWER_DELAY_S = (0.005, 0.3)  # also after the connection is in use again


@dataclass(frozen=True, slots=True)
class EndlessResponse:
    """A response without end, sent until the reader closes the connection.

    Attributes:
        first: Bytes that are sent once.
        repeated: Bytes that are sent again and again.
        gap_s: Pause between the repetitions.
    """

    first: bytes
    repeated: bytes
    gap_s: float = 0.0


class EndpointState:
    """Requests that an endpoint received, and the faults it is to show.

    Attributes:
        service_time_s: Time that each request takes.
        fault: ``reset`` runs requests and closes the connection without a response, ``shed``
            rejects them, ``error`` responds with status 500, ``hang`` never responds to them nor
            runs them, ``break`` breaks off its responses in the middle, ``cut`` sends them in any
            framing and cuts them off after any byte, ``stutter`` sends each of them once more,
            late, ``status`` sends them with an invalid status line; empty for no fault.
        spoiled_share: Share of the answers that ``cut``, ``stutter`` and ``status`` affect.
        endless_response: Sent in place of responses.
        endless_health_response: Sent in place of health check responses.
        endless_response_durations_s: Duration of each endless response, until its reader closed
            the connection.
        rate_limit: Value of ``Server-Limit`` in its responses, empty for none; set by
            ``name_rate_limit``.
        rate_limits: Time and value of each rate limit that it named, empty for its end.
        limited_responses: Time and request id of each response that named a rate limit.
        is_leaving: Whether its responses say that it leaves.
        starts: Number of times that it was stopped; connections from before are closed.
        cold_until_s: Until when its responses say that it is cold.
        retry_after: Value of ``Retry-After`` with which it rejects requests, then health checks
            too, empty for none.
        closing_responses: Time, request id and value of each 503 response with ``Retry-After``, an
            empty id for a health check.
        health_checks_s: Time of each health check.
        leaving_responses: Time and request id of each response that said so, an empty id for a
            health check.
        received_requests: Ids of the requests received, including rejected ones.
        arrivals: Time and id of each of them.
        received_headers: Id and headers of each of them, as they were sent.
        ran: Id, start time and path of each request that was run.
        cancelled_requests: Ids of the requests whose caller disconnected while they ran.
    """

    def __init__(self, endpoint: str, service: str) -> None:
        self.endpoint = endpoint
        self.service = service
        self.service_time_s = 0.01
        self.fault = ""
        self.spoiled_share = 1.0
        self.endless_response: EndlessResponse | None = None
        self.endless_health_response: EndlessResponse | None = None
        self.endless_response_durations_s: list[float] = []
        self.rate_limit = ""
        self.rate_limits: list[tuple[float, str]] = []
        self.limited_responses: list[tuple[float, str]] = []
        self.is_leaving = False
        self.starts = 0
        self.cold_until_s = float("-inf")
        self.retry_after = ""
        self.closing_responses: list[tuple[float, str, str]] = []
        self.health_checks_s: list[float] = []
        self.leaving_responses: list[tuple[float, str]] = []
        self.received_requests: list[str] = []
        self.arrivals: list[tuple[float, str]] = []
        self.received_headers: list[tuple[str, list[tuple[str, str]]]] = []
        self.ran: list[tuple[str, float, str]] = []
        self.cancelled_requests: list[str] = []
        self.running = 0
        self.random = random.Random(endpoint)

    def name_rate_limit(self, value: str) -> None:
        """Name ``value`` as the rate limit in all responses; empty ends it."""
        self.rate_limits.append((time.monotonic(), value))
        self.rate_limit = value


class EndpointHandler(BaseHTTPRequestHandler):
    """Answer health checks, and run requests that name this endpoint."""

    protocol_version = "HTTP/1.1"
    state: EndpointState

    def setup(self) -> None:
        super().setup()
        self._write_lock = threading.Lock()
        self._start = self.state.starts

    def handle_request(self) -> None:
        state = self.state
        if self._start != state.starts:
            self.close_connection = True
            return
        body = self.read_body()
        endless_response = (
            state.endless_health_response if self.path == "/health" else state.endless_response
        )
        if endless_response is not None:
            self._send_endless_response(endless_response)
            return
        if self.path == "/health":
            state.health_checks_s.append(time.monotonic())
            if state.fault == "shed" and state.retry_after:
                self._shed()
                return
            self._send(200, b"", {"Instance-Id": state.endpoint, "Server-Load": self._load()})
            return
        request = self.headers["Request-Id"]
        state.received_requests.append(request)
        state.arrivals.append((time.monotonic(), request))
        state.received_headers.append((request, self.headers.items()))
        if self.headers["Target-Instance"] != state.endpoint:
            self._send(421, b"", {"Instance-Id": state.endpoint})
            return
        if state.fault == "shed":
            self._shed()
            return
        if state.fault == "hang":
            self._hang()
            return
        state.ran.append((request, time.monotonic(), self.path))
        state.running += 1
        try:
            self._work(request)
        finally:
            state.running -= 1
        self.respond(request, body)

    do_GET = do_POST = do_PUT = do_DELETE = handle_request

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def respond(self, request: str, body: bytes) -> None:
        """Answer a request that was run."""
        state = self.state
        if state.fault == "reset":
            self.close_connection = True
            self.connection.close()
            return
        status = 500 if state.fault == "error" else 200
        response_headers = {"Request-Id": request, "Response-Signature": f"sig-{request}"}
        response_body = endpoint_answer(state.service, self.path, body)
        if state.fault == "break":
            self._break_off(response_body, response_headers)
            return
        spoil_by_fault = {
            "cut": self._send_cut,
            "stutter": self._send_twice,
            "status": self._send_invalid_status,
        }
        if state.fault in spoil_by_fault and state.random.random() < state.spoiled_share:
            spoil_by_fault[state.fault](response_body, response_headers)
            return
        self._send(status, response_body, response_headers)

    def _work(self, request: str) -> None:
        deadline_s = time.monotonic() + self.state.service_time_s
        self.connection.setblocking(False)
        while time.monotonic() < deadline_s:
            threading.Event().wait(0.005)
            try:
                if not self.connection.recv(1, 2):  # 2 is MSG_PEEK
                    self.state.cancelled_requests.append(request)
                    break
            except BlockingIOError:
                continue
            except OSError:
                self.state.cancelled_requests.append(request)
                break
        self.connection.setblocking(True)

    def _send_endless_response(self, endless_response: EndlessResponse) -> None:
        started_s = time.monotonic()
        self.close_connection = True
        try:
            self.connection.sendall(endless_response.first)
            while time.monotonic() - started_s < MAX_FLOOD_S:
                self.connection.sendall(endless_response.repeated)
                threading.Event().wait(endless_response.gap_s)
        except OSError:
            pass
        self.state.endless_response_durations_s.append(time.monotonic() - started_s)

    def _shed(self) -> None:
        headers = {"Not-Executed": "1"}
        text = self.state.retry_after
        if text:
            headers["Retry-After"] = text
            request = self.headers.get("Request-Id", "")
            self.state.closing_responses.append((time.monotonic(), request, text))
        self._send(503, b"", headers)

    def _hang(self) -> None:
        self.close_connection = True
        self.connection.settimeout(MAX_HANG_S)
        try:
            self.connection.recv(1)
        except OSError:
            return

    def _break_off(self, body: bytes, headers: dict[str, str]) -> None:
        self._send(200, body, headers, size=len(body) // 2)
        self.close_connection = True

    def _send_cut(self, body: bytes, headers: dict[str, str]) -> None:
        rng = self.state.random
        headers = headers | self._notices()
        answer = rng.choice(list(FRAMING_BY_NAME.values())).encode("200 OK", headers, body)
        # Half of the cuts are near the start, so that they often hit the head of long answers too.
        end = rng.choice([len(answer.data), min(len(answer.data), 2 * answer.head_size)])
        size = rng.randrange(end)
        # An answer without a length that ends in the middle of its body without a reset is whole.
        is_whole = answer.ends_with_connection and size >= answer.head_size
        self.close_connection = True
        try:
            self.wfile.write(answer.data[:size])
            if is_whole or rng.random() < 0.5:
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                self.connection.close()
        except OSError:
            return

    def _send_twice(self, body: bytes, headers: dict[str, str]) -> None:
        limited = headers | self._notices()
        answer = LengthFraming().encode("200 OK", limited, body)
        self._write(answer.data)
        self._record_notices(limited)
        delay_s = self.state.random.uniform(*SECOND_ANSWER_DELAY_S)
        second = threading.Timer(delay_s, self._write, (answer.data,))
        second.daemon = True
        second.start()

    def _send_invalid_status(self, body: bytes, headers: dict[str, str]) -> None:
        # Its body differs from the answer's, so that it is noticed if it passes for a success.
        answer = LengthFraming().encode("200 OK", headers, b"out of order")
        self._write(answer.with_status_line(self.state.random.choice(INVALID_STATUS_LINES)).data)

    def _notices(self) -> dict[str, str]:
        notices = {"Server-Limit": self.state.rate_limit} if self.state.rate_limit else {}
        left_s = self.state.cold_until_s - time.monotonic()
        if left_s > 0:
            notices["Cold-Remaining-Ms"] = str(round(left_s * 1000))
        return notices | ({"Server-Leaving": "1"} if self.state.is_leaving else {})

    def _record_notices(self, headers: dict[str, str]) -> None:
        if "Server-Leaving" in headers:
            request = self.headers.get("Request-Id", "")
            self.state.leaving_responses.append((time.monotonic(), request))
        if "Server-Limit" in headers and "Request-Id" in headers:
            self.state.limited_responses.append((time.monotonic(), headers["Request-Id"]))

    def _write(self, data: bytes) -> None:
        try:
            with self._write_lock:
                self.wfile.write(data)
        except (OSError, ValueError):
            self.close_connection = True

    def _load(self) -> str:
        return f"{self.state.running},0,8,100"

    def _send(
        self, status: int, body: bytes, headers: dict[str, str], *, size: int | None = None
    ) -> None:
        with self._write_lock:
            self._send_locked(status, body[:size], headers, length=len(body))

    def _send_locked(
        self, status: int, body: bytes, headers: dict[str, str], *, length: int
    ) -> None:
        headers = headers | self._notices()
        try:
            self.send_response(status)
            for name, value in headers.items():
                self.send_header(name, value)
            self._record_notices(headers)
            self.send_header("Content-Length", str(length))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""


def endpoint_answer(service: str, target: str, request_body: bytes) -> bytes:
    """Return the body with which an endpoint of ``service`` answers a request."""
    body = f"{service} {target} ".encode() + request_body
    return body.ljust(DOWNLOAD_BYTES, b".") if target.startswith(DOWNLOAD_PREFIX) else body


class PlatformEndpoint:
    """An endpoint that listens on loopback."""

    def __init__(
        self,
        endpoint: str,
        service: str,
        zone: str,
        *,
        state: EndpointState | None = None,
        handler: type[EndpointHandler] = EndpointHandler,
    ) -> None:
        self.state = state or EndpointState(endpoint, service)
        self.zone = zone
        self._handler = type("Handler", (handler,), {"state": self.state})
        self._server = QuietServer(("127.0.0.1", 0), self._handler)
        self._is_stopped = False
        self._serve()

    def _serve(self) -> None:
        threading.Thread(target=self._server.serve_forever, args=(POLL_S,), daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address as host and port."""
        host, port = self._server.server_address
        return f"{host}:{port}"

    def registration(self, state: str = "ready") -> dict[str, Any]:
        """Return the endpoint's registration in the store."""
        return {
            "service": self.state.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemaining": "0ms",
            "sequence": 1,
            "born": 1700000000000,
        }

    def stop(self) -> None:
        """Refuse connections, and answer nothing on those that are open."""
        self.state.starts += 1
        address = self._server.server_address
        self.close()
        # The next server takes this socket over, so that no other process gets the port.
        self._server = QuietServer(address, self._handler, bind_and_activate=False)
        self._server.server_bind()
        self._is_stopped = True

    def start_again(self) -> None:
        """Accept connections again after ``stop``."""
        self._is_stopped = False
        self._server.server_activate()
        self._serve()

    def close(self) -> None:
        """Stop the server at once."""
        if not self._is_stopped:
            self._server.shutdown()
        self._server.server_close()
