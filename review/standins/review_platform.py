"""Stand-ins of the users' platform for the cases of the review.

They do what the platform's pages say: the store, the endpoints of services, callers that ask the
directory for addresses, and the processes of the system, started with the command of the deploy
file.
"""

import http.client
import json
import os
import random
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from itertools import count
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).parents[2]
OBJECTS_PATH = "/cassiahaven/objects/"
HOST = "jepu9.example"
ZONES = ("zone-a", "zone-b", "zone-c")
STORE_ANSWER_S = 0.004
PAGE_ITEMS = 500
START_TIMEOUT_S = 20.0
DIRECTORY_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
MSG_PEEK = 2
MOST_KEPT_BODY_BYTES = 10_000
LISTENING_PORTS = (20_000, 32_000)
# An interpreter that fails exits with 1, so ``run.sh`` translates the status of a broken rule.
HELD, BROKEN, NOT_RUN = 0, 10, 2


class CannotRun(Exception):
    """Raised if a case cannot be played."""


def free_port() -> int:
    """Return a free TCP port on loopback, outside the range that outgoing connections use."""
    while True:
        port = random.randrange(*LISTENING_PORTS)
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue


class Record:
    """What happened in a case, with the time since its start."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    def add(self, event: str, **values: Any) -> float:
        """Add a line and return its time."""
        at_s = self.now_s()
        text = " ".join(f"{name}={value}" for name, value in values.items())
        with self._lock:
            self._lines.append(f"{at_s:8.3f} {event} {text}".rstrip())
        return at_s

    def write(self) -> None:
        """Write all lines to the file."""
        with self._lock:
            self._path.write_text("\n".join(sorted(self._lines)) + "\n", encoding="utf-8")


class QuietServer(ThreadingHTTPServer):
    """Serves each connection in a thread and does not report broken connections."""

    daemon_threads = True
    request_queue_size = 256

    def server_bind(self) -> None:
        """Bind without looking up the host's name, which takes seconds without a network."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Report errors other than broken connections."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)


@dataclass(slots=True)
class Stored:
    """An object of the store; its ``spec`` is kept as the JSON text that was written."""

    name: str
    revision: int
    spec: str

    def to_json(self) -> str:
        """Return the object as JSON."""
        metadata = {"name": self.name, "revision": self.revision, "created": 1, "finalizers": []}
        metadata["deletionPending"] = False
        return f'{{"metadata":{json.dumps(metadata)},"spec":{self.spec},"status":null}}'


class Store:
    """The platform's metadata store.

    Attributes:
        before_list: Called with the kind, the name after which a page starts and the page's size
            before the page is read.
        loses_answer: Returns whether the answer to a call is lost. It is called with the kind and
            whether the call is a watch.
        answers: Time of each answer, and whether it was lost.
    """

    def __init__(self, record: Record, *, page_items: int = PAGE_ITEMS) -> None:
        self.record = record
        self.page_items = page_items
        self.before_list: Callable[[str, str], None] = lambda kind, after: None
        self.loses_answer: Callable[[str, bool], bool] = lambda kind, is_watch: False
        self.answers: list[tuple[float, bool]] = []
        self.revision = 1
        self.by_kind: dict[str, dict[str, Stored]] = {}
        self._history: list[tuple[int, str, Stored, bool]] = []
        self.changed = threading.Condition(threading.RLock())
        handler = type("StoreHandler", (_StoreHandler,), {"store": self})
        self._server = QuietServer(("127.0.0.1", 0), handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, kind: str, name: str, spec: Any, *, text: str | None = None) -> float:
        """Write an object, and return the time at which the store acknowledged it."""
        written = json.dumps(spec) if text is None else text
        with self.changed:
            known = self.by_kind.setdefault(kind, {}).get(name)
            if known is None or known.spec != written:
                self.revision += 1
                stored = Stored(name, self.revision, written)
                self.by_kind[kind][name] = stored
                self._history.append((self.revision, kind, stored, False))
                self.changed.notify_all()
        return self.record.now_s()

    def delete(self, kind: str, name: str) -> float:
        """Remove an object, and return the time at which the store acknowledged it."""
        with self.changed:
            stored = self.by_kind.get(kind, {}).pop(name, None)
            if stored is not None:
                self.revision += 1
                self._history.append((self.revision, kind, stored, True))
                self.changed.notify_all()
        return self.record.now_s()

    def page(self, kind: str, after: str) -> str:
        """Return a page of the objects of a kind as JSON."""
        self.before_list(kind, after)
        with self.changed:
            names = sorted(name for name in self.by_kind.get(kind, {}) if name > after)
            listed = names[: self.page_items]
            items = ",".join(self.by_kind[kind][name].to_json() for name in listed)
            more = "true" if len(names) > len(listed) else "false"
            return f'{{"items":[{items}],"more":{more},"storeRevision":{self.revision}}}'

    def watch(self, kind: str, revision: int, wait_s: float) -> str:
        """Wait for changes of a kind and return them as JSON."""
        until_s = time.monotonic() + wait_s
        with self.changed:
            while True:
                found = [
                    f'{{"object":{stored.to_json()},"deleted":{"true" if gone else "false"}}}'
                    for at, other, stored, gone in self._history
                    if at > revision and other == kind
                ]
                left_s = until_s - time.monotonic()
                if found or left_s <= 0:
                    events = ",".join(found)
                    return f'{{"events":[{events}],"storeRevision":{self.revision}}}'
                self.changed.wait(left_s)

    def close(self) -> None:
        """Stop the store."""
        self._server.shutdown()
        self._server.server_close()


