"""Local replica of the fleet's state, fed by the store and by watchers."""

from collections.abc import Callable, Collection
from dataclasses import replace

import cbor2

from cassiahaven_core.config_change import apply_config_change, config_change, config_digest
from cassiahaven_core.edge import FleetChanges, Topic
from cassiahaven_core.evacuation import Evacuation
from cassiahaven_core.fleet_state import (
    Item,
    TopicState,
    config_from_plain,
    config_to_plain,
    item_to_plain,
    plain_to_item,
)
from cassiahaven_core.membership import Fleet, Member
from cassiahaven_core.peer_message import StateNews, StateRequest
from cassiahaven_core.registry import EndpointRegistry, Registration
from cassiahaven_core.route import GatewayConfig, RoutingTable
from cassiahaven_core.store_version import NO_VERSION, StoreVersion
from cassiahaven_core.table import ServiceTable
from cassiahaven_entry.clock import now_ms
from cassiahaven_entry.event import LogEvent, log

CLASS_BY_TOPIC = {
    Topic.ENDPOINTS.value: Registration,
    Topic.MEMBERS.value: Member,
    Topic.TABLES.value: ServiceTable,
    Topic.EVACUATIONS.value: Evacuation,
}
FROM_STORE = "store"
FROM_PEER = "peer"
AFTER_OUTAGE = "outage"
KEPT_CONFIGURATIONS = 3  # earlier versions of which subscribers get only the rows that differ
BASE, CHANGE, DIGEST = "base", "change", "digest"  # parts of a changed configuration
MAX_LISTED_NAMES = 20  # names in one log line, to bound it for any number of endpoints


