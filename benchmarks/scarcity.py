"""Scarce capacity in several zones: calls served in time, waiting, and calls between zones.

Each zone has one entry, which runs the policy of the core on the endpoints of all zones. Callers
that are refused come back at the time that they were told.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from benchmarks.simulation import EventLoop, Job, SimulatedEndpoint
from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.endpoint import CallResult, LoadReport, ProbeFailed
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.pool import Pool
from cassiahaven_core.retry import RetryLimits
from cassiahaven_core.service import Dispatch, Effect, Refuse, ServicePolicy
from cassiahaven_core.table import BUILT_IN_DEFAULTS

CROWDED_SHARE = 0.8  # of its slots, above which an endpoint is slowed
CROWDED_SLOWDOWN = 1.7
NOISE_INTERVAL_MS = 150.0
NOISY_SHARE = 0.3
NOISE_SLOWDOWN = 5.0
MOST_PROBES = 4
PROBES_PER_S = 60.0
TICK_INTERVAL_MS = 20.0
RETRY_AFTER_SHARE = 3  # callers wait at most this fraction of the time that is left to them
MS_PER_S = 1000.0
WIRE_BYTES = 1500  # heads and answer of a call


@dataclass(frozen=True, slots=True)
class CallKind:
    """A route's calls.

    Attributes:
        share: Fraction of all calls.
        waits_ms: Time after which the caller leaves.
    """

    name: str
    share: float
    work_ms: float
    target_ms: float
    waits_ms: float
    priority: int = 0
    idempotent: bool = True
    body_bytes: int = 0


LOOKUPS = (
    CallKind("near", 0.3, 222.0, 516.0, 1500.0, priority=1),
    CallKind("week", 0.3, 555.0, 1526.0, 4500.0, priority=2),
    CallKind("year", 0.2, 880.0, 4010.0, 12000.0, priority=3),
    CallKind("payment", 0.2, 295.0, 834.0, 2500.0, priority=0, idempotent=False),
)
UPLOADS = (
    CallKind("read", 0.6, 150.0, 450.0, 1500.0, priority=1),
    CallKind("upload", 0.4, 300.0, 1500.0, 4000.0, idempotent=False, body_bytes=60_000),
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and disruptions of one service.

    Attributes:
        endpoints_by_zone: Number of endpoints in each zone.
        load: Share of all slots that the usual demand keeps busy, neighbours' load included.
        demand: Returns the factor on the usual demand of a zone at a time.
        unreachable: Zones whose endpoints refuse connections, with the start and the end.
        is_silent: Whether these endpoints lose the calls instead.
        demand_share_by_zone: Part of the demand of each zone, that of its endpoints if absent.
    """

    name: str
    endpoints_by_zone: dict[str, int]
    load: float
    slots: int = 3
    queue: int = 6
    kinds: tuple[CallKind, ...] = LOOKUPS
    demand: Callable[[str, float], float] = lambda zone, at_ms: 1.0
    demand_share_by_zone: dict[str, float] | None = None
    unreachable: tuple[tuple[str, float, float], ...] = ()
    is_silent: bool = False
    is_noisy: bool = True
    distance_ms: float = 0.7
    duration_ms: float = 20_000.0


