"""Components of an entry process and their wiring."""

import secrets
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import eventlet
from eventlet.greenthread import GreenThread

from cassiahaven_core.edge import ObjectStore, UpstreamDialect, UpstreamProbe, Vm, VmList
from cassiahaven_core.explanation import Explanation, Step
from cassiahaven_core.peer_message import (
    CrashNotice,
    DrainNotice,
    ExplanationHandover,
    PeerMessage,
    RateLimitNotices,
    TableRows,
)
from cassiahaven_core.quarantine import Quarantine
from cassiahaven_core.rendezvous import rank
from cassiahaven_core.request_memory import BYTES_PER_MB, RequestMemory
from cassiahaven_core.settings import Settings
from cassiahaven_core.steering import EntryAddress, EntrySet
from cassiahaven_entry.attempts import AttemptRunner
from cassiahaven_entry.calls import CallRunner
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.endpoints import Endpoints
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.gateway import HttpFrontend
from cassiahaven_entry.heartbeats import Heartbeats
from cassiahaven_entry.http_transport import HttpTransport
from cassiahaven_entry.keys import Keys
from cassiahaven_entry.members import Members
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.native_callers import NativeCallers
from cassiahaven_entry.peer_handler import PeerHandler
from cassiahaven_entry.peer_server import PeerServer
from cassiahaven_entry.prober import Prober
from cassiahaven_entry.service_task import ServiceTask
from cassiahaven_entry.supervisor import spawn_supervised
from cassiahaven_entry.tables import WatchedTables

PROCESS_NAME_BYTES = 6
DEMAND_INTERVAL_MS = 1000.0
TICK_INTERVAL_MS = 20.0
STORE_WATCHERS_PER_ZONE = 2
STORE_WATCH_KEY = "store-watch"
UNWATCHED_DELAY_MS = 500.0
STOP_POLL_MS = 20.0
HANDOVER_EXPLANATIONS = 2000


