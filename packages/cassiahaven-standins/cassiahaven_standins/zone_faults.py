"""Zones that are evacuated and taken back, and zones whose endpoints come back cold."""

import random
import threading
import time
from collections.abc import Callable

from cassiahaven_standins.evacuation_check import EvacuatedPeriod
from cassiahaven_standins.platform_endpoint import PlatformEndpoint
from cassiahaven_standins.platform_fleet import ZONES, PlatformFleet

EVACUATION_GAP_S = (0.3, 2.0)
EVACUATED_S = (5.5, 8.0)  # beyond the bound, so that calls can be late
COLD_GAP_S = (0.5, 2.0)
GONE_S = (2.0, 3.0)
COLD_S = 3.0
COLD_PER_S = 2.5
UNREGISTERED_SHARE = 0.5


class ZoneEvacuations:
    """Evacuates zones, one at a time.

    Attributes:
        periods: When which zone was evacuated.
    """

    def __init__(self, fleet: PlatformFleet, rng: random.Random) -> None:
        self.periods: list[EvacuatedPeriod] = []
        self._fleet = fleet
        self._random = rng

    def run(self, healing: threading.Event) -> None:
        """Evacuate zones until ``healing`` is set."""
        while not healing.wait(self._random.uniform(*EVACUATION_GAP_S)):
            zone = self._random.choice(ZONES)
            self._fleet.evacuate(zone)
            period = EvacuatedPeriod(zone, time.monotonic())
            self.periods.append(period)
            healing.wait(self._random.uniform(*EVACUATED_S))
            period.ended_s = time.monotonic()
            self._fleet.store.state.delete("evacuations", zone)


class ColdZones:
    """Lets the endpoints of a zone be gone and come back cold, one zone at a time.

    Attributes:
        periods_s_by_endpoint: Start and end of the cold times of each endpoint.

    Args:
        reserve: Returns the endpoints of a zone that nothing else withdraws, and keeps them.
        release: Gives them back.
    """

    def __init__(
        self,
        fleet: PlatformFleet,
        rng: random.Random,
        *,
        reserve: Callable[[str], list[PlatformEndpoint]],
        release: Callable[[list[PlatformEndpoint]], None],
    ) -> None:
        self.periods_s_by_endpoint: dict[str, list[tuple[float, float]]] = {}
        self._store = fleet.store.state
        self._random = rng
        self._reserve = reserve
        self._release = release

    def run(self, healing: threading.Event) -> None:
        """Let zones be gone until ``healing`` is set."""
        while not healing.wait(self._random.uniform(*COLD_GAP_S)):
            endpoints = self._reserve(self._random.choice(ZONES))
            is_registered = self._random.random() > UNREGISTERED_SHARE
            for endpoint in endpoints:
                endpoint.stop()
                if not is_registered:
                    self._store.delete("servers", endpoint.state.endpoint)
            healing.wait(self._random.uniform(*GONE_S))
            for endpoint in endpoints:
                self._start_cold(endpoint)
            healing.wait(COLD_S)
            self._release(endpoints)

    def _start_cold(self, endpoint: PlatformEndpoint) -> None:
        name = endpoint.state.endpoint
        started_s = time.monotonic()
        endpoint.state.cold_until_s = started_s + COLD_S
        cold = {"born": int(time.time() * 1000), "coldRemaining": f"{COLD_S * 1000:.0f}ms"}
        self._store.put("servers", name, endpoint.registration() | cold)
        endpoint.start_again()
        periods = self.periods_s_by_endpoint.setdefault(name, [])
        periods.append((started_s, endpoint.state.cold_until_s))
