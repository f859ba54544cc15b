"""The policy and its baselines behind one interface."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.simulation import EventLoop, Job, SimulatedEndpoint
from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.pool import CallResult, EndpointAddress, LoadReport, Pool, SlotShare
from cassiahaven_core.service import Dispatch, Effect, Refuse, ServicePolicy
from cassiahaven_core.table import CellValue

REPORT_INTERVAL_MS = 100.0
ADVANCE_INTERVAL_MS = 20.0


@dataclass(slots=True)
class SimulatedCall:
    """Hold a call of the simulation; ``end`` is told whether it was answered."""

    number: int
    partner: str
    work_ms: float
    arrived_ms: float
    deadline_ms: float
    end: Callable[[bool], None]


class Balancer(ABC):
    """Send calls to endpoints.

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
        """Take in a call."""

    def report(self) -> None:  # noqa: B027
        """Take in load reports, called at a fixed interval; most balancers use none."""


class ChoosingBalancer(Balancer):
    """Send each call at once to the endpoint that ``choose`` names."""

    def arrive(self, call: SimulatedCall) -> None:
        """Send the call."""
        endpoint = self.choose(call)
        endpoint.submit(Job(call.work_ms, lambda ok: self._done(call, endpoint, ok)))

    @abstractmethod
    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return the endpoint for a call."""

    def finished(self, call: SimulatedCall, endpoint: SimulatedEndpoint) -> None:
        """Note the end of a call."""

    def _done(self, call: SimulatedCall, endpoint: SimulatedEndpoint, ok: bool) -> None:
        self.finished(call, endpoint)
        call.end(ok)


class RandomChoice(ChoosingBalancer):
    """Choose at random."""

    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return any endpoint."""
        return self.rng.choice(self.endpoints)


class RoundRobin(ChoosingBalancer):
    """Choose in turn, each entry for itself."""

    entries = 19

    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return the entry's next endpoint."""
        turns = self.__dict__.setdefault("turns", [0] * self.entries)
        entry = self.rng.randrange(self.entries)
        turns[entry] += 1
        return self.endpoints[(turns[entry] + entry) % len(self.endpoints)]


class TwoChoicesOnReports(ChoosingBalancer):
    """Choose the better of two by reports that are up to 100 ms old."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._reported = {endpoint.name: 0 for endpoint in self.endpoints}

    def report(self) -> None:
        """Take in the loads."""
        self._reported = {endpoint.name: endpoint.load for endpoint in self.endpoints}

    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return the less loaded of two."""
        pair = self.rng.sample(self.endpoints, 2)
        return min(pair, key=lambda endpoint: self._reported[endpoint.name])


class LeastInFlight(ChoosingBalancer):
    """Choose the fewest own calls in flight, at entries that callers choose at random."""

    entries = 19

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        names = [endpoint.name for endpoint in self.endpoints]
        self._in_flight = [dict.fromkeys(names, 0) for _ in range(self.entries)]
        self._entry_by_call: dict[int, int] = {}

    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return the endpoint with the fewest calls of a random entry."""
        entry = self.rng.randrange(self.entries)
        counts = self._in_flight[entry]
        endpoint = min(self.endpoints, key=lambda item: (counts[item.name], self.rng.random()))
        counts[endpoint.name] += 1
        self._entry_by_call[call.number] = entry
        return endpoint

    def finished(self, call: SimulatedCall, endpoint: SimulatedEndpoint) -> None:
        """Count the call as over."""
        self._in_flight[self._entry_by_call.pop(call.number)][endpoint.name] -= 1


class FullKnowledge(ChoosingBalancer):
    """Choose by the true remaining work and speed: a bound, not a balancer."""

    def choose(self, call: SimulatedCall) -> SimulatedEndpoint:
        """Return the endpoint that would end the call first."""
        alive = [item for item in self.endpoints if not item.is_failing and not item.is_draining]
        return min(
            alive,
            key=lambda item: item.remaining_ms() + call.work_ms / item.speed + 1e-6 * item.load,
        )


class CorePolicy(Balancer):
    """Run the real policy code of an entry set, one ``ServicePolicy`` an entry.

    Args:
        entries: Number of entries that serve.
        cell_by_partner: Cells in force.
    """

    entries = 2
    cell_by_partner: dict[str, CellValue] = {}

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._endpoint_by_name = {endpoint.name: endpoint for endpoint in self.endpoints}
        self.policies = [self._policy(number) for number in range(self.entries)]
        self._call_by_id: dict[str, SimulatedCall] = {}
        self._waiting_by_id: dict[str, WaitingCall] = {}
        self._tried_by_id: dict[str, frozenset[str]] = {}
        self.retries = 0
        self._reported = {endpoint.name: 0 for endpoint in self.endpoints}
        self.loop.call_at(ADVANCE_INTERVAL_MS, self._advance)

    def arrive(self, call: SimulatedCall) -> None:
        """Give the call to a random entry of the set."""
        policy = self.rng.choice(self.policies)
        call_id = str(call.number)
        waiting = WaitingCall(call_id, call.partner, True, call.deadline_ms, call.arrived_ms)
        self._call_by_id[call_id] = call
        self._waiting_by_id[call_id] = waiting
        self._tried_by_id[call_id] = frozenset()
        self._follow(policy, policy.submit(waiting, self.loop.now_ms))

    def report(self) -> None:
        """Take in the loads that answers will carry until the next report."""
        self._reported = {endpoint.name: endpoint.load for endpoint in self.endpoints}

    def _policy(self, number: int) -> ServicePolicy:
        pool = Pool(share=SlotShare(number, self.entries), rng=random.Random(number))
        addresses = [
            EndpointAddress(item.name, "1", "zone", "host", 1, item.slots)
            for item in self.endpoints
        ]
        pool.set_endpoints(addresses, 0.0)
        admission = Admission(limit_share=1 / self.entries)
        for partner, cell in self.cell_by_partner.items():
            admission.set_cell(partner, cell, 0.0)
        return ServicePolicy("service", pool, admission)

    def _advance(self) -> None:
        for policy in self.policies:
            self._follow(policy, policy.tick(self.loop.now_ms))
        self.loop.call_at(self.loop.now_ms + ADVANCE_INTERVAL_MS, self._advance)

    def _follow(self, policy: ServicePolicy, effects: list[Effect]) -> None:
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
        endpoint.submit(
            Job(call.work_ms, lambda ok: self._done(policy, effect.call_id, endpoint, ok))
        )

    def _done(
        self, policy: ServicePolicy, call_id: str, endpoint: SimulatedEndpoint, ok: bool
    ) -> None:
        result = CallResult.OK if ok else CallResult.SERVER_ERROR
        waiting = self._waiting_by_id[call_id]
        now_ms = self.loop.now_ms
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
                self._follow(policy, retry[1])
        self._follow(policy, effects)

    def _end(self, call_id: str, ok: bool) -> None:
        del self._waiting_by_id[call_id]
        del self._tried_by_id[call_id]
        self._call_by_id.pop(call_id).end(ok)
