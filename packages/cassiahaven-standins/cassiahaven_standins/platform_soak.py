"""Fault soak: injects random faults into real entries under load and checks the guarantees.

``python -m cassiahaven_standins.platform_soak --seed 7 --seconds 20`` prints a JSON line: the
injected faults, the calls by status, and the violated guarantees. It exits with status 1 if any
guarantee was violated. Seeds from 4001 also draw kinds of loads and faults: client accounts, cold
zones, evacuated zones and a store that comes back from an older copy.
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
from enum import StrEnum
from pathlib import Path

import fire

from cassiahaven_standins.account_check import (
    REVOCATION_BOUND_S,
    KeyRun,
    header_violations,
    late_runs,
    quota_violations,
)
from cassiahaven_standins.account_load import (
    ANONYMOUS_PREFIX,
    HOT_ACCOUNT,
    HOT_BURST,
    HOT_RATE_PER_S,
    KEY_PREFIX,
    AccountLoad,
    Credential,
)
from cassiahaven_standins.cold_check import cold_violations
from cassiahaven_standins.evacuation_check import late_arrivals
from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.link_proxy import LinkProxy
from cassiahaven_standins.notice_check import Arrival, late_requests, requests_while_closed
from cassiahaven_standins.pipelining_caller import PipelinedRequest, PipeliningCaller
from cassiahaven_standins.platform_endpoint import (
    EndpointState,
    PlatformEndpoint,
    endpoint_answer,
)
from cassiahaven_standins.platform_fleet import (
    GRACE_MS,
    ZONES,
    Entry,
    PlatformFleet,
    platform_fleet,
)
from cassiahaven_standins.rate_limit_check import (
    limited_periods,
    rate_limit_violations,
    told_limits,
)
from cassiahaven_standins.store_restores import StoreRestores
from cassiahaven_standins.zone_faults import COLD_PER_S, COLD_S, ColdZones, ZoneEvacuations

ENTRIES = 3
CALLERS = 6
PIPELINING_CALLERS = 3
LARGEST_BATCH = 5
STALE_ANSWER_SHARE = 0.3
SERVICES = ("one", "two")
LOST_WATCHES_GAP_S = (1.0, 4.0)
LOST_WATCHES_S = (0.3, 1.5)
SPOILED_ANSWERS_GAP_S = (0.3, 2.0)
SPOILED_ANSWERS_S = (0.5, 1.5)
SPOILED_SHARE = 0.1  # more would have the endpoints ejected
ENDPOINTS_PER_SERVICE = 3
DRAIN_BOUND_S = 2.0
CONFIG_BOUND_S = 2.0
SETTLE_S = 3.0  # time without a fault after which the bounds apply again
RECOVERY_CHECK_S = 4.0  # all calls but 2 % must succeed in this time after the last fault
FAULT_GAP_S = (0.2, 1.2)
CONTACT_S = 3.0  # time after which a rate limit holds, and for which a fault excuses an entry
RATE_LIMIT_GAP_S = (0.5, 3.0)
RATE_LIMITED_S = (4.0, 9.0)
RATE_LIMITS_PER_S = (0.4, 6.0)
UNREADABLE_SHARE = 0.2
UNREADABLE_RATE_LIMITS = ("soon", "-1", "nan", "1e3", "2 calls", ",")
LEAVING_GAP_S = (1.0, 5.0)
LEAVING_S = (2.0, 4.0)  # until it is withdrawn in the store or started again
STARTED_AGAIN_SHARE = 0.3
WITHDRAWN_SHARE = 0.5
CLOSED_GAP_S = (0.5, 3.0)
TURNING_AWAY_S = (0.2, 1.2)
CLOSURES_S = (0.3, 5.0)
UNREADABLE_CLOSURES = ("soon", "-1", "nan", "1e3", "Sat, 05 Dec 2026 16:00:00 GMT")
KEY_GAP_S = (0.5, 1.5)
NOT_RUN_STATUSES = (401, 408, 421, 429, 503)
SOAK_BOUNDS = (
    *("quotaWindow=5s", "quotaOverage=0.1", "quotaSlack=20"),
    *("coldOverage=1.5", "coldSlack=8", "evacuation=5000ms"),
    *("revoke=5000ms", "failClosed=false"),
)
FIRST_SEED_WITH_KINDS = 4001  # earlier seeds are known from runs without the kinds
KIND_SHARE = 0.75


class SoakKind(StrEnum):
    """Kinds of loads and faults that a seed may draw."""

    ACCOUNTS = "accounts"
    COLD = "cold"
    EVACUATIONS = "evacuations"
    RESTORES = "restores"


def drawn_kinds(seed: int) -> frozenset[SoakKind]:
    """Return the kinds that a seed draws."""
    rng = random.Random(f"{seed}/kinds")
    is_early = seed < FIRST_SEED_WITH_KINDS
    return frozenset(item for item in SoakKind if rng.random() < KIND_SHARE and not is_early)


@dataclass(slots=True)
class SentCall:
    """A call and its response; times are from the monotonic clock."""

    request: str
    entry: str
    is_safe: bool
    sent_s: float
    ended_s: float
    status: int
    body: bytes
    target: str
    credential: Credential | None = None


@dataclass(slots=True)
class Findings:
    """Calls, injected faults and violated guarantees of a run.

    Attributes:
        violations: Violated guarantees, one message each.
        fault_times_s_by_entry: Start and end times of the faults that affected an entry or its
            store, in order.
        interruption_times_s_by_entry: Start and end times of kills, freezes and stops.
        outages_s: Start and end times of each outage of the store.
        departures: Endpoints that were drained or removed, with the time.
        started_again_s_by_endpoint: When each endpoint that had said that it leaves was started
            again under the same id.
    """

    sent: list[SentCall] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    fault_times_s_by_entry: dict[str, list[float]] = field(default_factory=dict)
    interruption_times_s_by_entry: dict[str, list[float]] = field(default_factory=dict)
    outages_s: list[tuple[float, float]] = field(default_factory=list)
    departures: list[tuple[str, float]] = field(default_factory=list)
    started_again_s_by_endpoint: dict[str, float] = field(default_factory=dict)


class Soak:
    """Sends calls to a fleet while injecting faults into it.

    Args:
        kinds: Kinds of loads and faults beside those of every run; need ``SOAK_BOUNDS``.
    """

    def __init__(
        self, fleet: PlatformFleet, seed: int, *, kinds: frozenset[SoakKind] = frozenset()
    ) -> None:
        self.fleet = fleet
        self.findings = Findings()
        self._seed = seed
        self._random = random.Random(seed)
        self._stop = threading.Event()
        self._healing = threading.Event()
        self._lock = threading.Lock()
        self._frozen: set[str] = set()
        self._leaving: set[str] = set()
        self._endpoints = 0
        self._kinds = kinds
        self._config_lock = threading.Lock()
        self._service_by_prefix = dict(zip("xy", SERVICES, strict=True))
        self._outage_started_s: float | None = None
        self._accounts = AccountLoad() if SoakKind.ACCOUNTS in kinds else None
        self._cold_zones: ColdZones | None = None
        self._evacuations: ZoneEvacuations | None = None
        self._restores: StoreRestores | None = None
        if SoakKind.COLD in kinds:
            self._cold_zones = ColdZones(
                fleet, self._rng("cold"), reserve=self._reserve, release=self._release
            )
        if SoakKind.EVACUATIONS in kinds:
            self._evacuations = ZoneEvacuations(fleet, self._rng("evacuations"))
        if SoakKind.RESTORES in kinds:
            self._restores = StoreRestores(
                fleet.store.state, self._rng("restores"), record_fault=self._record_fault
            )

    def _rng(self, name: str) -> random.Random:
        return random.Random(f"{self._seed}/{name}")

    def run(self, seconds: float) -> Findings:
        """Inject faults for ``seconds``, let the fleet recover, and check the guarantees."""
        for service in SERVICES:
            for number in range(ENDPOINTS_PER_SERVICE):
                self._add_endpoint(service, self._zone(number))
        self._store_config()
        self.fleet.start()
        callers = [threading.Thread(target=self._call, args=(n,)) for n in range(CALLERS)]
        callers += [
            threading.Thread(target=self._call_in_batches, args=(CALLERS + n,))
            for n in range(PIPELINING_CALLERS)
        ]
        callers.append(threading.Thread(target=self._name_rate_limits))
        callers.append(threading.Thread(target=self._spoil_answers))
        callers.append(threading.Thread(target=self._let_endpoints_leave))
        callers.append(threading.Thread(target=self._let_endpoints_close))
        callers.append(threading.Thread(target=self._lose_watch_answers))
        callers += self._threads_of_kinds()
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
        self._check_rate_limits()
        self._check_notices()
        self._check_accounts()
        self._check_zones()
        self._count_kinds()
        return self.findings

    def _zone(self, number: int) -> str:
        has_zones = self._cold_zones is not None or self._evacuations is not None
        return ZONES[number % len(ZONES)] if has_zones else ZONES[0]

    def _threads_of_kinds(self) -> list[threading.Thread]:
        faults = [self._cold_zones, self._evacuations, self._restores]
        threads = [
            threading.Thread(target=item.run, args=(self._healing,)) for item in faults if item
        ]
        if self._accounts is not None:
            threads.append(threading.Thread(target=self._replace_keys))
        return threads

    def _replace_keys(self) -> None:
        """Revoke and add keys, also while the fleet recovers."""
        rng = self._rng("keys")
        while not self._stop.wait(rng.uniform(*KEY_GAP_S)):
            self._accounts.replace_key(rng, self._store_config)

    def _count_kinds(self) -> None:
        faults = self.findings.faults
        if self._accounts is not None:
            faults["revocation"] = len(self._accounts.revoked_s_by_key)
        if self._cold_zones is not None:
            faults["cold_endpoint"] = sum(map(len, self._cold_zones.periods_s_by_endpoint.values()))
        if self._evacuations is not None:
            faults["evacuation"] = len(self._evacuations.periods)
        if self._restores is not None:
            faults["restore"] = len(self._restores.periods_s)

    def _store_config(self) -> None:
        with self._config_lock:
            options = {}
            if self._accounts is not None:
                options["accounts"] = self._accounts.rows()
                options["anonymous"] = frozenset({ANONYMOUS_PREFIX})
            if self._cold_zones is not None:
                options["cold_start_ms"] = round(COLD_S * 1000)
                options["cold_per_s"] = COLD_PER_S
            self.fleet.configure(self._service_by_prefix, **options)

    def _reserve(self, zone: str) -> list[PlatformEndpoint]:
        """Return the endpoints of a zone that are not withdrawn, and keep them until release."""
        with self._lock:
            gone = {name for name, _ in self.findings.departures} | self._leaving
            endpoints = [
                item
                for name, item in self.fleet.endpoint_by_name.items()
                if item.zone == zone and name not in gone
            ]
            self._leaving |= {item.state.endpoint for item in endpoints}
            return endpoints

    def _release(self, endpoints: list[PlatformEndpoint]) -> None:
        with self._lock:
            self._leaving -= {item.state.endpoint for item in endpoints}

    def _credential(self, rng: random.Random, prefix: str) -> Credential | None:
        return self._accounts.credential(rng, prefix) if self._accounts is not None else None

    def _call(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/{number}")
        account_rng = self._rng(f"{number}/account")
        count = 0
        while not self._stop.is_set():
            count += 1
            entry = self._choose_entry(rng)
            kind = rng.choice(["safe", "unsafe", "unsafe", "download"])
            prefix = rng.choice("xy")
            credential = self._credential(account_rng, prefix)
            request = f"s{self._seed}-{number}-{count}"
            item = _request(kind, prefix, request, credential)
            sent_s = time.monotonic()
            status, body, _ = self.fleet.call(
                entry,
                item.method,
                item.target,
                request=item.request,
                body=item.body,
                headers=dict(item.headers),
            )
            self._record(item, entry, sent_s, (status, body), credential)
            threading.Event().wait(0.02)

    def _choose_entry(self, rng: random.Random) -> Entry:
        """Return an entry that the directory names, or any one in case of a stale answer."""
        entry = rng.choice(self.fleet.entries)
        if rng.random() < STALE_ANSWER_SHARE:
            return entry
        named = entry.lookup("h.example", rng.choice(ZONES))
        by_address = {f"127.0.0.1:{item.front_port}": item for item in self.fleet.entries}
        unknown = [address for address in named if address not in by_address]
        if unknown:
            self.findings.violations.append(f"directory: {unknown} are no entries")
        return by_address.get(named[0], entry) if named else entry

    def _call_in_batches(self, number: int) -> None:
        """Keep one connection to each entry and use it until the entry closes it."""
        rng = random.Random(f"{self._seed}/{number}")
        account_rng = self._rng(f"{number}/account")
        caller_by_entry = {
            entry.name: PipeliningCaller(entry.front_port) for entry in self.fleet.entries
        }
        count = 0
        while not self._stop.is_set():
            entry = rng.choice(self.fleet.entries)
            batch = []
            credentials = []
            for position in range(size := rng.randint(1, LARGEST_BATCH)):
                count += 1
                kinds = ["safe", "download"] if position < size - 1 else ["safe", "unsafe"]
                request = f"s{self._seed}-{number}-{count}"
                kind, prefix = rng.choice(kinds), rng.choice("xy")
                credentials.append(self._credential(account_rng, prefix))
                batch.append(_request(kind, prefix, request, credentials[-1]))
            sent_s = time.monotonic()
            answers = caller_by_entry[entry.name].call(batch)
            for item, answer, credential in zip(batch, answers, credentials, strict=True):
                self._record(item, entry, sent_s, answer, credential)
            threading.Event().wait(0.05)
        for caller in caller_by_entry.values():
            caller.close()

    def _name_rate_limits(self) -> None:
        """Let endpoints name rate limits, one or all of a service at a time, beside the faults."""
        rng = random.Random(f"{self._seed}/rate limits")
        while not self._healing.wait(rng.uniform(*RATE_LIMIT_GAP_S)):
            states = [item.state for item in list(self.fleet.endpoint_by_name.values())]
            first = rng.choice(states)
            is_alone = rng.random() < 0.6
            limited = [
                item for item in states if item is first or (not is_alone and _is_akin(item, first))
            ]
            self.findings.faults["rate_limit"] += 1
            for state in limited:
                state.name_rate_limit(_rate_limit(rng))
            threading.Timer(
                rng.uniform(*RATE_LIMITED_S), self._end_rate_limits, (limited, _rate_limit(rng))
            ).start()

    def _spoil_answers(self) -> None:
        """Let all endpoints cut some answers, or send them twice, beside the faults."""
        rng = random.Random(f"{self._seed}/answers")
        while not self._healing.wait(rng.uniform(*SPOILED_ANSWERS_GAP_S)):
            fault = rng.choice(["cut", "stutter"])
            self.findings.faults[fault] += 1
            states = [item.state for item in list(self.fleet.endpoint_by_name.values())]
            for state in states:
                state.spoiled_share = SPOILED_SHARE
                state.fault = state.fault or fault
            self._healing.wait(rng.uniform(*SPOILED_ANSWERS_S))
            for state in states:
                if state.fault == fault:
                    state.fault = ""

    def _let_endpoints_leave(self) -> None:
        """Let endpoints say in their answers that they leave, beside the faults.

        Some are withdrawn in the store later, some are started again under the same id.
        """
        rng = random.Random(f"{self._seed}/leaving")
        while not self._healing.wait(rng.uniform(*LEAVING_GAP_S)):
            name = self._pick_endpoint(rng)
            self.findings.faults["leave"] += 1
            endpoint = self.fleet.endpoint_by_name[name]
            self._add_endpoint(endpoint.state.service, endpoint.zone)
            endpoint.state.is_leaving = True
            if self._healing.wait(rng.uniform(*LEAVING_S)):
                return
            if rng.random() < STARTED_AGAIN_SHARE:
                endpoint.state.is_leaving = False
                self.findings.started_again_s_by_endpoint[name] = time.monotonic()
                registration = endpoint.registration()
                registration["born"] += 1
                self.fleet.store.state.put("servers", name, registration)
            elif rng.random() < WITHDRAWN_SHARE:
                self.fleet.drain(name)
                self.findings.departures.append((name, time.monotonic()))

    def _let_endpoints_close(self) -> None:
        """Let endpoints turn requests away for a time that they name, beside the faults."""
        rng = random.Random(f"{self._seed}/closing")
        while not self._healing.wait(rng.uniform(*CLOSED_GAP_S)):
            states = [item.state for item in list(self.fleet.endpoint_by_name.values())]
            first = rng.choice(states)
            akin = [item for item in states if _is_akin(item, first)]
            # One, some or all endpoints of a service.
            closed = rng.sample(akin, rng.choice([1, rng.randint(1, len(akin)), len(akin)]))
            self.findings.faults["close"] += 1
            for state in closed:
                state.retry_after = _retry_after(rng)
                state.fault = state.fault or "shed"
            self._healing.wait(rng.uniform(*TURNING_AWAY_S))
            for state in closed:
                state.retry_after = ""
                if state.fault == "shed":
                    state.fault = ""

    def _pick_endpoint(self, rng: random.Random) -> str:
        """Return an endpoint that was not picked before, nor is kept by another fault."""
        with self._lock:
            gone = {name for name, _ in self.findings.departures} | self._leaving
            name = rng.choice([name for name in self.fleet.endpoint_by_name if name not in gone])
            self._leaving.add(name)
            return name

    def _lose_watch_answers(self) -> None:
        """Let the store lose its answers to watches at times, beside the faults."""
        rng = random.Random(f"{self._seed}/watches")
        state = self.fleet.store.state
        while not self._healing.wait(rng.uniform(*LOST_WATCHES_GAP_S)):
            self.findings.faults["lost_watches"] += 1
            self._record_fault()
            state.loses_watch_answers = True
            self._healing.wait(rng.uniform(*LOST_WATCHES_S))
            state.loses_watch_answers = False
            self._record_fault()

    def _end_rate_limits(self, limited: list[EndpointState], other: str) -> None:
        # The first one names another limit before it names none.
        if not self._healing.is_set():
            limited[0].name_rate_limit(other)
            self._healing.wait(1.0)
        for state in limited:
            state.name_rate_limit("")

    def _record(
        self,
        item: PipelinedRequest,
        entry: Entry,
        sent_s: float,
        answer: tuple[int, bytes],
        credential: Credential | None,
    ) -> None:
        status, body = answer
        is_safe = item.method == "GET"
        ended_s = time.monotonic()
        sent = SentCall(
            item.request,
            entry.name,
            is_safe,
            sent_s,
            ended_s,
            status,
            body,
            item.target,
            credential,
        )
        with self._lock:
            self.findings.sent.append(sent)

    def _inject(self) -> None:
        fault = self._random.choice(self._faults())
        self.findings.faults[fault.__name__.strip("_")] += 1
        fault()

    def _faults(self) -> list[Callable[[], None]]:
        return [
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

    def _record_fault(self, *entries: Entry) -> None:
        for entry in entries or self.fleet.entries:
            fault_times_s = self.findings.fault_times_s_by_entry.setdefault(entry.name, [])
            fault_times_s.append(time.monotonic())

    def _record_interruption(self, *entries: Entry) -> None:
        for entry in entries:
            times_s = self.findings.interruption_times_s_by_entry.setdefault(entry.name, [])
            times_s.append(time.monotonic())

    def _schedule(
        self,
        seconds: float,
        action: object,
        *affected: Entry,
        interrupted: tuple[Entry, ...] = (),
    ) -> None:
        def act() -> None:
            action()
            self._record_fault(*affected)
            self._record_interruption(*interrupted)

        timer = threading.Timer(seconds, act)
        timer.daemon = True
        timer.start()

    def _pick_running_entry(self) -> Entry | None:
        # Keeps one entry running, which is all that the deployment guarantees.
        running = [item for item in self.fleet.entries if item.process.poll() is None]
        running = [item for item in running if item.name not in self._frozen]
        return self._random.choice(running) if len(running) > 1 else None

    def _restart(self, entry: Entry) -> None:
        if entry.process.poll() is not None:
            entry.start()

    def _kill(self) -> None:
        entry = self._pick_running_entry()
        if entry is not None:
            self._record_fault(entry)
            self._record_interruption(entry)
            entry.signal(signal.SIGKILL)
            self._schedule(
                self._random.uniform(0.2, 1.5),
                lambda: self._restart(entry),
                entry,
                interrupted=(entry,),
            )

    def _freeze(self) -> None:
        entry = self._pick_running_entry()
        if entry is None:
            return
        self._record_fault(entry)
        self._record_interruption(entry)
        self._frozen.add(entry.name)
        entry.signal(signal.SIGSTOP)

        def resume() -> None:
            entry.signal(signal.SIGCONT)
            self._frozen.discard(entry.name)

        self._schedule(self._random.uniform(0.3, 2.0), resume, entry, interrupted=(entry,))

    def _terminate(self) -> None:
        entry = self._pick_running_entry()
        if entry is not None:
            self._record_fault(entry)
            self._record_interruption(entry)
            entry.signal(signal.SIGTERM)
            self._schedule(
                GRACE_MS / 1000 + 0.5, lambda: self._restart(entry), entry, interrupted=(entry,)
            )

    def _hang_up(self) -> None:
        entry = self._pick_running_entry()
        if entry is not None:
            entry.signal(signal.SIGHUP)

    def _store_down(self) -> None:
        self._record_fault()
        self._outage_started_s = self._outage_started_s or time.monotonic()
        self.fleet.store.state.is_down = True
        self._schedule(self._random.uniform(0.3, 2.0), self._store_back)

    def _store_silent(self) -> None:
        self._record_fault()
        self._outage_started_s = self._outage_started_s or time.monotonic()
        self.fleet.store.state.is_silent = True
        self._schedule(self._random.uniform(0.3, 2.0), self._store_back)

    def _store_back(self) -> None:
        self.fleet.store.state.is_down = False
        self.fleet.store.state.is_silent = False
        if self._outage_started_s is not None:
            self.findings.outages_s.append((self._outage_started_s, time.monotonic()))
            self._outage_started_s = None

    def _store_forgets(self) -> None:
        self.fleet.store.state.drop_watch_history()

    def _endpoint_fault(self) -> None:
        endpoint = self._random.choice(list(self.fleet.endpoint_by_name.values()))
        endpoint.state.fault = self._random.choice(["reset", "shed", "error", "hang", "break"])
        self._schedule(1.0, lambda: setattr(endpoint.state, "fault", ""))

    def _drain(self) -> None:
        self._retire_endpoint(self.fleet.drain)

    def _remove(self) -> None:
        # Deletes the registration without draining; the endpoint keeps answering for a while.
        self._retire_endpoint(lambda name: self.fleet.store.state.delete("servers", name))

    def _retire_endpoint(self, withdraw: Callable[[str], None]) -> None:
        name = self._pick_endpoint(self._random)
        endpoint = self.fleet.endpoint_by_name[name]
        self._add_endpoint(endpoint.state.service, endpoint.zone)
        withdraw(name)
        self.findings.departures.append((name, time.monotonic()))

    def _configure(self) -> None:
        services = list(SERVICES)
        self._random.shuffle(services)
        self._service_by_prefix = dict(zip("xy", services, strict=True))
        self._store_config()

    def _reset_links(self) -> None:
        self._record_fault()
        for proxy in self.fleet.proxies:
            proxy.reset_all()

    def _delay_links(self) -> None:
        proxy, entry = self._pick_link()
        proxy.delay_s = 0.2
        self._record_fault(entry)
        self._schedule(1.0, proxy.heal, entry)

    def _cut_links(self) -> None:
        proxy, entry = self._pick_link()
        if self._random.random() < 0.5:
            proxy.is_silent = True
        else:
            proxy.is_one_way = True
        self._record_fault(entry)
        self._schedule(self._random.uniform(0.5, 2.0), proxy.heal, entry)

    def _pick_link(self) -> tuple[LinkProxy, Entry]:
        links = zip(self.fleet.proxies, self.fleet.entries, strict=True)
        return self._random.choice(list(links))

    def _add_endpoint(self, service: str, zone: str = ZONES[0]) -> None:
        with self._lock:
            self._endpoints += 1
            self.fleet.add_endpoint(f"i-{self._endpoints}", service, zone)

    def _heal(self) -> None:
        self._healing.set()
        threading.Event().wait(GRACE_MS / 1000 + 1.0)
        self._store_back()
        for proxy in self.fleet.proxies:
            proxy.heal()
        for endpoint in self.fleet.endpoint_by_name.values():
            endpoint.state.fault = ""
            endpoint.state.retry_after = ""
            endpoint.state.name_rate_limit("")
        for entry in self.fleet.entries:
            self._restart(entry)
        self._record_fault()

    def _check_recovery(self) -> None:
        try:
            wait_until(lambda: all(item.is_ready() for item in self.fleet.entries), "ready", 15)
        except TimeoutError:
            self.findings.violations.append(
                "recovery: an entry is not ready 15 s after the last fault"
            )
            return
        threading.Event().wait(SETTLE_S)
        settled_s = time.monotonic()
        threading.Event().wait(RECOVERY_CHECK_S)
        with self._lock:
            settled_calls = [
                item
                for item in self.findings.sent
                if item.sent_s > settled_s and not self._is_refused_rightly(item)
            ]
        failed = [item for item in settled_calls if item.status != 200]
        # Up to 2 % of the calls may fail.
        if not settled_calls or len(failed) > len(settled_calls) // 50:
            failed_by_status = Counter(item.status for item in failed)
            self.findings.violations.append(
                f"recovery: {failed_by_status} of {len(settled_calls)} calls after the last fault"
            )

    def _is_refused_rightly(self, item: SentCall) -> bool:
        return self._accounts is not None and self._accounts.may_be_refused(
            item.credential, item.status, item.sent_s, item.ended_s, bound_s=REVOCATION_BOUND_S
        )

    def _check_accounts(self) -> None:
        if self._accounts is None:
            return
        sent_by_request = {item.request: item for item in self.findings.sent}
        states = [item.state for item in self.fleet.endpoint_by_name.values()]
        ran_s_by_request: dict[str, float] = {}
        for at_s, request in sorted(
            (at_s, item) for state in states for item, at_s, _ in state.ran
        ):
            ran_s_by_request.setdefault(request, at_s)
        ran = [
            (at_s, sent_by_request[request])
            for request, at_s in ran_s_by_request.items()
            if request in sent_by_request
        ]
        found = header_violations(
            [received for state in states for received in state.received_headers],
            {request: item.credential.account for request, item in sent_by_request.items()},
            key_prefix=KEY_PREFIX,
        )
        found += late_runs(
            [
                KeyRun(at_s, item.request, item.entry, item.credential.key)
                for at_s, item in ran
                if item.credential.key
            ],
            self._accounts.revoked_s_by_key,
            is_known=self._accounts.is_known,
            settled_s=lambda entry, at_s: self._last_fault_before(entry, at_s) + SETTLE_S,
        )
        found += quota_violations(
            [at_s for at_s, item in ran if item.credential.account == HOT_ACCOUNT],
            rate_per_s=HOT_RATE_PER_S,
            burst=HOT_BURST,
        )
        self.findings.violations += [f"account: {text}" for text in found]

    def _check_zones(self) -> None:
        restores_s = self._restores.periods_s if self._restores is not None else []
        for name, endpoint in self.fleet.endpoint_by_name.items():
            arrivals = endpoint.state.arrivals
            if self._cold_zones is not None:
                for period_s in self._cold_zones.periods_s_by_endpoint.get(name, []):
                    found = cold_violations(
                        period_s, [at_s for at_s, _ in arrivals], cold_per_s=COLD_PER_S
                    )
                    self.findings.violations += [f"cold: {name}: {text}" for text in found]
            for period in self._evacuations.periods if self._evacuations is not None else []:
                if period.zone == endpoint.zone:
                    found = late_arrivals(
                        period,
                        arrivals,
                        outages_s=self.findings.outages_s,
                        restores_s=restores_s,
                    )
                    self.findings.violations += [f"evacuation: {name}: {text}" for text in found]

    def _check_runs(self) -> None:
        runs: Counter = Counter()
        for endpoint in self.fleet.endpoint_by_name.values():
            runs.update(request for request, _, _ in endpoint.state.ran)
        for item in self.findings.sent:
            count = runs[item.request]
            if not item.is_safe and count > 1:
                self.findings.violations.append(f"at most once: {item.request} ran {count} times")
            if item.is_safe and count > 2:
                self.findings.violations.append(f"attempts: {item.request} ran {count} times")
            if item.status in NOT_RUN_STATUSES and not item.is_safe and count:
                self.findings.violations.append(
                    f"not run: {item.request} got {item.status} and ran"
                )
            if item.status == 404:
                self.findings.violations.append(f"route: {item.request} got 404 at {item.entry}")
            if item.status == 200 and item.body not in _whole_answers(item):
                self.findings.violations.append(
                    f"wrong response: {item.request} got {item.body[:200]!r}"
                )
        unknown_requests = runs.keys() - {item.request for item in self.findings.sent}
        self.findings.violations += [
            f"unknown request: {request} ran" for request in sorted(unknown_requests)
        ]

    def _check_drains(self) -> None:
        sent_by_request = {item.request: item for item in self.findings.sent}
        for name, departed_s in self.findings.departures:
            for request, ran_s, _ in self.fleet.endpoint_by_name[name].state.ran:
                entry = sent_by_request[request].entry if request in sent_by_request else ""
                settled_s = self._last_fault_before(entry, ran_s) + SETTLE_S
                if ran_s > max(departed_s, settled_s) + DRAIN_BOUND_S:
                    late_s = ran_s - departed_s
                    self.findings.violations.append(
                        f"drain: {request} ran at {name} {late_s:.1f} s after it was withdrawn,"
                        f" sent by {entry}"
                    )

    def _check_rate_limits(self) -> None:
        entry_by_request = {item.request: item.entry for item in self.findings.sent}
        for name, endpoint in self.fleet.endpoint_by_name.items():
            state = endpoint.state
            told, arrivals = (
                [(at_s, entry_by_request.get(request, "")) for at_s, request in records]
                for records in (state.limited_responses, state.arrivals)
            )
            limits = told_limits(state.rate_limits, [at_s for at_s, _ in told])
            for period in limited_periods(limits):
                self.findings.violations += [
                    f"rate limit: {name}: {text}"
                    for text in rate_limit_violations(
                        period,
                        told,
                        arrivals,
                        contact_s=CONTACT_S,
                        is_excused=self._was_interrupted,
                    )
                ]

    def _check_notices(self) -> None:
        sent_by_request = {item.request: item for item in self.findings.sent}
        arrival_count = Counter(
            request
            for endpoint in self.fleet.endpoint_by_name.values()
            for request in endpoint.state.received_requests
        )
        for name, endpoint in self.fleet.endpoint_by_name.items():
            state = endpoint.state
            end_s = self.findings.started_again_s_by_endpoint.get(name, float("inf"))
            # An answer counts if it was passed on: the request reached no other endpoint.
            told = [
                (at_s, sent_by_request[request].entry)
                for at_s, request in state.leaving_responses
                if arrival_count[request] == 1
                and request in sent_by_request
                and sent_by_request[request].status == 200
            ]
            arrivals = [
                Arrival(at_s, item.entry, item.sent_s, request)
                for at_s, request in state.arrivals
                if at_s < end_s and (item := sent_by_request.get(request)) is not None
            ]
            late = late_requests(
                told, arrivals, drain_s=DRAIN_BOUND_S, is_excused=self._was_interrupted_within
            )
            self.findings.violations += [f"leaving: {name}: {text}" for text in late]
            closings = [
                (at_s, sent_by_request[request].entry, float(text))
                for at_s, request, text in state.closing_responses
                if request in sent_by_request and text.replace(".", "", 1).isdecimal()
            ]
            got = [
                (at_s, sent_by_request[request].entry)
                for at_s, request in state.arrivals
                if request in sent_by_request
            ]
            found = requests_while_closed(closings, got, is_excused=self._was_interrupted_within)
            self.findings.violations += [f"closed: {name}: {text}" for text in found]

    def _was_interrupted_within(self, entry: str, from_s: float, to_s: float) -> bool:
        times_s = self.findings.interruption_times_s_by_entry.get(entry, [])
        return any(from_s <= item <= to_s for item in times_s)

    def _was_interrupted(self, entry: str, from_s: float, to_s: float) -> bool:
        times_s = self.findings.interruption_times_s_by_entry.get(entry, [])
        return any(from_s - CONTACT_S <= item <= to_s for item in times_s)

    def _last_fault_before(self, entry: str, at_s: float) -> float:
        fault_times_s = self.findings.fault_times_s_by_entry.get(entry, [])
        return max((item for item in fault_times_s if item < at_s), default=float("-inf"))


def _whole_answers(item: SentCall) -> list[bytes]:
    request_body = b"" if item.is_safe else item.request.encode()
    return [endpoint_answer(service, item.target, request_body) for service in SERVICES]


def _is_akin(state: EndpointState, other: EndpointState) -> bool:
    return state.service == other.service


def _rate_limit(rng: random.Random) -> str:
    if rng.random() < UNREADABLE_SHARE:
        return rng.choice(UNREADABLE_RATE_LIMITS)
    return f"{rng.uniform(*RATE_LIMITS_PER_S):.1f}"


def _retry_after(rng: random.Random) -> str:
    if rng.random() < UNREADABLE_SHARE:
        return rng.choice(UNREADABLE_CLOSURES)
    return f"{rng.uniform(*CLOSURES_S):.1f}"


def _request(
    kind: str, prefix: str, request: str, credential: Credential | None = None
) -> PipelinedRequest:
    target = f"/{kind}/{prefix}/{request}"
    headers = credential.headers if credential is not None else ()
    if kind == "unsafe":
        return PipelinedRequest("POST", target, request, request.encode(), headers=headers)
    return PipelinedRequest("GET", target, request, headers=headers)


def soak(*, seed: int = 1, seconds: float = 20.0, entries: int = ENTRIES, logs: str = "") -> None:
    """Run the soak with one seed and print its result.

    Args:
        seed: Determines the faults, their order and times.
        seconds: How long faults are injected.
        entries: Number of entries.
        logs: Folder to keep the entries' logs in; empty discards them.
    """
    with tempfile.TemporaryDirectory() as folder:
        log_folder = Path(logs or folder)
        log_folder.mkdir(parents=True, exist_ok=True)
        kinds = drawn_kinds(seed)
        bounds = SOAK_BOUNDS if kinds else ()
        with platform_fleet(log_folder, entries=entries, has_proxies=True, bounds=bounds) as fleet:
            findings = Soak(fleet, seed, kinds=kinds).run(seconds)
    statuses = Counter(item.status for item in findings.sent)
    print(
        json.dumps(
            {
                "seed": seed,
                "kinds": sorted(kinds),
                "faults": dict(findings.faults),
                "calls": {str(status): count for status, count in sorted(statuses.items())},
                "broken": findings.violations[:20],
            }
        )
    )
    sys.exit(1 if findings.violations else 0)


if __name__ == "__main__":
    fire.Fire(soak)