class Node:
    """Wire up the components of an entry process.

    Args:
        settings: Checked settings.
        store: The platform's object store.
        vm_list: The platform's VM list.
        dialect: Protocol of the upstreams.
        probe: Active probe of upstreams.
        metrics: Counters.
    """

    def __init__(
        self,
        settings: Settings,
        store: ObjectStore,
        vm_list: VmList,
        dialect: UpstreamDialect,
        probe: UpstreamProbe,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.process = f"{settings.entry.name}-{secrets.token_hex(PROCESS_NAME_BYTES)}"
        self.is_draining = False
        self.task_by_service = {
            name: ServiceTask(
                name,
                settings.entry.availability_zone,
                entry=settings.entry.name,
                zones=settings.zone_by_name,
            )
            for name in settings.service_by_name
        }
        metrics.rate_limited_endpoints.set_function(
            lambda: sum(
                task.policy.pool.rate_limited_endpoints() for task in self.task_by_service.values()
            )
        )
        self._build_peers()
        self.tables = WatchedTables(
            store,
            list(settings.service_by_name),
            on_change=lambda table: self.task_by_service[table.service].set_table(table),
            publish=self.peer_server.publish,
        )
        self.keys = Keys(self.process, store, self.members.link_to_process)
        self.heartbeats = Heartbeats(
            self.own_address, self.tables, self.task_by_service, self.peer_server.publish
        )
        self.transport = HttpTransport(dialect, metrics=self.metrics)
        self.endpoints = Endpoints(
            settings,
            vm_list,
            self.task_by_service,
            on_vms=self._update_vms,
            on_drain=self.peer_server.publish,
        )
        self._build_calls(dialect)
        self.probers = self._make_probers(store, probe)

    def _build_peers(self) -> None:
        entry = self.settings.entry
        handler = PeerHandler(
            greeting=self._greeting,
            full_heartbeat=lambda: self.heartbeats.full_heartbeat(),
            on_message=self._receive,
            answer_question=lambda question: self.keys.answer_question(question),
            table_rows=lambda service: self.tables.rows(service),
        )
        cluster, key = self.settings.cluster, self.settings.keys.peer
        self.members = Members(entry.name, cluster=cluster, key=key, handler=handler)
        self.peer_server = PeerServer(
            entry.host,
            entry.peer_port,
            cluster=cluster,
            key=key,
            handler=handler,
            metrics=self.metrics,
        )

    def _build_calls(self, dialect: UpstreamDialect) -> None:
        self.quarantine = Quarantine()
        attempts = AttemptRunner(
            self.transport,
            dialect,
            self.quarantine,
            metrics=self.metrics,
            on_drain=self.endpoints.record_drain,
            on_crash=self._publish_crash,
            on_rate_limit=lambda notice: self.peer_server.publish(RateLimitNotices([notice])),
        )
        self.calls = CallRunner(
            self.settings,
            self.process,
            self.task_by_service,
            self.keys,
            attempts,
            metrics=self.metrics,
        )
        self.frontend = HttpFrontend(
            self.settings.entry.host,
            self.settings.entry.caller_port,
            dialect=NativeCallers(
                addresses=self.addresses,
                local_response=self.calls.refuse,
                largest_body_bytes=self.calls.largest_body_bytes,
            ),
            memory=RequestMemory(self.settings.entry.memory_mb * BYTES_PER_MB),
            metrics=self.metrics,
        )

    def _make_probers(self, store: ObjectStore, probe: UpstreamProbe) -> list[Prober]:
        return [
            Prober(
                self.process,
                service,
                self.settings.entry.availability_zone,
                self.task_by_service[name],
                store,
                probe,
                is_active=lambda name=name: self._is_active(name),
                metrics=self.metrics,
            )
            for name, service in self.settings.service_by_name.items()
        ]

    def own_address(self) -> EntryAddress:
        """Return the address that this entry announces to its peers."""
        entry = self.settings.entry
        return EntryAddress(
            entry.name,
            self.process,
            entry.availability_zone,
            entry.host,
            entry.caller_port,
            entry.operator_port,
            self.keys.prefix,
            self.is_draining,
        )

    def entry_set(self, service: str, availability_zone: str) -> EntrySet:
        """Return the entries that callers in an availability zone use for a service."""
        return self.members.entry_set(
            service,
            availability_zone,
            self.own_address(),
            self.task_by_service[service].demand_per_s,
            entry_capacity_per_s=self.settings.service_by_name[service].entry_capacity_per_s,
        )

    def addresses(self, service: str, availability_zone: str | None) -> dict[str, Any] | None:
        """Return the response to an address lookup, ``None`` for an unknown service."""
        if service not in self.task_by_service:
            return None
        zone = availability_zone or self.settings.entry.availability_zone
        chosen = self.entry_set(service, zone)
        return {
            "service": service,
            "lifetime_ms": self.settings.entry.address_lifetime_ms,
            "addresses": [
                {
                    "entry": entry.name,
                    "host": entry.host,
                    "port": entry.caller_port,
                    "weight": weight,
                    "key_prefix": entry.key_prefix,
                }
                for weight, entries in ((1, chosen.active), (0, chosen.standby))
                for entry in entries
            ],
        }

    def start(self) -> list[GreenThread]:
        """Start all tasks of the node."""
        runs = {
            "peer server": self.peer_server.run,
            "endpoints": self.endpoints.run,
            "store watch": self._watch_store,
            "heartbeats": self.heartbeats.run,
            "demand": self._measure_demand,
            "ticks": self._tick_services,
            "callers": lambda: self.frontend.serve(self.calls.run),
        }
        runs |= {f"prober {number}": item.run for number, item in enumerate(self.probers)}
        return [spawn_supervised(name, run) for name, run in runs.items()]

    def stop(self) -> None:
        """Shut down gracefully: drain, finish calls in flight, hand explanations over to a peer."""
        log(LogEvent.ENTRY_STOPPING, process=self.process)
        self.is_draining = True
        self.heartbeats.introduce_if_changed()
        eventlet.sleep(self.settings.entry.address_lifetime_ms / MS_PER_S)
        self.frontend.stop()
        longest_ms = max(item.timeout_ms for item in self.settings.service_by_name.values())
        deadline_ms = now_ms() + longest_ms
        while not self.frontend.is_idle and now_ms() < deadline_ms:
            eventlet.sleep(STOP_POLL_MS / MS_PER_S)
        self._hand_over_explanations()
        log(LogEvent.ENTRY_STOPPED, process=self.process, cut=self.frontend.in_flight)

    def close(self) -> None:
        """Drop all links."""
        self.members.close()
        self.peer_server.close()

    def _receive(self, message: PeerMessage) -> None:
        match message:
            case TableRows():
                self.tables.merge_rows(message, "peer")
            case DrainNotice():
                self.endpoints.record_drain(message)
            case CrashNotice(fingerprint=fingerprint, incarnation=incarnation, is_retracted=True):
                self.quarantine.retract(fingerprint, incarnation)
            case CrashNotice(fingerprint=fingerprint, incarnation=incarnation):
                self.quarantine.record(fingerprint, incarnation, now_ms())
            case RateLimitNotices(notices=notices):
                for notice in notices:
                    task = self.task_by_service.get(notice.service)
                    if task is not None:
                        task.apply_rate_limit_notice(notice)
            case ExplanationHandover(explanations=explanations):
                for plain in explanations:
                    steps = [Step(**step) for step in plain.pop("steps")]
                    self.calls.explanations.add(Explanation(**plain, steps=steps))

    def _greeting(self) -> list[PeerMessage]:
        return [
            self.heartbeats.introduction(),
            self.heartbeats.full_heartbeat(),
            *self.endpoints.drains.notices(),
        ]

    def _publish_crash(self, notice: CrashNotice) -> None:
        log(
            LogEvent.CRASH_RECORDED,
            fingerprint=notice.fingerprint,
            incarnation=notice.incarnation,
            retracted=notice.is_retracted,
        )
        self.peer_server.publish(notice)

    def _update_vms(self, vms: list[Vm]) -> None:
        self.members.set_vms(vms)
        self.transport.forget({(vm.name, vm.incarnation) for vm in vms})

    def _watch_store(self) -> None:
        while True:
            if self._is_store_watcher():
                self.tables.watch_once()
            else:
                eventlet.sleep(UNWATCHED_DELAY_MS / MS_PER_S)

    def _is_store_watcher(self) -> bool:
        own = self.own_address()
        names = tuple(
            entry.name
            for entry in self.members.live_entries(own)
            if entry.availability_zone == own.availability_zone
        )
        return own.name in rank(STORE_WATCH_KEY, names)[:STORE_WATCHERS_PER_ZONE]

    def _measure_demand(self) -> None:
        while True:
            for name, task in self.task_by_service.items():
                task.measure_demand()
                chosen = self.entry_set(name, self.settings.entry.availability_zone)
                task.set_share(chosen.slot_share(self.settings.entry.name))
                self._share_rate_limits(name, task)
            eventlet.sleep(DEMAND_INTERVAL_MS / MS_PER_S)

    def _share_rate_limits(self, service: str, task: ServiceTask) -> None:
        """Divide the rate limits of a service's endpoints among the entries of all zones."""
        entry = self.settings.entry
        zones = {entry.availability_zone, *self.settings.zone_by_name}
        serving = {
            item.name: item.availability_zone
            for zone in zones
            for item in self.entry_set(service, zone).active
        }
        live = len(self.members.live_entries(self.own_address()))
        task.set_serving_entries(serving, live=live)

    def _is_active(self, service: str) -> bool:
        chosen = self.entry_set(service, self.settings.entry.availability_zone)
        return self.settings.entry.name in {entry.name for entry in chosen.active}

    def _tick_services(self) -> None:
        while True:
            for task in self.task_by_service.values():
                if task.policy.admission.waiting:
                    task.tick()
            eventlet.sleep(TICK_INTERVAL_MS / MS_PER_S)

    def _hand_over_explanations(self) -> None:
        newest = self.calls.explanations.newest(HANDOVER_EXPLANATIONS)
        if newest:
            plain = [explanation.to_plain() for explanation in reversed(newest)]
            self.members.send_to_one(ExplanationHandover(plain))


@contextmanager
def running(node: Node) -> Iterator[Node]:
    """Run all tasks of ``node`` until the block ends."""
    tasks = node.start()
    log(LogEvent.ENTRY_STARTED, process=node.process, cluster=node.settings.cluster)
    try:
        yield node
    finally:
        node.close()
        for task in tasks:
            task.kill()
