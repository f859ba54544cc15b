"""One entry's copy of the fleet state, its recent changes, and their encoding for peers."""

from collections import deque
from collections.abc import Callable
from dataclasses import astuple, replace
from hashlib import blake2b
from typing import Any, TypeAlias

import cbor2

from cassiahaven_core.account import ClientAccount
from cassiahaven_core.evacuation import Evacuation
from cassiahaven_core.membership import Member
from cassiahaven_core.registry import Registration
from cassiahaven_core.route import (
    CallerLimits,
    ConfigTable,
    GatewayConfig,
    RejectedRow,
    Route,
    ServiceShare,
    ServiceSpec,
)
from cassiahaven_core.store_version import NO_VERSION, StoreVersion
from cassiahaven_core.table import ServiceTable
from cassiahaven_core.table_codec import table_from_plain, table_to_plain

KEPT_CHANGES = 512  # two changes for each endpoint of the largest planned service
DIGEST_BYTES = 8

Item: TypeAlias = Registration | Member | ServiceTable | Evacuation


class TopicState:
    """The items of one topic at a version of the store, and the most recent changes.

    The version is the one that last changed an item, not the last one of the store: endpoints
    write the store several times a second without changing anything. It never decreases: an update
    that arrives late, by a slower path, is ignored.

    Attributes:
        digest: Digest of all items, equal at two entries that have the same items.
        read_version: Version of the store's last answer to this entry.
    """

    __slots__ = (
        "item_by_name",
        "version",
        "digest",
        "read_version",
        "_digest_by_name",
        "_changes",
        "_complete_since",
    )

    def __init__(self) -> None:
        self.item_by_name: dict[str, Item] = {}
        self.version = NO_VERSION
        self.digest = 0
        self.read_version = NO_VERSION
        self._digest_by_name: dict[str, int] = {}
        self._changes: deque[tuple[StoreVersion, str]] = deque(maxlen=KEPT_CHANGES)
        self._complete_since = NO_VERSION

    def replace(self, items: dict[str, Item], version: StoreVersion | int) -> bool:
        """Replace all items with those at ``version``; return whether any item changed."""
        version = StoreVersion.of(version)
        if version < self.version:
            return False
        changed = {
            name
            for name in items.keys() | self.item_by_name.keys()
            if not _is_same(self.item_by_name.get(name), items.get(name))
        }
        if self.version == NO_VERSION:
            self._complete_since = version
        self._set({name: items.get(name) for name in changed})
        self._record_changes(changed, version)
        return bool(changed)

    def change(self, changes: dict[str, Item | None], version: StoreVersion | int) -> bool:
        """Apply the changes up to ``version``; return whether there were any."""
        version = StoreVersion.of(version)
        if version <= self.version or (changes and not self._can_continue(version)):
            return False
        changed = self._differing(changes)
        self._set({name: changes[name] for name in changed})
        self._record_changes(changed, version)
        return bool(changed)

    def version_of(
        self,
        items: dict[str, Item | None],
        revision_by_name: dict[str, int],
        version: StoreVersion | int,
    ) -> StoreVersion:
        """Return the version that last changed this topic, given changes up to ``version``.

        Args:
            items: Items as the store told them, ``None`` for a deleted one.
            revision_by_name: Revisions that wrote the items, 0 where it is not known.
            version: Version of the store's answer.
        """
        version = StoreVersion.of(version)
        known = self.version
        if version <= known or known == NO_VERSION or not self._can_continue(version):
            return version
        changed = self._differing(items)
        if not changed:
            return known
        # The revision of a deletion is not known.
        written = [revision_by_name.get(name, 0) if items[name] else 0 for name in changed]
        if not all(known.revision < item <= version.revision for item in written):
            return version
        return StoreVersion(version.era, max(written))

    def changed_since(
        self, version: StoreVersion | int, digest: int = 0
    ) -> dict[str, Item | None] | None:
        """Return the changes after ``version``, or ``None`` if some are not known.

        Args:
            version: Version of the entry that asks.
            digest: Digest of its items, 0 if it is not known.
        """
        version = StoreVersion.of(version)
        if digest and digest == self.digest:
            return {}
        if version < self._complete_since:
            return None
        names = {name for at, name in self._changes if at > version}
        return {name: self.item_by_name.get(name) for name in names}

    def answer_newer(self, version: StoreVersion | int, digest: int) -> None:
        """Raise the version if an entry has other items at a version that this one has read.

        An item that was changed and changed back between two answers of the store is no change
        here, but another watcher may have seen and passed on the first of the two.
        """
        if self.version < StoreVersion.of(version) <= self.read_version and digest != self.digest:
            self._record_changes(set(), self.read_version)

    def fits(
        self, changes: dict[str, Item | None], version: StoreVersion | int, digest: int
    ) -> bool:
        """Return whether ``changes`` lead to the items with ``digest``, or come too late.

        They may not, as this entry may have changed since it asked for them.

        Args:
            changes: Changes up to ``version``.
            version: Version of the entry that sent them.
            digest: Digest of its items, 0 if it is not known.
        """
        if not digest or StoreVersion.of(version) <= self.version:
            return True
        result = self.digest
        for name in self._differing(changes):
            item = changes[name]
            result ^= self._digest_by_name.get(name, 0)
            result ^= _digest(name, item) if item is not None else 0
        return result == digest

    def _can_continue(self, version: StoreVersion) -> bool:
        """Return whether changes up to ``version`` can follow the items of this one."""
        return version.era == self.version.era

    def _differing(self, items: dict[str, Item | None]) -> set[str]:
        known = self.item_by_name
        return {name for name, item in items.items() if not _is_same(known.get(name), item)}

    def _set(self, changes: dict[str, Item | None]) -> None:
        # Kept as one dictionary that is never changed in place, as others hold it.
        merged = self.item_by_name | changes
        self.item_by_name = {name: item for name, item in merged.items() if item is not None}
        for name, item in changes.items():
            self.digest ^= self._digest_by_name.pop(name, 0)
            if item is not None:
                self._digest_by_name[name] = _digest(name, item)
                self.digest ^= self._digest_by_name[name]

    def _record_changes(self, names: set[str], version: StoreVersion) -> None:
        if not self._can_continue(version):
            # An entry may have seen changes of the earlier era that this one never saw.
            self._changes.clear()
            self._complete_since = version
        for name in names:
            if len(self._changes) == KEPT_CHANGES:
                self._complete_since = self._changes[0][0]
            self._changes.append((version, name))
        self.version = version


