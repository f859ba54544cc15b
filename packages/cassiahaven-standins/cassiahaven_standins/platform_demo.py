"""Demo of the platform path: calls during a configuration change, a drain, a kill and a stop."""

import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from pathlib import Path

from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.pipelining_caller import PipelinedRequest, PipeliningCaller
from cassiahaven_standins.platform_fleet import Entry, PlatformFleet, platform_fleet

CALLS = 60
CALLERS = 6
BATCHES = 8


class Demo:
    """Runs each step on a fleet and counts the statuses of the calls."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self._fleet = fleet
        self._numbers = count(1)
        self._statuses: Counter = Counter()
        self._duplicate_runs = 0

    def run(self) -> int:
        """Run all steps; return how many calls failed, ran twice or got a wrong response."""
        first, second = self._fleet.entries
        self._load("two entries, one listed for each zone", first)
        limited = self._fleet.endpoint_by_name["i-1"].state
        limited.name_rate_limit("2")
        self._load("an endpoint names a rate limit", first)
        limited.name_rate_limit("")
        self._fleet.configure({"x": "two"})
        wait_until(lambda: self._answer(first).startswith(b"two"), "the configuration")
        self._load("the route points to another service", first)
        self._fleet.drain("i-3")
        self._load("an endpoint drains", first)
        first.signal(signal.SIGKILL)
        wait_until(lambda: len(second.lookup("h.example", "a")) == 1, "the directory")
        address = f"127.0.0.1:{second.front_port}"
        wait_until(lambda: second.lookup("h.example", "a") == [address], "the successor")
        self._load("the first entry was killed, its zone is served by the other entry", second)
        first.start()
        wait_until(first.is_ready, "the killed entry is back")
        self._load("the other entry is stopped", second, lambda: second.signal(signal.SIGTERM))
        wait_until(lambda: second.process.poll() == 0, "the entry exits")
        self._pipeline("a caller sends downloads and lookups before the first is answered", first)
        failure_count = sum(number for status, number in self._statuses.items() if status != 200)
        print(f"calls by status: {dict(self._statuses)}; run twice: {self._duplicate_runs}")
        return failure_count + self._duplicate_runs

    def _load(self, what: str, entry: Entry, act: Callable[[], None] = lambda: None) -> None:
        with ThreadPoolExecutor(CALLERS) as callers:
            started = [callers.submit(self._call, entry, n % 2 == 0) for n in range(CALLS)]
            act()
            statuses = Counter(item.result() for item in started)
        self._statuses.update(statuses)
        print(f"{what}: {dict(statuses)}")

    def _pipeline(self, what: str, entry: Entry) -> None:
        caller = PipeliningCaller(entry.front_port)
        batch = [
            PipelinedRequest("GET", f"/{kind}/x/{number}", f"demo-{next(self._numbers)}")
            for number in range(BATCHES)
            for kind in ("download", "safe")
        ]
        answers = caller.call(batch)
        caller.close()
        statuses = Counter(
            status if item.target.encode() in body else 0
            for item, (status, body) in zip(batch, answers, strict=True)
        )
        self._statuses.update(statuses)
        print(f"{what}: {dict(statuses)}")

    def _call(self, entry: Entry, is_safe: bool) -> int:
        request = f"demo-{next(self._numbers)}"
        method, kind = ("GET", "safe") if is_safe else ("POST", "unsafe")
        body = b"" if is_safe else b"order"
        target = f"/{kind}/x/{request}"
        status, answer, _ = self._fleet.call(entry, method, target, request=request, body=body)
        is_whole = status != 200 or target.encode() in answer
        self._duplicate_runs += not is_safe and self._fleet.run_count(request) > 1
        return status if is_whole else 0

    def _answer(self, entry: Entry) -> bytes:
        request = f"demo-{next(self._numbers)}"
        return self._fleet.call(entry, "GET", "/safe/x/", request=request)[1]


def main() -> None:
    """Run the demo."""
    with tempfile.TemporaryDirectory() as folder, platform_fleet(Path(folder)) as fleet:
        for name, service in (("i-1", "one"), ("i-2", "one"), ("i-3", "two"), ("i-4", "two")):
            fleet.add_endpoint(name, service)
        fleet.configure({"x": "one"})
        fleet.start()
        failure_count = Demo(fleet).run()
    sys.exit(1 if failure_count else 0)


if __name__ == "__main__":
    main()
