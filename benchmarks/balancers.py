"""The policy and the baseline balancers behind one interface."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.simulation import EventLoop, Job, SimulatedEndpoint
from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.endpoint import CallResult, LoadReport
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.endpoint_gate import SlotShare
from cassiahaven_core.pool import Pool
from cassiahaven_core.service import Dispatch, Effect, Refuse, ServicePolicy
from cassiahaven_core.table import CellValue

REPORT_INTERVAL_MS = 100.0
TICK_INTERVAL_MS = 20.0


@dataclass(slots=True)
class SimulatedCall:
    """Simulated call.

    Attributes:
        end: Callback that receives whether the call succeeded.
    """

    number: int
    partner: str
    work_ms: float
    arrived_ms: float
    deadline_ms: float
    end: Callable[[bool], None]


class Balancer(ABC):
    """Balancer that distributes simulated calls over endpoints.

    Args:
        loop: Event loop.
        endpoints: Endpoints of the service.
        rng: Source of all random choices.
    """

    def __init__(
        self, loop: EventLoop, endpoints: list[SimulatedEndpoint], rng: random.Random
    ) -> None:
        self.loop = loop
        self.endpoints = endpoints
        self.rng = rng

    @abstractmethod
    def arrive(self, call: SimulatedCall) -> None:
        """Accept a call."""

    def report(self) -> None:  # noqa: B027
        """Read the endpoints' loads, at a fixed interval; does nothing by default."""


class ChoosingBalancer(Balancer):
    """Balancer that sends each call at once to the endpoint that ``choose`` returns."""

    def arrive(self, call: SimulatedCall) -> None:
        """Send the call to the chosen endpoint."""
        endpoint = self.choose(call)
        endpoint.submit(Job(call.work_ms, lambda ok: self._done(call, endpoint, ok)))

    @abstractmethod
    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return the endpoint that the call goes to."""

    def finished(self, call: SimulatedCall, endpoint: SimulatedEndpoint) -> None:
        """Handle the end of a call; does nothing by default."""

    def _done(self, call: SimulatedCall, endpoint: SimulatedEndpoint, ok: bool) -> None:
        self.finished(call, endpoint)
        call.end(ok)


class RandomChoice(ChoosingBalancer):
    """Random choice."""

    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return a random endpoint."""
        return self.rng.choice(self.endpoints)


class RoundRobin(ChoosingBalancer):
    """Round robin, with a separate position at each entry."""

    entries = 19

    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return the next endpoint of a random entry."""
        turns = self.__dict__.setdefault("turns", [0] * self.entries)
        entry = self.rng.randrange(self.entries)
        turns[entry] += 1
        return self.endpoints[(turns[entry] + entry) % len(self.endpoints)]


class PowerOfTwoChoices(ChoosingBalancer):
    """Power of two choices on load reports that are up to 100 ms old."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._reported = {endpoint.name: 0 for endpoint in self.endpoints}

    def report(self) -> None:
        """Read the endpoints' loads."""
        self._reported = {endpoint.name: endpoint.load for endpoint in self.endpoints}

    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return the less loaded of two random endpoints."""
        pair = self.rng.sample(self.endpoints, 2)
        return min(pair, key=lambda endpoint: self._reported[endpoint.name])


class LeastInFlight(ChoosingBalancer):
    """Fewest calls in flight, counted per entry; callers choose entries at random."""

    entries = 19

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        names = [endpoint.name for endpoint in self.endpoints]
        self._in_flight = [dict.fromkeys(names, 0) for _ in range(self.entries)]
        self._entry_by_call: dict[int, int] = {}

    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return the endpoint with the fewest calls in flight from a random entry."""
        entry = self.rng.randrange(self.entries)
        counts = self._in_flight[entry]
        endpoint = min(self.endpoints, key=lambda item: (counts[item.name], self.rng.random()))
        counts[endpoint.name] += 1
        self._entry_by_call[call.number] = entry
        return endpoint

    def finished(self, call: SimulatedCall, endpoint: SimulatedEndpoint) -> None:
        """Remove the call from the in-flight count."""
        self._in_flight[self._entry_by_call.pop(call.number)][endpoint.name] -= 1


