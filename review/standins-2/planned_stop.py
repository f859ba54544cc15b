"""A planned stop of an entry while a client goes on using the connections that it keeps."""

import http.client
import select
import signal
import tempfile
import threading
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path

from platform_standins import (
    HOST,
    ZONES,
    Endpoint,
    Entry,
    Record,
    Store,
    configuration,
    entries_running,
    wait_until,
)

SERVICE = "refillrun"
HOSTS = ["127.0.26.1", "127.0.26.2", "127.0.26.3"]
ENDPOINTS = 4
SLOTS = 6
WORK_S = 2.8
DEADLINE_MS = 15_000  # also the route's timeout
CONNECTIONS = 30
PAUSE_S = 0.2  # so each connection is used every 6 s, well below four fifths of the idle timeout
ROUNDS_BEFORE = 2
CHECK_INTERVAL_S = 1.0
STOPS_AFTER_CHECK_S = 0.1
# Clients keep an answer of the directory for this many times its ``ttl``.
KEPT_TTLS = 3
TTL_S = 2.0  # what the entries name
GRACE_S = 6.0
EXCUSED_S = 3.0  # requests sent up to then may be broken off in the last sixth of ``grace``
HELD, BROKEN = 0, 1


@dataclass(slots=True)
class Request:
    """A request on a kept connection, and how it ended; status 0 means without an answer."""

    name: str
    sent_s: float
    status: int = 0
    ended_s: float = 0.0


class KeptConnections:
    """A client that uses the connections that it keeps in turn, the longest idle one first.

    Attributes:
        requests: All requests that were sent.
    """

    def __init__(self, zone: str, directory: Entry, record: Record) -> None:
        self.requests: list[Request] = []
        self._zone, self._directory, self._record = zone, directory, record
        self._idle: deque[http.client.HTTPConnection] = deque()
        self._threads: list[threading.Thread] = []
        self._address = ""
        self.asked_s = float("-inf")

    def ask(self) -> str:
        """Ask the directory for the address to use, and return it."""
        (self._address,) = self._directory.lookup(self._zone)
        self.asked_s = time.monotonic()
        self._record.add(f"the client was told to use {self._address}")
        return self._address

    def open(self, count: int) -> None:
        """Open connections to the address."""
        host, _, port = self._address.partition(":")
        for _ in range(count):
            connection = http.client.HTTPConnection(host, int(port), timeout=DEADLINE_MS / 1000)
            connection.connect()
            self._idle.append(connection)

    def send(self, name: str) -> bool:
        """Send a request on the connection that is idle for longest; return whether one is open."""
        while self._idle:
            connection = self._idle.popleft()
            if select.select([connection.sock], [], [], 0)[0]:
                connection.close()  # the entry has closed it
                continue
            thread = threading.Thread(target=self._exchange, args=(connection, name), daemon=True)
            thread.start()
            self._threads.append(thread)
            return True
        return False

    def join(self) -> None:
        """Wait for the ends of all requests."""
        for thread in self._threads:
            thread.join()

    def _exchange(self, connection: http.client.HTTPConnection, name: str) -> None:
        request = Request(name, time.monotonic())
        self.requests.append(request)
        self._record.add(f"sent     {name} on a kept connection")
        headers = {"Host": HOST, "Request-Id": name, "Deadline-Ms": str(DEADLINE_MS)}
        is_last = True
        try:
            connection.request("GET", f"/safe/{name}", headers=headers)
            response = connection.getresponse()
            response.read()
            request.status, is_last = response.status, response.will_close
        except (OSError, http.client.HTTPException) as error:
            self._record.add(f"ended    {name} without an answer: {type(error).__name__}")
        request.ended_s = time.monotonic()
        if request.status:
            self._record.add(f"answered {name} {request.status}{', last' if is_last else ''}")
        if is_last:
            connection.close()
        else:
            self._idle.append(connection)


