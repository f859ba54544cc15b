"""Runs one service's policy at this entry: waiting calls, endpoint status and demand."""

from collections.abc import Collection, Iterable, Mapping

from eventlet.event import Event

from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.call_forecast import CallForecast, forecast_call
from cassiahaven_core.closure import MAX_CLOSURE_MS
from cassiahaven_core.cold_start import ColdShare
from cassiahaven_core.endpoint import CallResult, LoadReport, ProbeFailed
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.endpoint_gate import SlotShare
from cassiahaven_core.fair_service import FairService
from cassiahaven_core.lifecycle import EndpointEvent, EndpointStatus
from cassiahaven_core.peer_message import RateLimitNotice
from cassiahaven_core.pool import Pool
from cassiahaven_core.rate_limit import NOTABLE_CHANGE, UNLIMITED, ShareHistory
from cassiahaven_core.reason import RefusalReason, RetryReason
from cassiahaven_core.service import Dispatch, Effect, Refuse, ServicePolicy
from cassiahaven_core.table import WILDCARD, CellValue, ServiceTable
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log

DEMAND_SMOOTHING = 0.3
MAX_LOGGED_TEXT = 100
MAX_LOGGED_MS = 1e12
NOTABLE_CLOSURE_MS = 1000.0


class ServiceTask:
    """Own the policy of one service and deliver its effects to waiting calls.

    Calls invoke the policy directly instead of through a mailbox, which would cost time on every
    call. The policy never yields to the hub, so each of its methods runs to its end before the
    next one.

    Args:
        service: Name of the service.
        availability_zone: Availability zone of this entry.
        entry: Name of this entry.
        zones: All availability zones.
        fair_service: Counts of the client accounts' calls at this entry.
    """

    def __init__(
        self,
        service: str,
        availability_zone: str,
        *,
        entry: str = "",
        zones: Iterable[str] = (),
        fair_service: FairService | None = None,
    ) -> None:
        self.service = service
        self.policy = ServicePolicy(service, Pool(), Admission(fair_service=fair_service))
        self.demand_per_s = 0.0
        self.health_path = ""
        self._availability_zone = availability_zone
        self._table = ServiceTable(service)
        self._event_by_call: dict[str, Event] = {}
        self._cold_names: set[str] = set()
        self._arrivals = 0
        self._demand_measured_ms = now_ms()
        self._share_history = ShareHistory(entry, availability_zone, zones, now_ms())
        self.set_serving_entries({entry: availability_zone}, live=1)

    def submit(self, call: WaitingCall) -> Effect:
        """Wait until ``call`` may be sent or is refused."""
        self._arrivals += 1
        if call.partner not in self.policy.admission.partner_by_name:
            self._apply_limits(call.partner)
        return self._wait(call, self.policy.submit(call, now_ms()))

    def forecast(self, call: WaitingCall) -> CallForecast:
        """Return what would happen to a call that arrived now, without changing any state."""
        return forecast_call(self.policy, call, self.effective_cell(call.partner), now_ms())

    def apply_probe(
        self,
        call: WaitingCall,
        endpoint: str,
        report: LoadReport | ProbeFailed,
        tried: frozenset[str],
    ) -> Dispatch | None:
        """Report a probe of a call's endpoint; return a dispatch if the call goes elsewhere."""
        return self.policy.apply_probe(call, endpoint, report, now_ms(), tried=tried)

    def finish(self, call: WaitingCall, endpoint: str, result: CallResult) -> None:
        """Report the end of a call at an endpoint."""
        before = self._status_of(endpoint)
        self._deliver(self.policy.finish(call, endpoint, result, now_ms()))
        self._log_status(endpoint, before)

    def retry(
        self, call: WaitingCall, result: CallResult, tried: frozenset[str]
    ) -> tuple[RetryReason, Effect] | None:
        """Wait until a call that failed may be sent again, if that is allowed."""
        retry = self.policy.retry(call, result, tried, now_ms())
        if retry is None:
            return None
        reason, effects = retry
        return reason, self._wait(call, effects)

    def set_endpoints(
        self, addresses: list[EndpointAddress], *, draining: Collection[str] = ()
    ) -> None:
        """Update the pool to the listed endpoints.

        Args:
            addresses: All endpoints of the service.
            draining: Names of the endpoints that are draining.
        """
        for address in self.policy.pool.set_endpoints(addresses, now_ms()):
            self._log_upheld(address)
        for name in draining:
            self.handle(name, EndpointEvent.DRAIN, "registration")
        self._apply_operator_drains()
        self.tick()

    def set_table(self, table: ServiceTable) -> None:
        """Apply a newer table."""
        self._table = table
        cost_ms_per_kb = self.effective_cell(WILDCARD).zone_cost_ms_per_kb
        self.policy.pool.placement.cost_ms_per_kb = cost_ms_per_kb
        for partner in self.policy.admission.partner_by_name:
            self._apply_limits(partner)
        self._apply_operator_drains()
        self.tick()

    def effective_cell(self, partner: str) -> CellValue:
        """Return the values in force for a partner in this entry's availability zone."""
        return self._table.effective_value(self._availability_zone, partner)

    def set_share(self, share: SlotShare) -> None:
        """Set this entry's share of the endpoints' slots and of the limits."""
        self.policy.pool.set_share(share)
        self.policy.admission.limit_share = 1 / share.size

    def set_serving_entries(self, zone_by_name: Mapping[str, str], *, live: int) -> None:
        """Set which entries divide the rate limits of the service's endpoints.

        Args:
            zone_by_name: Zones of the entries that serve callers.
            live: Number of live entries.
        """
        share = self._share_history.update(zone_by_name, live, now_ms())
        self.policy.pool.set_rate_share(share, now_ms())

    def set_evacuated(self, zones: frozenset[str]) -> None:
        """Set the availability zones that get no calls, and send waiting calls elsewhere."""
        self.policy.pool.set_evacuated(zones, now_ms())
        self.tick()

    def set_cold_share(self, share: ColdShare) -> None:
        """Set this entry's share of the calls to cold endpoints, and log which of them are."""
        pool = self.policy.pool
        pool.set_cold_share(share, now_ms())
        left_ms_by_name = pool.cold_left_ms_by_name(now_ms())
        for name in self._cold_names - left_ms_by_name.keys():
            log(LogEvent.ENDPOINT_WARM, service=self.service, endpoint=name)
        for name in left_ms_by_name.keys() - self._cold_names:
            log(
                LogEvent.ENDPOINT_COLD,
                service=self.service,
                endpoint=name,
                incarnation=pool.endpoint_by_id[name].address.incarnation,
                left_ms=round(left_ms_by_name[name]),
                share_per_s=round(pool.endpoint_by_id[name].gate.rate_per_s, 3),
            )
        self._cold_names = set(left_ms_by_name)

    def record_cold(self, address: EndpointAddress, left_ms: float | None) -> None:
        """Apply the remaining cold time that an endpoint named, ``None`` if it named none."""
        if left_ms is not None:
            self.policy.pool.record_cold(address.endpoint, address.incarnation, left_ms, now_ms())

    def drain(self, endpoint: str, incarnation: str, reason: str) -> bool:
        """Stop dispatching to an endpoint incarnation; return whether its status changed."""
        known = self.policy.pool.endpoint_by_id.get(endpoint)
        if known is None or known.address.incarnation != incarnation:
            return False
        return self.handle(endpoint, EndpointEvent.DRAIN, reason)

    def record_leaving(
        self, address: EndpointAddress, source: str, call_id: str | None = None
    ) -> bool:
        """Record that an endpoint said that it leaves; return whether that is news.

        Args:
            address: The endpoint and the start of it that said so.
            source: Kind of answer in which it said so.
            call_id: The call that was answered, ``None`` for a probe.
        """
        before = self._status_of(address.endpoint)
        is_first = self.policy.pool.record_leaving(
            address.endpoint, address.incarnation, source, now_ms()
        )
        if is_first:
            log(
                LogEvent.ENDPOINT_LEAVING,
                service=self.service,
                endpoint=address.endpoint,
                incarnation=address.incarnation,
                source=source,
                call=call_id,
            )
        self._log_status(address.endpoint, before)
        return is_first

    def close_endpoint(
        self, address: EndpointAddress, asked_ms: float, call_id: str | None = None
    ) -> None:
        """Apply that an endpoint wants no requests from this entry for a time.

        Args:
            address: The endpoint and the start of it that said so.
            asked_ms: The time that it asked for.
            call_id: The call that was answered, ``None`` for a probe.
        """
        left_ms = self.policy.pool.close_endpoint(
            address.endpoint, address.incarnation, asked_ms, now_ms()
        )
        if left_ms is None:
            return
        # Calls that were sent together are turned away together.
        closed_ms = min(asked_ms, MAX_CLOSURE_MS)
        if not left_ms or abs(closed_ms - left_ms) >= NOTABLE_CLOSURE_MS:
            log(
                LogEvent.ENDPOINT_CLOSED,
                service=self.service,
                endpoint=address.endpoint,
                incarnation=address.incarnation,
                call=call_id,
                asked_ms=round(min(asked_ms, MAX_LOGGED_MS)),
                closed_ms=round(closed_ms),
                left_ms=round(left_ms),
            )
        if self.policy.admission.waiting:
            self.tick()

    def record_unreadable_closure(
        self, address: EndpointAddress, text: str, call_id: str | None = None
    ) -> None:
        """Log a closure that cannot be read, once while its text stays the same."""
        known = self.policy.pool.endpoint_by_id.get(address.endpoint)
        if known is None or known.gate.unreadable_closure == text:
            return
        known.gate.unreadable_closure = text
        log(
            LogEvent.CLOSURE_UNREADABLE,
            service=self.service,
            endpoint=address.endpoint,
            call=call_id,
            text=text[:MAX_LOGGED_TEXT],
        )

    def place_again(self, call: WaitingCall, endpoint: str, tried: frozenset[str]) -> Effect:
        """Wait until a call that was assigned to an endpoint, but not sent, may be sent again."""
        before = self._status_of(endpoint)
        effects = self.policy.place_again(call, endpoint, tried, now_ms())
        self._log_status(endpoint, before)
        return self._wait(call, effects)

    def handle(self, endpoint: str, event: EndpointEvent, reason: str) -> bool:
        """Apply a lifecycle event and return whether it changed the endpoint's status."""
        before = self._status_of(endpoint)
        changed = self.policy.pool.handle(endpoint, event, reason, now_ms())
        self._log_status(endpoint, before)
        return changed

    def apply_rate_limit(
        self, endpoint: str, call_id: str, rate_per_s: float
    ) -> RateLimitNotice | None:
        """Apply the rate limit that an endpoint named in its answer to a call.

        Returns:
            What to tell other entries, ``None`` if there is nothing new to tell.
        """
        before = self.policy.pool.apply_rate_limit(endpoint, call_id, rate_per_s, now_ms())
        known = self.policy.pool.endpoint_by_id.get(endpoint)
        if known is None:
            return None
        if before is not None:
            self._log_rate_limit(endpoint, before, rate_per_s, call=call_id)
        is_news = before is not None and _is_notable(before, rate_per_s)
        is_due = known.gate.rate_limit is not None and known.gate.rate_limit.announce(now_ms())
        if not is_news and not is_due:
            return None
        return RateLimitNotice(
            self.service, endpoint, known.address.incarnation, _finite(known.gate.rate_limit_per_s)
        )

    def apply_rate_limit_notice(self, notice: RateLimitNotice) -> None:
        """Apply the rate limit that another entry was told."""
        rate_per_s = UNLIMITED if notice.limit_per_s is None else notice.limit_per_s
        before = self.policy.pool.apply_rate_limit_notice(
            notice.endpoint, notice.incarnation, rate_per_s, now_ms()
        )
        if before is not None:
            self._log_rate_limit(notice.endpoint, before, rate_per_s, call=None)

    def _log_rate_limit(
        self, endpoint: str, before_per_s: float, after_per_s: float, *, call: str | None
    ) -> None:
        log(
            LogEvent.RATE_LIMIT_CHANGED,
            service=self.service,
            endpoint=endpoint,
            call=call,
            before_per_s=_finite(before_per_s),
            after_per_s=_finite(after_per_s),
        )

    def record_unreadable_rate_limit(self, endpoint: str, call_id: str, text: str) -> None:
        """Log a rate limit that cannot be read, once while its text stays the same."""
        known = self.policy.pool.endpoint_by_id.get(endpoint)
        if known is None or known.gate.unreadable_rate_limit == text:
            return
        known.gate.unreadable_rate_limit = text
        log(
            LogEvent.RATE_LIMIT_UNREADABLE,
            service=self.service,
            endpoint=endpoint,
            call=call_id,
            text=text[:MAX_LOGGED_TEXT],
        )

    def start_probe_trial(self) -> EndpointAddress | None:
        """Return the address of an ejected endpoint that is to be probed, if one is due."""
        address = self.policy.pool.start_probe_trial(now_ms())
        if address is not None:
            self._log_status(address.endpoint, EndpointStatus.EJECTED.value)
        return address

    def finish_probe_trial(self, endpoint: str, report: LoadReport | ProbeFailed) -> None:
        """Report the probe of an ejected endpoint."""
        before = self._status_of(endpoint)
        self.policy.pool.finish_probe_trial(endpoint, report, now_ms())
        self._log_status(endpoint, before)
        self.tick()

    def tick(self) -> None:
        """Dispatch waiting calls that can proceed and refuse those that have expired."""
        self._deliver(self.policy.tick(now_ms()))

    def measure_demand(self) -> float:
        """Return the exponentially smoothed arrival rate in calls per second."""
        elapsed_s = max(now_ms() - self._demand_measured_ms, 1.0) / MS_PER_S
        rate = self._arrivals / elapsed_s
        self.demand_per_s += DEMAND_SMOOTHING * (rate - self.demand_per_s)
        self._arrivals = 0
        self._demand_measured_ms = now_ms()
        return self.demand_per_s

    def _apply_operator_drains(self) -> None:
        drained = self._table.drained_endpoints()
        for name in list(self.policy.pool.endpoint_by_id):
            if name in drained:
                self.handle(name, EndpointEvent.OPERATOR_DRAIN, "operator")
            else:
                self.handle(name, EndpointEvent.OPERATOR_UNDRAIN, "operator")

    def _apply_limits(self, partner: str) -> None:
        self.policy.admission.set_cell(partner, self.effective_cell(partner), now_ms())

    def _wait(self, call: WaitingCall, effects: list[Effect]) -> Effect:
        event = Event()
        self._event_by_call[call.call_id] = event
        self._deliver(effects)
        try:
            if not event.ready():
                event.wait(timeout=max(0.0, call.deadline_ms - now_ms()) / MS_PER_S)
        except BaseException:
            self._abandon(call, event)
            raise
        # An effect may be sent after the timeout fired but before this greenlet resumes.
        if event.ready():
            return event.wait()
        self._abandon(call, event)
        return Refuse(call.call_id, RefusalReason.DEADLINE_EXCEEDED)

    def _abandon(self, call: WaitingCall, event: Event) -> None:
        self._event_by_call.pop(call.call_id, None)
        self.policy.admission.withdraw(call)
        if event.ready():
            effect = event.wait()
            if isinstance(effect, Dispatch):
                self.finish(call, effect.address.endpoint, CallResult.CANCELLED)

    def _deliver(self, effects: list[Effect]) -> None:
        for effect in effects:
            event = self._event_by_call.pop(effect.call_id, None)
            if event is not None:
                event.send(effect)

    def _log_upheld(self, address: EndpointAddress) -> None:
        leaving = self.policy.pool.leaving.find(address.endpoint, address.incarnation)
        if leaving is not None:
            log(
                LogEvent.ENDPOINT_LEAVING_UPHELD,
                service=self.service,
                endpoint=address.endpoint,
                incarnation=address.incarnation,
                source=leaving.source,
                age_ms=round(now_ms() - leaving.learned_ms),
            )

    def _status_of(self, endpoint: str) -> str | None:
        known = self.policy.pool.endpoint_by_id.get(endpoint)
        return known.status.value if known is not None else None

    def _log_status(self, endpoint: str, before: str | None) -> None:
        after = self._status_of(endpoint)
        if after == before or after is None:
            return
        reason = self.policy.pool.endpoint_by_id[endpoint].status_reason
        log(
            LogEvent.ENDPOINT_STATUS_CHANGED,
            service=self.service,
            endpoint=endpoint,
            before=before,
            after=after,
            reason=reason,
        )


def _is_notable(before_per_s: float, after_per_s: float) -> bool:
    lower, higher = sorted((before_per_s, after_per_s))
    return higher >= lower * NOTABLE_CHANGE


def _finite(rate_per_s: float) -> float | None:
    return rate_per_s if rate_per_s < UNLIMITED else None
