"""Components of an entry that reads routes and endpoints from the fleet's store."""

import secrets
from collections.abc import Collection, Iterator
from contextlib import contextmanager

import eventlet
from eventlet.greenthread import GreenThread

from cassiahaven_core.edge import CallResponse, StoreUnavailable, Topic
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.finding import InvalidDocument
from cassiahaven_core.membership import Fleet, Member
from cassiahaven_core.peer_message import (
    CrashNotice,
    RateLimitNotice,
    TableRows,
    WatcherReport,
)
from cassiahaven_core.quarantine import Quarantine
from cassiahaven_core.registry import Registration
from cassiahaven_core.request_memory import RequestMemory
from cassiahaven_core.retry import RetryLimits
from cassiahaven_core.route import GatewayConfig, RoutingTable
from cassiahaven_core.routed_settings import RoutedSettings, SocketAddress
from cassiahaven_core.table import ServiceTable
from cassiahaven_entry.adapter import PlatformAdapter
from cassiahaven_entry.attempts import PROBE_TIMEOUT_MS, AttemptRunner
from cassiahaven_entry.auxiliary_server import AuxiliaryServer
from cassiahaven_entry.caller_dialect import Environ
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.fleet_links import FleetLinks, LinkCallbacks
from cassiahaven_entry.fleet_view import FleetView
from cassiahaven_entry.gateway import HttpFrontend
from cassiahaven_entry.http_transport import HttpTransport
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.routed_calls import RoutedCalls
from cassiahaven_entry.service_task import ServiceTask
from cassiahaven_entry.store_feed import StoreFeed
from cassiahaven_entry.supervisor import spawn_supervised
from cassiahaven_entry.tables import Tables

PROCESS_NAME_BYTES = 6
OK_STATUS = 200
TICK_INTERVAL_MS = 20.0
HOUSEKEEPING_INTERVAL_MS = 250.0
SETTINGS_INTERVAL_MS = 1000.0
REGISTER_RETRY_MS = 700.0
STOP_POLL_MS = 20.0
CLOSE_SHARE = 0.5  # of the shutdown time; the rest lets calls in flight finish
EXIT_BEFORE_KILL_MS = 250.0
OTHER_ZONE_LATENCY_MS = 1.0  # one way; zones of a region are at most a few milliseconds apart
OTHER_REGION_LATENCY_MS = 30.0
FIRST_REPORT_TIMEOUT_MS = 1200.0  # a live watcher reports by then, even one just starting too
# Total of a zone's serving entries; with more of them each has less information.
SERVING_ENTRY_CORES = 0.8
RETRY_SHARE_USED = 0.8  # the bound is checked over windows that end between our buckets
PROBE_SHARE = 0.25  # of the probes an endpoint may get: other zones' serving entries probe it too
CRASH_CONFIRMATION_MS = 300.0  # a live endpoint has responded by then
PEER_KEY = "fleet"  # entries connect over a network that nothing else can reach


