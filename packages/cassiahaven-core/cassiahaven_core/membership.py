"""The entries of a fleet: who lives, who watches the store for the others, who carries callers."""

from collections.abc import Iterable
from dataclasses import dataclass

from cassiahaven_core.rendezvous import rank
from cassiahaven_core.store_contact import StoreContact

WATCHER_RANK_KEY = "watcher"
MOST_WATCHERS = 3  # one a zone up to three zones: all three cut off at once is rare
SILENCE_MS = 1500.0  # three reports of 500 ms missed
STORE_VIEW_MS = 1200.0  # leaves 800 ms of the 2 s for a change to be read by somebody else


@dataclass(frozen=True, slots=True)
class Member:
    """Describe an entry as it registered itself.

    Attributes:
        process: Unique name of the process, made anew at each start.
        callers: Address for callers, as host and port.
        peers: Address for other entries, as host and port.
        cores: Processor time a second that its VM gives it.
        operators: Address for operators, as host and port.
    """

    name: str
    process: str
    availability_zone: str
    callers: str
    peers: str
    cores: float = 1.0
    operators: str = ""


@dataclass(slots=True)
class PeerView:
    """Hold what one watcher told last.

    Attributes:
        heard_ms: When it was heard.
        store_seen_ms: When it last had an answer of the store, on this process's clock.
        live: Names of the entries that it hears from, itself included.
    """

    heard_ms: float
    store_seen_ms: float
    live: frozenset[str]


class Fleet:
    """Work out from registrations and reports which entries live and which watch the store.

    Every entry computes the same from the same members, so nobody has to be elected.

    Attributes:
        store: Whether the store answers this entry or a watcher that it hears.
    """

    __slots__ = (
        "own",
        "member_by_name",
        "view_by_watcher",
        "heard_ms_by_name",
        "versions_by_name",
        "draining",
        "store",
    )

    def __init__(self, own: Member) -> None:
        self.own = own
        self.member_by_name: dict[str, Member] = {own.name: own}
        self.view_by_watcher: dict[str, PeerView] = {}
        self.heard_ms_by_name: dict[str, float] = {}
        self.versions_by_name: dict[str, dict[str, int]] = {}
        self.draining: set[str] = set()
        self.store = StoreContact()

    def set_members(self, members: Iterable[Member]) -> None:
        """Take in the registered entries."""
        self.member_by_name = {member.name: member for member in members}
        self.member_by_name[self.own.name] = self.own
        self.draining &= self.member_by_name.keys()
        for known in (self.view_by_watcher, self.heard_ms_by_name, self.versions_by_name):
            for name in known.keys() - self.member_by_name.keys():
                del known[name]

    def hear_report(
        self,
        name: str,
        *,
        is_draining: bool,
        now_ms: float,
        version_by_topic: dict[str, int] | None = None,
    ) -> None:
        """Take in that a subscriber of this entry lives, and which versions it has if it says."""
        self.heard_ms_by_name[name] = now_ms
        if version_by_topic:
            self.versions_by_name[name] = version_by_topic
        self._note_draining(name, is_draining)

    def hear_view(
        self,
        watcher: str,
        *,
        live: Iterable[str],
        draining: Iterable[str],
        store_age_ms: float,
        now_ms: float,
    ) -> None:
        """Take in what a watcher says of the fleet and of the store."""
        self.view_by_watcher[watcher] = PeerView(now_ms, now_ms - store_age_ms, frozenset(live))
        self._hear_store(store_age_ms, now_ms)
        leaving = set(draining)
        for name in self.view_by_watcher[watcher].live - {self.own.name}:
            self._note_draining(name, name in leaving)

    def hear_pulse(self, watcher: str, *, store_age_ms: float, now_ms: float) -> None:
        """Take in that a watcher lives and that what it said of the fleet still holds."""
        view = self.view_by_watcher.get(watcher)
        if view is not None:
            view.heard_ms = now_ms
            view.store_seen_ms = now_ms - store_age_ms
            self._hear_store(store_age_ms, now_ms)

    def lose_view(self, watcher: str) -> None:
        """Forget what a watcher said: its link is down."""
        self.view_by_watcher.pop(watcher, None)

    def lose_report(self, name: str) -> None:
        """Take in that a subscriber's link is down."""
        self.heard_ms_by_name.pop(name, None)

    def live_names(self, now_ms: float) -> set[str]:
        """Return the entries that this one or any watcher it hears has heard of lately."""
        names = {self.own.name}
        for name, heard_ms in self.heard_ms_by_name.items():
            if now_ms - heard_ms < SILENCE_MS:
                names.add(name)
        for watcher, view in self.view_by_watcher.items():
            if now_ms - view.heard_ms < SILENCE_MS:
                names.add(watcher)
                names |= view.live
        return names & self.member_by_name.keys()

    def own_subscribers(self, now_ms: float) -> list[str]:
        """Return the entries that report to this one, itself included."""
        heard = self.heard_ms_by_name.items()
        return sorted([self.own.name, *(n for n, at_ms in heard if now_ms - at_ms < SILENCE_MS)])

    def watchers(self, unreachable: frozenset[str] = frozenset()) -> list[Member]:
        """Return the entries that watch the store for all, at most one a zone.

        Args:
            unreachable: Entries that were tried in vain; the next in rank takes their place.
        """
        names_by_zone: dict[str, list[str]] = {}
        for member in self.member_by_name.values():
            if member.name not in unreachable and member.name not in self.draining:
                names_by_zone.setdefault(member.availability_zone, []).append(member.name)
        zones = rank(WATCHER_RANK_KEY, tuple(names_by_zone))
        own_zone = self.own.availability_zone
        if own_zone in zones[MOST_WATCHERS:]:
            zones = [own_zone, *zones]
        return [
            self.member_by_name[self._ranked(zone, names_by_zone[zone])[0]]
            for zone in zones[:MOST_WATCHERS]
        ]

    def has_fresh_store_view(self, now_ms: float) -> bool:
        """Tell whether a watcher that this entry hears has had the store's answer lately."""
        return any(
            now_ms - view.heard_ms < SILENCE_MS and now_ms - view.store_seen_ms < STORE_VIEW_MS
            for view in self.view_by_watcher.values()
        )

    def carriers(self, zone: str, cores: float, now_ms: float) -> list[Member]:
        """Return the entries that callers in ``zone`` use.

        As few as possible, so that each sees most of an endpoint's work: the largest first, and
        further ones until they have ``cores`` together. Entries of the callers' zone go first;
        others take their place when none lives there.
        """
        live = self.live_names(now_ms) - self.draining
        members = [self.member_by_name[name] for name in live]
        near = [item.name for item in members if item.availability_zone == zone]
        far = [item.name for item in members if item.availability_zone != zone]
        chosen: list[Member] = []
        for name in (*self._ranked(zone, near), *self._ranked(zone, far)):
            if sum(member.cores for member in chosen) >= cores:
                break
            chosen.append(self.member_by_name[name])
        return chosen

    def _hear_store(self, store_age_ms: float, now_ms: float) -> None:
        self.store.answer(now_ms - store_age_ms)
        if store_age_ms > STORE_VIEW_MS:
            self.store.ask(now_ms - store_age_ms)

    def _ranked(self, zone: str, names: Iterable[str]) -> list[str]:
        ranked = rank(f"{WATCHER_RANK_KEY}/{zone}", tuple(sorted(names)))
        return sorted(ranked, key=lambda name: -self.member_by_name[name].cores)

    def _note_draining(self, name: str, is_draining: bool) -> None:
        if is_draining:
            self.draining.add(name)
        else:
            self.draining.discard(name)
