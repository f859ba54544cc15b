"""The retry budget of one service."""

from collections import deque
from dataclasses import dataclass

BUCKET_MS = 250.0  # a fortieth of the default window, coarse to keep the bookkeeping cheap


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits on the retries of a service within any window.

    Attributes:
        share: Retries allowed per call in the window.
        slack: Retries allowed in addition, independent of the calls.
        window_ms: Length of the window, milliseconds.
    """

    share: float = 0.1
    slack: float = 10.0
    window_ms: float = 10_000.0


class RetryBudget:
    """Limit retries to a share of the calls, so that they do not amplify an outage.

    A fleet-wide limit needs no messages: each entry counts its own calls and gets its share of the
    slack, so the total stays within the limit when entries join or leave.
    """

    __slots__ = ("limits", "_calls", "_retries", "_call_count", "_retry_count")

    def __init__(self, limits: RetryLimits | None = None) -> None:
        self.limits = limits or RetryLimits()
        self._calls: deque[list[float]] = deque()
        self._retries: deque[list[float]] = deque()
        self._call_count = 0
        self._retry_count = 0

    def deposit(self, now_ms: float) -> None:
        """Count a first attempt."""
        self._expire(now_ms)
        _count(self._calls, now_ms)
        self._call_count += 1

    def has_room(self, now_ms: float) -> bool:
        """Return whether the budget allows a retry now."""
        self._expire(now_ms)
        return self._retry_count + 1 <= self._allowed()

    def withdraw(self, now_ms: float) -> bool:
        """Spend one retry if the budget allows it, and return whether it did."""
        if not self.has_room(now_ms):
            return False
        _count(self._retries, now_ms)
        self._retry_count += 1
        return True

    def _allowed(self) -> float:
        return self.limits.share * self._call_count + self.limits.slack

    def _expire(self, now_ms: float) -> None:
        # Calls expire one bucket early and retries one bucket late, so rounding never adds a retry.
        start_ms = now_ms - self.limits.window_ms
        while self._calls and self._calls[0][0] < start_ms:
            self._call_count -= int(self._calls.popleft()[1])
        while self._retries and self._retries[0][0] + BUCKET_MS < start_ms:
            self._retry_count -= int(self._retries.popleft()[1])


def _count(buckets: deque[list[float]], now_ms: float) -> None:
    start_ms = now_ms - now_ms % BUCKET_MS
    if buckets and buckets[-1][0] == start_ms:
        buckets[-1][1] += 1
    else:
        buckets.append([start_ms, 1])
