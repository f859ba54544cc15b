"""Replay of calls over the usage caps of many entries, with simulated links and clocks."""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from itertools import count
from typing import Any

from cassiahaven_core.account import ClientAccount
from cassiahaven_core.routed_settings import UsageCapBounds
from cassiahaven_core.usage_cap import CLAIM_HOLD_MS, Admitted, Capped, Claims, UsageCaps

BOUNDS = UsageCapBounds(5000.0, 0.1, 20.0)
TICK_MS = 50.0
COALESCE_MS = 100.0
LIVE_MS = 1500.0
REFUSED_MS = 200.0  # until a service refuses a call that waits for capacity
RETRY_MS = 300.0
MOST_RETURNS = 3


def account(rate_per_s: float, burst: float, name: str = "account") -> ClientAccount:
    """Return an account with a cap."""
    return ClientAccount(name, (), None, rate_per_s, burst)


@dataclass
class Entry:
    """An entry with its usage caps."""

    name: str
    zone: int
    caps: UsageCaps
    is_alive: bool = True
    frozen_until_ms: float = 0.0


class Replay:
    """Entries in three zones whose claims travel over the first entry of each zone."""

    def __init__(
        self, accounts: Iterable[ClientAccount], *, entries: int = 9, named: int = 3, seed: int = 1
    ) -> None:
        self.rng = random.Random(seed)
        self.accounts = {item.name: item for item in accounts}
        self.now_ms = 0.0
        self.named = named
        self.numbers = count()
        self.events = []
        self.entries = [self.started(index) for index in range(entries)]
        self.watchers = self.entries[:3]
        self.cut = frozenset()
        self.admitted = defaultdict(list)
        self.asked = defaultdict(list)
        self.refused = []
        self.claimants = defaultdict(dict)
        self.pending = defaultdict(dict)
        self.heard_ms = defaultdict(lambda: 0.0)
        self.linked = {}
        self.messages = 0
        self.not_run_share = 0.0
        self.given_up = []
        self.schedule(0.0, self.tick)

    def started(self, index: int) -> Entry:
        """Return a new process of an entry."""
        caps = UsageCaps(f"e{index}", f"e{index}-{next(self.numbers)}", BOUNDS)
        caps.set_accounts(self.accounts.values())
        caps.set_named(f"e{number}" for number in range(self.named))
        return Entry(f"e{index}", index % 3, caps)

    def schedule(self, at_ms: float, action: Callable[..., None], *arguments: Any) -> None:
        """Run an action at a time."""
        heapq.heappush(self.events, (at_ms, next(self.numbers), action, arguments))

    def run(self, until_ms: float) -> None:
        """Run all events until a time."""
        while self.events and self.events[0][0] <= until_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now_ms = until_ms

    def calls(
        self,
        rate_per_s: float,
        entries: Sequence[int],
        start_ms: float,
        end_ms: float,
        name: str = "account",
    ) -> None:
        """Schedule Poisson arrivals, each at one of ``entries``."""
        at_ms = start_ms
        while True:
            at_ms += self.rng.expovariate(rate_per_s) * 1000
            if at_ms >= end_ms:
                return
            self.schedule(at_ms, self.call, self.rng.choice(entries), name)

    def call(self, index: int, name: str, returns: int = MOST_RETURNS) -> None:
        """Ask an entry to admit a call, which returns a few times if its service refuses it."""
        entry = self.entries[index]
        if not entry.is_alive or entry.frozen_until_ms > self.now_ms:
            return
        self.asked[name].append(self.now_ms)
        decision = entry.caps.admit(name, self.now_ms)
        if isinstance(decision, Admitted):
            self.admitted[name].append(self.now_ms)
            if self.not_run_share and self.rng.random() < self.not_run_share:
                arguments = (entry, name, decision, returns)
                self.schedule(self.now_ms + REFUSED_MS, self.refuse, *arguments)
        else:
            self.refused.append((self.now_ms, index, name, decision))

    def refuse(self, entry: Entry, name: str, admitted: Admitted, returns: int) -> None:
        """Refuse an admitted call for lack of capacity, without running it."""
        self.admitted[name].remove(admitted.at_ms)
        index = self.entries.index(entry) if entry in self.entries else None
        if index is not None and entry.is_alive:
            entry.caps.give_back(name, admitted)
        if returns:
            retry_ms = self.now_ms + RETRY_MS
            self.schedule(retry_ms, self.call, int(entry.name[1:]), name, returns - 1)
        else:
            self.given_up.append(self.now_ms)

    def kill(self, indexes: Iterable[int], back_ms: float) -> None:
        """Kill entries, which return after a time."""
        for index in indexes:
            self.entries[index].is_alive = False
            self.schedule(self.now_ms + back_ms, self.restart, index)

    def restart(self, index: int) -> None:
        """Start a killed entry anew."""
        self.entries[index] = self.started(index)
        if index < 3:
            self.watchers[index] = self.entries[index]
            self.claimants.pop(index, None)

    def is_linked(self, a: int, b: int) -> bool:
        """Return whether no cut separates two entries."""
        return (a in self.cut) == (b in self.cut)

    def is_up(self, index: int) -> bool:
        """Return whether an entry is alive and not frozen."""
        return self.entries[index].is_alive and self.entries[index].frozen_until_ms <= self.now_ms

    def tick(self) -> None:
        """Send and forward the claims that are due."""
        alive = [index for index in range(len(self.entries)) if self.is_up(index)]
        for index in alive:
            self.tick_entry(index, alive)
        for index in range(3):
            if self.is_up(index) and self.now_ms % COALESCE_MS < TICK_MS:
                self.forward(index)
        self.schedule(self.now_ms + TICK_MS, self.tick)

    def tick_entry(self, index: int, alive: list[int]) -> None:
        """Update the contact of an entry and send its claims."""
        caps = self.entries[index].caps
        seen = [other for other in alive if self.is_linked(index, other)]
        reached = {other for other in seen if other < 3}
        if reached:
            has_majority = len(seen) > len(self.entries) / 2
            caps.set_contact(heard_ms=self.now_ms, has_majority=has_majority, now_ms=self.now_ms)
        links = {(other, id(self.entries[other])) for other in reached}
        if links - self.linked.get((index, id(caps)), set()):
            caps.report_all()
        self.linked[index, id(caps)] = links
        claims = caps.own_claims(self.now_ms)
        if claims is not None:
            for other in range(3):
                self.send(index, other, self.receive, claims)
            if index < 3:
                self.pending[index][claims.process] = merged(
                    self.pending[index].get(claims.process), claims
                )

    def send(self, source: int, target: int, action: Callable[..., None], message: Any) -> None:
        """Deliver a message after the latency of a link, once the target runs."""
        if source == target or not self.is_linked(source, target):
            return
        if not self.entries[target].is_alive:
            return
        self.messages += 1
        at_ms = max(self.now_ms, self.entries[target].frozen_until_ms)
        # Messages of one link arrive in order.
        self.schedule(at_ms + 2.0, action, target, source, message, self.entries[target])

    def receive(self, index: int, source: int, claims: Claims, target: Entry) -> None:
        """Apply claims of a subscriber."""
        if target is not self.entries[index] or not target.is_alive:
            return
        caps = target.caps
        if not caps.receive_claims(claims, self.now_ms):
            self.claimants[index].pop(source, None)
            return
        claimant_ms = self.claimants[index].get(source, float("-inf"))
        self.claimants[index][source] = self.now_ms
        if self.now_ms - claimant_ms > CLAIM_HOLD_MS or claims.is_joining:
            for known in caps.known_claims(self.now_ms):
                self.send(index, source, self.accept, known)
            self.send(index, source, self.confirm, claims.number)
            caps.report_all()
        before = self.pending[index].get(claims.process)
        self.pending[index][claims.process] = merged(before, claims)

    def accept(self, index: int, source: int, claims: Claims, target: Entry) -> None:
        """Apply forwarded claims."""
        if target is self.entries[index] and target.is_alive:
            target.caps.apply_claims(claims, self.now_ms)

    def confirm(self, index: int, source: int, number: int, target: Entry) -> None:
        """Apply a watcher's reply to a joining entry."""
        if target is self.entries[index] and target.is_alive:
            target.caps.confirm_join(number, self.now_ms)

    def minor(self, index: int, source: int, used: dict[str, int], target: Entry) -> None:
        """Apply the calls of entries without shares."""
        if target is self.entries[index] and target.is_alive:
            target.caps.apply_minor_use(f"e{source}", used, self.now_ms)

    def forward(self, index: int) -> None:
        """Forward pending claims to the entries that have claims."""
        caps = self.entries[index].caps
        pending, self.pending[index] = self.pending[index], {}
        used = caps.minor_use(self.now_ms)
        for other, at_ms in self.claimants[index].items():
            if self.now_ms - at_ms > CLAIM_HOLD_MS:
                continue
            for claims in pending.values():
                if other < 3 and not caps.lacks(f"e{other}", claims):
                    continue
                if f"e{other}" != claims.entry:
                    self.send(index, other, self.accept, claims)
            if used:
                self.send(index, other, self.minor, used)
        reached = caps.newly_reached(self.now_ms)
        if reached:
            for other in range(len(self.entries)):
                self.send(index, other, self.notice, reached)

    def notice(self, index: int, source: int, reached: list[str], target: Entry) -> None:
        """Apply a notice of accounts at their caps."""
        if target is self.entries[index] and target.is_alive:
            target.caps.apply_reached(reached, self.now_ms)

    def excess(self, name: str = "account", since_ms: float = 0.0) -> float:
        """Return the most by which admitted calls of any window exceeded the bound."""
        quota = self.quota(name)
        most = most_in_window([at_ms for at_ms in self.admitted[name] if at_ms >= since_ms])
        return most - (quota * 1.1 + 20)

    def quota(self, name: str = "account") -> float:
        """Return the calls of an account in a window that its cap allows."""
        item = self.accounts[name]
        return item.rate_per_s * 5 + item.burst

    def wrong_refusals(self, name: str = "account") -> list[tuple[float, int, Capped]]:
        """Return the calls refused though no more than the cap were asked for in the window."""
        quota, wrong = self.quota(name), []
        for at_ms, index, refused, decision in self.refused:
            if refused == name:
                inside = sum(at_ms - 5000 < asked <= at_ms for asked in self.asked[name])
                if inside <= quota:
                    wrong.append((at_ms, index, decision))
        return wrong


def merged(before: Claims | None, claims: Claims) -> Claims:
    """Return claims together with earlier ones that were not forwarded yet."""
    if before is None:
        return claims
    return replace(claims, claim_by_account=before.claim_by_account | claims.claim_by_account)


def most_in_window(times: list[float]) -> int:
    """Return the largest number of times within any window."""
    most, start = 0, 0
    for end, at_ms in enumerate(times):
        while at_ms - times[start] >= 5000:
            start += 1
        most = max(most, end - start + 1)
    return most
