"""Requests beside a server whose entry in the store comes from another writer and lacks fields."""

import json
import tempfile
import threading
import time
from pathlib import Path

from platform_standins import (
    HEARTBEAT_S,
    Clients,
    Endpoint,
    Record,
    Store,
    configuration,
    entries_running,
)

SERVICE = "huvo11a"
HOSTS = ["127.0.22.1", "127.0.22.2", "127.0.22.3"]
ZONE_BY_ENDPOINT = {"i-1": "ljubljana-a", "i-2": "ljubljana-b", "i-3": "kranj-c"}
FOREIGN = "i-trial"
FOREIGN_SERVICE = "huvo11a-trial"  # no configuration names it
STEADY_S = 4.0
FOREIGN_S = 8.0
HELD, BROKEN = 0, 1


class TrialServer(Endpoint):
    """A server of a service outside of the deployment; another writer may write an entry for it.

    Args:
        missing: Fields that its entry lacks; without an entry it is not in the store at all.
    """

    def __init__(self, *args: object, missing: frozenset[str], **options: object) -> None:
        self._missing = missing
        self.is_listed = False
        super().__init__(*args, **options)

    def report(self) -> float:
        """Write the entry, if there is to be one."""
        if self.is_listed:
            self._sequence += 1
            spec = {
                "service": SERVICE,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldRemaining": "0ms",
                "sequence": self._sequence,
                "born": self._born,
            }
            kept = {name: value for name, value in spec.items() if name not in self._missing}
            self._store.put("servers", self.name, json.dumps(kept).encode())
        return time.monotonic()


def run_requests(record_path: Path, missing: frozenset[str], *, has_trouble: bool) -> int:
    """Run the test; return 1 if requests ran at a service that is in no configuration."""
    record = Record(record_path)
    store = Store()
    store.put("config", "main", configuration(7, SERVICE))
    endpoints = [
        Endpoint(name, SERVICE, zone, store, record) for name, zone in ZONE_BY_ENDPOINT.items()
    ]
    trial = TrialServer(FOREIGN, FOREIGN_SERVICE, "ljubljana-a", store, record, missing=missing)
    try:
        with (
            tempfile.TemporaryDirectory() as folder,
            entries_running(store, Path(folder), HOSTS) as entries,
        ):
            clients = Clients(entries, record, {"GET": "/safe/", "POST": "/unsafe/"}, per_s=24.0)
            clients.start()
            time.sleep(STEADY_S)
            if has_trouble:
                record.add(f"another writer's entry {FOREIGN} lacks {', '.join(sorted(missing))}")
                trial.is_listed = True
                trial.report()
            # Longer than three heartbeats, so that the entry is written again.
            assert FOREIGN_S > 3 * HEARTBEAT_S
            time.sleep(FOREIGN_S)
            clients.stop()
            findings = {
                item["finding"]
                for entry in entries
                for item in entry.events("store_entry_malformed")
            }
    finally:
        for item in [*endpoints, trial]:
            threading.Thread(target=item.end).start()
        store.close()
    ran = {arrival.request for arrival in trial.arrivals}
    foreign = [item for item in clients.sent if item.request in ran and item.status == 200]
    for item in foreign:
        record.add(f"FOREIGN  {item.request}: 200 from {FOREIGN}, which is no endpoint")
    unsafe = sum(item.request.startswith("post") for item in foreign)
    record.add(f"findings on entries of the store in the entries' logs: {sorted(findings)}")
    record.add(f"requests sent: {len(clients.sent)}, run by the other server: {len(ran)}")
    record.add(
        f"MIXED: {len(foreign)} clients, {unsafe} with a request that may run once at most, got a "
        f"success of a server that is no endpoint: {'broken' if foreign else 'kept'}"
    )
    record.add(
        f"ROUTE: {len(ran)} requests were run by a service to which no configuration sent them: "
        f"{'BROKEN' if ran else 'held'}"
    )
    record.write()
    return BROKEN if ran else HELD
