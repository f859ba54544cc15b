"""Replay of calls of client accounts to one service, on a simulated clock."""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import count
from typing import Any

from cassiahaven_core.account import combined_priority
from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.endpoint import CallResult
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.fair_service import FairService
from cassiahaven_core.pool import Pool
from cassiahaven_core.service import Dispatch, Effect, ServicePolicy
from cassiahaven_core.table import BUILT_IN_DEFAULTS

WORK_MS = 100.0
WORK_SPREAD = 0.2
SLOTS = 10  # of one endpoint each, so that no slot is left empty as one that slows down others
CAPACITY_PER_S = SLOTS * 1000 / WORK_MS
TICK_MS = 20.0
LOAD_MS = 20_000.0
SURGE_MS = 14_000.0  # surges last 5 to 8 s
TARGET_MS = 500.0
DEADLINE_MS = 2000.0
RETRIES = 3
RETRY_DELAY_MS = 1.0
ALL = "all"


@dataclass(frozen=True, slots=True)
class Source:
    """Calls of one account to one route.

    Attributes:
        per_s: Calls a second.
        priority: Priority of the account.
        route_priority: Priority of the route.
        surge: Factor of ``per_s`` from ``SURGE_MS`` on.
    """

    account: str
    per_s: float
    priority: int = 0
    route_priority: int = 0
    surge: float = 1.0


class ServiceReplay:
    """Send calls through a policy and count what was asked and served.

    Args:
        seed: Seed of arrivals and work.
        fair_service: Counts that the policy goes by.
        retrying_share: Share of the calls that are repeated at once if they are refused.
        judged_from_ms: Calls that arrive before are not counted.

    Attributes:
        asked: Number of calls by account, by priority of the route, and of ``ALL``.
        served: Number of these that were served.
    """

    def __init__(
        self,
        *,
        seed: int,
        fair_service: FairService,
        retrying_share: float = 0.0,
        judged_from_ms: float = 0.0,
    ) -> None:
        self.asked: Counter[str | int] = Counter()
        self.served: Counter[str | int] = Counter()
        self._rng = random.Random(seed)
        self._fair_service = fair_service
        self._retrying_share = retrying_share
        self._judged_from_ms = judged_from_ms
        pool = Pool(rng=random.Random(seed))
        endpoints = [EndpointAddress(f"e{n}", "1", "zone", "host", 1, 1) for n in range(SLOTS)]
        pool.set_endpoints(endpoints, 0.0)
        self._policy = ServicePolicy("service", pool, Admission(fair_service=fair_service))
        self._call_by_id: dict[str, tuple[WaitingCall, Source, int]] = {}
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    @property
    def judged_s(self) -> float:
        """Return the time in which calls are counted, seconds."""
        return (LOAD_MS - self._judged_from_ms) / 1000

    def run(self, sources: Iterable[Source]) -> None:
        """Send the calls of ``sources`` and wait until all have ended."""
        for source in sources:
            self._policy.admission.set_cell(source.account, BUILT_IN_DEFAULTS, 0.0)
            at_ms = 0.0
            while at_ms < LOAD_MS:
                retries = RETRIES if self._rng.random() < self._retrying_share else 0
                self._at(at_ms + self._rng.random(), self._ask, source, retries)
                per_s = source.per_s * (source.surge if at_ms >= SURGE_MS else 1.0)
                at_ms += self._rng.expovariate(per_s) * 1000
        for number in range(int(LOAD_MS / TICK_MS)):
            self._at(number * TICK_MS, self._tick)
        while self._events:
            now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments, now_ms)

    def share(self, key: str | int = ALL) -> float:
        """Return the share of the calls of an account, route priority or ``ALL`` served."""
        return self.served[key] / self.asked[key]

    def lowest_share(self) -> float:
        """Return the lowest share of an account in relation to the share of all."""
        accounts = [key for key in self.asked if isinstance(key, str) and key != ALL]
        return min(self.share(account) for account in accounts) / self.share()

    def _at(self, at_ms: float, action: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), action, arguments))

    def _ask(self, source: Source, retries: int, now_ms: float) -> None:
        call = WaitingCall(
            str(next(self._numbers)),
            source.account,
            True,
            now_ms + DEADLINE_MS,
            now_ms,
            priority=combined_priority(source.priority, source.route_priority),
            target_at_ms=now_ms + TARGET_MS,
            work_class="route",
        )
        self._call_by_id[call.call_id] = (call, source, retries)
        self._apply(self._policy.submit(call, now_ms), now_ms)

    def _tick(self, now_ms: float) -> None:
        self._apply(self._policy.tick(now_ms), now_ms)

    def _apply(self, effects: Iterable[Effect], now_ms: float) -> None:
        for effect in effects:
            call, _, _ = self._call_by_id[effect.call_id]
            if isinstance(effect, Dispatch):
                self._policy.pool.mark_sent(effect.address.endpoint, call.call_id)
                work_ms = WORK_MS * self._rng.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
                self._at(now_ms + work_ms, self._finish, call, effect.address.endpoint)
            else:
                self._end(call, False, now_ms)

    def _finish(self, call: WaitingCall, endpoint: str, now_ms: float) -> None:
        effects = self._policy.finish(call, endpoint, CallResult.OK, now_ms)
        self._end(call, True, now_ms)
        self._apply(effects, now_ms)

    def _end(self, call: WaitingCall, is_served: bool, now_ms: float) -> None:
        _, source, retries = self._call_by_id.pop(call.call_id)
        self._fair_service.record(call.partner, is_served=is_served, now_ms=now_ms)
        if call.arrived_ms >= self._judged_from_ms:
            for key in (source.account, source.route_priority, ALL):
                self.asked[key] += 1
                self.served[key] += is_served
        if not is_served and retries:
            self._at(now_ms + RETRY_DELAY_MS, self._ask, source, retries - 1)
