"""Specification: entries that name the same version of a topic have the same items.

The store writes items and may be restored from a copy, which takes revisions back and issues them
again. Two watchers read the store, an entry follows both, and any message may be late, lost or
repeated. Each entry may stop at any point for any time.
"""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from dataclasses import dataclass, replace
from unittest.mock import patch

from cassiahaven_core.fleet_state import TopicState
from cassiahaven_core.registry import Registration
from cassiahaven_core.store_version import NO_VERSION, StoreVersion
from specs.explorer import Spec

NAMES = ("e", "f")
WATCHERS = 2
FOLLOWER = 2
Items = frozenset[tuple[str, int]]


@dataclass(frozen=True, slots=True)
class Store:
    """The store in one era.

    Attributes:
        writes: For each revision, the name that it wrote and the name's value, 0 for a deletion.
    """

    era: int = 0
    writes: tuple[tuple[str, int], ...] = ()

    def items(self, revision: int) -> Items:
        """Return the items at ``revision``."""
        return frozenset((n, v) for n, v in dict(self.writes[:revision]).items() if v)

    @property
    def version(self) -> StoreVersion:
        """Return the current version; revisions begin at 1, as 0 is no version."""
        return StoreVersion(self.era, len(self.writes) + 1)


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry's copy of the topic.

    Attributes:
        read: Version up to which a watcher has read the store, ``None`` if it must read all.
        changes: Kept changes, as in the copy itself.
    """

    version: StoreVersion = NO_VERSION
    items: Items = frozenset()
    changes: tuple[tuple[StoreVersion, str], ...] = ()
    complete_since: StoreVersion = NO_VERSION
    read: StoreVersion | None = None


@dataclass(frozen=True, slots=True)
class News:
    """An answer of a watcher to the follower; any of them may arrive again at any time."""

    version: StoreVersion
    is_whole: bool
    items: frozenset[tuple[str, int]]
    digest: int


@dataclass(frozen=True, slots=True)
class World:
    """State of the whole system.

    Attributes:
        copy: State to which the store is restored.
        past: The store in earlier eras.
        fault: Set once an entry has gone back to an older version.
    """

    store: Store
    copy: Store
    entries: tuple[Entry, ...]
    past: tuple[Store, ...] = ()
    messages: frozenset[News] = frozenset()
    written: int = 0
    fault: str = ""


class RestoredStore(Spec[World]):
    """Explore writes, one restore, and late or repeated news.

    Args:
        writes: Number of writes.
        restores: Number of restores.
        messages: Number of answers that watchers send.
    """

    name = "restored-store"

    def __init__(self, *, writes: int = 1, restores: int = 1, messages: int = 2) -> None:
        self._writes = writes
        self._restores = restores
        self._messages = messages
        self.bound = (
            f"2 watchers, 1 subscriber, {writes} writes, {restores} restores, "
            f"{messages} answers, lost and repeated"
        )

    def initial(self) -> World:
        """Return a store with one item, which all entries know."""
        store = Store(writes=((NAMES[0], 1),))
        state = TopicState()
        state.replace({NAMES[0]: _item(NAMES[0], 1)}, store.version)
        entry = _entry(state)
        watcher = replace(entry, read=store.version)
        return World(store, copy=store, entries=(watcher,) * WATCHERS + (entry,), written=1)

    def properties(self) -> dict[str, Callable[[World], bool]]:
        """Return the invariants of the entries' copies."""
        return {
            "version_means_items": _version_means_items,
            "watcher_has_what_it_read": _watcher_has_what_it_read,
            "never_goes_back": lambda world: not world.fault,
        }

    def mutants(self) -> dict[str, Callable[[], AbstractContextManager[None]]]:
        """Return mutants of the topic's copy."""
        return {
            "an answer is applied to other items than it was asked for": lambda: patch.object(
                TopicState, "fits", lambda self, changes, version, digest: True
            ),
            "versions without the era": lambda: patch.object(
                StoreVersion, "of", classmethod(_without_era)
            ),
            "a list is older if its revision is": lambda: patch.object(
                StoreVersion, "__lt__", lambda self, other: self[1] < other[1], create=True
            ),
        }

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield every possible next step."""
        if world.written <= self._writes:
            for name in NAMES:
                has_item = any(item == name for item, _ in world.store.items(world.written))
                for value in (world.written + 1, 0) if has_item else (world.written + 1,):
                    writes = (*world.store.writes, (name, value))
                    store = replace(world.store, writes=writes)
                    yield "write", replace(world, store=store, written=world.written + 1)
        if len(world.past) < self._restores:
            restored = replace(world.copy, era=world.store.era + 1)
            yield "restore", replace(world, store=restored, past=(*world.past, world.store))
        for index in range(WATCHERS):
            yield from self._read(world, index)
            if len(world.messages) < self._messages:
                yield from self._answer(world, index)
        for news in world.messages:
            yield "news arrive", self._deliver(world, news)

    def _read(self, world: World, index: int) -> Iterator[tuple[str, World]]:
        """Read the store as the feed does: whole at first and after a restore, then changes."""
        entry, store = world.entries[index], world.store
        # A watcher reads what it has not read; until then it may stand still for any time.
        if entry.read == store.version:
            return
        state = _state(entry)
        if entry.read is None or entry.read.era != store.era:
            listed = {name: _item(name, value) for name, value in store.items(len(store.writes))}
            items = dict.fromkeys(state.item_by_name) | listed
            version = state.version_of(items, {}, store.version)
            state.replace(listed, version)
        else:
            # The revision of a write is one more than its position.
            news = store.writes[entry.read.revision - 1 :]
            changes = {name: _item(name, value) if value else None for name, value in news}
            first = entry.read.revision + 1
            revisions = {name: first + at for at, (name, _) in enumerate(news)}
            state.change(changes, state.version_of(changes, revisions, store.version))
        yield "read", _put(world, index, replace(_entry(state), read=store.version))

    def _answer(self, world: World, index: int) -> Iterator[tuple[str, World]]:
        """Answer a request of the subscriber, which may have been sent long before."""
        state, follower = _state(world.entries[index]), _state(world.entries[FOLLOWER])
        if state.version <= follower.version:
            return
        changed = state.changed_since(follower.version, follower.digest)
        items = state.item_by_name if changed is None else changed
        news = News(
            state.version,
            changed is None,
            frozenset((name, item.born_ms if item else 0) for name, item in items.items()),
            state.digest,
        )
        yield "answer", replace(world, messages=world.messages | {news})

    def _deliver(self, world: World, news: News) -> World:
        state = _state(world.entries[FOLLOWER])
        before = state.version
        items = {name: _item(name, value) if value else None for name, value in news.items}
        if news.is_whole:
            state.replace({name: item for name, item in items.items() if item}, news.version)
        elif state.fits(items, news.version, news.digest):
            state.change(items, news.version)
        after = _put(world, FOLLOWER, _entry(state))
        return replace(after, fault="went back") if state.version < before else after


def _version_means_items(world: World) -> bool:
    store_by_era = {store.era: store for store in (*world.past, world.store)}
    return all(
        entry.items == store_by_era[entry.version.era].items(entry.version.revision - 1)
        for entry in world.entries
        if entry.version != NO_VERSION
    )


def _watcher_has_what_it_read(world: World) -> bool:
    return all(
        entry.items == world.store.items(len(world.store.writes))
        for entry in world.entries
        if entry.read == world.store.version
    )


def _without_era(cls: type[StoreVersion], plain: int | StoreVersion) -> StoreVersion:
    return cls(0, plain if isinstance(plain, int) else plain[1])


def _item(name: str, value: int) -> Registration:
    return Registration(name, "s", "10.0.0.1", 80, "a", 1, False, value)


def _state(entry: Entry) -> TopicState:
    state = TopicState()
    state.replace({name: _item(name, value) for name, value in entry.items}, 0)
    state.version = entry.version
    state._changes.clear()
    state._changes.extend(entry.changes)
    state._complete_since = entry.complete_since
    return state


def _entry(state: TopicState) -> Entry:
    items = frozenset((name, item.born_ms) for name, item in state.item_by_name.items())
    changes = tuple(sorted(state._changes))
    return Entry(state.version, items, changes, state._complete_since)


def _put(world: World, index: int, entry: Entry) -> World:
    entries = (*world.entries[:index], entry, *world.entries[index + 1 :])
    return replace(world, entries=entries)