class RoutedNode:
    """Wire up the components of the entry process.

    Args:
        settings: Checked settings.
        adapter: Adapter to the platform's protocols.
        metrics: Counters.
    """

    def __init__(
        self, settings: RoutedSettings, adapter: PlatformAdapter, metrics: Metrics
    ) -> None:
        self.settings = settings
        self.is_draining = False
        self._is_ready = False
        self._adapter = adapter
        self.metrics = metrics
        self._task_by_service: dict[str, ServiceTask] = {}
        self._registrations_by_service: dict[str, list[Registration]] = {}
        self._outdated_services: set[str] = set()
        self._live: set[str] = set()
        self._serving: dict[str, str] = {}
        self._serving_inputs: tuple[object, ...] = ()
        self._started_ms = now_ms()
        self.process = f"{settings.name}-{secrets.token_hex(PROCESS_NAME_BYTES)}"
        self.member = Member(
            settings.name,
            self.process,
            settings.availability_zone,
            str(settings.callers),
            str(settings.peers),
            settings.cores,
            str(SocketAddress(settings.callers.host, settings.metrics_port)),
        )
        self._build_fleet()
        self._build_calls()

    @property
    def is_ready(self) -> bool:
        """Return whether this entry is ready for callers."""
        return not self.is_draining and bool(self.routing.version) and self.view.has_endpoints

    def _build_fleet(self) -> None:
        self.fleet = Fleet(self.member)
        self.routing = RoutingTable()
        self.view = FleetView(
            self.fleet,
            self.routing,
            on_config=self._on_config,
            on_endpoints=self._on_endpoints,
            on_members=self._on_members,
            on_table=self._apply_table,
        )
        self.metrics.rate_limited_endpoints.set_function(
            lambda: sum(
                task.policy.pool.rate_limited_endpoints() for task in self._task_by_service.values()
            )
        )
        self.metrics.leaving_endpoints.set_function(
            lambda: sum(
                len(task.policy.pool.leaving.leaving_by_start)
                for task in self._task_by_service.values()
            )
        )
        self.metrics.closed_endpoints.set_function(
            lambda: sum(
                task.policy.pool.closed_endpoints(now_ms())
                for task in self._task_by_service.values()
            )
        )
        self.metrics.kept_endpoints.set_function(lambda: len(self.view.registry.kept_endpoints))
        state = LinkCallbacks(
            report=self._report,
            versions=self.view.versions,
            state_update=self.view.state_update,
            on_state_update=self.view.apply_update,
            on_crash=self._on_crash,
            on_rate_limit=self._apply_rate_limit_notice,
        )
        self.links = FleetLinks(self.fleet, state, key=PEER_KEY, metrics=self.metrics)
        self.store = self._adapter.make_store(self.settings, self.metrics)
        self.tables = Tables(
            self.store,
            [],
            on_change=self._on_table,
            publish=lambda rows: None,  # other entries get rows from the store's watchers
        )
        self.feed = StoreFeed(
            self.store,
            is_wanted=self._is_watching,
            on_changes=self.view.apply_changes,
            contact=self.fleet.store,
            is_starting=lambda: not self.view.has_members,
        )

    def _build_calls(self) -> None:
        dialect = self._adapter.make_upstream_dialect()
        callers = self._adapter.make_caller_dialect(self.routing)
        self.quarantine = Quarantine()
        self.transport = HttpTransport(dialect, metrics=self.metrics)
        self._attempts = AttemptRunner(
            self.transport,
            dialect,
            self.quarantine,
            metrics=self.metrics,
            on_drain=lambda notice: None,  # each entry learns it from its own answers
            on_crash=self._on_suspected_crash,
            on_rate_limit=self.links.publish_rate_limit,
        )
        self.calls = RoutedCalls(
            self.process,
            self.routing,
            self.task,
            self._attempts,
            callers,
            metrics=self.metrics,
        )
        caller_address = self.settings.callers
        self.frontend = HttpFrontend(
            caller_address.host,
            caller_address.port,
            dialect=callers,
            memory=RequestMemory(self.settings.memory_bytes),
            metrics=self.metrics,
        )
        self.auxiliary_servers = [
            AuxiliaryServer(
                self.settings.readiness,
                lambda environ: self._adapter.answer_readiness(environ, self.is_ready),
            ),
            AuxiliaryServer(self.settings.directory, self._answer_directory),
        ]

    def task(self, service: str) -> ServiceTask:
        """Return the task of ``service``, with up-to-date endpoints."""
        task = self._get_or_create_task(service)
        if service in self._outdated_services:
            self._set_endpoints(service, task)
        return task

    def _get_or_create_task(self, service: str) -> ServiceTask:
        task = self._task_by_service.get(service)
        if task is None:
            self.tables.add_service(service)
            settings = self.settings
            task = ServiceTask(
                service,
                settings.availability_zone,
                entry=settings.name,
                zones=settings.region_by_zone,
            )
            self._task_by_service[service] = task
            task.policy.retry_budget.limits = self._retry_limits()
            task.policy.probes_per_s = self.settings.probes_per_s * PROBE_SHARE
            self._outdated_services.add(service)
            task.set_table(self.tables.table_by_service[service])
        return task

    def start(self) -> list[GreenThread]:
        """Start all tasks of the node."""
        runs = {
            "links served": self.links.serve,
            "links": self.links.run,
            "registration": self._register,
            "store check": self.feed.check,
            "housekeeping": self._run_housekeeping,
            "settings": self._watch_settings,
            "ticks": self._tick_services,
            "callers": lambda: self.frontend.serve(self.calls.run),
        }
        runs |= {f"store {topic.value}": lambda t=topic: self.feed.follow(t) for topic in Topic}
        runs |= {f"auxiliary server {n}": item.run for n, item in enumerate(self.auxiliary_servers)}
        return [spawn_supervised(name, run) for name, run in runs.items()]

    def stop(self) -> None:
        """Shut down gracefully: drain, keep serving, stop listening, finish calls in flight."""
        log(LogEvent.ENTRY_STOPPING, process=self.process)
        started_ms = now_ms()
        self.is_draining = True
        self.frontend.is_closing = True
        self.fleet.draining.add(self.settings.name)
        self.links.publish_report()
        for link in self.links.link_by_name.values():
            link.report(True)
        close_at_ms = started_ms + self.settings.stop_ms * CLOSE_SHARE
        eventlet.sleep(max(0.0, close_at_ms - now_ms()) / MS_PER_S)
        self.frontend.stop()
        deadline_ms = started_ms + self.settings.stop_ms - EXIT_BEFORE_KILL_MS
        while not self.frontend.is_idle and now_ms() < deadline_ms:
            eventlet.sleep(STOP_POLL_MS / MS_PER_S)
        log(LogEvent.ENTRY_STOPPED, process=self.process, cut=self.frontend.in_flight)

    def close(self) -> None:
        """Drop all links."""
        self.links.close()

    def reload(self) -> None:
        """Reload the settings; invalid ones are logged and ignored."""
        try:
            settings = self._adapter.read_settings()
        except InvalidDocument as error:
            log(LogEvent.SETTINGS_INVALID, findings=str(error))
            return
        self.settings = settings
        for task in self._task_by_service.values():
            task.policy.retry_budget.limits = self._retry_limits()
        log(LogEvent.SETTINGS_RELOADED, process=self.process)

    def _answer_directory(self, environ: Environ) -> CallResponse:
        response = self._adapter.answer_directory(
            environ, self.serving_entries, self.settings.address_lifetime_ms
        )
        if response.status != OK_STATUS:
            log(
                LogEvent.DIRECTORY_UNANSWERED,
                question=environ.get("QUERY_STRING", ""),
                status=response.status,
                version=self.routing.version,
                live=len(self.fleet.live_names(now_ms())),
                draining=self.is_draining,
            )
        return response

    def store_age_ms(self) -> float:
        """Return the age of this entry's view of the store, its own or a watcher's."""
        return self.fleet.store.age_ms(now_ms())

    def serving_entries(self, host: str, zone: str) -> list[Member]:
        """Return the entries that callers in ``zone`` are told to use."""
        if not self.is_ready and not self.is_draining:
            return []
        return self.fleet.serving_entries(zone, SERVING_ENTRY_CORES, now_ms())

    def serving_entry_names(self) -> set[str]:
        """Return the entries that callers of any availability zone use."""
        zones = self.settings.region_by_zone
        return {member.name for zone in zones for member in self.serving_entries("", zone)}

    def live_names(self) -> set[str]:
        """Return the names of the entries that this one considers live."""
        return self.fleet.live_names(now_ms())

    def _report(self) -> WatcherReport:
        return WatcherReport(
            live=self.fleet.own_subscribers(now_ms()),
            draining=sorted(self.fleet.draining),
            store_age_ms=min(self.feed.age_ms, 1e9),
            version_by_topic=self.view.versions(),
        )

    def _is_watching(self, topic: Topic) -> bool:
        if not self.view.has_members:
            # Watchers are chosen from the members, so read these first.
            return topic is Topic.MEMBERS
        watchers = {member.name for member in self.fleet.watchers()}
        if self.links.has_subscribers or self.settings.name in watchers - self.fleet.draining:
            return True
        if now_ms() - self._started_ms < FIRST_REPORT_TIMEOUT_MS:
            return False
        return not self.fleet.has_fresh_store_view(now_ms())

    def _on_config(self, config: GatewayConfig) -> None:
        self.metrics.rejected_rows.set(len(config.rejected))
        for spec in config.service_by_name.values():
            self._get_or_create_task(spec.name).health_path = spec.health_path
        self.links.publish_report()

    def _apply_table(self, table: ServiceTable, source: str) -> None:
        self.tables.add_service(table.service)
        self.tables.merge_rows(TableRows(table.service, table.revision, table.row_by_name), source)

    def _on_table(self, table: ServiceTable) -> None:
        task = self._task_by_service.get(table.service)
        if task is not None:
            task.set_table(table)

    def _on_endpoints(self, registrations: Collection[Registration]) -> None:
        before = self._registrations_by_service
        self._registrations_by_service = {}
        for item in registrations:
            self._registrations_by_service.setdefault(item.service, []).append(item)
        for service, task in self._task_by_service.items():
            if self._registrations_by_service.get(service) == before.get(service):
                continue
            # Most entries carry no callers: defer the update until the task is next used.
            self._outdated_services.add(service)
            if not task.policy.admission.is_idle:
                self._set_endpoints(service, task)
        self.transport.forget({(item.endpoint, item.incarnation) for item in registrations})
        self.links.publish_report()

    def _on_members(self) -> None:
        for task in self._task_by_service.values():
            task.policy.retry_budget.limits = self._retry_limits()
        self.links.publish_report()

    def _set_endpoints(self, service: str, task: ServiceTask) -> None:
        self._outdated_services.discard(service)
        registrations = self._registrations_by_service.get(service, [])
        draining = [item.endpoint for item in registrations if item.is_draining]
        task.set_endpoints([self._address(item) for item in registrations], draining=draining)

    def _address(self, item: Registration) -> EndpointAddress:
        distance_ms = 0.0
        if item.availability_zone != self.settings.availability_zone:
            regions = self.settings.region_by_zone
            own_region = regions.get(self.settings.availability_zone)
            is_same = regions.get(item.availability_zone) == own_region
            distance_ms = OTHER_ZONE_LATENCY_MS if is_same else OTHER_REGION_LATENCY_MS
        return EndpointAddress(
            item.endpoint,
            item.incarnation,
            item.availability_zone,
            item.host,
            item.port,
            item.slots,
            distance_ms,
            item.cold_ms,
        )

    def _retry_limits(self) -> RetryLimits:
        return RetryLimits(
            share=self.settings.retry_share * RETRY_SHARE_USED,
            slack=self.settings.retry_slack / max(1, len(self.fleet.member_by_name)),
            window_ms=self.settings.retry_window_ms,
        )

    def _on_suspected_crash(self, notice: CrashNotice) -> None:
        # Responses are lost frequently at times, so publish only confirmed crashes.
        if not notice.is_retracted:
            eventlet.spawn_after(CRASH_CONFIRMATION_MS / MS_PER_S, self._publish_crash, notice)

    def _publish_crash(self, notice: CrashNotice) -> None:
        if not self.quarantine.has_crash(notice.fingerprint, notice.incarnation):
            return
        log(
            LogEvent.CRASH_RECORDED,
            fingerprint=notice.fingerprint,
            incarnation=notice.incarnation,
            retracted=False,
        )
        self.links.publish(notice)

    def _on_crash(self, notice: CrashNotice) -> None:
        self.quarantine.record(notice.fingerprint, notice.incarnation, now_ms())

    def _apply_rate_limit_notice(self, notice: RateLimitNotice) -> None:
        task = self._task_by_service.get(notice.service)
        if task is not None:
            task.apply_rate_limit_notice(notice)

    def _register(self) -> None:
        while True:
            try:
                self.store.register(self.member)
            except StoreUnavailable as error:
                self.feed.record_availability(False, f"registration: {error}")
                eventlet.sleep(REGISTER_RETRY_MS / MS_PER_S)
            else:
                self.feed.record_availability(True)
                return

    def _run_housekeeping(self) -> None:
        while True:
            self.view.expire()
            self._log_state_changes()
            self._share_limits()
            self._share_rate_limits()
            eventlet.sleep(HOUSEKEEPING_INTERVAL_MS / MS_PER_S)

    def _share_limits(self) -> None:
        """Divide the tables' fleet-wide limits among the entries that carry calls."""
        if any(table.revision for table in self.tables.table_by_service.values()):
            share = 1 / max(1, len(self.serving_entry_names()))
            for task in self._task_by_service.values():
                task.policy.admission.limit_share = share

    def _share_rate_limits(self) -> None:
        """Divide the endpoints' rate limits among the entries that serve callers."""
        members = self.fleet.member_by_name
        inputs = (frozenset(self._live), frozenset(self.fleet.draining), tuple(members.values()))
        if inputs != self._serving_inputs:
            self._serving_inputs = inputs
            self._serving = {
                member.name: member.availability_zone
                for zone in self.settings.region_by_zone
                for member in self.fleet.serving_entries(zone, SERVING_ENTRY_CORES, now_ms())
            }
        for task in self._task_by_service.values():
            task.set_serving_entries(self._serving, live=len(self._live))

    def _log_state_changes(self) -> None:
        live = self.fleet.live_names(now_ms())
        if live != self._live:
            log(
                LogEvent.LIVE_ENTRIES_CHANGED,
                joined=sorted(live - self._live),
                lost=sorted(self._live - live),
                live=len(live),
            )
            self._live = live
        if self.is_ready != self._is_ready:
            self._is_ready = self.is_ready
            log(LogEvent.READINESS_CHANGED, ready=self._is_ready, version=self.routing.version)

    def _watch_settings(self) -> None:
        while True:
            eventlet.sleep(SETTINGS_INTERVAL_MS / MS_PER_S)
            if self._adapter.settings_changed():
                self.reload()

    def _tick_services(self) -> None:
        while True:
            for task in list(self._task_by_service.values()):
                if task.policy.admission.waiting:
                    task.tick()
                if task.health_path and (address := task.start_probe_trial()) is not None:
                    eventlet.spawn_n(self._try_endpoint, task, address)
            eventlet.sleep(TICK_INTERVAL_MS / MS_PER_S)

    def _try_endpoint(self, task: ServiceTask, address: EndpointAddress) -> None:
        self.metrics.probes.labels(task.service).inc()
        report = self.transport.probe(address, task.health_path, PROBE_TIMEOUT_MS)
        self._attempts.apply_probe(task, address, report)
        task.finish_probe_trial(address.endpoint, report)


@contextmanager
def running(node: RoutedNode) -> Iterator[RoutedNode]:
    """Run all tasks of ``node`` until the block ends."""
    tasks = node.start()
    log(LogEvent.ENTRY_STARTED, process=node.process, cluster="fleet")
    try:
        yield node
    finally:
        node.close()
        for task in tasks:
            task.kill()
