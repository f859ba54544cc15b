"""Whether an endpoint's last slots are worth using."""

import math

NEARLY_FULL_SHARE = 0.8  # endpoints that slow down do so when more of their slots are taken
SMOOTHING = 0.05  # the times of about twenty calls
MOST_RATIO = 3.0  # a single slow call says little
FEWEST_CALLS = 20
SLOWED = 1.3  # two of three slots carry as much at 1.5, and answer sooner below that
FORGET_PER_CALL = 0.0005  # so that the last slots are tried again after some thousand calls


class Crowding:
    """Learn how much longer calls take in an endpoint's last slots than in the others.

    Answers the load pattern of endpoints that slow down when nearly full: there, using every slot
    in a rush serves fewer calls and answers them later than leaving the last ones empty.
    """

    __slots__ = ("_usual", "_nearly_full", "_calls")

    def __init__(self) -> None:
        self._usual = 1.0
        self._nearly_full = 1.0
        self._calls = 0

    @property
    def factor(self) -> float:
        """Return how many times longer calls take in the last slots."""
        return self._nearly_full / self._usual if self._calls >= FEWEST_CALLS else 1.0

    def learn(self, ratio: float, *, is_nearly_full: bool) -> None:
        """Take in how long a call took, as a ratio to the usual time."""
        ratio = min(ratio, MOST_RATIO)
        if is_nearly_full:
            self._calls += 1
            self._nearly_full += SMOOTHING * (ratio - self._nearly_full)
        else:
            self._usual += SMOOTHING * (ratio - self._usual)
            self._nearly_full += FORGET_PER_CALL * (self._usual - self._nearly_full)

    def limit(self, slots: int) -> int:
        """Return how many of ``slots`` are to be used."""
        if self.factor < SLOWED:
            return slots
        return max(1, math.floor(slots * NEARLY_FULL_SHARE))
