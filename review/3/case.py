"""An endpoint drains while a restarted entry reads the list of endpoints page by page."""

import signal
import sys
import threading
import time
from pathlib import Path

from review_platform import (
    ZONES,
    Callers,
    Endpoint,
    Entry,
    Record,
    Store,
    configuration,
    run_case,
    start_all,
    wait_until,
)

DRAIN_S = 2.0
CONTACT_S = 3.0
SERVES_ON_S = 8.0  # after ``drain``; the page says "at times many seconds"
OTHER_ENTRIES = 500  # of services that the configuration does not name
RESTART_S = 0.5


def register_others(store: Store) -> None:
    """Write entries of services that this system's configuration does not name."""
    for number in range(OTHER_ENTRIES):
        spec = {
            "service": "elsewhere",
            "address": "127.0.0.1:9",
            "zone": ZONES[number % len(ZONES)],
            "version": "v1",
            "slots": 3,
            "state": "ready",
            "coldRemaining": "0ms",
            "sequence": 1,
            "born": 1_790_000_000_000,
        }
        store.put("servers", f"z-elsewhere-{number:04}", spec)


def play(folder: Path, record: Record, has_trouble: bool) -> list[str]:
    """Play the case."""
    store = Store(record)
    entries = [Entry(folder, store, number) for number in range(3)]
    endpoints = [
        Endpoint(store, f"i-orders-{zone}-{number}", "orders", zone, slots=3)
        for zone in ZONES
        for number in range(2)
    ]
    callers = Callers(record, entries, "PUT", "/order/", rate_per_s=60, deadline_ms=1200)
    leaving = endpoints[0]
    restarted = entries[0]
    acknowledged: list[float] = []
    has_drained = threading.Event()

    def drain() -> None:
        if not has_drained.is_set():
            acknowledged.append(leaving.register("draining"))
            record.add("draining-acknowledged", endpoint=leaving.name)
            has_drained.set()

    def before_list(kind: str, after: str) -> None:
        if kind == "servers":
            record.add("page-of-endpoints-asked-for", after=after or "-")
            if after and store.is_restart_expected:
                drain()

    try:
        store.is_restart_expected = False
        for endpoint in endpoints:
            endpoint.register()
        register_others(store)
        store.put("config", "main", configuration(10, {"/order/": "orders"}))
        start_all(entries)
        callers.start()
        time.sleep(4.0)

        store.before_list = before_list
        started_s = record.now_s()
        if has_trouble:
            # The platform stops the entry and starts it again, as in a rolling restart.
            restarted.signal(signal.SIGTERM)
            restarted.process.wait(10)
            record.add("entry-ended", entry=restarted.name)
            time.sleep(RESTART_S)
            store.is_restart_expected = True
            started_s = record.now_s()
            restarted.start()
            wait_until(restarted.is_ready, "the entry is ready again")
        drain()
        time.sleep(DRAIN_S + SERVES_ON_S)
        leaving.exit()
        time.sleep(3.0)
        callers.stop()
    finally:
        for entry in entries:
            entry.close()
        for endpoint in endpoints:
            endpoint.close()
        store.close()

    # Only requests sent on by machines in touch count.
    from_s = max(acknowledged[0] + DRAIN_S, started_s + CONTACT_S)
    entry_by_request = {answer.request: answer.entry for answer in callers.answers}
    status_by_request = {answer.request: answer.status for answer in callers.answers}
    late = [run for run in leaving.runs if run.at_s > from_s]
    by_entry = sorted({entry_by_request[run.request] for run in late})
    cut = [name for name in leaving.cut if status_by_request.get(name) != 200]
    record.add("cut-when-the-endpoint-ended", count=len(cut), requests=",".join(cut) or "-")
    record.add("requests-later-than-drain", count=len(late), sent_on_by=",".join(by_entry) or "-")
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests reached {leaving.name} over {DRAIN_S:g} s after the store "
        f"had acknowledged that it is draining, sent on by {', '.join(by_entry)}, the last one "
        f"{late[-1].at_s - acknowledged[0]:.1f} s after it; {len(cut)} were cut when it ended"
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