class FullKnowledge(ChoosingBalancer):
    """Choice by the true remaining work and speed: a bound to compare with, not a balancer."""

    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return the endpoint that would finish the call first."""
        usable = [item for item in self.endpoints if not item.is_failing and not item.is_draining]
        return min(
            usable,
            key=lambda item: item.remaining_ms() + call.work_ms / item.speed + 1e-6 * item.load,
        )


class CorePolicy(Balancer):
    """Real policy code of an entry set, with one ``ServicePolicy`` per entry.

    Args:
        entries: Number of entries in the set.
        cell_by_partner: Effective weight and limits of each partner.
        shares_slots: Whether each entry fills only its share of an endpoint's slots.
        reads_reports: Whether the loads that answers report are used.
        gives_up: Whether calls that an endpoint does not answer are sent elsewhere.
    """

    entries = 2
    cell_by_partner: dict[str, CellValue] = {}
    shares_slots = True
    reads_reports = True
    gives_up = True

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._endpoint_by_name = {endpoint.name: endpoint for endpoint in self.endpoints}
        self.policies = [self._make_policy(number) for number in range(self.entries)]
        self._call_by_id: dict[str, SimulatedCall] = {}
        self._waiting_by_id: dict[str, WaitingCall] = {}
        self._tried_by_id: dict[str, frozenset[str]] = {}
        self._attempt_by_id: dict[str, object] = {}
        self.retries = 0
        self._reported = {endpoint.name: 0 for endpoint in self.endpoints}
        self.loop.call_at(TICK_INTERVAL_MS, self._tick)

    def arrive(self, call: SimulatedCall) -> None:
        """Send the call to a random entry of the set."""
        policy = self.rng.choice(self.policies)
        call_id = str(call.number)
        waiting = WaitingCall(call_id, call.partner, True, call.deadline_ms, call.arrived_ms)
        self._call_by_id[call_id] = call
        self._waiting_by_id[call_id] = waiting
        self._tried_by_id[call_id] = frozenset()
        self._apply(policy, policy.submit(waiting, self.loop.now_ms))

    def report(self) -> None:
        """Read the loads that answers will report until the next interval."""
        self._reported = {endpoint.name: endpoint.load for endpoint in self.endpoints}

    def _make_policy(self, number: int) -> ServicePolicy:
        share = SlotShare(number, self.entries) if self.shares_slots else SlotShare()
        pool = Pool(share=share, rng=random.Random(number))
        addresses = [
            EndpointAddress(item.name, "1", "zone", "host", 1, item.slots)
            for item in self.endpoints
        ]
        pool.set_endpoints(addresses, 0.0)
        admission = Admission(limit_share=1 / self.entries)
        for partner, cell in self.cell_by_partner.items():
            admission.set_cell(partner, cell, 0.0)
        return ServicePolicy("service", pool, admission)

    def _tick(self) -> None:
        for policy in self.policies:
            self._apply(policy, policy.tick(self.loop.now_ms))
        self.loop.call_at(self.loop.now_ms + TICK_INTERVAL_MS, self._tick)

    def _apply(self, policy: ServicePolicy, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Refuse(call_id=call_id):
                    self._end(call_id, False)
                case Dispatch():
                    self._dispatch(policy, effect)

    def _dispatch(self, policy: ServicePolicy, effect: Dispatch) -> None:
        name = effect.address.endpoint
        call = self._call_by_id[effect.call_id]
        self._tried_by_id[effect.call_id] |= {name}
        endpoint = self._endpoint_by_name[name]
        policy.pool.mark_sent(name, effect.call_id)
        job = Job(call.work_ms, lambda ok: None)
        attempt = self._attempt_by_id[effect.call_id] = object()

        def finish(result: CallResult) -> None:
            if self._attempt_by_id.get(effect.call_id) is attempt:
                del self._attempt_by_id[effect.call_id]
                endpoint.cancel(job)
                self._done(policy, effect.call_id, endpoint, result)

        job.done = lambda ok: finish(CallResult.OK if ok else CallResult.SERVER_ERROR)
        waiting = self._waiting_by_id[effect.call_id]
        tried = self._tried_by_id[effect.call_id]
        patience_ms = policy.answer_patience_ms(waiting, name, tried, self.loop.now_ms)
        if self.gives_up and patience_ms is not None:
            given_up_ms = self.loop.now_ms + patience_ms
            self.loop.call_at(given_up_ms, lambda: finish(CallResult.UNANSWERED))
        self.loop.call_at(call.deadline_ms, lambda: finish(CallResult.TIMEOUT))
        endpoint.submit(job)

    def _done(
        self, policy: ServicePolicy, call_id: str, endpoint: SimulatedEndpoint, result: CallResult
    ) -> None:
        ok = result is CallResult.OK
        waiting = self._waiting_by_id[call_id]
        now_ms = self.loop.now_ms
        if self.reads_reports and result in (CallResult.OK, CallResult.SERVER_ERROR):
            report = LoadReport(self._reported[endpoint.name])
            policy.pool.report_load(endpoint.name, report, now_ms)
        effects = policy.finish(waiting, endpoint.name, result, now_ms)
        if ok:
            self._end(call_id, True)
        else:
            retry = policy.retry(waiting, result, self._tried_by_id[call_id], now_ms)
            if retry is None:
                self._end(call_id, False)
            else:
                self.retries += 1
                self._apply(policy, retry[1])
        self._apply(policy, effects)

    def _end(self, call_id: str, ok: bool) -> None:
        del self._waiting_by_id[call_id]
        del self._tried_by_id[call_id]
        self._call_by_id.pop(call_id).end(ok)
