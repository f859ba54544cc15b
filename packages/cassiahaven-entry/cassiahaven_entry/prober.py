"""Probes of ejected endpoints, within the probe budget."""

from collections.abc import Callable

import eventlet

from cassiahaven_core.edge import ObjectStore, StoreUnavailable, UpstreamProbe
from cassiahaven_core.endpoint import Endpoint
from cassiahaven_core.lease import RENEWAL_MS, Lease, LeaseRecord
from cassiahaven_core.lifecycle import EndpointEvent, EndpointStatus
from cassiahaven_core.probe_budget import ProbeBudget
from cassiahaven_core.settings import ServiceSettings
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.service_task import ServiceTask

LEASE_PREFIX = "leases/measuring/"
PROBE_INTERVAL_MS = 50.0
IDLE_INTERVAL_MS = 1000.0


class Prober:
    """Probe one service's ejected endpoints in one availability zone while holding its lease.

    Args:
        process: Unique name of this process.
        service: Settings of the service.
        availability_zone: Availability zone of this entry.
        task: Task that owns the service's policy.
        store: Object store that holds the lease.
        probe: Sends the probes.
        is_active: Returns whether this entry serves the service's callers.
    """

    def __init__(
        self,
        process: str,
        service: ServiceSettings,
        availability_zone: str,
        task: ServiceTask,
        store: ObjectStore,
        probe: UpstreamProbe,
        *,
        is_active: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self._service = service
        self._zone = availability_zone
        self._task = task
        self._store = store
        self._probe = probe
        self._is_active = is_active
        self._metrics = metrics
        self._process = process
        self._key = f"{LEASE_PREFIX}{service.name}/{availability_zone}"
        self._lease = Lease(process)
        self._budget = ProbeBudget(now_ms())
        self._renew_at_ms = float("-inf")

    def run(self) -> None:
        """Claim and renew the lease and send probes, forever."""
        while True:
            if self._rate_ms_per_s() <= 0 or not self._is_active():
                eventlet.sleep(IDLE_INTERVAL_MS / MS_PER_S)
                continue
            self.step()
            eventlet.sleep(PROBE_INTERVAL_MS / MS_PER_S)

    def step(self) -> None:
        """Renew the lease if its renewal is due, then send at most one probe."""
        if now_ms() >= self._renew_at_ms:
            self._renew()
        endpoint = self._ejected_endpoint()
        if endpoint is None or not self._lease.is_held(now_ms()):
            return
        cost_ms = self._service.probe_cost_ms + self._service.connection_cost_ms
        rate = self._rate_ms_per_s()
        if not self._budget.spend(cost_ms, rate_ms_per_s=rate, now_ms=now_ms()):
            return
        # Nothing yields to the hub between this check and the first byte of the probe.
        if self._lease.is_held(now_ms()):
            self._probe_endpoint(endpoint)

    def _rate_ms_per_s(self) -> float:
        return self._task.effective_cell("*").probe_budget_ms_per_s

    def _renew(self) -> None:
        self._renew_at_ms = now_ms() + RENEWAL_MS
        try:
            self._claim()
        except StoreUnavailable:
            return

    def _claim(self) -> None:
        was_held = self._lease.is_held(now_ms())
        stored = self._store.get(self._key)
        record = LeaseRecord(0, "")
        if stored is not None:
            record = LeaseRecord(stored.version, stored.value.decode())
        self._lease.observe(record, now_ms())
        version = self._lease.wanted_version(now_ms())
        if version is None:
            return
        write_sent_ms = now_ms()
        written = self._store.put(self._key, self._process.encode(), version=version)
        if written is None:
            self._lease.reject()
            return
        self._lease.confirm(written, write_sent_ms)
        if not was_held:
            self._budget = ProbeBudget(now_ms())

    def _ejected_endpoint(self) -> Endpoint | None:
        for endpoint in self._task.policy.pool.endpoint_by_id.values():
            is_open = endpoint.gate.opens_in_ms(now_ms()) == 0
            is_near = endpoint.address.distance_ms == 0
            if endpoint.status is EndpointStatus.EJECTED and is_near and is_open:
                return endpoint
        return None

    def _probe_endpoint(self, endpoint: Endpoint) -> None:
        self._metrics.probes.labels(self._service.name).inc()
        is_healthy = self._probe.probe(endpoint.address)
        name = endpoint.address.endpoint
        if is_healthy:
            self._task.handle(name, EndpointEvent.TRIAL, "probe answered")
            self._task.handle(name, EndpointEvent.SUCCEEDED, "probe answered")
