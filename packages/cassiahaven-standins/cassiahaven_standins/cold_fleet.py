"""Simulated fleet whose entries all have calls without end for cold endpoints."""

import random
from collections.abc import Callable
from itertools import count

from cassiahaven_core.cold_start import ColdShare, ColdShares, contact_of
from cassiahaven_core.endpoint import CallResult
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.membership import Fleet, Member
from cassiahaven_core.pool import Pool

PER_S = 2.5
SLACK = 8
OVERAGE = 1.5
ZONES = ("a", "b", "c")
ENDPOINTS = 40
STEP_MS = 25.0
REPORT_MS = 500.0
HOUSEKEEPING_MS = 250.0
FAULT_MS = 6000.0
END_MS = 20_000.0
SERVING_CORES = 0.8
SILENT_MS = 2000.0  # an entry follows another watcher by then


def make_address(
    name: str, *, zone: str = "a", cold_ends_ms: float = END_MS * 2
) -> EndpointAddress:
    """Return the address of an endpoint that is cold, for an entry in zone ``a``."""
    distance_ms = 0.0 if zone == "a" else 1.0
    return EndpointAddress(
        name, "1", zone, "h", 1, 3, distance_ms, warm_up_ms=0.0, cold_ends_ms=cold_ends_ms
    )


def cold_pool(names: list[str], *, share: ColdShare | None = None) -> Pool:
    """Return a pool of cold endpoints; without a share, all that they bear is this entry's."""
    pool = Pool(rng=random.Random(1))
    pool.set_cold_share(share or ColdShare(), 0.0)
    pool.set_cold_limit(PER_S, 0.0)
    pool.set_endpoints([make_address(name) for name in names], 0.0)
    return pool


class SimulatedEntry:
    """An entry that sends to cold endpoints whatever its share lets through."""

    def __init__(self, member: Member, members: list[Member]) -> None:
        self.fleet = Fleet(member)
        self.fleet.set_members(members)
        self.shares = ColdShares(member.name, ZONES, SLACK, overage=OVERAGE)
        self.pool = cold_pool([f"e{n}" for n in range(ENDPOINTS)], share=ColdShare({}, 0.0))

    def compute_share(self, now_ms: float) -> None:
        """Compute the share as the housekeeping of an entry does."""
        serving = {
            item.name: item.availability_zone
            for zone in ZONES
            for item in self.fleet.serving_entries(zone, SERVING_CORES, now_ms)
        }
        share = self.shares.update(
            serving,
            members=len(self.fleet.member_by_name),
            contact=contact_of(self.fleet, now_ms),
            now_ms=now_ms,
        )
        self.pool.set_cold_share(share, now_ms)


