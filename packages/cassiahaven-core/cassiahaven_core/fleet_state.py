"""One entry's copy of the fleet state, its recent changes, and their encoding for peers."""

from collections import deque
from collections.abc import Callable
from dataclasses import astuple, replace
from typing import Any, TypeAlias

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
from cassiahaven_core.table import ServiceTable
from cassiahaven_core.table_codec import table_from_plain, table_to_plain

KEPT_CHANGES = 512  # two changes for each endpoint of the largest planned service

Item: TypeAlias = Registration | Member | ServiceTable | Evacuation


class TopicState:
    """The items of one topic at a revision of the store, and the most recent changes.

    The revision never decreases: an update that arrives late, by a slower path, is ignored.
    """

    __slots__ = ("item_by_name", "revision", "_changes", "_complete_since_revision")

    def __init__(self) -> None:
        self.item_by_name: dict[str, Item] = {}
        self.revision = 0
        self._changes: deque[tuple[int, str]] = deque(maxlen=KEPT_CHANGES)
        self._complete_since_revision = 0

    def replace(self, items: dict[str, Item], revision: int) -> bool:
        """Replace all items with those at ``revision``; return whether any item changed."""
        if revision < self.revision:
            return False
        changed = {
            name
            for name in items.keys() | self.item_by_name.keys()
            if items.get(name) is not self.item_by_name.get(name)
            and items.get(name) != self.item_by_name.get(name)
        }
        if self.revision == 0:
            self._complete_since_revision = revision
        self.item_by_name = items
        self._record_changes(changed, revision)
        return bool(changed)

    def change(self, changes: dict[str, Item | None], revision: int) -> bool:
        """Apply the changes up to ``revision``; return whether there were any."""
        if revision <= self.revision:
            return False
        for name, item in changes.items():
            if item is None:
                self.item_by_name.pop(name, None)
            else:
                self.item_by_name[name] = item
        self._record_changes(set(changes), revision)
        return bool(changes)

    def changed_since(self, revision: int) -> dict[str, Item | None] | None:
        """Return the changes after ``revision``, or ``None`` if some are no longer kept."""
        if revision < self._complete_since_revision:
            return None
        names = {name for at, name in self._changes if at > revision}
        return {name: self.item_by_name.get(name) for name in names}

    def _record_changes(self, names: set[str], revision: int) -> None:
        for name in names:
            if len(self._changes) == KEPT_CHANGES:
                self._complete_since_revision = self._changes[0][0]
            self._changes.append((revision, name))
        self.revision = revision


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