def _is_same(known: Item | None, item: Item | None) -> bool:
    """Return whether an item is unchanged; the cold time of an endpoint passes by itself."""
    if known is item or known == item:
        return True
    if not isinstance(known, Registration) or not isinstance(item, Registration):
        return False
    return 0 < item.cold_ms <= known.cold_ms and replace(item, cold_ms=known.cold_ms) == known


def _digest(name: str, item: Item) -> int:
    if isinstance(item, Registration):
        # Entries that read the registration at different times know different cold times.
        item = replace(item, cold_ms=float(item.cold_ms > 0))
    data = cbor2.dumps([name, item_to_plain(item)])
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest())


def item_to_plain(item: Item) -> list[Any]:
    """Return an item as a list of plain values."""
    if isinstance(item, ServiceTable):
        # The history is left out: only the store's copy of it is complete.
        return [table_to_plain(replace(item, history=[]))]
    return list(astuple(item))


def plain_to_item(kind: Callable[..., Item], plain: list[Any]) -> Item:
    """Decode an item of class ``kind`` from its plain list.

    Raises:
        TypeError, KeyError: The list does not describe such an item.
    """
    if kind is ServiceTable:
        return table_from_plain(*plain)
    return kind(*plain)


def config_to_plain(config: GatewayConfig) -> list[Any]:
    """Return a configuration as nested lists."""
    plain = [
        config.version,
        [list(astuple(route)) for route in config.routes],
        [list(astuple(spec)) for spec in config.service_by_name.values()],
        list(astuple(config.limits)),
    ]
    if config.rejected or config.accounts is not None:
        # Left out if not needed: earlier builds read only the four lists above.
        plain.append(
            [
                [row.table.value, row.name, row.finding, row.host, row.path_prefix]
                for row in config.rejected
            ]
        )
    if config.accounts is not None:
        plain.append([list(astuple(account)) for account in config.accounts])
    return plain


def config_from_plain(plain: list[Any]) -> GatewayConfig:
    """Decode a configuration from nested lists.

    Raises:
        TypeError, ValueError: The lists do not describe a configuration.
    """
    version, routes, specs, limits, *rest = plain
    rejected = rest[0] if rest else []
    accounts = rest[1] if len(rest) > 1 else None
    return GatewayConfig(
        version,
        tuple(_route_from_plain(route) for route in routes),
        {spec[0]: ServiceSpec(*spec) for spec in specs},
        CallerLimits(*limits),
        tuple(RejectedRow(ConfigTable(table), *fields) for table, *fields in rejected),
        None if accounts is None else tuple(_account_from_plain(account) for account in accounts),
    )


def _account_from_plain(plain: list[Any]) -> ClientAccount:
    name, key_digests, *rest = plain
    return ClientAccount(name, tuple(key_digests), *rest)


def _route_from_plain(plain: list[Any]) -> Route:
    name, host, path_prefix, shares, *rest = plain
    return Route(name, host, path_prefix, tuple(ServiceShare(*share) for share in shares), *rest)
