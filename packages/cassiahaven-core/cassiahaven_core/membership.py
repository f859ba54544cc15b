"""Fleet membership: live entries, the watchers of the store, and the entries for each zone."""

from collections.abc import Iterable, Set
from dataclasses import dataclass

from cassiahaven_core.rendezvous import rank, score
from cassiahaven_core.store_outage import StoreOutageDetector
from cassiahaven_core.store_version import NO_VERSION, StoreVersion

WATCHER_RANK_KEY = "watcher"
MAX_WATCHERS = 3  # one per zone for up to three zones; all three are rarely cut off at once
REPORT_TIMEOUT_MS = 1500.0  # three missed reports, which are 500 ms apart
CONFIGURATION_TOPIC = "configuration"  # the value of ``Topic.CONFIGURATION``
MAX_KEPT_WATCHERS = 8  # each entry asks for its watchers some 50 times a second
MAX_STORE_VIEW_AGE_MS = 1200.0  # leaves 800 ms of the 2 s limit for another entry to read a change
# A store that takes 240 ms to answer gives views up to 1240 ms old; a watcher that took over as
# first each time would end all its watches.
MAX_FIRST_VIEW_AGE_MS = 1700.0


@dataclass(frozen=True, slots=True)
class Member:
    """An entry as registered in the store.

    Attributes:
        process: Unique name of the process, generated at each start.
        callers: Address for callers, as ``host:port``.
        peers: Address for other entries, as ``host:port``.
        cores: CPU seconds per second that its VM allots to it.
        operators: Address for operators, as ``host:port``.
    """

    name: str
    process: str
    availability_zone: str
    callers: str
    peers: str
    cores: float = 1.0
    operators: str = ""


@dataclass(slots=True)
class WatcherView:
    """The state that one watcher last reported.

    Attributes:
        last_message_ms: When its last message arrived.
        store_answered_ms: When the store last answered the watcher, on this process's clock.
        live: Names of the entries that report to it, itself included.
        draining: Those of them that told it that they are draining.
        starting: Those of them that have no configuration yet.
    """

    last_message_ms: float
    store_answered_ms: float
    live: frozenset[str]
    draining: frozenset[str]
    starting: frozenset[str]


