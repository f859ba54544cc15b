"""Bytes that one change sends between entries, counted on the real links without sockets."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from cassiahaven_core.account import ClientAccount, key_digest
from cassiahaven_core.edge import FleetChange, FleetChanges, Topic
from cassiahaven_core.membership import Fleet, Member
from cassiahaven_core.peer_message import Encoded, PeerMessage, WatcherReport, decode, encode
from cassiahaven_core.registry import Registration
from cassiahaven_core.route import GatewayConfig, Route, RoutingTable, ServiceShare, ServiceSpec
from cassiahaven_entry.fleet_links import (
    REPORT_INTERVAL_MS,
    FleetLinks,
    LinkCallbacks,
    WatcherLink,
)
from cassiahaven_entry.fleet_view import FleetView
from cassiahaven_entry.metrics import Metrics

ENTRY_COUNTS = (20, 137, 300)
ZONES = "abc"
ENDPOINTS = 377  # the four services of a large deployment
ROUTES = 12
ACCOUNTS = 85
MS_PER_S = 1000.0
ROUNDS = 4  # report intervals after a change, until its last request is answered


class _Entry:
    """The fleet state of one entry and its links, without sockets and timers."""

    def __init__(self, number: int, network: "_Network") -> None:
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"edge-{self.zone}-{number}"
        self.member = Member(
            self.name,
            f"{self.name}-0123456789ab",
            self.zone,
            f"10.0.{number // 250}.{number % 250}:80",
            f"10.0.{number // 250}.{number % 250}:9000",
            0.43,
            f"10.0.{number // 250}.{number % 250}:9100",
        )
        self.fleet = Fleet(self.member)
        self.view = FleetView(
            self.fleet,
            RoutingTable(),
            on_config=lambda config: None,
            on_endpoints=lambda registrations: None,
            on_members=lambda: None,
            on_table=lambda table, source: None,
        )
        callbacks = LinkCallbacks(
            report=self._report,
            versions=self.view.versions,
            state_request=self.view.state_request,
            state_update=self.view.state_update,
            on_state_update=self.view.apply_update,
            on_crash=lambda notice: None,
            on_rate_limit=lambda notice: None,
        )
        with patch("cassiahaven_entry.fleet_links.PeerServer"):
            self.links = FleetLinks(self.fleet, callbacks, key="k", metrics=Metrics())
        self.links._server.publish = lambda message: network.publish(self, message)
        self.callbacks = callbacks

    def _report(self) -> WatcherReport:
        return WatcherReport(
            live=self.fleet.own_subscribers(network_now_ms()),
            draining=self.fleet.own_draining(),
            store_age_ms=4.125,
            version_by_topic=self.view.versions(),
        )


class _Network:
    """Carries the messages between entries and counts their bytes."""

    def __init__(self, count: int) -> None:
        self.bytes_by_kind: Counter[str] = Counter()
        self.between_zones = 0
        self.entries = [_Entry(number, self) for number in range(count)]
        self.links_by_watcher: dict[str, list[tuple[_Entry, WatcherLink]]] = {}
        members = [FleetChange(item.name, item.member) for item in self.entries]
        for item in self.entries:
            item.view.apply_changes(Topic.MEMBERS, FleetChanges(1, members, True))
        names = {member.name for member in self.entries[0].fleet.watchers()}
        self.watchers = [item for item in self.entries if item.name in names]
        for watcher in self.watchers:
            self.links_by_watcher[watcher.name] = []

    def connect(self, entry: _Entry) -> None:
        """Connect ``entry`` to all watchers."""
        watchers = [item for item in self.watchers if item is not entry]
        for watcher in watchers:
            link = WatcherLink(
                watcher.member,
                "k",
                entry.fleet,
                entry.callbacks,
                entry.links._request_pacer,
                entry.links._has_near_link,
            )
            link.send = lambda message, link=link, w=watcher: self.ask(entry, link, w, message)
            entry.links.link_by_name[watcher.name] = link
        for watcher in watchers:
            link = entry.links.link_by_name[watcher.name]
            link._connection = object()
            for message in watcher.links.greeting():
                self._count(watcher, entry, message)
                link._receive(decode(encode(message)))
            self.links_by_watcher[watcher.name].append((entry, link))
            link._on_connected()

    def disconnect(self, entry: _Entry) -> None:
        """End the links of ``entry``, as the kernel of a killed process does."""
        for watcher in self.watchers:
            pairs = self.links_by_watcher[watcher.name]
            self.links_by_watcher[watcher.name] = [pair for pair in pairs if pair[0] is not entry]
            watcher.links.on_disconnected(entry.name)

    def ask(self, entry: _Entry, link: WatcherLink, watcher: _Entry, message: PeerMessage) -> bool:
        """Pass ``message`` of a subscriber to its watcher, and the replies back."""
        self._count(entry, watcher, message)
        for reply in watcher.links.receive(entry.name, decode(encode(message))):
            self._count(watcher, entry, reply)
            link._receive(decode(reply.data if isinstance(reply, Encoded) else encode(reply)))
        return True

    def publish(self, watcher: _Entry, message: PeerMessage) -> None:
        """Pass ``message`` of a watcher to all its subscribers."""
        data = encode(message)
        for entry, link in list(self.links_by_watcher[watcher.name]):
            self._count(watcher, entry, message)
            link._receive(decode(data))

    def pass_interval(self) -> None:
        """Let one report interval pass, with all reports of both directions."""
        _clock.advance_ms(REPORT_INTERVAL_MS)
        for entry in self.entries:
            for link in entry.links.link_by_name.values():
                link.report(False)
        for watcher in self.watchers:
            watcher.links._publish_report()

    def _count(self, sender: _Entry, receiver: _Entry, message: PeerMessage | Encoded) -> None:
        is_encoded = isinstance(message, Encoded)
        size = len(message.data if is_encoded else encode(message))
        self.bytes_by_kind[message.kind if is_encoded else type(message).__name__] += size
        if sender.zone != receiver.zone:
            self.between_zones += size


class _Clock:
    """Clock that only the measurement advances."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000.0

    def __call__(self) -> float:
        """Return the time in seconds, as the clock of eventlet's hub."""
        return self.now_ms / MS_PER_S

    def advance_ms(self, passed_ms: float) -> None:
        """Move the clock forward."""
        self.now_ms += passed_ms


