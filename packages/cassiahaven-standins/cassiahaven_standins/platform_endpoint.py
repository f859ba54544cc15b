"""Stand-in for an endpoint on the platform that records the requests it ran."""

import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler
from typing import Any

from cassiahaven_standins.quiet_server import QuietServer

MAX_FLOOD_S = 10.0


@dataclass(frozen=True, slots=True)
class Flood:
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
        work_s: Time that each request takes.
        fault: ``reset`` runs requests and closes the connection without a response, ``shed``
            rejects them, ``error`` responds with status 500; empty for no fault.
        flood: Sent in place of responses.
        health_flood: Sent in place of health check responses.
        floods_s: Duration of each flood, until its reader closed the connection.
        arrivals: Ids of the requests received, including rejected ones.
        ran: Id, start time and path of each request that was run.
        cut: Ids of the requests whose caller disconnected while they ran.
    """

    def __init__(self, endpoint: str, service: str) -> None:
        self.endpoint = endpoint
        self.service = service
        self.work_s = 0.01
        self.fault = ""
        self.flood: Flood | None = None
        self.health_flood: Flood | None = None
        self.floods_s: list[float] = []
        self.arrivals: list[str] = []
        self.ran: list[tuple[str, float, str]] = []
        self.cut: list[str] = []
        self.running = 0


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    state: EndpointState

    def handle_request(self) -> None:
        state = self.state
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        flood = state.health_flood if self.path == "/health" else state.flood
        if flood is not None:
            self._send_flood(flood)
            return
        if self.path == "/health":
            self._send(200, b"", {"Instance-Id": state.endpoint, "Server-Load": self._load()})
            return
        request = self.headers["Request-Id"]
        state.arrivals.append(request)
        if self.headers["Target-Instance"] != state.endpoint:
            self._send(421, b"", {"Instance-Id": state.endpoint})
            return
        if state.fault == "shed":
            self._send(503, b"", {"Not-Executed": "1"})
            return
        state.ran.append((request, time.monotonic(), self.path))
        state.running += 1
        try:
            self._work(request)
        finally:
            state.running -= 1
        if state.fault == "reset":
            self.close_connection = True
            self.connection.close()
            return
        status = 500 if state.fault == "error" else 200
        response_headers = {"Request-Id": request, "Response-Signature": f"sig-{request}"}
        self._send(status, f"{state.service} {self.path} ".encode() + body, response_headers)

    do_GET = do_POST = do_PUT = do_DELETE = handle_request

    def _work(self, request: str) -> None:
        deadline_s = time.monotonic() + self.state.work_s
        self.connection.setblocking(False)
        while time.monotonic() < deadline_s:
            threading.Event().wait(0.005)
            try:
                if not self.connection.recv(1, 2):  # 2 is MSG_PEEK
                    self.state.cut.append(request)
                    break
            except BlockingIOError:
                continue
            except OSError:
                self.state.cut.append(request)
                break
        self.connection.setblocking(True)

    def _send_flood(self, flood: Flood) -> None:
        started_s = time.monotonic()
        self.close_connection = True
        try:
            self.connection.sendall(flood.first)
            while time.monotonic() - started_s < MAX_FLOOD_S:
                self.connection.sendall(flood.repeated)
                threading.Event().wait(flood.gap_s)
        except OSError:
            pass
        self.state.floods_s.append(time.monotonic() - started_s)

    def _load(self) -> str:
        return f"{self.state.running},0,8,100"

    def _send(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        try:
            self.send_response(status)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""


class PlatformEndpoint:
    """An endpoint that listens on loopback."""

    def __init__(self, endpoint: str, service: str, zone: str) -> None:
        self.state = EndpointState(endpoint, service)
        self.zone = zone
        handler = type("Handler", (_Handler,), {"state": self.state})
        self._server = QuietServer(("127.0.0.1", 0), handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def registration(self, state: str = "ready") -> dict[str, Any]:
        """Return the endpoint's registration in the store."""
        host, port = self._server.server_address
        return {
            "service": self.state.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemaining": "0ms",
            "sequence": 1,
            "born": 1700000000000,
        }

    def close(self) -> None:
        """Stop the server at once."""
        self._server.shutdown()
        self._server.server_close()
