"""Detection of store outages from every store answer that an entry learns of."""

# The endpoints' heartbeat interval: no registration expires in a shorter outage.
MIN_OUTAGE_MS = 1500.0
# Live endpoints register again within 2 s of the store's return; 2.3 s allows for propagation.
REREGISTRATION_MS = 2300.0


class StoreOutageDetector:
    """Distinguish an outage of the store from a broken connection to it.

    Failed requests of one entry show only that this entry cannot reach the store. The store counts
    as down if neither this entry nor any watcher that it follows gets an answer.
    """

    __slots__ = ("_last_answer_ms", "_unanswered_since_ms", "_recovered_ms", "_restored_ms")

    def __init__(self) -> None:
        self._last_answer_ms = float("-inf")
        self._unanswered_since_ms: float | None = None
        self._recovered_ms = float("-inf")
        self._restored_ms = float("-inf")

    def record_request(self, at_ms: float) -> None:
        """Record a request to the store that has not been answered yet."""
        if self._unanswered_since_ms is None and at_ms >= self._last_answer_ms:
            self._unanswered_since_ms = at_ms

    def record_answer(self, at_ms: float) -> None:
        """Record an answer of the store to this entry or another one."""
        if at_ms <= self._last_answer_ms:
            return
        self._last_answer_ms = at_ms
        if self._unanswered_since_ms is None or at_ms < self._unanswered_since_ms:
            return
        if self.is_store_down(at_ms):
            self._recovered_ms = at_ms
        self._unanswered_since_ms = None

    def answer_age_ms(self, now_ms: float) -> float:
        """Return the time since the store last answered this entry or a watcher of it."""
        return now_ms - self._last_answer_ms

    def record_restore(self, at_ms: float) -> None:
        """Record that the store was found to be restored from a copy."""
        self._restored_ms = at_ms

    def is_restored(self, now_ms: float) -> bool:
        """Return whether the store was restored and endpoints may not have registered again."""
        return now_ms - self._restored_ms < REREGISTRATION_MS

    def is_store_down(self, now_ms: float) -> bool:
        """Return whether requests went unanswered for at least ``MIN_OUTAGE_MS``."""
        if self._unanswered_since_ms is None:
            return False
        return now_ms - self._unanswered_since_ms >= MIN_OUTAGE_MS

    def may_have_expired(self, now_ms: float) -> bool:
        """Return whether registrations of live endpoints may be missing after an outage."""
        is_recovered = now_ms - self._recovered_ms < REREGISTRATION_MS
        return self.is_store_down(now_ms) or is_recovered or self.is_restored(now_ms)