_clock = _Clock()


def network_now_ms() -> float:
    """Return the time of the measurement."""
    return _clock.now_ms


def measure() -> Iterator[dict[str, Any]]:
    """Yield the bytes of each kind of change with each number of entries."""
    with (
        patch("cassiahaven_entry.fleet_links.now_ms", network_now_ms),
        patch("cassiahaven_entry.fleet_view.now_ms", network_now_ms),
        patch("cassiahaven_entry.fleet_links.log"),
        patch("cassiahaven_entry.fleet_view.log"),
        patch("eventlet.spawn_after"),
    ):
        for count in ENTRY_COUNTS:
            yield from _measure(count)


def _measure(count: int) -> Iterator[dict[str, Any]]:
    network = _Network(count)
    items = [FleetChange(f"e-{number}", _registration(number)) for number in range(ENDPOINTS)]
    for watcher in network.watchers:
        watcher.view.apply_changes(Topic.ENDPOINTS, FleetChanges(2, items, True))
        watcher.view.apply_changes(Topic.CONFIGURATION, _configuration(1))
    yield _result(network, "start of all entries", lambda: _start(network))
    _settle(network)
    yield _result(network, "2 s without a change", lambda: _settle(network))
    # The revision of the store moves with each sign of life of an endpoint.
    yield _result(network, "2 s in which endpoints report as before", lambda: _beat(network))
    changed = replace(_registration(0), is_draining=True)
    one = FleetChanges(20, [FleetChange("e-0", changed)], False)
    yield _result(network, "one endpoint", lambda: _tell(network, Topic.ENDPOINTS, one))
    news = _configuration(2)
    yield _result(network, "configuration", lambda: _tell(network, Topic.CONFIGURATION, news))
    lost = next(item for item in network.entries if item not in network.watchers)
    yield _result(network, "one entry killed", lambda: _kill(network, lost))


def _result(network: _Network, change: str, run: Callable[[], None]) -> dict[str, Any]:
    network.bytes_by_kind.clear()
    network.between_zones = 0
    run()
    return {
        "bench": "peer traffic",
        "change": change,
        "entries": len(network.entries),
        "bytes": network.bytes_by_kind.total(),
        "between_zones": network.between_zones,
        "by_message": dict(network.bytes_by_kind.most_common(4)),
    }


def _start(network: _Network) -> None:
    # Ten arrivals in each report interval, with a report to all others.
    for position, entry in enumerate(network.entries):
        network.connect(entry)
        if position % 10 == 9:
            network.pass_interval()
    _settle(network)


def _settle(network: _Network) -> None:
    for _ in range(ROUNDS):
        network.pass_interval()


def _beat(network: _Network) -> None:
    for revision in range(10, 10 + ROUNDS):
        item = FleetChange("e-1", _registration(1))
        changes = FleetChanges(revision, [item], False)
        for watcher in network.watchers:
            watcher.view.apply_changes(Topic.ENDPOINTS, changes)
        network.pass_interval()


def _tell(network: _Network, topic: Topic, changes: FleetChanges) -> None:
    for watcher in network.watchers:
        watcher.view.apply_changes(topic, changes)
    _settle(network)


def _kill(network: _Network, entry: _Entry) -> None:
    network.entries.remove(entry)
    network.disconnect(entry)
    _settle(network)
    network.entries.append(entry)


def _registration(number: int) -> Registration:
    zone = ZONES[number % len(ZONES)]
    return Registration(
        f"e-{number}", "lookup", f"10.1.{number // 250}.{number % 250}", 8080, zone, 3, False, 1
    )


def _configuration(version: int) -> FleetChanges:
    routes = tuple(
        Route(
            f"route-{number}",
            "api.example",
            f"/v1/part-{number}/",
            (ServiceShare("lookup", 1.0),),
            True,
            4010.0,
            # One row differs between two versions.
            500.0 + (version if number == 3 else 0),
            3,
        )
        for number in range(ROUTES)
    )
    accounts = tuple(
        ClientAccount(f"account-{number}", (key_digest(f"key-{number}"),))
        for number in range(ACCOUNTS)
    )
    spec = ServiceSpec("lookup", "/health", 64)
    config = GatewayConfig(version, routes, {"lookup": spec}, accounts=accounts)
    return FleetChanges(version + 5, [FleetChange("main", config)], False)
