"""Components of an entry that reads routes and endpoints from the fleet's store."""

import secrets
import time
from collections.abc import Collection, Iterator
from contextlib import contextmanager

import eventlet
from eventlet.greenthread import GreenThread

from cassiahaven_core.account import ClientAccount
from cassiahaven_core.cold_start import ColdListings, ColdShare, ColdShares, contact_of
from cassiahaven_core.edge import CallResponse, StoreUnavailable, Topic
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.fair_service import FairService
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
from cassiahaven_core.usage_cap import UsageCaps
from cassiahaven_entry.adapter import PlatformAdapter
from cassiahaven_entry.attempts import PROBE_TIMEOUT_MS, AttemptRunner
from cassiahaven_entry.auxiliary_server import AuxiliaryServer
from cassiahaven_entry.caller_dialect import Environ
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.fleet_links import FleetLinks, LinkCallbacks
from cassiahaven_entry.fleet_view import MAX_LISTED_NAMES, FleetView
from cassiahaven_entry.gateway import HttpFrontend
from cassiahaven_entry.http_transport import HttpTransport
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.routed_calls import RoutedCalls
from cassiahaven_entry.service_task import ServiceTask
from cassiahaven_entry.store_feed import StoreFeed
from cassiahaven_entry.supervisor import spawn_supervised
from cassiahaven_entry.tables import Tables
from cassiahaven_entry.usage_exchange import UsageExchange

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
# An entry that starts learns the evacuations together with the endpoints. Where they stay unknown
# for longer, nobody knows them, and all zones are used.
EVACUATIONS_PATIENCE_MS = 2000.0
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
        self._accounts: tuple[ClientAccount, ...] | None = None
        self._had_current_view = True
        self._live: set[str] = set()
        self._serving: dict[str, str] = {}
        self._cold_listings = ColdListings()
        self._cold_shares = ColdShares(
            settings.name,
            settings.region_by_zone,
            settings.cold_slack,
            overage=settings.cold_overage,
        )
        self._cold_share = ColdShare({}, 0.0)
        self._serving_inputs: tuple[object, ...] = ()
        self._started_ms = now_ms()
        self._endpoints_known_ms: float | None = None
        self._follows_evacuations = settings.evacuation_ms is not None
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
        self.fair_service = FairService()
        self._build_fleet()
        self._build_calls()

    @property
    def is_ready(self) -> bool:
        """Return whether this entry is ready for callers."""
        if self.is_draining or self._awaits_evacuations():
            return False
        return bool(self.routing.version) and self.view.has_endpoints

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
            on_evacuations=self._on_evacuations if self._follows_evacuations else None,
            on_restored=self._on_store_restored,
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
        self.metrics.cold_endpoints.set_function(
            lambda: sum(
                len(task.policy.pool.cold_left_ms_by_name(now_ms()))
                for task in self._task_by_service.values()
            )
        )
        self.metrics.accounts_behind.set_function(self.fair_service.count_behind)
        self.metrics.evacuated_zones.set_function(lambda: len(self.view.evacuated_zones))
        self.metrics.kept_endpoints.set_function(lambda: len(self.view.registry.kept_endpoints))
        state = LinkCallbacks(
            report=self._report,
            versions=self.view.versions,
            state_request=self.view.state_request,
            state_update=self.view.state_update,
            on_state_update=self.view.apply_update,
            on_crash=self._on_crash,
            on_rate_limit=self._apply_rate_limit_notice,
        )
        self.links = FleetLinks(self.fleet, state, key=PEER_KEY, metrics=self.metrics)
        self.usage = state.usage = self._make_usage_exchange()
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
            leads=lambda: self.fleet.leads_watchers(now_ms()),
        )

    def _make_usage_exchange(self) -> UsageExchange | None:
        bounds = self.settings.usage_cap
        if bounds is None:
            return None
        return UsageExchange(
            UsageCaps(self.settings.name, self.process, bounds),
            self.fleet,
            named=lambda: self._serving,
            subscribers=lambda: self.links.name_by_connection,
            send=self.links.send_to_watchers,
            send_to=self.links.send_to_subscribers,
            metrics=self.metrics,
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
            has_current_view=self._has_current_view,
            fair_service=self.fair_service,
            usage=self.usage,
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

    def _has_current_view(self) -> bool:
        """Return whether calls with keys may be served: a revocation may be unknown here."""
        if not self.settings.fails_closed:
            return True
        return self.fleet.store.answer_age_ms(now_ms()) <= self.settings.revocation_ms

    def task(self, service: str) -> ServiceTask:
        """Return the task of ``service``, with up-to-date endpoints."""
        task = self._get_or_create_task(service)
        if service in self._outdated_services and not self._awaits_evacuations():
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
                fair_service=self.fair_service,
            )
            self._task_by_service[service] = task
            task.policy.retry_budget.limits = self._retry_limits()
            task.policy.probes_per_s = self.settings.probes_per_s * PROBE_SHARE
            task.set_cold_share(self._cold_share)
            task.set_evacuated(self.view.evacuated_zones)
            if self.routing.config is not None:
                task.policy.set_contended(self.routing.config.expects_contention)
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
        topics = set(Topic)
        if not self._follows_evacuations:
            topics.discard(Topic.EVACUATIONS)
        runs |= {f"store {topic.value}": lambda t=topic: self.feed.follow(t) for topic in topics}
        if self.usage is not None:
            runs["usage claims"] = self.usage.run
        runs |= {f"auxiliary server {n}": item.run for n, item in enumerate(self.auxiliary_servers)}
        return [spawn_supervised(name, run) for name, run in runs.items()]

    def stop(self) -> None:
        """Shut down gracefully: drain, keep serving, stop listening, finish calls in flight."""
        log(LogEvent.ENTRY_STOPPING, process=self.process)
        started_ms = now_ms()
        self.is_draining = True
        self._cold_share = ColdShare({}, 0.0)
        for task in self._task_by_service.values():
            task.set_cold_share(self._cold_share)
        self.frontend.is_closing = True
        self.fleet.draining.add(self.settings.name)
        self.links.publish_report()
        self.links.report()
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

    def ages_ms(self) -> dict[str, float]:
        """Return the ages of what this entry knows of the store and of the other entries.

        The view of the store, its own or a watcher's, bounds the age of routes, accounts, endpoints
        and evacuations.
        """
        at_ms = now_ms()
        ages = {"store": self.fleet.store.answer_age_ms(at_ms)}
        for name, view in sorted(self.fleet.view_by_watcher.items()):
            ages[f"watcher {name}"] = at_ms - view.last_message_ms
        return ages

    def serving_entries(self, host: str, zone: str) -> list[Member]:
        """Return the entries that callers in ``zone`` are told to use."""
        # An entry that cannot serve yet, or no longer, still names others that do.
        unusable = self.fleet.starting(now_ms())
        if not self.is_ready:
            unusable.add(self.settings.name)
        return self.fleet.serving_entries(zone, SERVING_ENTRY_CORES, now_ms(), unusable=unusable)

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
            draining=self.fleet.own_draining(),
            store_age_ms=min(self.feed.age_ms, 1e9),
            version_by_topic=self.view.versions(),
            starting=self._starting_entries(),
        )

    def _starting_entries(self) -> list[str]:
        own = [] if self.is_ready or self.is_draining else [self.settings.name]
        return [*own, *self.fleet.own_starting(now_ms())]

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
        self._log_accounts(config)
        if self.usage is not None:
            self.usage.caps.set_accounts(config.accounts or ())
        for spec in config.service_by_name.values():
            task = self._get_or_create_task(spec.name)
            task.health_path = spec.health_path
            task.policy.pool.set_cold_limit(spec.cold_per_s, now_ms())
            task.policy.set_contended(config.expects_contention)
            self._outdated_services.add(spec.name)  # the time after a start may have changed
        if not self._is_ready:
            # Callers are sent here only once the watchers know of the configuration.
            self.links.report()
        self.links.publish_report()

    def _log_accounts(self, config: GatewayConfig) -> None:
        """Log which accounts and keys came and went, without the keys."""
        before, self._accounts = self._accounts, config.accounts
        if before == self._accounts:
            return
        old = {account.name: account for account in before or ()}
        new = {account.name: account for account in self._accounts or ()}
        self.metrics.accounts.set(len(new))
        rekeyed = [
            name
            for name in old.keys() & new.keys()
            if set(old[name].key_digests) != set(new[name].key_digests)
        ]
        log(
            LogEvent.ACCOUNTS_CHANGED,
            version=config.version,
            needed=self._accounts is not None,
            accounts=len(new),
            added=sorted(new.keys() - old.keys())[:MAX_LISTED_NAMES],
            removed=sorted(old.keys() - new.keys())[:MAX_LISTED_NAMES],
            rekeyed=sorted(rekeyed)[:MAX_LISTED_NAMES],
        )

    def _apply_table(self, table: ServiceTable, source: str) -> None:
        self.tables.add_service(table.service)
        rows = TableRows(table.service, table.revision, table.row_by_name, era=table.era)
        self.tables.merge_rows(rows, source)

    def _on_store_restored(self, era: int, source: str) -> None:
        # The store may have lost whole tables, which it then no longer lists.
        for service, table in self.tables.table_by_service.items():
            if table.era < era:
                self.tables.merge_rows(TableRows(service, 0, {}, era=era), source)

    def _on_table(self, table: ServiceTable) -> None:
        task = self._task_by_service.get(table.service)
        if task is not None:
            task.set_table(table)

    def _on_endpoints(self, registrations: Collection[Registration]) -> None:
        self._cold_listings.observe(registrations, now_ms(), time.time() * MS_PER_S)
        if self._endpoints_known_ms is None:
            self._endpoints_known_ms = now_ms()
        before = self._registrations_by_service
        self._registrations_by_service = {}
        for item in registrations:
            self._registrations_by_service.setdefault(item.service, []).append(item)
        for service, task in self._task_by_service.items():
            if self._registrations_by_service.get(service) == before.get(service):
                continue
            # Most entries carry no callers: defer the update until the task is next used.
            self._outdated_services.add(service)
            if not task.policy.admission.is_idle and not self._awaits_evacuations():
                self._set_endpoints(service, task)
        self.transport.forget({(item.endpoint, item.incarnation) for item in registrations})
        self.links.publish_report()

    def _on_evacuations(self, zones: frozenset[str]) -> None:
        for task in self._task_by_service.values():
            task.set_evacuated(zones)
        self.links.publish_report()

    def _awaits_evacuations(self) -> bool:
        """Return whether calls must not be sent yet, as it is not known which zones get none."""
        if not self._follows_evacuations or self.view.has_evacuations:
            return False
        known_ms = self._endpoints_known_ms
        return known_ms is None or now_ms() - known_ms < EVACUATIONS_PATIENCE_MS

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
            self._cold_ends_ms(item),
        )

    def _cold_ends_ms(self, item: Registration) -> float:
        config = self.routing.config
        spec = config.service_by_name.get(item.service) if config is not None else None
        if spec is None or not spec.cold_per_s:
            return float("-inf")
        return self._cold_listings.ends_ms(item, spec.cold_ms)

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
        """Register, and again whenever the store was restored to a state without this process."""
        while True:
            try:
                self.store.register(self.member)
            except StoreUnavailable as error:
                self.feed.record_availability(False, f"registration: {error}")
                eventlet.sleep(REGISTER_RETRY_MS / MS_PER_S)
                continue
            self.feed.record_availability(True)
            era = self.store.era
            while self.view.members_era <= era or self.view.is_registered(self.member):
                eventlet.sleep(HOUSEKEEPING_INTERVAL_MS / MS_PER_S)

    def _run_housekeeping(self) -> None:
        while True:
            self.view.expire()
            self._log_state_changes()
            self._share_limits()
            self._share_rate_limits()
            self._share_cold_starts()
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
        inputs = (
            frozenset(self._live),
            frozenset(self.fleet.draining),
            frozenset(self.fleet.starting(now_ms())),
            tuple(members.values()),
        )
        if inputs != self._serving_inputs:
            self._serving_inputs = inputs
            self._serving = {
                member.name: member.availability_zone
                for zone in self.settings.region_by_zone
                # Entries that are starting may have callers before all others know that they can.
                for member in (
                    *self.fleet.serving_entries(zone, SERVING_ENTRY_CORES, now_ms()),
                    *self.serving_entries("", zone),
                )
            }
        for task in self._task_by_service.values():
            task.set_serving_entries(self._serving, live=len(self._live))

    def _share_cold_starts(self) -> None:
        """Divide the calls that cold endpoints bear among the entries that serve callers."""
        config = self.routing.config
        if config is None or not any(item.cold_per_s for item in config.service_by_name.values()):
            return
        self._cold_share = self._cold_shares.update(
            self._serving,
            members=len(self.fleet.member_by_name),
            contact=contact_of(self.fleet, now_ms()),
            now_ms=now_ms(),
        )
        for task in self._task_by_service.values():
            task.set_cold_share(self._cold_share)

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
        has_current_view = self._has_current_view()
        if has_current_view != self._had_current_view and self.routing.has_accounts:
            self._had_current_view = has_current_view
            log(
                LogEvent.KEYS_REFUSED,
                refused=not has_current_view,
                store_age_ms=round(self.fleet.store.answer_age_ms(now_ms())),
            )
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
        if task.policy.pool.is_cold(address.endpoint):
            self.metrics.calls_to_cold.labels(task.service, "probe").inc()
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
