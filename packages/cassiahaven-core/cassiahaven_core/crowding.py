"""Adaptive slot limit for endpoints that slow down when nearly full."""

import math

NEARLY_FULL_SHARE = 0.8  # endpoints that slow down do so above this occupancy
SMOOTHING = 0.05  # averages over about twenty calls
MOST_RATIO = 3.0  # limits the effect of a single slow call
FEWEST_CALLS = 20
SLOWED = 1.3  # at 1.5, two of three slots match the throughput of three; below, they answer sooner
FORGET_PER_CALL = 0.0005  # retries the last slots after a few thousand calls


class Crowding:
    """Reduce the slots in use when calls take longer in an endpoint's last slots.

    Some endpoints slow down when nearly full. Under overload, filling all of their slots serves
    fewer calls, and later, than leaving the last slots empty.
    """

    __slots__ = ("_usual", "_nearly_full", "_calls")

    def __init__(self) -> None:
        self._usual = 1.0
        self._nearly_full = 1.0
        self._calls = 0

    @property
    def factor(self) -> float:
        """Return the latency in the last slots relative to the other slots."""
        return self._nearly_full / self._usual if self._calls >= FEWEST_CALLS else 1.0

    def learn(self, ratio: float, *, is_nearly_full: bool) -> None:
        """Record the latency of a call, as a ratio to the typical latency."""
        ratio = min(ratio, MOST_RATIO)
        if is_nearly_full:
            self._calls += 1
            self._nearly_full += SMOOTHING * (ratio - self._nearly_full)
        else:
            self._usual += SMOOTHING * (ratio - self._usual)
            self._nearly_full += FORGET_PER_CALL * (self._usual - self._nearly_full)

    def limit(self, slots: int) -> int:
        """Return how many of ``slots`` to use."""
        if self.factor < SLOWED:
            return slots
        return max(1, math.floor(slots * NEARLY_FULL_SHARE))