class _StoreHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    store: Store

    def handle_call(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else None
        parts = urlsplit(self.path)
        kind, _, name = parts.path.removeprefix(OBJECTS_PATH).partition("/")
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        is_watch = "watch" in query
        status, text = self._answer(kind, name, query, body)
        time.sleep(STORE_ANSWER_S)
        is_lost = self.store.loses_answer(kind, is_watch)
        self.store.answers.append((self.store.record.now_s(), is_lost))
        if is_lost:
            self._lose(kind, is_watch)
            return
        data = text.encode(errors="surrogateescape")
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = handle_call  # noqa: N815

    def _answer(self, kind: str, name: str, query: dict[str, str], body: Any) -> tuple[int, str]:
        store = self.store
        if self.command == "GET" and "watch" in query:
            wait_s = int(query.get("waitMs", 0)) / 1000
            return 200, store.watch(kind, int(query["watch"]), wait_s)
        if self.command == "GET" and not name:
            return 200, store.page(kind, query.get("after", ""))
        with store.changed:
            known = store.by_kind.get(kind, {}).get(name or (body or {})["metadata"]["name"])
            if self.command == "GET":
                return (200, known.to_json()) if known is not None else (404, "")
            if self.command == "POST":
                if known is not None:
                    return 409, known.to_json()
                name = body["metadata"]["name"]
                store.put(kind, name, body["spec"])
                return 201, store.by_kind[kind][name].to_json()
            if known is None:
                return 404, ""
            expected = (body or {}).get("metadata", {}).get("revision", query.get("revision"))
            if expected is not None and int(expected) != known.revision:
                return 409, known.to_json()
            if self.command == "DELETE":
                store.delete(kind, name)
                return 200, known.to_json()
            store.put(kind, name, body["spec"])
            return 200, store.by_kind[kind][name].to_json()

    def _lose(self, kind: str, is_watch: bool) -> None:
        """Return nothing further on this connection until the other side closes it."""
        call = "watch" if is_watch else self.command
        host, port = self.client_address
        self.store.record.add("store-answer-lost", kind=kind, call=call, connection=port)
        self.close_connection = True
        while self.connection.recv(65_536):
            pass
        self.store.record.add("store-connection-closed", kind=kind, connection=port)

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""


@dataclass(frozen=True, slots=True)
class Run:
    """A request that an endpoint began to work on."""

    request: str
    at_s: float
    endpoint: str
    service: str
    body: bytes = b""


class Endpoint:
    """One process of a service, registered in the store under its id.

    Attributes:
        runs: Requests that it began to work on.
        cut: Requests that it worked on when it ended.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        zone: str,
        *,
        work_s: float = 0.1,
        slots: int = 8,
    ) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.runs: list[Run] = []
        self.cut: list[str] = []
        self.lock = threading.Lock()
        self.running: set[str] = set()
        self.is_gone = False
        self._connections: set[socket.socket] = set()
        self._sequence = count(1)
        handler = type("EndpointHandler", (_EndpointHandler,), {"endpoint": self})
        self._server = QuietServer(("127.0.0.1", 0), handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def register(self, state: str = "ready") -> float:
        """Write the entry in the store and return the time of the acknowledgement."""
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemaining": "0ms",
            "sequence": next(self._sequence),
            "born": 1_790_000_000_000,
        }
        at_s = self.store.put("servers", self.name, spec)
        self.store.record.add("endpoint-registered", endpoint=self.name, state=state)
        return at_s

    def track(self, connection: socket.socket, *, is_open: bool) -> None:
        """Keep track of the open connections."""
        with self.lock:
            if is_open:
                self._connections.add(connection)
            else:
                self._connections.discard(connection)

    def exit(self) -> None:
        """End as a process does: remove the entry, and close all connections."""
        with self.lock:
            self.is_gone = True
            self.cut = sorted(self.running)
            opened = list(self._connections)
        self._server.shutdown()
        self._server.server_close()
        for connection in opened:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
                connection.close()
            except OSError:
                continue
        self.store.delete("servers", self.name)
        self.store.record.add("endpoint-ended", endpoint=self.name, cut=len(self.cut))
        for request in self.cut:
            self.store.record.add("work-cut", request=request, endpoint=self.name)

    def close(self) -> None:
        """Stop the endpoint."""
        if not self.is_gone:
            self.is_gone = True
            self._server.shutdown()
            self._server.server_close()


class _EndpointHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    endpoint: Endpoint

    def setup(self) -> None:
        super().setup()
        self.endpoint.track(self.connection, is_open=True)

    def finish(self) -> None:
        self.endpoint.track(self.connection, is_open=False)
        super().finish()

    def handle_request(self) -> None:
        endpoint = self.endpoint
        length = int(self.headers.get("Content-Length") or 0)
        body = bytearray()
        while len(body) < length:
            part = self.rfile.read(min(1 << 20, length - len(body)))
            if not part:
                self.close_connection = True
                return
            body += part
        load = f"{len(endpoint.running)},0,{endpoint.slots},100"
        if self.path == "/health":
            self._send(200, b"", {"Instance-Id": endpoint.name, "Server-Load": load})
            return
        request = self.headers.get("Request-Id", "")
        if self.headers.get("Target-Instance", endpoint.name) != endpoint.name:
            self._send(421, b"", {"Instance-Id": endpoint.name})
            return
        with endpoint.lock:
            is_full = len(endpoint.running) >= endpoint.slots
            if not is_full and not endpoint.is_gone:
                endpoint.running.add(request)
        if is_full or endpoint.is_gone:
            self._send(503, b"", {"Request-Id": request, "Not-Executed": "1"})
            return
        at_s = endpoint.store.record.add(
            "run", request=request, endpoint=endpoint.name, service=endpoint.service
        )
        kept = bytes(body[:MOST_KEPT_BODY_BYTES])
        endpoint.runs.append(Run(request, at_s, endpoint.name, endpoint.service, kept))
        try:
            is_finished = self._work()
        finally:
            with endpoint.lock:
                endpoint.running.discard(request)
        if not is_finished or endpoint.is_gone:
            self.close_connection = True
            return
        answer = f"{endpoint.service} {request} {len(body)}".encode()
        headers = {"Request-Id": request, "Response-Signature": f"sig-{request}"}
        self._send(200, answer, headers | {"Server-Load": load})

    do_GET = do_POST = do_PUT = do_DELETE = handle_request  # noqa: N815

    def _work(self) -> bool:
        """Work on a request until it is done; stop early if its connection is closed."""
        until_s = time.monotonic() + self.endpoint.work_s
        while time.monotonic() < until_s and not self.endpoint.is_gone:
            time.sleep(0.005)
            self.connection.setblocking(False)
            try:
                if not self.connection.recv(1, MSG_PEEK):
                    return False
            except BlockingIOError:
                continue
            except OSError:
                return False
            finally:
                if not self.endpoint.is_gone:
                    self.connection.setblocking(True)
        return True

    def _send(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""


class Entry:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, folder: Path, store: Store, number: int, *, grace_s: float = 6.0) -> None:
        zone = ZONES[number % len(ZONES)]
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.front, self.ready, self.directory, self.peers, self.metrics = (
            free_port() for _ in range(5)
        )
        self._settings_path = folder / f"{self.name}.json"
        self._log_path = folder / f"{self.name}.log"
        self._record = store.record
        self.process: subprocess.Popen | None = None
        address = "127.0.0.1:{}".format
        settings = {
            "node": self.name,
            "role": "entry",
            "instanceClass": "edge",
            "serves": ["edge", "directory"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "region",
            "zones": dict.fromkeys(ZONES, "region"),
            "listen": {
                "front": address(self.front),
                "ready": address(self.ready),
                "directory": address(self.directory),
            },
            "internalPorts": [self.peers, self.peers],
            "seeds": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.86,
                "cpuCores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat": "1500ms",
            "contracts": [
                *("base", "drain", "config", "cost", "retry", "recover", "health", "platform"),
            ],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": [
                *("seedLag=3s", "addressReuse=2s", "contact=3000ms", "ack=4000ms", "catchUp=4s"),
                *("drain=2000ms", f"grace={grace_s:g}s", "lossSlack=200ms", "configApply=2000ms"),
                *("rollbackSlack=250ms", "maxSkew=5000ms", "budgetRatio=0.2", "budgetWindow=10s"),
                *("budgetSlack=60", "recovery=15s", "ttl_max=5s", "probesPerS=60"),
            ],
            "platform": {
                "address": store.address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "history": "20s",
                "valueBytes": 1_048_576,
                "minTtl": "1000ms",
            },
        }
        self._settings_path.write_text(json.dumps(settings), encoding="utf-8")

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["entry"]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = (
            kept
            | role.get("env", {})
            | {
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "CASSIAHAVEN_CONFIG": str(self._settings_path),
                "CASSIAHAVEN_METRICS_PORT": str(self.metrics),
            }
        )
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add("entry-started", entry=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.add("signal", entry=self.name, signal=number.name)
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        return self.get(self.ready, "/cassiahaven/readiness")[0] == 200

    def addresses(self, zone: str) -> list[str]:
        """Return the addresses that the directory gives to callers of a zone."""
        target = f"/cassiahaven/lookup?name={HOST}&region=region&zone={zone}"
        status, body = self.get(self.directory, target)
        return json.loads(body)["addresses"] if status == 200 else []

    def get(self, port: int, target: str) -> tuple[int, bytes]:
        """Send a GET request and return status and body; status 0 means no answer."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=DIRECTORY_TIMEOUT_S)
        try:
            connection.request("GET", target)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def log_events(self, *names: str) -> list[str]:
        """Return the log lines of some events."""
        lines = self._log_path.read_text(encoding="utf-8", errors="replace").splitlines()
        return [line for line in lines if any(f'"event":"{name}"' in line for name in names)]

    def log_text(self) -> str:
        """Return the whole log."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")

    def close(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


@dataclass(slots=True)
class Answer:
    """A request of a caller and what came back; status 0 means no complete answer."""

    request: str
    zone: str
    entry: str
    sent_s: float
    status: int = 0
    ended_s: float = 0.0
    body: bytes = b""
    is_signed: bool = False
    error: str = ""


@dataclass(slots=True)
class Callers:
    """Callers that ask the directory for an entry and open a connection for each request.

    Attributes:
        method: Method of the requests.
        path: Path of the requests; their number is appended.
        rate_per_s: Requests a second of all callers together.
        deadline_ms: Time that a caller waits.
        answers: All requests sent, with their answers.
    """

    record: Record
    entries: list[Entry]
    method: str
    path: str
    rate_per_s: float
    deadline_ms: int
    prefix: str = "q"
    answers: list[Answer] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=lambda: count(1))
    _addresses: dict[str, tuple[float, list[str]]] = field(default_factory=dict)
    _stop: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        """Start to send requests."""
        thread = threading.Thread(target=self._send_all, daemon=True)
        self._threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the last answers."""
        self._stop.set()
        for thread in list(self._threads):
            thread.join(self.deadline_ms / 1000 + 2)

    def send(self, zone: str, body: bytes = b"x" * 300, port: int | None = None) -> Answer:
        """Send one request from a zone and return its answer."""
        request = f"{self.prefix}-{next(self._numbers)}"
        if port is None:
            port = int(self._address(zone).rpartition(":")[2])
        names = {entry.front: entry.name for entry in self.entries}
        answer = Answer(request, zone, names.get(port, str(port)), self.record.now_s())
        self.answers.append(answer)
        self.record.add("sent", request=request, zone=zone, entry=answer.entry)
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=CONNECT_TIMEOUT_S)
        headers = {
            "Host": HOST,
            "Request-Id": request,
            "Deadline-Ms": str(self.deadline_ms),
        }
        try:
            connection.connect()
            connection.sock.settimeout(self.deadline_ms / 1000 + 0.5)
            connection.request(self.method, f"{self.path}{request}", body or None, headers)
            response = connection.getresponse()
            answer.body = response.read()
            answer.status = response.status
            answer.is_signed = "Response-Signature" in response.headers
        except (OSError, http.client.HTTPException) as error:
            answer.error = type(error).__name__
        finally:
            connection.close()
        answer.ended_s = self.record.add(
            "answered", request=request, status=answer.status, error=answer.error or "-"
        )
        return answer

    def _send_all(self) -> None:
        due_s = time.monotonic()
        for number in count():
            if self._stop.is_set():
                return
            zone = ZONES[number % len(ZONES)]
            thread = threading.Thread(target=self._send_quietly, args=(zone,), daemon=True)
            self._threads.append(thread)
            thread.start()
            due_s += 1 / self.rate_per_s
            time.sleep(max(0.0, due_s - time.monotonic()))

    def _send_quietly(self, zone: str) -> None:
        try:
            self.send(zone)
        except CannotRun as error:
            self.record.add("not-sent", zone=zone, reason=error)

    def _address(self, zone: str) -> str:
        """Return the address of an entry, as the nearest entry that answers tells."""
        until_s, known = self._addresses.get(zone, (0.0, []))
        if self.record.now_s() < until_s:
            return known[0]
        nearest = sorted(self.entries, key=lambda entry: entry.zone != zone)
        for entry in nearest[:3]:
            found = entry.addresses(zone)
            if found:
                self._addresses[zone] = (self.record.now_s() + 2.0, found)
                return found[0]
        if known:
            return known[0]
        raise CannotRun("no entry answers the callers' question for an address")