class FleetView:
    """Replicate configuration, endpoints, members, tables and evacuations, and report changes.

    Args:
        fleet: Members and their liveness.
        routing: The active configuration.
        on_config: Called when a newer configuration becomes active.
        on_endpoints: Called when endpoints changed.
        on_members: Called when members changed.
        on_table: Called with each changed table and the source of the change.
        on_evacuations: Called with the evacuated zones when they become known and when they change,
            ``None`` if evacuations are not followed.
        on_restored: Called with the era once the tables of a restored store are known.
    """

    def __init__(
        self,
        fleet: Fleet,
        routing: RoutingTable,
        *,
        on_config: Callable[[GatewayConfig], None],
        on_endpoints: Callable[[Collection[Registration]], None],
        on_members: Callable[[], None],
        on_table: Callable[[ServiceTable, str], None],
        on_evacuations: Callable[[frozenset[str]], None] | None = None,
        on_restored: Callable[[int, str], None] = lambda era, source: None,
    ) -> None:
        self.era = 0
        self.registry = EndpointRegistry()
        self._fleet = fleet
        self._routing = routing
        self._endpoints = TopicState()
        self._members = TopicState()
        self._tables = TopicState()
        self._evacuations = TopicState()
        self._state_by_topic = {
            Topic.ENDPOINTS.value: self._endpoints,
            Topic.MEMBERS.value: self._members,
            Topic.TABLES.value: self._tables,
        }
        self._config_by_version: dict[int, bytes] = {}
        self._needs_whole: set[str] = set()
        if on_evacuations is not None:
            self._state_by_topic[Topic.EVACUATIONS.value] = self._evacuations
        self._on_evacuations = on_evacuations
        self._on_config = on_config
        self._on_endpoints = on_endpoints
        self._on_members = on_members
        self._on_table = on_table
        self._on_restored = on_restored
        self._kept: frozenset[str] = frozenset()

    @property
    def has_endpoints(self) -> bool:
        """Return whether any endpoint is known."""
        return bool(self.registry.registration_by_endpoint)

    @property
    def has_members(self) -> bool:
        """Return whether the member list has been received."""
        return self._members.version != NO_VERSION

    @property
    def has_evacuations(self) -> bool:
        """Return whether it is known which zones are evacuated, even if none is."""
        return self._evacuations.version != NO_VERSION

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Return the zones that are evacuated."""
        return frozenset(self._evacuations.item_by_name)

    @property
    def members_era(self) -> int:
        """Return the era of the store in which the members are known."""
        return self._members.version.era

    def is_registered(self, member: Member) -> bool:
        """Return whether the store lists this process of ``member``."""
        listed = self._members.item_by_name.get(member.name)
        return isinstance(listed, Member) and listed.process == member.process

    def versions(self) -> dict[str, StoreVersion]:
        """Return the local version of each topic, by topic name."""
        return {
            # The operators number their configurations, also over restores of the store.
            Topic.CONFIGURATION.value: StoreVersion(0, self._routing.version),
            **{topic: state.version for topic, state in self._state_by_topic.items()},
        }

    def state_request(self, topic: str) -> StateRequest:
        """Return the request for what changed in ``topic`` since the local version."""
        if topic == Topic.CONFIGURATION.value:
            version = 0 if topic in self._needs_whole else self._routing.version
            return StateRequest(topic, StoreVersion(0, version))
        if topic in self._needs_whole:
            return StateRequest(topic, NO_VERSION)
        state = self._state_by_topic[topic]
        return StateRequest(topic, state.version, state.digest)

    def state_update(self, request: StateRequest) -> StateNews:
        """Return the changes since the version in ``request``, or the full state."""
        topic = request.topic
        if topic == Topic.CONFIGURATION.value:
            return self._config_update(StoreVersion.of(request.version).revision)
        state = self._state_by_topic[topic]
        state.answer_newer(request.version, request.digest)
        changed = state.changed_since(request.version, request.digest)
        if changed is None:
            return self._full_state(topic, state)
        plain = {
            name: None if item is None else item_to_plain(item) for name, item in changed.items()
        }
        return StateNews(topic, state.version, False, plain, state.digest)

    def apply_update(self, state_update: StateNews, peer: str) -> None:
        """Apply a state update from the watcher ``peer``."""
        if state_update.topic == Topic.CONFIGURATION.value:
            self._apply_config_update(state_update)
            return
        kind = CLASS_BY_TOPIC[state_update.topic]
        items = {
            name: None if plain is None else plain_to_item(kind, plain)
            for name, plain in state_update.plain_by_name.items()
        }
        topic, version = state_update.topic, StoreVersion.of(state_update.version)
        if state_update.is_whole:
            self._needs_whole.discard(topic)
        elif not self._state_by_topic[topic].fits(items, version, state_update.digest):
            self._needs_whole.add(topic)
            return
        self._apply(
            Topic(topic),
            items,
            version,
            FROM_PEER,
            peer,
            is_whole=state_update.is_whole,
        )

    def apply_changes(self, topic: Topic, changes: FleetChanges) -> bool:
        """Apply changes read from the store; return whether they changed any item."""
        if topic is Topic.CONFIGURATION:
            known = self._routing.version
            for change in changes.changes:
                if isinstance(change.item, GatewayConfig):
                    self._report_older_config(change.item, changes.version)
                    self._activate(change.item, FROM_STORE)
            return self._routing.version != known
        state = self._state_by_topic[topic.value]
        items = {change.name: change.item for change in changes.changes}
        if changes.is_whole:
            items = dict.fromkeys(state.item_by_name) | items
        revision_by_name = {change.name: change.revision for change in changes.changes}
        before = state.version
        version = state.version_of(items, revision_by_name, changes.version)
        self._apply(topic, items, version, FROM_STORE, is_whole=changes.is_whole)
        state.read_version = changes.version
        return state.version != before

    def expire(self) -> None:
        """Drop endpoints that did not register again after a store outage."""
        if not self._fleet.store.may_have_expired(now_ms()) and self.registry.drop_expired():
            self._notify_endpoints(AFTER_OUTAGE)

    def _full_state(self, topic: str, state: TopicState) -> StateNews:
        plain = {name: item_to_plain(item) for name, item in state.item_by_name.items()}
        return StateNews(topic, state.version, True, plain)

    def _activate(self, config: GatewayConfig, source: str) -> None:
        if config.version > self._routing.version:
            self._keep_config()
        if not self._routing.activate(config):
            return
        log(
            LogEvent.CONFIGURATION_IN_FORCE,
            version=config.version,
            routes=len(config.routes),
            source=source,
        )
        for row in config.rejected[:MAX_LISTED_NAMES]:
            log(
                LogEvent.CONFIGURATION_ROW_REJECTED,
                version=config.version,
                table=row.table.value,
                row=row.name,
                host=row.host,
                path_prefix=row.path_prefix,
                finding=row.finding,
                rejected=len(config.rejected),
            )
        self._on_config(config)

    def _config_update(self, base: int) -> StateNews:
        topic, version = Topic.CONFIGURATION.value, StoreVersion(0, self._routing.version)
        config = self._routing.config
        if config is None:
            return StateNews(topic, version, True, {})
        plain = cbor2.loads(cbor2.dumps(config_to_plain(config)))
        known = self._config_by_version.get(base)
        if known is None or base == version.revision:
            return StateNews(topic, version, True, {"": plain})
        parts = {
            BASE: base,
            CHANGE: config_change(cbor2.loads(known), plain),
            DIGEST: config_digest(plain),
        }
        return StateNews(topic, version, False, parts)

    def _apply_config_update(self, state_update: StateNews) -> None:
        if state_update.is_whole:
            self._needs_whole.discard(state_update.topic)
            for plain in state_update.plain_by_name.values():
                self._activate(config_from_plain(plain), FROM_PEER)
            return
        parts = state_update.plain_by_name
        config = self._routing.config
        if config is None or config.version != parts[BASE]:
            return
        before = cbor2.loads(cbor2.dumps(config_to_plain(config)))
        try:
            plain = apply_config_change(before, parts[CHANGE])
            is_exact = config_digest(plain) == parts[DIGEST]
        except (TypeError, ValueError, LookupError):
            is_exact = False
        if not is_exact:
            # The version was written with other contents, for instance in a restored store.
            self._needs_whole.add(state_update.topic)
            return
        self._activate(config_from_plain(plain), FROM_PEER)

    def _report_older_config(self, config: GatewayConfig, version: StoreVersion) -> None:
        if config.version < self._routing.version:
            log(
                LogEvent.CONFIGURATION_OLDER,
                version=config.version,
                in_force=self._routing.version,
                era=version.era,
            )

    def _keep_config(self) -> None:
        """Keep the configuration in force as the base of the next change."""
        config = self._routing.config
        if config is None:
            return
        self._config_by_version[config.version] = cbor2.dumps(config_to_plain(config))
        while len(self._config_by_version) > KEPT_CONFIGURATIONS:
            del self._config_by_version[min(self._config_by_version)]

    def _apply_evacuations(
        self,
        items: dict[str, Evacuation | None],
        version: StoreVersion,
        source: str,
        *,
        is_whole: bool,
    ) -> None:
        before, was_known = self.evacuated_zones, self.has_evacuations
        _update(self._evacuations, items, version, is_whole=is_whole)
        after = self.evacuated_zones
        for zone in sorted(after - before):
            log(LogEvent.EVACUATION_BEGUN, zone=zone, revision=version.revision, source=source)
        for zone in sorted(before - after):
            log(LogEvent.EVACUATION_ENDED, zone=zone, revision=version.revision, source=source)
        if self._on_evacuations is not None and (after != before or not was_known):
            self._on_evacuations(after)

    def _apply(
        self,
        topic: Topic,
        items: dict[str, Item | None],
        version: StoreVersion,
        source: str,
        peer: str = "",
        *,
        is_whole: bool,
    ) -> None:
        # Pass the store's items on unchanged; each entry decides which endpoints stay in use.
        if version.era > self.era:
            self._enter_era(version.era, source, peer)
        if topic is Topic.EVACUATIONS:
            self._apply_evacuations(items, version, source, is_whole=is_whole)
            return
        state = self._state_by_topic[topic.value]
        before = state.version
        is_changed = _update(state, items, version, is_whole=is_whole)
        if topic is Topic.TABLES:
            self._notify_tables(items, before, source)
        if not is_changed:
            return
        if topic is Topic.MEMBERS:
            self._fleet.set_members(state.item_by_name.values())
            self._on_members()
        elif topic is Topic.ENDPOINTS:
            outages = self._fleet.store
            self.registry.replace(
                state.item_by_name,
                may_have_expired=outages.may_have_expired(now_ms()),
                is_restored=outages.is_restored(now_ms()),
            )
            self._notify_endpoints(source, peer)

    def _enter_era(self, era: int, source: str, peer: str) -> None:
        is_first = max(state.version for state in self._state_by_topic.values()) == NO_VERSION
        before, self.era = self.era, era
        if is_first:
            return
        log(LogEvent.STORE_RESTORED, era=era, before=before, source=source, peer=peer)
        self._fleet.store.record_restore(now_ms())

    def _notify_tables(
        self, items: dict[str, Item | None], before: StoreVersion, source: str
    ) -> None:
        version = self._tables.version
        if version == before:
            return
        is_restored = version.era > before.era
        for table in (self._tables.item_by_name if is_restored else items).values():
            if isinstance(table, ServiceTable):
                self._on_table(replace(table, era=version.era), source)
        if is_restored:
            self._on_restored(version.era, source)

    def _notify_endpoints(self, source: str, peer: str = "") -> None:
        current = self.registry.registration_by_endpoint
        revision = self._endpoints.version.revision
        self._log_kept(revision, source, peer)
        log(
            LogEvent.ENDPOINTS_CHANGED,
            revision=revision,
            era=self._endpoints.version.era,
            endpoints=len(current),
            draining=sum(item.is_draining for item in current.values()),
            kept=len(self._kept),
            source=source,
            peer=peer,
        )
        self._on_endpoints(current.values())

    def _log_kept(self, revision: int, source: str, peer: str) -> None:
        before, self._kept = self._kept, self.registry.kept_endpoints
        if not self._kept - before:
            return
        log(
            LogEvent.ENDPOINTS_KEPT,
            revision=revision,
            endpoints=sorted(self._kept - before)[:MAX_LISTED_NAMES],
            kept=len(self._kept),
            store_away=self._fleet.store.is_store_down(now_ms()),
            source=source,
            peer=peer,
        )


def _update(
    state: TopicState, items: dict[str, Item | None], version: StoreVersion, *, is_whole: bool
) -> bool:
    if not is_whole:
        return state.change(items, version)
    return state.replace({name: item for name, item in items.items() if item is not None}, version)
