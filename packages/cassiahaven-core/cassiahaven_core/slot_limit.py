"""Adaptive slot limit for endpoints that slow down when nearly full."""

import math

NEARLY_FULL_SHARE = 0.8  # endpoints that slow down do so above this occupancy
LATENCY_RATIO_EWMA_ALPHA = 0.05  # averages over about twenty calls
MAX_LATENCY_RATIO = 3.0  # limits the effect of a single slow call
MIN_SAMPLES = 20
# At 1.5, two of three slots reach the throughput of all three; below that, they answer sooner.
SLOWDOWN_THRESHOLD = 1.3
# Both averages vary by some 10 % between single calls, which must not lift the limit.
RECOVERY_THRESHOLD = 1.15
DECAY_PER_CALL = 0.0005  # retries the last slots after a few thousand calls


class AdaptiveSlotLimit:
    """Reduce the slots in use when calls take longer in an endpoint's last slots.

    Some endpoints slow down when nearly full. Under overload, filling all of their slots serves
    fewer calls, and later, than leaving the last slots empty.
    """

    __slots__ = (
        "recovery_threshold",
        "_normal_ratio",
        "_nearly_full_ratio",
        "_calls",
        "_is_reduced",
    )

    def __init__(self) -> None:
        self._normal_ratio = 1.0
        self._nearly_full_ratio = 1.0
        self._calls = 0
        self.recovery_threshold = RECOVERY_THRESHOLD
        self._is_reduced = False

    @property
    def factor(self) -> float:
        """Return the latency in the last slots relative to the other slots."""
        return self._nearly_full_ratio / self._normal_ratio if self._calls >= MIN_SAMPLES else 1.0

    def learn(self, ratio: float, *, is_nearly_full: bool) -> None:
        """Record the latency of a call, as a ratio to the typical latency."""
        ratio = min(ratio, MAX_LATENCY_RATIO)
        if is_nearly_full:
            self._calls += 1
            self._nearly_full_ratio += LATENCY_RATIO_EWMA_ALPHA * (ratio - self._nearly_full_ratio)
        else:
            self._normal_ratio += LATENCY_RATIO_EWMA_ALPHA * (ratio - self._normal_ratio)
            self._nearly_full_ratio += DECAY_PER_CALL * (
                self._normal_ratio - self._nearly_full_ratio
            )
        threshold = self.recovery_threshold if self._is_reduced else SLOWDOWN_THRESHOLD
        self._is_reduced = self.factor >= threshold

    def limit(self, slots: int) -> int:
        """Return how many of ``slots`` to use."""
        if not self._is_reduced:
            return slots
        return max(1, math.floor(slots * NEARLY_FULL_SHARE))
