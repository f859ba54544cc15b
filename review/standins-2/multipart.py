"""Forms in several parts, and answers in several parts while an entry stops."""

import http.client
import random
import signal
import tempfile
import threading
import time
from pathlib import Path

from platform_standins import (
    HOST,
    ZONES,
    Arrival,
    Endpoint,
    Entry,
    Record,
    Store,
    _Handler,
    configuration,
    entries_running,
    wait_until,
)

SERVICE = "print-office"
HOSTS = ["127.0.25.1", "127.0.25.2", "127.0.25.3"]
ENDPOINTS = 4
FORMS = 60
FORM_PAUSE_S = 0.05
REPORTS = 4
DEADLINE_MS = 3000
HEAD_AFTER_S = 0.6  # an endpoint works this long before it begins to answer,
REST_AFTER_S = 1.0  # and this long between the two parts of its answer
STOPS_AFTER_S = 0.2  # from the arrival of the last order to the SIGTERM
BOUNDARY = "----part7f3a91c2"
FORM = (
    f"--{BOUNDARY}\r\n"
    'Content-Disposition: form-data; name="observance"\r\n\r\n'
    "feast of the patron, 24 June\r\n"
    f"--{BOUNDARY}--\r\n"
).encode()
FIRST_PART = f"--{BOUNDARY}\r\nContent-Type: text/csv\r\n\r\n2027-06-24,feast\r\n".encode()
LAST_PART = (
    f"--{BOUNDARY}\r\nContent-Type: text/csv\r\n\r\n2027-06-29,feast\r\n--{BOUNDARY}--\r\n"
).encode()
PLAIN = "text/plain"
HELD, BROKEN = 0, 1


class PartsEndpoint(Endpoint):
    """Answers orders in two parts, and works between them.

    Attributes:
        answer_type: Content type of these answers.
        cut_at_work: Ids of the orders whose connection ended before the last part was sent.
    """

    answer_type = PLAIN

    def __init__(self, *args: object, **options: object) -> None:
        self.cut_at_work: set[str] = set()
        super().__init__(*args, **options)

    def answer(self, request: _Handler) -> None:
        """Run an order, or answer like any endpoint."""
        is_order = request.path.startswith("/unsafe/order")
        if not is_order or request.headers["Target-Instance"] != self.name:
            super().answer(request)
            return
        request.rfile.read(int(request.headers.get("Content-Length") or 0))
        request_id = request.headers["Request-Id"]
        self.arrivals.append(Arrival(self.name, request_id, time.monotonic()))
        self._record.add(f"run      {request_id} at {self.name}")
        time.sleep(HEAD_AFTER_S)
        request.send_response(200)
        request.send_header("Request-Id", request_id)
        request.send_header("Response-Signature", f"s-{request_id}")
        request.send_header("Content-Type", self.answer_type)
        request.send_header("Content-Length", str(len(FIRST_PART) + len(LAST_PART)))
        request.end_headers()
        request.wfile.write(FIRST_PART)
        self._record.add(f"begun    {request_id} at {self.name}: {self.answer_type}")
        time.sleep(REST_AFTER_S)
        request.connection.settimeout(0.01)
        try:
            # Nothing is due from the entry, so what is read here is the end of the connection.
            is_cut = request.connection.recv(1) == b""
        except TimeoutError:
            is_cut = False
        except OSError:
            is_cut = True
        request.connection.settimeout(None)
        if is_cut:
            self.cut_at_work.add(request_id)
            request.close_connection = True
            self._record.add(f"cut off  {request_id} at {self.name}, while it was at work")
            return
        request.wfile.write(LAST_PART)
        self._record.add(f"finished {request_id} at {self.name}")


class Answered:
    """Answers by request: status, whether an endpoint signed them, and when they were complete."""

    def __init__(self, record: Record) -> None:
        self.by_request: dict[str, tuple[int, bool, float]] = {}
        self._record = record

    def send(self, address: str, target: str, request: str, body: bytes, kind: str) -> None:
        """Send an unsafe request and record its answer."""
        host, _, port = address.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=DEADLINE_MS / 1000)
        headers = {
            "Host": HOST,
            "Request-Id": request,
            "Deadline-Ms": str(DEADLINE_MS),
            "Content-Type": kind,
        }
        status, is_signed = 0, False
        try:
            connection.request("POST", target, body=body, headers=headers)
            response = connection.getresponse()
            response.read()
            status, is_signed = response.status, "Response-Signature" in response.headers
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        self.by_request[request] = (status, is_signed, time.monotonic())
        self._record.add(f"answered {request} {status}{'' if is_signed else ' by the entry'}")


