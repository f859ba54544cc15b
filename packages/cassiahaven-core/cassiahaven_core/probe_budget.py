"""Probe budget of the upstreams, in upstream time."""

MS_PER_S = 1000.0


class ProbeBudget:
    """Token bucket that limits the upstream time spent on probes; starts empty.

    In any window of W seconds, probes use at most ``rate x W`` plus the cost of one probe.
    """

    __slots__ = ("_balance_ms", "_refilled_ms")

    def __init__(self, now_ms: float) -> None:
        self._balance_ms = 0.0
        self._refilled_ms = now_ms

    def spend(self, cost_ms: float, *, rate_ms_per_s: float, now_ms: float) -> bool:
        """Spend ``cost_ms`` if the budget allows it, and return whether it did.

        Args:
            cost_ms: Upstream time of one probe.
            rate_ms_per_s: Budget in upstream milliseconds per second.
            now_ms: Current time.
        """
        earned_ms = max(0.0, now_ms - self._refilled_ms) / MS_PER_S * rate_ms_per_s
        self._refilled_ms = now_ms
        self._balance_ms = min(cost_ms, self._balance_ms + earned_ms)
        if rate_ms_per_s <= 0 or self._balance_ms < cost_ms:
            return False
        self._balance_ms -= cost_ms
        return True