class SimulatedFleet:
    """Entries that learn of each other through watchers.

    Args:
        entries: Number of entries.
        large: How many of them have more than a core.
    """

    def __init__(self, *, entries: int, large: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.members = [
            Member(f"n{n}", "p", ZONES[n % 3], "c:1", "p:1", 2.15 if n < large else 0.43)
            for n in range(entries)
        ]
        self.entry_by_name = {
            member.name: SimulatedEntry(member, self.members) for member in self.members
        }
        self.down_until_ms: dict[str, float] = {}
        self.frozen_until_ms: dict[str, float] = {}
        self.group_by_name: dict[str, str] = {}
        self.sent_ms_by_endpoint: dict[str, list[float]] = {f"e{n}": [] for n in range(ENDPOINTS)}
        self.phase_ms = {m.name: self.rng.randrange(0, 500, 25) for m in self.members}
        self._numbers = count()

    def run(self, fault: Callable[["SimulatedFleet"], None]) -> "SimulatedFleet":
        """Run to the end, with a fault on the way."""
        now_ms = 0.0
        while now_ms < END_MS:
            now_ms += STEP_MS
            if now_ms == FAULT_MS:
                fault(self)
            self._step(now_ms)
        return self

    def _step(self, now_ms: float) -> None:
        for name, until_ms in list(self.down_until_ms.items()):
            if now_ms >= until_ms:
                del self.down_until_ms[name]
                member = next(m for m in self.members if m.name == name)
                self.entry_by_name[name] = SimulatedEntry(member, self.members)
        for name, entry in self.entry_by_name.items():
            if name in self.down_until_ms or now_ms < self.frozen_until_ms.get(name, 0.0):
                continue
            # An entry that was frozen sends before it learns anything.
            self._send(entry, now_ms)
            if (now_ms + self.phase_ms[name]) % REPORT_MS == 0:
                self._report(name, entry, now_ms)
            if (now_ms + self.phase_ms[name]) % HOUSEKEEPING_MS == 0:
                entry.compute_share(now_ms)

    def _send(self, entry: SimulatedEntry, now_ms: float) -> None:
        while (endpoint := entry.pool.choose(now_ms, idempotent=True)) is not None:
            name, call = endpoint.address.endpoint, str(next(self._numbers))
            entry.pool.start(endpoint, call, "k", now_ms)
            entry.pool.mark_sent(name, call)
            entry.pool.finish(name, call, CallResult.OK, now_ms)
            self.sent_ms_by_endpoint[name].append(now_ms)

    def _watchers(self, name: str, now_ms: float) -> list[Member]:
        """Return the watchers that an entry follows instead of those that it cannot reach."""
        silent = {
            other
            for other in self.frozen_until_ms
            if FAULT_MS + SILENT_MS <= now_ms < self.frozen_until_ms[other]
        }
        cut_off = {other for other in self.entry_by_name if not self._reaches(name, other)}
        return self.entry_by_name[name].fleet.watchers(frozenset(silent | cut_off))

    def _report(self, name: str, entry: SimulatedEntry, now_ms: float) -> None:
        for watcher in self._watchers(name, now_ms):
            if self._reaches(name, watcher.name) and watcher.name != name:
                known = self.entry_by_name[watcher.name].fleet
                known.record_report(name, is_draining=False, now_ms=now_ms)
        for other, follower in self.entry_by_name.items():
            if other == name or not self._reaches(name, other):
                continue
            if any(item.name == name for item in self._watchers(other, now_ms)):
                follower.fleet.record_watcher_report(
                    name,
                    live=entry.fleet.own_subscribers(now_ms),
                    draining=entry.fleet.draining,
                    store_age_ms=0.0,
                    now_ms=now_ms,
                )

    def _reaches(self, name: str, other: str) -> bool:
        if other in self.down_until_ms:
            return False
        return self.group_by_name.get(name) == self.group_by_name.get(other)

    def most_in_a_second(self) -> int:
        """Return the most calls that one endpoint got in any second."""
        most = 0
        for sent_ms in self.sent_ms_by_endpoint.values():
            first = 0
            for last, at_ms in enumerate(sent_ms):
                while at_ms - sent_ms[first] > 1000.0:
                    first += 1
                most = max(most, last - first + 1)
        return most

    def sent_between(self, from_ms: float, to_ms: float) -> float:
        """Return the mean calls a second to one endpoint."""
        sent = sum(
            from_ms <= at_ms < to_ms
            for sent_ms in self.sent_ms_by_endpoint.values()
            for at_ms in sent_ms
        )
        return sent / ENDPOINTS / (to_ms - from_ms) * 1000


def kill(fleet: SimulatedFleet, share: float) -> None:
    """Kill a share of the entries, which return after 1 to 3.5 s."""
    names = fleet.rng.sample(sorted(fleet.entry_by_name), int(len(fleet.members) * share))
    for name in names:
        fleet.down_until_ms[name] = FAULT_MS + fleet.rng.randrange(1000, 3500, 25)
        for entry in fleet.entry_by_name.values():
            # Connections to a process that is killed are closed at once.
            entry.fleet.discard_report(name)
            entry.fleet.discard_watcher_report(name)


def partition_third(fleet: SimulatedFleet, *, is_group: bool) -> None:
    """Cut a third of the entries off from the others, or from all."""
    for number, member in enumerate(fleet.members):
        if number % 3 == 0:
            fleet.group_by_name[member.name] = "cut off" if is_group else member.name


def split_by_zone(fleet: SimulatedFleet) -> None:
    """Cut the zones off from each other, so that no group has more than half of the entries."""
    for member in fleet.members:
        fleet.group_by_name[member.name] = member.availability_zone


def freeze_large(fleet: SimulatedFleet) -> None:
    """Freeze six entries, among them all large ones, for 4 to 5 s."""
    for number, member in enumerate(fleet.members[:6]):
        fleet.frozen_until_ms[member.name] = FAULT_MS + 4000.0 + 200 * number


def restart_large(fleet: SimulatedFleet) -> None:
    """Restart the same entries one after another."""
    for number, member in enumerate(fleet.members[:6]):
        fleet.down_until_ms[member.name] = FAULT_MS + 1000.0 + 400 * number


FAULTS: dict[str, Callable[[SimulatedFleet], None]] = {
    "none": lambda fleet: None,
    "all entries are killed": lambda fleet: kill(fleet, 1.0),
    "55 % are killed": lambda fleet: kill(fleet, 0.55),
    "16 % are killed": lambda fleet: kill(fleet, 0.16),
    "a third is cut off as a group": lambda fleet: partition_third(fleet, is_group=True),
    "a third is cut off one by one": lambda fleet: partition_third(fleet, is_group=False),
    "the zones are cut off from each other": split_by_zone,
    "the large ones freeze": freeze_large,
    "the large ones restart": restart_large,
}
