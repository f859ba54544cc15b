"""Endpoints that break off some answers and send them once more, late and in two parts."""

import http.client
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from platform_standins import (
    HOST,
    ZONES,
    Arrival,
    Clients,
    Endpoint,
    Record,
    Sent,
    Store,
    _Handler,
    configuration,
    entries_running,
)

SERVICE = "huvo11a"
HOSTS = ["127.0.26.1", "127.0.26.2", "127.0.26.3"]
ENDPOINTS = 4
FAULTY = 1  # number of the faulty one of four; the site plays breaking off with a share of 0.35
EACH = 50  # a faulty endpoint spoils one answer in 50, that is x = 0.02
WORK_S = 0.01
STEADY_S = 2.0
FAULTY_S = 5.0  # the site plays ``garble`` as late second answers for 5 s
AFTER_S = 2.0
BODY_BYTES = 2000
MISSING_BYTES = 24
SECOND_AFTER_S = 0.05
PAUSE_S = 0.25  # between the parts of the second answer's head; a lost packet costs as much
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
HELD, BROKEN = 0, 1


def whole_body(endpoint: str, request: str) -> bytes:
    """Return the body with which an endpoint answers a request."""
    return f"{endpoint} answers {request} ".encode().ljust(BODY_BYTES, b".")


class StutteringEndpoint(Endpoint):
    """Breaks off some answers within the body, and then answers once more on the connection.

    Attributes:
        is_faulty: Whether it does so now.
        spoilt: Ids of the requests whose answers it spoilt.
    """

    def __init__(self, *args: object, **options: object) -> None:
        self.is_faulty = False
        self.spoilt: set[str] = set()
        self._answers = 0
        super().__init__(*args, **options)

    def answer(self, request: _Handler) -> None:
        """Run a request, or answer like any endpoint."""
        if request.path == "/health" or request.headers["Target-Instance"] != self.name:
            super().answer(request)
            return
        request.rfile.read(int(request.headers.get("Content-Length") or 0))
        request_id = request.headers["Request-Id"]
        self.arrivals.append(Arrival(self.name, request_id, time.monotonic()))
        self._record.add(f"run      {request_id} at {self.name}")
        time.sleep(self.work_s)
        headers = (
            f"Server: s\r\nRequest-Id: {request_id}\r\nResponse-Signature: s-{request_id}\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n"
        ).encode()
        body = whole_body(self.name, request_id)
        with self._lock:
            self._answers += self.is_faulty
            is_spoilt = self.is_faulty and self._answers % EACH == 0
        if not is_spoilt:
            request.wfile.write(STATUS_LINE + headers + body)
            return
        self.spoilt.add(request_id)
        self._record.add(f"spoilt   {request_id} at {self.name}")
        request.close_connection = True
        try:
            request.wfile.write(STATUS_LINE + headers + body[:-MISSING_BYTES])
            time.sleep(SECOND_AFTER_S)
            first, rest = headers.split(b"Request-Id", 1)
            request.wfile.write(STATUS_LINE + first)
            time.sleep(PAUSE_S)
            request.wfile.write(b"Request-Id" + rest + body)
        except OSError:
            self._record.add(f"closed   {request_id}: the entry has closed the connection")


@dataclass(slots=True)
class ComparingClients(Clients):
    """Clients that keep the bodies of their answers.

    Attributes:
        body_by_request: The bodies.
    """

    body_by_request: dict[str, bytes] = field(default_factory=dict)

    def send(self, address: str, method: str, target: str, request: str, body: bytes) -> Sent:
        """Send one request and record its answer."""
        sent = Sent(request, time.monotonic())
        self.sent.append(sent)
        host, _, port = address.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=self.deadline_ms / 1000)
        headers = {"Host": HOST, "Request-Id": request, "Deadline-Ms": str(self.deadline_ms)}
        try:
            connection.request(method, target, body=body or None, headers=headers)
            response = connection.getresponse()
            self.body_by_request[request] = response.read()
            sent.status = response.status
        except (OSError, http.client.HTTPException):
            sent.status = 0
        finally:
            connection.close()
        sent.ended_s = time.monotonic()
        self.record.add(f"answered {request} {sent.status}")
        return sent


def run_requests(record_path: Path, *, has_trouble: bool) -> int:
    """Run the test; return 1 if a client got a success with a body that is not whole."""
    record = Record(record_path)
    store = Store()
    store.put("config", "main", configuration(7, SERVICE))
    endpoints = [
        StutteringEndpoint(f"i-{n}", SERVICE, ZONES[n % 3], store, record, work_s=WORK_S)
        for n in range(ENDPOINTS)
    ]
    try:
        with (
            tempfile.TemporaryDirectory() as folder,
            entries_running(store, Path(folder), HOSTS) as entries,
        ):
            clients = ComparingClients(
                entries, record, {"GET": "/safe/", "POST": "/unsafe/"}, per_s=300.0
            )
            clients.start()
            time.sleep(STEADY_S)
            endpoints[FAULTY].is_faulty = has_trouble
            time.sleep(FAULTY_S)
            endpoints[FAULTY].is_faulty = False
            time.sleep(AFTER_S)
            clients.stop()
    finally:
        for endpoint in endpoints:
            threading.Thread(target=endpoint.end).start()
        store.close()
    spoilt = set().union(*(endpoint.spoilt for endpoint in endpoints))
    mixed = []
    for item in clients.sent:
        got = clients.body_by_request.get(item.request, b"")
        wholes = [whole_body(endpoint.name, item.request) for endpoint in endpoints]
        if item.status == 200 and got not in wholes:
            mixed.append(item.request)
            record.add(
                f"MIXED    {item.request}: 200, a body of {len(got)} bytes that ends with "
                f"{got[-MISSING_BYTES:]!r}"
            )
    unsafe = sum(request.startswith("post") for request in mixed)
    record.add(f"requests sent: {len(clients.sent)}, answers that were spoilt: {len(spoilt)}")
    record.add(
        f"MIXED: {len(mixed)} clients, {unsafe} with a request that may run once at most, got a "
        f"success with a body that isn't the endpoint's whole body: "
        f"{'BROKEN' if mixed else 'held'}"
    )
    record.write()
    return BROKEN if mixed else HELD