def configuration(
    version: int,
    service_by_path: dict[str, str],
    *,
    kind: str = "unsafe",
    timeout_ms: int = 1200,
    most_body_bytes: int = 67_108_864,
) -> dict[str, Any]:
    """Return a configuration with a route for each path."""
    columns = [
        *("name", "hostname", "pathPrefix", "kind", "timeout", "targetLatency", "priority"),
        *("trafficSplit", "maxAttempts", "service"),
    ]
    rows = [
        [f"r{path.strip('/')}", HOST, path, kind, f"{timeout_ms}ms", "400ms", 1, None, 2, service]
        for path, service in service_by_path.items()
    ]
    services = sorted(set(service_by_path.values()))
    return {
        "version": version,
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "healthPath", "maxConnections", "protocol", "tls"],
            "rows": [[name, "/health", 240, "h1", False] for name in services],
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": most_body_bytes,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }


def wait_until(is_met: Callable[[], bool], what: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a condition is met.

    Raises:
        CannotRun: It is not met in time.
    """
    until_s = time.monotonic() + timeout_s
    while not is_met():
        if time.monotonic() > until_s:
            raise CannotRun(f"not in time: {what}")
        time.sleep(0.05)


def start_all(entries: list[Entry]) -> None:
    """Start entries and wait until all are ready."""
    for entry in entries:
        entry.start()
    wait_until(lambda: all(entry.is_ready() for entry in entries), "all entries are ready")


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """Return a folder that is removed at the end."""
    with tempfile.TemporaryDirectory(prefix="cassiahaven-review-") as name:
        yield Path(name)


def has_trouble() -> bool:
    """Return whether the disruption of the case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Path, Record, bool], list[str]]) -> int:
    """Play a case, write its record and return its exit status.

    Args:
        folder: Folder of the case.
        play: Plays the case and returns how the rule was broken, one line for each way.
    """
    record = Record(folder / "record.txt")
    # A stopped script still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        with temporary_folder() as temporary:
            broken = play(temporary, record, has_trouble())
    except Exception as error:  # whatever it is, it says nothing about the rule
        record.add("cannot-run", reason=repr(error))
        record.write()
        print(f"cannot run: {error!r}")
        return NOT_RUN
    for line in broken:
        record.add("RULE-BROKEN", what=line.replace(" ", "_"))
        print(f"rule broken: {line}")
    if not broken:
        record.add("RULE-HELD")
        print("rule held")
    record.write()
    return BROKEN if broken else HELD
