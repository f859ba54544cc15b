"""Lost answers to the watches of the configuration: an old configuration stays in force."""

import sys
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
)

CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
LOST_FOR_S = 4.4  # the site plays up to 4.5 s
LARGEST_LOST_SHARE = 0.35
LAST_S = 20.0  # how long the newest configuration is watched


def play(folder: Path, record: Record, has_trouble: bool) -> list[str]:
    """Play the case."""
    store = Store(record)
    entries = [Entry(folder, store, number) for number in range(3)]
    endpoints = [
        Endpoint(store, f"i-{service}-{zone}", service, zone)
        for service in ("orders", "archive")
        for zone in ZONES
    ]
    callers = Callers(record, entries, "PUT", "/order/", rate_per_s=20, deadline_ms=1200)
    try:
        for endpoint in endpoints:
            endpoint.register()
        store.put("config", "main", configuration(10, {"/order/": "orders"}))
        start_all(entries)
        callers.start()
        time.sleep(5.0)

        # The store's answers are lost for some time; a new time limit is written meanwhile.
        begins_s = record.add("lost-answers-begin", trouble=int(has_trouble))
        if has_trouble:
            store.loses_answer = lambda kind, is_watch: kind == "config" and is_watch
        time.sleep(1.0)
        store.put("config", "main", configuration(13, {"/order/": "orders"}, timeout_ms=1100))
        record.add("configuration-acknowledged", version=13)
        time.sleep(LOST_FOR_S - 1.0)
        store.loses_answer = lambda kind, is_watch: False
        ends_s = record.add("lost-answers-end")

        # The store is stable again for `contact`; the route is moved to another service.
        time.sleep(CONTACT_S + 1.0)
        acknowledged_s = store.put("config", "main", configuration(17, {"/order/": "archive"}))
        record.add("configuration-acknowledged", version=17)
        time.sleep(LAST_S)
        callers.stop()
    finally:
        for entry in entries:
            entry.close()
        for endpoint in endpoints:
            endpoint.close()
        store.close()

    in_window = [lost for at_s, lost in store.answers if begins_s <= at_s <= ends_s]
    share = sum(in_window) / len(in_window)
    record.add("lost-share", lost=sum(in_window), answers=len(in_window), share=f"{share:.3f}")
    if share > LARGEST_LOST_SHARE:
        return ["(not a fair run) more answers were lost than the page allows"]
    late = {
        answer.request: answer
        for answer in callers.answers
        if answer.sent_s > acknowledged_s + CONFIG_APPLY_S
    }
    old = [run for item in endpoints for run in item.runs if item.service == "orders"]
    wrong = [run for run in old if run.request in late]
    record.add("requests-after-configApply", sent=len(late), run_by_old_service=len(wrong))
    if not wrong:
        return []
    after_s = max(late[run.request].sent_s for run in wrong) - acknowledged_s
    return [
        f"CONFIG: {len(wrong)} of {len(late)} requests sent over {CONFIG_APPLY_S:g} s after the "
        f"acknowledgement of version 17 were run by the old service, the last one sent "
        f"{after_s:.1f} s after it"
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
