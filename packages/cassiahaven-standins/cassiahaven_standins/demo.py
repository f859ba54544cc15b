"""The demo: a small deployment under load, with a table edit, a drain and a kill.

Run with ``make demo``. It exits with status 1 if a call was lost, run twice or answered with
another call's response.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from cassiahaven_standins.caller import Caller, CallerAnswer
from cassiahaven_standins.fleet import (
    HOST,
    OPERATOR_KEY,
    Fleet,
    ServicePlan,
    running_fleet,
    wait_until,
)

ENTRIES = 3
CALLERS = 4
LOOKUP = ServicePlan("feast-lookup", endpoints=4)
ORDERS = ServicePlan("print-orders", endpoints=3, service_ms=8.0)
PAUSE_S = 1.0


@dataclass(slots=True)
class Tally:
    """Results of the calls.

    Attributes:
        outcomes: Number of results by service and outcome.
        mixed_up: Calls that got the response to another request.
        order_by_key: Orders by idempotency key, each with the last outcome that its caller got.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    mixed_up: list[str] = field(default_factory=list)
    order_by_key: dict[str, tuple[str, str]] = field(default_factory=dict)

    def add(self, service: str, body: str, answer: CallerAnswer) -> None:
        """Count a result and check that the response belongs to the request."""
        self.outcomes[f"{service}: {answer.outcome}"] += 1
        if answer.outcome == "ran" and json.loads(answer.body)["body"] != body:
            self.mixed_up.append(f"{answer.call_id} got the response to another request")


class Load:
    """Sends lookups and orders until stopped."""

    def __init__(self, fleet: Fleet, tally: Tally) -> None:
        self._tally = tally
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number, fleet.caller("parish")))
            for number in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop and wait for the in-flight calls."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int, caller: Caller) -> None:
        turn = 0
        while not self._is_stopped.is_set():
            turn += 1
            body = f"caller {number} turn {turn}"
            answer = caller.call("feast-lookup", "GET", "/feast", body=body.encode())
            self._tally.add("feast-lookup", body, answer)
            order = caller.call_once("print-orders", "POST", "/orders", body=body.encode())
            self._tally.add("print-orders", body, order)
            self._tally.order_by_key[order.key] = (body, order.outcome)


class Console:
    """Runs the operators' command and prints its output."""

    def __init__(self, fleet: Fleet) -> None:
        addresses = [f"{HOST}:{member.operator_port}" for member in fleet.entry_by_name.values()]
        self._environ = {
            **os.environ,
            "CASSIAHAVEN_ENTRIES": ",".join(addresses),
            "CASSIAHAVEN_OPERATOR_KEY": OPERATOR_KEY,
        }

    def run(self, *arguments: str) -> str:
        """Return the command's output.

        Raises:
            subprocess.CalledProcessError: The command failed.
        """
        print(f"\n$ cassiahaven {' '.join(arguments)}")
        done = subprocess.run(
            [sys.executable, "-m", "cassiahaven_cli.main", *arguments],
            env=self._environ,
            check=True,
            stdout=subprocess.PIPE,
            text=True,
        )
        print(done.stdout.rstrip())
        return done.stdout


def show(fleet: Fleet, tally: Tally) -> None:
    """Under load: edit the table, drain an endpoint, kill another and stop an entry."""
    console = Console(fleet)
    load = Load(fleet, tally)
    time.sleep(PAUSE_S)
    console.run("table", "set", "feast-lookup", "*/printer", "--weight", "0.2")
    wait_until(
        lambda: "3/3" in console.run("table", "get", "feast-lookup"),
        "the edit is in force at all entries",
    )
    console.run("drain", "feast-lookup", "feast-lookup-1")
    print("\nkilling feast-lookup-2")
    fleet.signal(fleet.upstream_by_name["feast-lookup-2"], signal.SIGKILL)
    time.sleep(PAUSE_S)
    print("\nstopping entry-3 gracefully")
    entry = fleet.entry_by_name["entry-3"]
    fleet.signal(entry, signal.SIGTERM)
    entry.process.wait(timeout=20)
    time.sleep(PAUSE_S)
    load.stop()
    console.run("status")
    answer = fleet.caller("parish").call("feast-lookup", "GET", "/feast")
    console.run("why", answer.call_id)


def check_guarantees(fleet: Fleet, tally: Tally) -> list[str]:
    """Return all violated guarantees, checked against the upstreams' log."""
    runs = Counter(line["key"] for line in fleet.ran() if line["key"])
    violations = list(tally.mixed_up)
    violations += [f"order {key} ran {count} times" for key, count in runs.items() if count > 1]
    for key, (body, outcome) in tally.order_by_key.items():
        if outcome == "ran" and not runs[key]:
            violations.append(f"order {body} was reported as run but never ran")
        if outcome.startswith("not-run") and runs[key]:
            violations.append(f"order {body} ran but was reported as not run")
    return violations


def main() -> None:
    """Run the demo and exit with status 1 if a guarantee was violated."""
    tally = Tally()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        with running_fleet(folder, [LOOKUP, ORDERS], entries=ENTRIES) as fleet:
            print(f"started {ENTRIES} entries and {len(fleet.upstream_by_name)} upstreams")
            show(fleet, tally)
            violations = check_guarantees(fleet, tally)
    print("\ncalls by outcome:")
    for outcome, count in sorted(tally.outcomes.items()):
        print(f"  {count:6} {outcome}")
    for violation in violations:
        print(f"BROKEN: {violation}")
    print(
        "no call was lost, run twice or answered with another call's response"
        if not violations
        else f"{len(violations)} violations"
    )
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
