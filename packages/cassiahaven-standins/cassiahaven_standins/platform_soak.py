"""Random faults against real entries, with the promises checked while they run.

``python -m cassiahaven_standins.platform_soak --seed 7 --seconds 20`` prints a JSON line: the
faults that were injected, the calls by answer, and the promises that were broken. It exits with 1
if there are any.
"""

import json
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import fire

from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.link_proxy import LinkProxy
from cassiahaven_standins.platform_fleet import GRACE_MS, Entry, PlatformFleet, platform_fleet

ENTRIES = 3
CALLERS = 6
SERVICES = ("one", "two")
ENDPOINTS_PER_SERVICE = 3
DRAIN_BOUND_S = 2.0
CONFIG_BOUND_S = 2.0
CONTACT_S = 3.0  # calm before a bound holds again
CALM_S = 4.0  # after the last fault, everything has to be served again
FAULT_GAP_S = (0.2, 1.2)
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass(slots=True)
class Sent:
    """Hold what a caller sent and got; times are those of the steady clock."""

    request: str
    entry: str
    is_safe: bool
    sent_s: float
    ended_s: float
    status: int
    body: bytes
    target: str


@dataclass(slots=True)
class Findings:
    """Collect what was seen.

    Attributes:
        harmed_s_by_entry: When faults touched an entry or the store it uses, in order.
        left: Endpoints that began to leave, and when.
    """

    sent: list[Sent] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    harmed_s_by_entry: dict[str, list[float]] = field(default_factory=dict)
    left: list[tuple[str, float]] = field(default_factory=list)