class ScarceEndpoint(SimulatedEndpoint):
    """Endpoint that is slowed by neighbours and when nearly full, and resets further calls."""

    __slots__ = ("seed", "is_noisy", "is_unreachable", "first_served_ms", "resets")

    def noise(self) -> float:
        """Return the current slowdown by neighbours."""
        if not self.is_noisy:
            return 1.0
        interval = int(self.loop.now_ms // NOISE_INTERVAL_MS)
        is_slow = random.Random(f"{self.seed}/{self.name}/{interval}").random() < NOISY_SHARE
        return NOISE_SLOWDOWN if is_slow else 1.0

    def _schedule(self) -> None:
        is_crowded = len(self.running) > self.slots * CROWDED_SHARE
        slowdown = self.noise() * (CROWDED_SLOWDOWN if is_crowded else 1.0)
        self.speed = 1 / slowdown
        SimulatedEndpoint._schedule(self)

    def refresh(self) -> None:
        """Apply a change of the neighbours' load."""
        self._update_work()
        self._schedule()

    @property
    def is_full(self) -> bool:
        """Return whether one more call is reset."""
        return len(self.queue) >= (self.queue_limit or 0) and len(self.running) >= self.slots


@dataclass(slots=True)
class KindResult:
    """What became of one kind of calls."""

    asked: int = 0
    served: int = 0
    in_time: int = 0
    refused: int = 0
    refused_again: int = 0
    returned: int = 0
    unknown: int = 0
    left_zone: int = 0
    left_zone_by_second: Counter[tuple[str, int]] = field(default_factory=Counter)
    waited_ms: float = 0.0
    zone_bytes: int = 0
    in_time_by_second: Counter[int] = field(default_factory=Counter)
    asked_by_second: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class Sent:
    """A caller's wish, over all calls that it makes for it."""

    kind: CallKind
    zone: str
    first_ms: float
    deadline_ms: float
    refusals: int = 0
    tried: frozenset[str] = frozenset()


class Replay:
    """Run a scenario against one policy for each zone's entry.

    Args:
        scenario: What to replay.
        seed: Source of arrivals, work and noise.
        prepare: Called with each policy before the start.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int = 1,
        *,
        prepare: Callable[[ServicePolicy, str], None] = lambda policy, zone: None,
    ) -> None:
        self.scenario = scenario
        self.loop = EventLoop()
        self.result_by_kind: dict[str, KindResult] = defaultdict(KindResult)
        self.resets = 0
        self.probes = 0
        self.reasons: Counter[str] = Counter()
        self.served_at: dict[str, list[float]] = defaultdict(list)
        self.endpoint_by_name: dict[str, ScarceEndpoint] = {}
        self.zone_by_endpoint: dict[str, str] = {}
        self._rng = random.Random(seed)
        self._waiting_by_id: dict[str, tuple[WaitingCall, Sent]] = {}
        self._numbers = 0
        for zone, number in scenario.endpoints_by_zone.items():
            for index in range(number):
                self._add_endpoint(zone, f"{zone}{index}", seed)
        self.policy_by_zone = {zone: self._policy(zone) for zone in scenario.endpoints_by_zone}
        for zone, policy in self.policy_by_zone.items():
            prepare(policy, zone)

    def run(self) -> "Replay":
        """Replay the whole scenario and return this object."""
        scenario = self.scenario
        slots = sum(scenario.endpoints_by_zone.values()) * scenario.slots
        mean_work_ms = sum(kind.share * kind.work_ms for kind in scenario.kinds)
        speed = 1 - NOISY_SHARE * (1 - 1 / NOISE_SLOWDOWN) if scenario.is_noisy else 1.0
        rate_per_ms = scenario.load * slots * speed / mean_work_ms
        endpoints = sum(scenario.endpoints_by_zone.values())
        for zone, number in scenario.endpoints_by_zone.items():
            share = number / endpoints
            if scenario.demand_share_by_zone is not None:
                share = scenario.demand_share_by_zone[zone]
            self.loop.call_at(
                0.0, lambda zone=zone, rate=rate_per_ms * share: self._ask(zone, rate)
            )
        for zone, start_ms, end_ms in scenario.unreachable:
            self.loop.call_at(start_ms, lambda zone=zone: self._set_unreachable(zone, True))
            self.loop.call_at(end_ms, lambda zone=zone: self._set_unreachable(zone, False))
        self.loop.call_at(TICK_INTERVAL_MS, self._tick)
        if scenario.is_noisy:
            self.loop.call_at(NOISE_INTERVAL_MS, self._refresh)
        longest_ms = max(kind.waits_ms for kind in scenario.kinds)
        self.loop.run(scenario.duration_ms + longest_ms)
        return self

    def share_in_time(self, kind: str | None = None) -> float:
        """Return the part of the calls that were answered in time."""
        results = [item for name, item in self.result_by_kind.items() if kind in (None, name)]
        return sum(item.in_time for item in results) / sum(item.asked for item in results)

    def worst_seconds(self, count: int = 5) -> float:
        """Return the mean part of the calls answered in time over the worst seconds."""
        asked: Counter[int] = sum(
            (i.asked_by_second for i in self.result_by_kind.values()), Counter()
        )
        kept: Counter[int] = sum(
            (i.in_time_by_second for i in self.result_by_kind.values()), Counter()
        )
        shares = sorted(kept[second] / number for second, number in asked.items())
        return sum(shares[:count]) / count

    def total(self, name: str) -> float:
        """Return the sum of a figure over all kinds."""
        return sum(getattr(item, name) for item in self.result_by_kind.values())

    def _add_endpoint(self, zone: str, name: str, seed: int) -> None:
        scenario = self.scenario
        endpoint = ScarceEndpoint(name, scenario.slots, self.loop, queue_limit=scenario.queue)
        endpoint.seed = seed
        endpoint.is_noisy = scenario.is_noisy
        endpoint.is_unreachable = False
        self.endpoint_by_name[name] = endpoint
        self.zone_by_endpoint[name] = zone

    def _policy(self, zone: str) -> ServicePolicy:
        scenario = self.scenario
        pool = Pool(rng=random.Random(zone))
        pool.set_endpoints(
            [
                EndpointAddress(
                    name, "1", home, "h", 1, scenario.slots, scenario.distance_ms * (home != zone)
                )
                for name, home in self.zone_by_endpoint.items()
            ],
            -10_000.0,
        )
        admission = Admission()
        for kind in scenario.kinds:
            admission.set_cell(kind.name, BUILT_IN_DEFAULTS, 0.0)
            pool.typical_latency_ms_by_partner[kind.name] = kind.work_ms
        policy = ServicePolicy("service", pool, admission)
        policy.probes_per_s = PROBES_PER_S
        policy.retry_budget.limits = RetryLimits()
        return policy

    def _ask(self, zone: str, rate_per_ms: float) -> None:
        now_ms = self.loop.now_ms
        scenario = self.scenario
        [kind] = self._rng.choices(scenario.kinds, [item.share for item in scenario.kinds])
        sent = Sent(kind, zone, now_ms, now_ms + kind.waits_ms)
        result = self.result_by_kind[kind.name]
        result.asked += 1
        result.asked_by_second[int(now_ms // MS_PER_S)] += 1
        self._submit(sent)
        factor = max(0.01, scenario.demand(zone, now_ms))
        next_ms = now_ms + self._rng.expovariate(rate_per_ms * factor)
        if next_ms < scenario.duration_ms:
            self.loop.call_at(next_ms, lambda: self._ask(zone, rate_per_ms))

    def _submit(self, sent: Sent) -> None:
        self._numbers += 1
        now_ms = self.loop.now_ms
        kind = sent.kind
        call = WaitingCall(
            str(self._numbers),
            kind.name,
            kind.idempotent,
            sent.deadline_ms,
            now_ms,
            priority=kind.priority,
            target_at_ms=now_ms + kind.target_ms,
            body_bytes=kind.body_bytes,
            return_key=str(id(sent)),
        )
        sent.tried = frozenset()
        self._waiting_by_id[call.call_id] = (call, sent)
        policy = self.policy_by_zone[sent.zone]
        self._apply(sent.zone, policy.submit(call, now_ms))

    def _apply(self, zone: str, effects: list[Effect]) -> None:
        for effect in effects:
            if effect.call_id not in self._waiting_by_id:
                continue
            call, sent = self._waiting_by_id[effect.call_id]
            if isinstance(effect, Refuse):
                self._refuse(zone, call, sent, effect)
            else:
                self._dispatch(zone, call, sent, effect)

    def _refuse(self, zone: str, call: WaitingCall, sent: Sent, effect: Refuse) -> None:
        now_ms = self.loop.now_ms
        del self._waiting_by_id[call.call_id]
        result = self.result_by_kind[sent.kind.name]
        result.refused += 1
        result.refused_again += sent.refusals > 0
        self.reasons[effect.reason.value] += 1
        sent.refusals += 1
        delay_ms = self.policy_by_zone[zone].retry_after_ms(call, now_ms)
        if delay_ms <= (sent.deadline_ms - now_ms) / RETRY_AFTER_SHARE:
            result.returned += 1
            self.loop.call_at(now_ms + delay_ms, lambda: self._submit(sent))

    def _dispatch(self, zone: str, call: WaitingCall, sent: Sent, effect: Dispatch) -> None:
        now_ms = self.loop.now_ms
        policy = self.policy_by_zone[zone]
        name = self._probe(policy, call, sent, effect.address.endpoint)
        if self._was_found_full(policy, call, name):
            self._apply(zone, policy.place_again(call, name, sent.tried, now_ms))
            return
        sent.tried |= {name}
        policy.pool.mark_sent(name, call.call_id)
        endpoint = self.endpoint_by_name[name]
        result = self.result_by_kind[sent.kind.name]
        result.waited_ms += now_ms - call.arrived_ms
        if self.zone_by_endpoint[name] != zone:
            result.left_zone += 1
            result.left_zone_by_second[zone, int(now_ms // MS_PER_S)] += 1
            result.zone_bytes += sent.kind.body_bytes + WIRE_BYTES
        delay_ms = self.scenario.distance_ms * 2 if self.zone_by_endpoint[name] != zone else 0.3
        ended = False

        def finish(outcome: CallResult) -> None:
            nonlocal ended
            if not ended:
                ended = True
                endpoint.cancel(job)
                self._finish(zone, call, sent, name, outcome)

        job = Job(sent.kind.work_ms, lambda ok: finish(CallResult.OK))
        if endpoint.is_unreachable:
            if not self.scenario.is_silent:
                self.loop.call_at(now_ms + delay_ms, lambda: finish(CallResult.CONNECT_FAILED))
        elif endpoint.is_full:
            self.resets += 1
            self.loop.call_at(now_ms + delay_ms, lambda: finish(CallResult.CONNECTION_LOST))
        else:
            endpoint.submit(job)
        patience_ms = policy.answer_patience_ms(call, name, sent.tried, now_ms)
        if patience_ms is not None:
            self.loop.call_at(now_ms + patience_ms, lambda: finish(CallResult.UNANSWERED))
        self.loop.call_at(call.deadline_ms, lambda: finish(CallResult.TIMEOUT))

    def _probe(self, policy: ServicePolicy, call: WaitingCall, sent: Sent, name: str) -> str:
        now_ms = self.loop.now_ms
        for _ in range(MOST_PROBES):
            if not policy.try_spend_probe(name, now_ms):
                break
            self.probes += 1
            better = policy.apply_probe(call, name, self._report(name), now_ms, tried=sent.tried)
            if better is None:
                break
            name = better.address.endpoint
        return name

    def _was_found_full(self, policy: ServicePolicy, call: WaitingCall, name: str) -> bool:
        # Earlier versions of the policy send the call to the endpoint's own queue.
        check = getattr(policy.pool, "was_found_full", None)
        if check is None:
            return False
        return check(name, call.call_id, self.loop.now_ms, idempotent=call.idempotent)

    def _report(self, name: str) -> LoadReport | ProbeFailed:
        endpoint = self.endpoint_by_name[name]
        if endpoint.is_unreachable:
            return ProbeFailed("connection refused")
        return LoadReport(len(endpoint.running), len(endpoint.queue), endpoint.noise())

    def _finish(
        self, zone: str, call: WaitingCall, sent: Sent, name: str, outcome: CallResult
    ) -> None:
        now_ms = self.loop.now_ms
        policy = self.policy_by_zone[zone]
        result = self.result_by_kind[sent.kind.name]
        report = self._report(name)
        if outcome is CallResult.OK and isinstance(report, LoadReport):
            policy.pool.report_load(name, report, now_ms)
        if outcome is CallResult.OK:
            result.served += 1
            self.served_at[name].append(now_ms)
            if now_ms - sent.first_ms <= sent.kind.target_ms:
                result.in_time += 1
                result.in_time_by_second[int(sent.first_ms // MS_PER_S)] += 1
        effects = policy.finish(call, name, outcome, now_ms)
        if outcome is not CallResult.OK:
            retry = policy.retry(call, outcome, sent.tried, now_ms)
            if retry is None:
                result.unknown += outcome is CallResult.CONNECTION_LOST
                del self._waiting_by_id[call.call_id]
            else:
                self._waiting_by_id[call.call_id] = (replace(call, tried=sent.tried), sent)
                self._apply(zone, retry[1])
        else:
            del self._waiting_by_id[call.call_id]
        self._apply(zone, effects)

    def _tick(self) -> None:
        now_ms = self.loop.now_ms
        for zone, policy in self.policy_by_zone.items():
            if policy.admission.waiting:
                self._apply(zone, policy.tick(now_ms))
            address = policy.pool.start_probe_trial(now_ms)
            if address is not None:
                name = address.endpoint
                policy.pool.finish_probe_trial(name, self._report(name), now_ms)
                self._apply(zone, policy.tick(now_ms))
        self.loop.call_at(now_ms + TICK_INTERVAL_MS, self._tick)

    def _refresh(self) -> None:
        for endpoint in self.endpoint_by_name.values():
            endpoint.refresh()
        self.loop.call_at(self.loop.now_ms + NOISE_INTERVAL_MS, self._refresh)

    def _set_unreachable(self, zone: str, is_unreachable: bool) -> None:
        for name, home in self.zone_by_endpoint.items():
            if home == zone:
                self.endpoint_by_name[name].is_unreachable = is_unreachable


def _surge(zone: str, at_ms: float) -> float:
    return 2.2 if 7000.0 <= at_ms < 13_000.0 else 1.0


def _waves(zone: str, at_ms: float) -> float:
    # Each zone's demand varies by 55 % at a time of its own, with a mean of 1.
    phase = {"a": 0.0, "b": 1 / 3, "c": 2 / 3}[zone]
    angle = (at_ms / 12_000.0 + phase) % 1.0
    return 1 + 0.55 * (1 - 4 * abs(angle - 0.5))


SCENARIOS = (
    Scenario("usual", {"a": 8, "b": 8, "c": 8}, 0.4),
    Scenario("surge", {"a": 8, "b": 8, "c": 8}, 0.5, demand=_surge),
    Scenario(
        "uneven zone",
        {"a": 7, "b": 8, "c": 8},
        0.5,
        demand_share_by_zone={"a": 0.39, "b": 0.3, "c": 0.31},
    ),
    Scenario("moving demand", {"a": 8, "b": 8, "c": 8}, 0.5, demand=_waves),
    Scenario(
        "uploads, uneven zone",
        {"a": 4, "b": 5, "c": 5},
        0.6,
        slots=6,
        queue=12,
        kinds=UPLOADS,
        demand_share_by_zone={"a": 0.39, "b": 0.3, "c": 0.31},
    ),
    Scenario(
        "uploads, moving demand",
        {"a": 5, "b": 5, "c": 5},
        0.55,
        slots=6,
        queue=12,
        kinds=UPLOADS,
        demand=_waves,
    ),
    Scenario("zone gone", {"a": 8, "b": 8, "c": 8}, 0.4, unreachable=(("a", 5000.0, 10_000.0),)),
)


def measure() -> Iterator[dict[str, Any]]:
    """Yield one result per scenario and kind of call."""
    for scenario in SCENARIOS:
        for seed in (1, 2):
            replay = Replay(scenario, seed).run()
            for name, result in sorted(replay.result_by_kind.items()):
                yield {
                    "bench": "scarcity",
                    "scenario": scenario.name,
                    "seed": seed,
                    "kind": name,
                    "asked": result.asked,
                    "in_time": result.in_time,
                    "served": result.served,
                    "refused": result.refused,
                    "refused_again": result.refused_again,
                    "returned": result.returned,
                    "unknown": result.unknown,
                    "left_zone": result.left_zone,
                    "zone_bytes": result.zone_bytes,
                    "mean_wait_ms": round(result.waited_ms / max(1, result.served), 1),
                }
            yield {
                "bench": "scarcity",
                "scenario": scenario.name,
                "seed": seed,
                "kind": "all",
                "in_time": round(replay.share_in_time(), 4),
                "worst_seconds": round(replay.worst_seconds(), 4),
                "left_zone": replay.total("left_zone"),
                "refused_again": replay.total("refused_again"),
                "resets": replay.resets,
            }
