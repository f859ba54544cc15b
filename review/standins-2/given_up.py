"""Two faults that are no cases of the second review any more; see KNOWN-RED.txt.

``python3 target/review-2/given_up.py late-heartbeat`` (or ``upload``) exits with 1 if the rule was
broken, 0 if it held and 2 if the test could not run; with ``TROUBLE=0`` it runs without the
disruption. It writes what happened to ``target/review-2/record-NAME.txt``.
"""

import http.client
import os
import signal
import sys
import tempfile
import threading
import time
import traceback
from pathlib import Path
from typing import Any

from platform_standins import (
    COULD_NOT_RUN,
    DRAIN_S,
    HOST,
    ZONES,
    Clients,
    Endpoint,
    Record,
    Store,
    configuration,
    entries_running,
)

SERVICE = "velnik"
HELD, BROKEN = 0, 1
HEARTBEAT_HOSTS = ["127.0.27.1", "127.0.27.2", "127.0.27.3"]
STEADY_S = 4.0
LEAVES_S = 3.3  # after the heartbeat without an answer, over the ``contact`` of the settings
EXECUTED_S = 5.8  # after the same
SERVES_ON_S = 8.0  # an endpoint serves for the drain time "and a little longer"
UPLOAD_HOST = "127.0.28.1"
UPLOADS = 3
UPLOAD_BYTES = 16 * 1024 * 1024
WORKS_S = 1.5
SIGTERM_S = 0.3  # after the start of the uploads
DEADLINE_MS = 15_000


class _LateStore:
    """Executes writes late."""

    def __init__(self, store: Store, delay_s: float) -> None:
        self._store, self._delay_s = store, delay_s

    def put(self, kind: str, name: str, spec: bytes) -> None:
        threading.Timer(self._delay_s, self._store.put, (kind, name, spec)).start()


class LeavingEndpoint(Endpoint):
    """An endpoint that leaves the store and serves on for a while."""

    is_silent = False

    def report(self) -> float:
        """Write the entry to the store while the endpoint reports itself."""
        return time.monotonic() if self.is_silent else super().report()

    def report_late(self, delay_s: float) -> None:
        """Send the last heartbeat; the store executes it late and does not answer."""
        self.is_silent = True
        store, self._store = self._store, _LateStore(self._store, delay_s)
        super().report()
        self._store = store
        self._record.add(f"a heartbeat of {self.name} gets no answer")

    def leave(self) -> float:
        """Remove the entry; return when the store acknowledged that."""
        self.is_silent = True
        self._store.delete("servers", self.name)
        self._record.add(f"{self.name} has left, acknowledged by the store")
        return time.monotonic()


class UploadEndpoint(Endpoint):
    """An endpoint that reads bodies in pieces and works before it reads on, or after that."""

    works_first = False

    def answer(self, request: Any) -> None:
        """Answer a health check, or run an order."""
        if request.command != "POST":
            super().answer(request)
            return
        name = request.headers["Request-Id"]
        self._record.add(f"run      {name} at {self.name}")
        if self.works_first:
            time.sleep(WORKS_S)
        left = int(request.headers["Content-Length"])
        while left and (piece := request.rfile.read(min(left, 65536))):
            left -= len(piece)
        if left:
            self._record.add(f"cut off  {name} at {self.name}, {left} bytes are missing")
            request.close_connection = True
            return
        if not self.works_first:
            time.sleep(WORKS_S)
        headers = {"Request-Id": name, "Response-Signature": f"s-{name}"}
        request.send(200, b"done", headers)


def run_late_heartbeat(record: Record, *, has_trouble: bool) -> int:
    """Return 1 if requests reach an endpoint that left, after it had time to drain."""
    store = Store()
    store.put("config", "main", configuration(7, SERVICE))
    others = [Endpoint(f"i-{n}", SERVICE, ZONES[n], store, record) for n in (1, 2)]
    leaving = LeavingEndpoint("i-0", SERVICE, ZONES[0], store, record)
    try:
        with (
            tempfile.TemporaryDirectory() as folder,
            entries_running(store, Path(folder), HEARTBEAT_HOSTS) as entries,
        ):
            clients = Clients(entries, record, {"GET": "/safe/", "POST": "/unsafe/"}, per_s=24.0)
            clients.start()
            time.sleep(STEADY_S)
            if has_trouble:
                leaving.report_late(EXECUTED_S)
            time.sleep(LEAVES_S)
            left_s = leaving.leave()
            time.sleep(SERVES_ON_S)
            leaving.end()
            clients.stop()
    finally:
        for endpoint in others:
            endpoint.end()
        store.close()
    sent_s = {item.request: item.at_s for item in clients.sent}
    late = [item for item in leaving.arrivals if sent_s[item.request] > left_s + DRAIN_S]
    record.add(
        f"DRAIN: {len(late)} requests reached an endpoint later than {DRAIN_S:.0f} s after the "
        f"store had acknowledged that it left: {'BROKEN' if late else 'held'}"
    )
    return BROKEN if late else HELD


def run_upload(record: Record, *, has_trouble: bool) -> int:
    """Return 1 if a stopping entry breaks off uploads whose endpoint is at work."""
    store = Store()
    store.put("config", "main", configuration(7, SERVICE, timeout_ms=DEADLINE_MS))
    endpoints = [UploadEndpoint(f"i-{n}", SERVICE, ZONES[n], store, record) for n in range(UPLOADS)]
    for endpoint in endpoints:
        endpoint.works_first = has_trouble
    statuses = {}
    try:
        with (
            tempfile.TemporaryDirectory() as folder,
            entries_running(store, Path(folder), [UPLOAD_HOST]) as entries,
        ):

            def upload(name: str) -> None:
                statuses[name] = 0
                connection = http.client.HTTPConnection(UPLOAD_HOST, entries[0].front, timeout=12)
                headers = {"Host": HOST, "Request-Id": name, "Deadline-Ms": str(DEADLINE_MS)}
                record.add(f"sent     {name}, {UPLOAD_BYTES} bytes")
                try:
                    connection.request("POST", "/unsafe/x", bytes(UPLOAD_BYTES), headers)
                    response = connection.getresponse()
                    response.read()
                    statuses[name] = response.status
                except (OSError, http.client.HTTPException) as error:
                    record.add(f"ended    {name}: {type(error).__name__}")
                finally:
                    connection.close()
                record.add(f"answered {name} {statuses[name]}")

            time.sleep(STEADY_S)
            threads = [
                threading.Thread(target=upload, args=(f"order-{n}",), daemon=True)
                for n in range(UPLOADS)
            ]
            for thread in threads:
                thread.start()
            time.sleep(SIGTERM_S)
            entries[0].signal(signal.SIGTERM)
            record.add("SIGTERM to the entry; its grace is 6 s")
            for thread in threads:
                thread.join(15)
    finally:
        for endpoint in endpoints:
            endpoint.end()
        store.close()
    lost = [name for name, status in statuses.items() if status != 200]
    record.add(
        f"LOST: {len(lost)} of {UPLOADS} uploads that were in hand at the SIGTERM did not end with "
        f"their endpoint's answer: {'BROKEN' if lost else 'held'}"
    )
    return BROKEN if lost else HELD


RUNS = {"late-heartbeat": run_late_heartbeat, "upload": run_upload}


def main(name: str) -> int:
    """Run one of the tests."""
    record = Record(Path(__file__).with_name(f"record-{name}.txt"))
    try:
        return RUNS[name](record, has_trouble=os.environ.get("TROUBLE") != "0")
    except Exception:
        traceback.print_exc()
        return COULD_NOT_RUN
    finally:
        record.write()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