class Soak:
    """Run callers and faults side by side on a fleet."""

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        self.fleet = fleet
        self.findings = Findings()
        self._seed = seed
        self._random = random.Random(seed)
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._frozen: set[str] = set()
        self._endpoints = 0

    def run(self, seconds: float) -> Findings:
        """Play ``seconds`` of faults, then calm, and check the promises."""
        for service in SERVICES:
            for _ in range(ENDPOINTS_PER_SERVICE):
                self._add_endpoint(service)
        self.fleet.configure({"x": "one", "y": "two"})
        self.fleet.start()
        callers = [threading.Thread(target=self._call, args=(n,)) for n in range(CALLERS)]
        for caller in callers:
            caller.start()
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            self._inject()
            threading.Event().wait(self._random.uniform(*FAULT_GAP_S))
        self._heal()
        self._check_recovery()
        self._stop.set()
        for caller in callers:
            caller.join()
        self._check_runs()
        self._check_drains()
        return self.findings

    def _call(self, number: int) -> None:
        chosen = random.Random(f"{self._seed}/{number}")
        count = 0
        while not self._stop.is_set():
            count += 1
            entry = chosen.choice(self.fleet.entries)
            is_safe = chosen.random() < 0.5
            prefix = chosen.choice("xy")
            request = f"s{self._seed}-{number}-{count}"
            target = f"/{'safe' if is_safe else 'unsafe'}/{prefix}/{request}"
            method = "GET" if is_safe else "POST"
            sent_s = time.monotonic()
            status, body, _ = self.fleet.call(
                entry, method, target, request=request, body=b"" if is_safe else request.encode()
            )
            ended_s = time.monotonic()
            sent = Sent(request, entry.name, is_safe, sent_s, ended_s, status, body, target)
            with self._lock:
                self.findings.sent.append(sent)
            threading.Event().wait(0.02)

    def _inject(self) -> None:
        faults = [
            self._kill,
            self._freeze,
            self._terminate,
            self._hang_up,
            self._store_down,
            self._store_silent,
            self._store_forgets,
            self._endpoint_fault,
            self._drain,
            self._remove,
            self._configure,
            self._reset_links,
            self._delay_links,
            self._cut_links,
        ]
        fault = self._random.choice(faults)
        self.findings.faults[fault.__name__.strip("_")] += 1
        fault()

    def _harm(self, *entries: Entry) -> None:
        for entry in entries or self.fleet.entries:
            harmed_s = self.findings.harmed_s_by_entry.setdefault(entry.name, [])
            harmed_s.append(time.monotonic())

    def _later(self, seconds: float, action: object, *harmed: Entry) -> None:
        def act() -> None:
            action()
            self._harm(*harmed)

        timer = threading.Timer(seconds, act)
        timer.daemon = True
        timer.start()

    def _pick(self) -> Entry | None:
        # One entry always stays up, as the deployment promises no more than that.
        running = [item for item in self.fleet.entries if item.process.poll() is None]
        running = [item for item in running if item.name not in self._frozen]
        return self._random.choice(running) if len(running) > 1 else None

    def _restart(self, entry: Entry) -> None:
        if entry.process.poll() is not None:
            entry.start()

    def _kill(self) -> None:
        entry = self._pick()
        if entry is not None:
            self._harm(entry)
            entry.signal(signal.SIGKILL)
            self._later(self._random.uniform(0.2, 1.5), lambda: self._restart(entry), entry)

    def _freeze(self) -> None:
        entry = self._pick()
        if entry is None:
            return
        self._harm(entry)
        self._frozen.add(entry.name)
        entry.signal(signal.SIGSTOP)

        def wake() -> None:
            entry.signal(signal.SIGCONT)
            self._frozen.discard(entry.name)

        self._later(self._random.uniform(0.3, 2.0), wake, entry)

    def _terminate(self) -> None:
        entry = self._pick()
        if entry is not None:
            self._harm(entry)
            entry.signal(signal.SIGTERM)
            self._later(GRACE_MS / 1000 + 0.5, lambda: self._restart(entry), entry)

    def _hang_up(self) -> None:
        entry = self._pick()
        if entry is not None:
            entry.signal(signal.SIGHUP)

    def _store_down(self) -> None:
        self._harm()
        self.fleet.store.state.is_down = True
        self._later(self._random.uniform(0.3, 2.0), self._store_back)

    def _store_silent(self) -> None:
        self._harm()
        self.fleet.store.state.is_silent = True
        self._later(self._random.uniform(0.3, 2.0), self._store_back)

    def _store_back(self) -> None:
        self.fleet.store.state.is_down = False
        self.fleet.store.state.is_silent = False

    def _store_forgets(self) -> None:
        self.fleet.store.state.forget_history()

    def _endpoint_fault(self) -> None:
        endpoint = self._random.choice(list(self.fleet.endpoint_by_name.values()))
        endpoint.state.fault = self._random.choice(["reset", "shed", "error"])
        self._later(1.0, lambda: setattr(endpoint.state, "fault", ""))

    def _drain(self) -> None:
        self._leave(self.fleet.drain)

    def _remove(self) -> None:
        # Some endpoints leave without a word and go on answering for a while.
        self._leave(lambda name: self.fleet.store.state.delete("servers", name))

    def _leave(self, tell: Callable[[str], None]) -> None:
        gone = [name for name, _ in self.findings.left]
        candidates = [name for name in self.fleet.endpoint_by_name if name not in gone]
        name = self._random.choice(candidates)
        self._add_endpoint(self.fleet.endpoint_by_name[name].state.service)
        tell(name)
        self.findings.left.append((name, time.monotonic()))

    def _configure(self) -> None:
        services = list(SERVICES)
        self._random.shuffle(services)
        self.fleet.configure(dict(zip("xy", services, strict=True)))

    def _reset_links(self) -> None:
        self._harm()
        for proxy in self.fleet.proxies:
            proxy.reset_all()

    def _delay_links(self) -> None:
        proxy, entry = self._pick_link()
        proxy.delay_s = 0.2
        self._harm(entry)
        self._later(1.0, proxy.heal, entry)

    def _cut_links(self) -> None:
        proxy, entry = self._pick_link()
        if self._random.random() < 0.5:
            proxy.is_silent = True
        else:
            proxy.is_one_way = True
        self._harm(entry)
        self._later(self._random.uniform(0.5, 2.0), proxy.heal, entry)

    def _pick_link(self) -> tuple[LinkProxy, Entry]:
        links = zip(self.fleet.proxies, self.fleet.entries, strict=True)
        return self._random.choice(list(links))

    def _add_endpoint(self, service: str) -> None:
        self._endpoints += 1
        self.fleet.add_endpoint(f"i-{self._endpoints}", service)

    def _heal(self) -> None:
        threading.Event().wait(GRACE_MS / 1000 + 1.0)
        self._store_back()
        for proxy in self.fleet.proxies:
            proxy.heal()
        for endpoint in self.fleet.endpoint_by_name.values():
            endpoint.state.fault = ""
        for entry in self.fleet.entries:
            self._restart(entry)
        self._harm()

    def _check_recovery(self) -> None:
        try:
            wait_until(lambda: all(item.is_ready() for item in self.fleet.entries), "ready", 15)
        except TimeoutError:
            self.findings.broken.append("recovery: an entry is not ready 15 s after the last fault")
            return
        threading.Event().wait(CONTACT_S)
        calm_s = time.monotonic()
        threading.Event().wait(CALM_S)
        with self._lock:
            calm = [item for item in self.findings.sent if item.sent_s > calm_s]
        failed = [item for item in calm if item.status != 200]
        if not calm or len(failed) > len(calm) // 50:
            sample = Counter(item.status for item in failed)
            self.findings.broken.append(f"recovery: {sample} of {len(calm)} calm calls")

    def _check_runs(self) -> None:
        runs: Counter = Counter()
        for endpoint in self.fleet.endpoint_by_name.values():
            runs.update(request for request, _, _ in endpoint.state.ran)
        for item in self.findings.sent:
            count = runs[item.request]
            if not item.is_safe and count > 1:
                self.findings.broken.append(f"at most once: {item.request} ran {count} times")
            if item.is_safe and count > 2:
                self.findings.broken.append(f"attempts: {item.request} ran {count} times")
            if item.status in NOT_RUN_STATUSES and not item.is_safe and count:
                self.findings.broken.append(f"not run: {item.request} got {item.status} and ran")
            if item.status == 404:
                self.findings.broken.append(f"route: {item.request} got 404 at {item.entry}")
            if item.status == 200 and item.target.encode() not in item.body:
                self.findings.broken.append(f"whole answer: {item.request} got {item.body!r}")
        unasked = runs.keys() - {item.request for item in self.findings.sent}
        self.findings.broken += [f"unasked: {request} ran" for request in sorted(unasked)]

    def _check_drains(self) -> None:
        sent_by_request = {item.request: item for item in self.findings.sent}
        for name, left_s in self.findings.left:
            for request, ran_s, _ in self.fleet.endpoint_by_name[name].state.ran:
                entry = sent_by_request[request].entry if request in sent_by_request else ""
                calm_s = self._harmed_before(entry, ran_s) + CONTACT_S
                if ran_s > max(left_s, calm_s) + DRAIN_BOUND_S:
                    late_s = ran_s - left_s
                    self.findings.broken.append(
                        f"drain: {request} ran at {name} {late_s:.1f} s after it began to leave,"
                        f" sent by {entry}"
                    )

    def _harmed_before(self, entry: str, at_s: float) -> float:
        harmed_s = self.findings.harmed_s_by_entry.get(entry, [])
        return max((item for item in harmed_s if item < at_s), default=float("-inf"))


def soak(*, seed: int = 1, seconds: float = 20.0, entries: int = ENTRIES, logs: str = "") -> None:
    """Play one seed and print what was seen.

    Args:
        seed: Chooses the faults, their order and times.
        seconds: How long faults are injected.
        entries: How many entries run.
        logs: Folder that keeps the entries' logs, empty for none.
    """
    with tempfile.TemporaryDirectory() as folder:
        where = Path(logs or folder)
        where.mkdir(parents=True, exist_ok=True)
        with platform_fleet(where, entries=entries, has_proxies=True) as fleet:
            findings = Soak(fleet, seed).run(seconds)
    statuses = Counter(item.status for item in findings.sent)
    print(
        json.dumps(
            {
                "seed": seed,
                "faults": dict(findings.faults),
                "calls": {str(status): count for status, count in sorted(statuses.items())},
                "broken": findings.broken[:20],
            }
        )
    )
    sys.exit(1 if findings.broken else 0)


if __name__ == "__main__":
    fire.Fire(soak)
