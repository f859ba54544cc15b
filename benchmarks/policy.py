"""Tail latency of the policy and of baseline balancers on the same seeds."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from benchmarks.balancers import (
    REPORT_INTERVAL_MS,
    Balancer,
    CorePolicy,
    FullKnowledge,
    LeastInFlight,
    PowerOfTwoChoices,
    RandomChoice,
    RoundRobin,
    SimulatedCall,
)
from benchmarks.simulation import EventLoop, SimulatedEndpoint, slow_episodes
from cassiahaven_core.table import CellValue

WARM_UP_MS = 3000.0
TIMEOUT_MS = 3000.0
SEEDS = (1, 2)
SINGLE = "parish"
BULK = "printer"


@dataclass(frozen=True, slots=True)
class Workload:
    """Load on one simulated service.

    Attributes:
        slots: Calls that one endpoint runs at a time.
        load: Offered work as a fraction of the capacity of all slots.
        service_ms: Mean work of a single lookup.
        bulk_share: Fraction of the calls that are bulk pulls.
        bulk_factor: Mean work of a bulk pull as a multiple of that of a single lookup.
        slow: Whether endpoints slow down at random times.
        failing: Number of endpoints that fail every call after the warm-up.
        queue_limit: Calls that an endpoint queues; any further one is never answered.
    """

    name: str
    endpoints: int
    slots: int
    load: float
    service_ms: float = 5.0
    bulk_share: float = 0.1
    bulk_factor: float = 10.0
    slow: bool = False
    failing: int = 0
    queue_limit: int | None = None
    draining_share: float = 0.0
    duration_ms: float = 30_000.0


@dataclass(slots=True)
class Result:
    """Latencies of one partner's successful calls, and the number of its failed ones."""

    latencies_ms: list[float]
    failed: int = 0

    def percentile(self, share: float) -> float:
        """Return the latency at a quantile between 0 and 1."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def simulate(
    workload: Workload, factory: Callable[..., Balancer], seed: int
) -> tuple[dict[str, Result], Balancer]:
    """Simulate one workload; return the results by partner, and the balancer."""
    rng = random.Random(seed)
    loop = EventLoop()
    endpoints = [
        SimulatedEndpoint(
            f"endpoint-{number}", workload.slots, loop, queue_limit=workload.queue_limit
        )
        for number in range(workload.endpoints)
    ]
    for endpoint in endpoints[: workload.failing]:
        loop.call_at(WARM_UP_MS, lambda item=endpoint: setattr(item, "is_failing", True))
    until_ms = WARM_UP_MS + workload.duration_ms
    if workload.slow:
        slow_episodes(loop, endpoints, random.Random(seed + 1000), until_ms=until_ms)
    balancer = factory(loop, endpoints, random.Random(seed + 2000))
    results = {SINGLE: Result([]), BULK: Result([])}
    _schedule_calls(loop, workload, balancer, results, rng, until_ms)
    _schedule_reports(loop, balancer, until_ms)
    loop.run(until_ms + TIMEOUT_MS)
    return results, balancer


def _schedule_calls(
    loop: EventLoop,
    workload: Workload,
    balancer: Balancer,
    results: dict[str, Result],
    rng: random.Random,
    until_ms: float,
) -> None:
    factor = 1 + workload.bulk_share * (workload.bulk_factor - 1)
    mean_work_ms = workload.service_ms * factor
    rate_per_ms = workload.load * workload.endpoints * workload.slots / mean_work_ms

    def arrive(number: int) -> None:
        is_bulk = rng.random() < workload.bulk_share
        mean = workload.service_ms * (workload.bulk_factor if is_bulk else 1.0)
        work_ms = rng.expovariate(1 / mean)
        arrived_ms = loop.now_ms
        partner = BULK if is_bulk else SINGLE

        is_ended = False

        def end(ok: bool) -> None:
            nonlocal is_ended
            if is_ended or arrived_ms < WARM_UP_MS:
                return
            is_ended = True
            if ok:
                results[partner].latencies_ms.append(loop.now_ms - arrived_ms)
            else:
                results[partner].failed += 1

        deadline_ms = arrived_ms + TIMEOUT_MS
        loop.call_at(deadline_ms, lambda: end(False))
        balancer.arrive(SimulatedCall(number, partner, work_ms, arrived_ms, deadline_ms, end))
        next_ms = arrived_ms + rng.expovariate(rate_per_ms)
        if next_ms < until_ms:
            loop.call_at(next_ms, lambda: arrive(number + 1))

    loop.call_at(0.0, lambda: arrive(0))


def _schedule_reports(loop: EventLoop, balancer: Balancer, until_ms: float) -> None:
    def report() -> None:
        balancer.report()
        if loop.now_ms < until_ms:
            loop.call_at(loop.now_ms + REPORT_INTERVAL_MS, report)

    loop.call_at(REPORT_INTERVAL_MS, report)


def configured_policy(
    *, entries: int, weights: dict[str, float] | None = None, **options: bool
) -> Callable[..., Balancer]:
    """Return a subclass of ``CorePolicy`` with this configuration."""
    weights = weights or {SINGLE: 1.0, BULK: 1.0}
    cells = {
        partner: CellValue(weight, 1e9, 1_000_000, 100_000, 0.0)
        for partner, weight in weights.items()
    }
    attributes = {"entries": entries, "cell_by_partner": cells, **options}
    return type("ConfiguredPolicy", (CorePolicy,), attributes)


CANDIDATES: dict[str, Callable[..., Balancer]] = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "two choices, stale reports": PowerOfTwoChoices,
    "least in flight, 19 entries": LeastInFlight,
    "policy, 19 entries": configured_policy(entries=19),
    "policy, entry set of 3": configured_policy(entries=3),
    "policy, entry set of 2": configured_policy(entries=2),
    "policy, entry set of 1": configured_policy(entries=1),
    "policy, weight 4 to 1": configured_policy(entries=1, weights={SINGLE: 4.0, BULK: 1.0}),
    "own calls only, 3 entries": configured_policy(
        entries=3, shares_slots=False, reads_reports=False, gives_up=False
    ),
    "own calls and reports, 3 entries": configured_policy(
        entries=3, shares_slots=False, gives_up=False
    ),
    "divided slots, 3 entries": configured_policy(entries=3, gives_up=False),
    "own calls, reports and giving up, 3 entries": configured_policy(entries=3, shares_slots=False),
    "divided slots and giving up, 3 entries": configured_policy(entries=3),
    "full knowledge": FullKnowledge,
}


def measure(
    workload: Workload, name: str, factory: Callable[..., Balancer]
) -> Iterator[dict[str, Any]]:
    """Yield one result per partner; percentiles are the mean over all seeds."""
    runs = [simulate(workload, factory, seed)[0] for seed in SEEDS]
    for partner in (SINGLE, BULK):
        results = [run[partner] for run in runs]
        if not any(item.latencies_ms for item in results):
            continue
        figure: dict[str, Any] = {
            "bench": "policy",
            "workload": workload.name,
            "load": workload.load,
            "candidate": name,
            "partner": partner,
            "failed": sum(item.failed for item in results),
            "calls": sum(len(item.latencies_ms) + item.failed for item in results),
        }
        for label, share in (("p50_ms", 0.5), ("p99_ms", 0.99), ("p999_ms", 0.999)):
            mean = sum(item.percentile(share) for item in results) / len(results)
            figure[label] = round(mean, 2)
        yield figure
