"""A release of all endpoints beside one entry of another writer in the store."""

import tempfile
import threading
import time
from pathlib import Path

from platform_standins import (
    DRAIN_S,
    HEARTBEAT_S,
    Clients,
    Endpoint,
    Record,
    Store,
    configuration,
    entries_running,
)

SERVICE = "huvo11a"
FOREIGN_NAME = "i-0foreign"
HOSTS = ["127.0.21.1", "127.0.21.2", "127.0.21.3"]
STEADY_S = 4.0
FOREIGN_BEFORE_S = 2.0  # from the foreign entry to the release
SERVES_ON_S = 8.0  # an endpoint serves for the drain time "and a little longer"
WORK_S = 0.2
AFTER_S = 6.0  # from the end of the last leaving endpoint to the end of the test
HELD, BROKEN = 0, 1
LEAVING = {"i-1": "ljubljana-a", "i-2": "ljubljana-b", "i-3": "kranj-c"}
FOLLOWING = {"i-4": "ljubljana-a", "i-5": "ljubljana-b", "i-6": "kranj-c"}


class ForeignWriter:
    """Writes an entry again each heartbeat interval, as an entry that falls silent is removed."""

    def __init__(self, store: Store, spec: bytes) -> None:
        self._store, self._spec = store, spec
        self._is_stopped = threading.Event()

    def start(self) -> None:
        """Write until ``stop``."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Write no more."""
        self._is_stopped.set()

    def _run(self) -> None:
        while not self._is_stopped.is_set():
            self._store.put("servers", FOREIGN_NAME, self._spec)
            self._is_stopped.wait(HEARTBEAT_S)


def served_share(clients: Clients, since_s: float, until_s: float) -> str:
    """Return how many requests sent in a span were answered 200."""
    sent = [item for item in clients.sent if since_s <= item.at_s < until_s]
    good = sum(item.status == 200 for item in sent)
    return f"{good} of {len(sent)}"


def run_release(record_path: Path, foreign_spec: bytes, *, has_trouble: bool) -> int:
    """Run the test; return 1 if requests reached an endpoint after it had time to drain."""
    record = Record(record_path)
    store = Store()
    store.put("config", "main", configuration(7, SERVICE))
    endpoints = [
        Endpoint(name, SERVICE, zone, store, record, work_s=WORK_S)
        for name, zone in LEAVING.items()
    ]
    writer = ForeignWriter(store, foreign_spec)
    try:
        with (
            tempfile.TemporaryDirectory() as folder,
            entries_running(store, Path(folder), HOSTS) as entries,
        ):
            clients = Clients(entries, record, {"GET": "/safe/", "POST": "/unsafe/"})
            started_s = time.monotonic()
            clients.start()
            time.sleep(STEADY_S)
            if has_trouble:
                record.add(f"another writer's entry {FOREIGN_NAME} is in the store from now on")
                writer.start()
            time.sleep(FOREIGN_BEFORE_S)
            release_s = time.monotonic()
            following = [
                Endpoint(name, SERVICE, zone, store, record) for name, zone in FOLLOWING.items()
            ]
            record.add(f"release: {', '.join(FOLLOWING)} are ready")
            time.sleep(1.0)
            drained = {item.name: item.drain() for item in endpoints}
            time.sleep(SERVES_ON_S)
            for item in endpoints:
                item.end()
            ended_s = time.monotonic()
            time.sleep(AFTER_S)
            clients.stop()
            stopped_s = time.monotonic()
            faults = [
                (entry.name, item["task"], item["error"][:60])
                for entry in entries
                for item in entry.events("task_failed")
            ]
            unavailable = sum(len(entry.events("store_unavailable")) for entry in entries)
            alive = all(entry.process.poll() is None for entry in entries)
            for item in endpoints + following:
                item.end()
    finally:
        writer.stop()
        store.close()
    sent_s = {item.request: item.at_s for item in clients.sent}
    late = [
        arrival
        for item in endpoints
        for arrival in item.arrivals
        # The check counts only requests that also their clients sent after the drain time.
        if sent_s[arrival.request] > drained[item.name] + DRAIN_S
    ]
    for arrival in late:
        after_s = arrival.at_s - drained[arrival.endpoint]
        record.add(f"LATE     {arrival.request} ran at {arrival.endpoint}, {after_s:.1f} s after")
    record.add(f"all entry processes ran throughout: {alive}")
    record.add(f"failures of tasks in the entries' logs: {len(faults)}, such as {faults[:2]}")
    record.add(f"times that an entry took the store for unavailable: {unavailable}")
    record.add(f"answered 200 before the release: {served_share(clients, started_s, release_s)}")
    record.add(f"answered 200 in the release: {served_share(clients, release_s, ended_s)}")
    record.add(
        "answered 200 once the old endpoints had ended: "
        + served_share(clients, ended_s, stopped_s)
    )
    lost = [
        item.request
        for item in clients.sent
        if item.request.startswith("post")
        and item.status != 200
        and any(item.request in endpoint.cut for endpoint in endpoints)
    ]
    record.add(f"unsafe requests that ran at an endpoint as it ended, and are lost: {lost}")
    new_runs = sum(len(item.arrivals) for item in following)
    record.add(f"requests that the new endpoints ran: {new_runs}")
    record.add(
        f"DRAIN: {len(late)} requests reached an endpoint later than {DRAIN_S:.0f} s after the "
        f"store had acknowledged that it is draining: {'BROKEN' if late else 'held'}"
    )
    record.write()
    return BROKEN if late else HELD