def run_parts(record_path: Path, *, has_trouble: bool) -> int:
    """Run the test; return 1 if the stopping entry broke off orders that were worked at."""
    multipart = f"multipart/form-data; boundary={BOUNDARY}"
    mixed = f"multipart/mixed; boundary={BOUNDARY}"
    record = Record(record_path)
    store = Store()
    store.put("config", "main", configuration(7, SERVICE, timeout_ms=DEADLINE_MS))
    endpoints = [
        PartsEndpoint(f"i-{n}", SERVICE, ZONES[n % 3], store, record) for n in range(ENDPOINTS)
    ]
    for endpoint in endpoints:
        endpoint.answer_type = mixed if has_trouble else PLAIN
    answered = Answered(record)
    try:
        with (
            tempfile.TemporaryDirectory() as folder,
            entries_running(store, Path(folder), HOSTS) as entries,
        ):
            _send_forms(entries, answered, multipart if has_trouble else PLAIN)
            stopped_s = _stop_beside_orders(entries[0], answered, endpoints, record)
    finally:
        for endpoint in endpoints:
            endpoint.end()
        store.close()
    forms = {name: item for name, item in answered.by_request.items() if name.startswith("form")}
    denied = [name for name, (status, signed, _) in forms.items() if not signed and status == 400]
    allowed = 5 + len(answered.by_request) / 500
    record.add(
        f"DENIED: {len(denied)} of {len(forms)} forms were answered 400 by an entry, "
        f"{allowed:.0f} are allowed: {'broken' if len(denied) > allowed else 'kept'}"
    )
    cut = set().union(*(endpoint.cut_at_work for endpoint in endpoints))
    lost = [
        name
        for name, (status, signed, at_s) in answered.by_request.items()
        if name in cut and not signed and status and at_s > stopped_s
    ]
    record.add(
        f"LOST: {len(lost)} of {REPORTS} orders were broken off after the SIGTERM while their "
        f"endpoint was at work, and answered by the entry: {'BROKEN' if lost else 'held'}"
    )
    record.write()
    return BROKEN if lost else HELD


def _send_forms(entries: list[Entry], answered: Answered, kind: str) -> None:
    rng = random.Random(7)
    threads = []
    for number in range(FORMS):
        zone = ZONES[number % 3]
        address = rng.choice(entries[number % 3].lookup(zone))
        request = f"form-{number}"
        arguments = (address, f"/unsafe/form/{number}", request, FORM, kind)
        threads.append(threading.Thread(target=answered.send, args=arguments))
        threads[-1].daemon = True
        threads[-1].start()
        time.sleep(FORM_PAUSE_S)
    for thread in threads:
        thread.join()


def _stop_beside_orders(
    entry: Entry, answered: Answered, endpoints: list[PartsEndpoint], record: Record
) -> float:
    """Send orders to an entry, stop it while they run, and return when it got the SIGTERM."""
    before = sum(len(endpoint.arrivals) for endpoint in endpoints)
    address = f"{entry.host}:{entry.front}"
    threads = []
    for number in range(REPORTS):
        arguments = (address, f"/unsafe/order/{number}", f"order-{number}", b"2 pallets", PLAIN)
        threads.append(threading.Thread(target=answered.send, args=arguments))
        threads[-1].daemon = True
        threads[-1].start()
    wait_until(
        lambda: sum(len(endpoint.arrivals) for endpoint in endpoints) == before + REPORTS,
        "all orders run",
    )
    time.sleep(STOPS_AFTER_S)
    entry.signal(signal.SIGTERM)
    stopped_s = time.monotonic()
    record.add("SIGTERM to the entry; its grace is 6 s")
    for thread in threads:
        thread.join()
    entry.process.wait(8)
    took_s = time.monotonic() - stopped_s
    record.add(f"the entry ended {took_s:.1f} s after it, code {entry.process.returncode}")
    return stopped_s
