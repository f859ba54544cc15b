"""A stand-in of an endpoint on the platform, which notes what it ran."""

import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler
from typing import Any

from cassiahaven_standins.quiet_server import QuietServer

LONGEST_FLOOD_S = 10.0


@dataclass(frozen=True, slots=True)
class Flood:
    """Describe bytes that do not end before their reader closes.

    Attributes:
        first: What comes once.
        repeated: What comes again and again.
        gap_s: Pause between the repetitions.
    """

    first: bytes
    repeated: bytes
    gap_s: float = 0.0


class EndpointState:
    """Hold what an endpoint ran and how it is to misbehave.

    Attributes:
        work_s: How long it works on a request.
        fault: ``reset`` runs requests and closes without an answer, ``shed`` refuses them,
            ``error`` answers 500, empty is sound.
        flood: What it sends in place of answers.
        health_flood: What it sends in place of answers of the health path.
        floods_s: How long each flood lasted until its reader closed.
        arrivals: Request ids that reached it, refused ones included.
        ran: Request ids that it began to work on, with the time.
        cut: Request ids whose caller left while it worked.
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
        signed = {"Request-Id": request, "Response-Signature": f"sig-{request}"}
        self._send(status, f"{state.service} {self.path} ".encode() + body, signed)

    do_GET = do_POST = do_PUT = do_DELETE = handle_request

    def _work(self, request: str) -> None:
        give_up = time.monotonic() + self.state.work_s
        self.connection.setblocking(False)
        while time.monotonic() < give_up:
            threading.Event().wait(0.005)
            try:
                if not self.connection.recv(1, 2):
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
            while time.monotonic() - started_s < LONGEST_FLOOD_S:
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
        """Keep quiet."""


class PlatformEndpoint:
    """Serve an endpoint on loopback."""

    def __init__(self, endpoint: str, service: str, zone: str) -> None:
        self.state = EndpointState(endpoint, service)
        self.zone = zone
        handler = type("Handler", (_Handler,), {"state": self.state})
        self._server = QuietServer(("127.0.0.1", 0), handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def registration(self, state: str = "ready") -> dict[str, Any]:
        """Return what the endpoint says of itself in the store."""
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
        """Stop serving at once."""
        self._server.shutdown()
        self._server.server_close()