class ReadinessChecks:
    """The platform's checks of an entry, once per second, each on a new connection."""

    def __init__(self, entry: Entry) -> None:
        self.checked_s = float("-inf")
        self._entry = entry
        self._is_stopped = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Check no more."""
        self._is_stopped.set()

    def _run(self) -> None:
        while not self._is_stopped.wait(CHECK_INTERVAL_S):
            self._entry.is_ready()
            self.checked_s = time.monotonic()


def run_stop(record_path: Path, *, has_trouble: bool) -> int:
    """Run the test; return 1 if the stopping entry broke off requests that it had passed on."""
    record = Record(record_path)
    store = Store()
    store.put("config", "main", configuration(7, SERVICE, timeout_ms=DEADLINE_MS))
    endpoints = [
        Endpoint(f"i-{n}", SERVICE, ZONES[n % 3], store, record, slots=SLOTS, work_s=WORK_S)
        for n in range(ENDPOINTS)
    ]
    try:
        with (
            tempfile.TemporaryDirectory() as folder,
            entries_running(store, Path(folder), HOSTS) as entries,
        ):
            checks = [ReadinessChecks(entry) for entry in entries]
            client = KeptConnections(ZONES[0], entries[0], record)
            stopped_s = _stop_beside_requests(entries, client, checks, record, has_trouble)
            client.join()
            for check in checks:
                check.stop()
    finally:
        for endpoint in endpoints:
            endpoint.end()
        store.close()
    ran = {arrival.request for endpoint in endpoints for arrival in endpoint.arrivals}
    broken = [item for item in client.requests if not item.status and item.name in ran]
    lost = [item for item in broken if item.sent_s > stopped_s + EXCUSED_S]
    after = [item for item in client.requests if item.sent_s > stopped_s]
    excused = len(broken) - len(lost)
    record.add(
        f"{len(after)} requests were sent after the SIGTERM; {excused} of those sent up to "
        f"{EXCUSED_S:.0f} s after it were broken off, which does not count"
    )
    times = ", ".join(f"{item.sent_s - stopped_s:.2f}" for item in lost) or "none"
    record.add(
        f"LOST: {len(lost)} requests that were sent over {EXCUSED_S:.0f} s after it ({times}) were "
        f"passed on, and their connections ended without an answer: {'BROKEN' if lost else 'held'}"
    )
    record.write()
    return BROKEN if lost else HELD


def _stop_beside_requests(
    entries: list[Entry],
    client: KeptConnections,
    checks: list[ReadinessChecks],
    record: Record,
    has_trouble: bool,
) -> float:
    """Send requests all the time, stop the entry that gets them, and return when it was told."""
    address = client.ask()
    number = next(n for n, item in enumerate(entries) if address == f"{item.host}:{item.front}")
    entry, check = entries[number], checks[number]
    client.open(CONNECTIONS)
    for sent in range(ROUNDS_BEFORE * CONNECTIONS):
        if time.monotonic() - client.asked_s > KEPT_TTLS * TTL_S:
            client.ask()
        client.send(f"before-{sent}")
        time.sleep(PAUSE_S)
    assert client.ask() == address
    known_s = check.checked_s
    wait_until(lambda: check.checked_s > known_s, "a readiness check")
    time.sleep(STOPS_AFTER_CHECK_S)
    if has_trouble:
        entry.signal(signal.SIGTERM)
        record.add("SIGTERM to the entry; its grace is 6 s")
    stopped_s = time.monotonic()
    sent = 0
    while time.monotonic() < client.asked_s + KEPT_TTLS * TTL_S:
        if not client.send(f"after-{sent}"):
            record.add("no kept connection is open any more")
            break
        sent += 1
        time.sleep(PAUSE_S)
    if has_trouble:
        entry.process.wait(GRACE_S + 2)
        took_s = time.monotonic() - stopped_s
        record.add(f"the entry had ended {took_s:.1f} s after it, code {entry.process.returncode}")
    return stopped_s
