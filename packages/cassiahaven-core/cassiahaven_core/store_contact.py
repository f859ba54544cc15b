"""Whether the fleet's store was away, by every answer of it that an entry hears of."""

SHORTEST_OUTAGE_MS = 1500.0  # a heartbeat of the endpoints; shorter gaps let none of them lapse
# Live endpoints register again within 2 s of the store's return; 2.3 s leaves room for the way.
REREGISTRATION_MS = 2300.0


class StoreContact:
    """Tell an outage of the store from one of the way to it.

    An entry's failed calls show only that it cannot reach the store. The store is away if nobody
    whom the entry hears, itself included, gets an answer any more.
    """

    __slots__ = ("_answered_ms", "_unanswered_ms", "_returned_ms")

    def __init__(self) -> None:
        self._answered_ms = float("-inf")
        self._unanswered_ms: float | None = None
        self._returned_ms = float("-inf")

    def ask(self, at_ms: float) -> None:
        """Take in that the store was asked and has not answered yet."""
        if self._unanswered_ms is None and at_ms >= self._answered_ms:
            self._unanswered_ms = at_ms

    def answer(self, at_ms: float) -> None:
        """Take in that the store answered this entry or another one."""
        if at_ms <= self._answered_ms:
            return
        self._answered_ms = at_ms
        if self._unanswered_ms is None or at_ms < self._unanswered_ms:
            return
        if self.is_away(at_ms):
            self._returned_ms = at_ms
        self._unanswered_ms = None

    def is_away(self, now_ms: float) -> bool:
        """Tell whether the store has answered nobody for as long as an outage lasts."""
        if self._unanswered_ms is None:
            return False
        return now_ms - self._unanswered_ms >= SHORTEST_OUTAGE_MS

    def may_have_lapsed(self, now_ms: float) -> bool:
        """Tell whether registrations of live endpoints may be missing because of an outage."""
        return self.is_away(now_ms) or now_ms - self._returned_ms < REREGISTRATION_MS