class Fleet:
    """Derive the live entries and the watchers of the store from registrations and reports.

    Every entry computes the same watchers from the same members, so no election is needed.

    Attributes:
        store: Detects outages of the store, from answers to this entry and to its watchers.
        has_members: Whether the registered entries are known.
        draining: Entries that are draining, as they told this entry or a watcher that it follows.
    """

    __slots__ = (
        "own",
        "member_by_name",
        "view_by_watcher",
        "report_ms_by_name",
        "versions_by_name",
        "draining",
        "_told_draining",
        "store",
        "has_members",
        "_watchers_by_absent",
    )

    def __init__(self, own: Member) -> None:
        self.own = own
        self.member_by_name: dict[str, Member] = {own.name: own}
        self.view_by_watcher: dict[str, WatcherView] = {}
        self.report_ms_by_name: dict[str, float] = {}
        self.versions_by_name: dict[str, dict[str, StoreVersion]] = {}
        self.draining: set[str] = set()
        self._told_draining: set[str] = set()
        self.store = StoreOutageDetector()
        self.has_members = False
        self._watchers_by_absent: dict[tuple[frozenset[str], frozenset[str]], list[Member]] = {}

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace the registered entries and discard the state of those that are gone."""
        self.member_by_name = {member.name: member for member in members}
        self.member_by_name[self.own.name] = self.own
        self._watchers_by_absent.clear()
        self.has_members = True
        self.draining &= self.member_by_name.keys()
        self._told_draining &= self.member_by_name.keys()
        for known in (self.view_by_watcher, self.report_ms_by_name, self.versions_by_name):
            for name in known.keys() - self.member_by_name.keys():
                del known[name]

    def record_report(
        self,
        name: str,
        *,
        is_draining: bool,
        now_ms: float,
        version_by_topic: dict[str, StoreVersion] | None = None,
    ) -> None:
        """Record a subscriber's report and the topic versions that changed, if any."""
        self.report_ms_by_name[name] = now_ms
        if version_by_topic:
            self.versions_by_name[name] = self.versions_by_name.get(name, {}) | version_by_topic
        if is_draining:
            self._told_draining.add(name)
        else:
            self._told_draining.discard(name)
        if is_draining or name in self.draining:
            self._update_draining(name)

    def record_heartbeat(self, name: str, now_ms: float) -> None:
        """Record a subscriber's heartbeat, which confirms its last report."""
        self.report_ms_by_name[name] = now_ms

    def record_watcher_report(
        self,
        watcher: str,
        *,
        live: Iterable[str],
        draining: Iterable[str],
        store_age_ms: float,
        now_ms: float,
        starting: Iterable[str] = (),
    ) -> None:
        """Record a watcher's report on the fleet and the store."""
        view = WatcherView(
            now_ms,
            now_ms - store_age_ms,
            frozenset(live),
            frozenset(draining),
            frozenset(starting),
        )
        self.view_by_watcher[watcher] = view
        self._record_store_age(store_age_ms, now_ms)
        for name in (self.draining & view.live) | view.draining:
            self._update_draining(name)

    def record_watcher_heartbeat(self, watcher: str, *, store_age_ms: float, now_ms: float) -> None:
        """Record a watcher's heartbeat, which confirms its last report."""
        view = self.view_by_watcher.get(watcher)
        if view is not None:
            view.last_message_ms = now_ms
            view.store_answered_ms = now_ms - store_age_ms
            self._record_store_age(store_age_ms, now_ms)

    def discard_watcher_report(self, watcher: str) -> None:
        """Discard a watcher's report after its link went down."""
        self.view_by_watcher.pop(watcher, None)

    def discard_report(self, name: str) -> None:
        """Discard a subscriber's report after its link went down."""
        self.report_ms_by_name.pop(name, None)

    def live_names(self, now_ms: float) -> set[str]:
        """Return the entries that recently reported to this one or to a watcher it follows."""
        names = {self.own.name}
        for name, last_message_ms in self.report_ms_by_name.items():
            if now_ms - last_message_ms < REPORT_TIMEOUT_MS:
                names.add(name)
        for watcher, view in self.view_by_watcher.items():
            if now_ms - view.last_message_ms < REPORT_TIMEOUT_MS:
                names.add(watcher)
                names |= view.live
        return names & self.member_by_name.keys()

    def own_subscribers(self, now_ms: float) -> list[str]:
        """Return the entries that report to this one, itself included."""
        heard = self.report_ms_by_name.items()
        return sorted(
            [self.own.name, *(n for n, at_ms in heard if now_ms - at_ms < REPORT_TIMEOUT_MS)]
        )

    def own_draining(self) -> list[str]:
        """Return the entries that told this one that they are draining, itself included.

        What other watchers report is left out: two watchers would confirm each other's old state.
        """
        return sorted(self._told_draining | (self.draining & {self.own.name}))

    def own_starting(self, now_ms: float) -> list[str]:
        """Return the subscribers that reported that they have no configuration yet."""
        return [
            name
            for name in self.own_subscribers(now_ms)
            if self.versions_by_name.get(name, {}).get(CONFIGURATION_TOPIC) == NO_VERSION
        ]

    def starting(self, now_ms: float) -> set[str]:
        """Return the entries that no configuration has reached, as far as any source knows."""
        views = [
            view
            for view in self.view_by_watcher.values()
            if now_ms - view.last_message_ms < REPORT_TIMEOUT_MS
        ]
        names = set(self.own_starting(now_ms)).union(*(view.starting for view in views))
        started = {name for view in views for name in view.live - view.starting}
        return names - started - {self.own.name}

    def watchers(self, unreachable: frozenset[str] = frozenset()) -> list[Member]:
        """Return the entries that watch the store for the fleet, at most one per zone.

        Args:
            unreachable: Entries that could not be reached; the next in rank takes their place.
        """
        key = (unreachable, frozenset(self.draining))
        watchers = self._watchers_by_absent.get(key)
        if watchers is None:
            if len(self._watchers_by_absent) >= MAX_KEPT_WATCHERS:
                self._watchers_by_absent.clear()
            watchers = self._watchers_by_absent[key] = self._choose_watchers(unreachable)
        return list(watchers)

    def _choose_watchers(self, unreachable: frozenset[str]) -> list[Member]:
        names_by_zone: dict[str, list[str]] = {}
        for member in self.member_by_name.values():
            if member.name not in unreachable and member.name not in self.draining:
                names_by_zone.setdefault(member.availability_zone, []).append(member.name)
        zones = rank(WATCHER_RANK_KEY, tuple(names_by_zone))
        own_zone = self.own.availability_zone
        if own_zone in zones[MAX_WATCHERS:]:
            zones = [own_zone, *zones]
        return [
            self.member_by_name[self._ranked(zone, names_by_zone[zone])[0]]
            for zone in zones[:MAX_WATCHERS]
        ]

    def has_fresh_store_view(self, now_ms: float) -> bool:
        """Return whether a live watcher reported a recent answer of the store."""
        return any(
            self._has_view_of(name, now_ms, MAX_STORE_VIEW_AGE_MS) for name in self.view_by_watcher
        )

    def leads_watchers(self, now_ms: float) -> bool:
        """Return whether no watcher before this entry reported a recent answer of the store."""
        for watcher in self.watchers():
            if watcher.name == self.own.name:
                return True
            if self._has_view_of(watcher.name, now_ms, MAX_FIRST_VIEW_AGE_MS):
                return False
        return True

    def serving_entries(
        self, zone: str, cores: float, now_ms: float, *, unusable: Set[str] = frozenset()
    ) -> list[Member]:
        """Return the entries that callers in ``zone`` use.

        There are as few as possible, so that each sees most of an endpoint's load: the largest
        entries first, until they have ``cores`` in total. Entries of the callers' zone are
        preferred; other zones fill up what is missing. Draining entries are used only if all are
        draining, since they still finish calls for a moment.

        Args:
            zone: Zone of the callers.
            cores: Cores that suffice.
            now_ms: Current time, milliseconds.
            unusable: Entries that cannot serve yet, or no longer.
        """
        live = self.live_names(now_ms) - unusable
        members = [self.member_by_name[name] for name in live - self.draining or live]
        local_names = [item.name for item in members if item.availability_zone == zone]
        remote_names = [item.name for item in members if item.availability_zone != zone]
        chosen: list[Member] = []
        for name in (*self._ranked(zone, local_names), *self._ranked(zone, remote_names)):
            if sum(member.cores for member in chosen) >= cores:
                break
            chosen.append(self.member_by_name[name])
        return chosen

    def _has_view_of(self, watcher: str, now_ms: float, max_age_ms: float) -> bool:
        view = self.view_by_watcher.get(watcher)
        return (
            view is not None
            and now_ms - view.last_message_ms < REPORT_TIMEOUT_MS
            and now_ms - view.store_answered_ms < max_age_ms
        )

    def _record_store_age(self, store_age_ms: float, now_ms: float) -> None:
        self.store.record_answer(now_ms - store_age_ms)
        if store_age_ms > MAX_STORE_VIEW_AGE_MS:
            self.store.record_request(now_ms - store_age_ms)

    def _ranked(self, zone: str, names: Iterable[str]) -> list[str]:
        key = f"{WATCHER_RANK_KEY}/{zone}"
        members = self.member_by_name
        return sorted(
            names, key=lambda name: (members[name].cores, score(key, name), name), reverse=True
        )

    def _update_draining(self, name: str) -> None:
        """Update whether an entry is draining: one source suffices, and the last one is kept."""
        if name == self.own.name:
            return
        views = [view for view in self.view_by_watcher.values() if name in view.live]
        if name in self._told_draining or any(name in view.draining for view in views):
            self.draining.add(name)
        elif views or name in self.report_ms_by_name:
            self.draining.discard(name)
