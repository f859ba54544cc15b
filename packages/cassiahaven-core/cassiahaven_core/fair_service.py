"""Fair service of client accounts where capacity is short."""

from collections import Counter, deque
from dataclasses import dataclass, field

WINDOW_MS = 10_000.0
# Overload often lasts 5 to 8 s. Over 10 s, calls that were served before it would hide for most of
# that time that an account is no longer served.
SHORT_WINDOW_MS = 2000.0
BUCKET_MS = 500.0  # bounds how many calls leave a window at once
# No account may be served less than a quarter as often as all accounts together. The margin covers
# calls that already run for others when an account falls behind, and differences between entries.
LEAST_RELATIVE_SHARE = 0.4


@dataclass(slots=True)
class _Bucket:
    """Calls that ended within one interval, by account."""

    number: int
    asked: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)


class _Window:
    """Calls that ended lately, in all and by account."""

    __slots__ = ("asked", "served", "asked_by_account", "served_by_account", "_length", "_buckets")

    def __init__(self, length_ms: float) -> None:
        self.asked = 0
        self.served = 0
        self.asked_by_account: Counter[str] = Counter()
        self.served_by_account: Counter[str] = Counter()
        self._length = int(length_ms // BUCKET_MS)
        self._buckets: deque[_Bucket] = deque()

    def record(self, account: str, is_served: bool, now_ms: float) -> None:
        number = int(now_ms // BUCKET_MS)
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        bucket = self._buckets[-1]
        bucket.asked[account] += 1
        self.asked_by_account[account] += 1
        self.asked += 1
        if is_served:
            bucket.served[account] += 1
            self.served_by_account[account] += 1
            self.served += 1

    def expire(self, now_ms: float) -> None:
        oldest = int(now_ms // BUCKET_MS) - self._length
        while self._buckets and self._buckets[0].number < oldest:
            bucket = self._buckets.popleft()
            # Subtraction leaves out counts of zero, so accounts that are gone take no memory.
            self.asked_by_account -= bucket.asked
            self.served_by_account -= bucket.served
            self.asked -= bucket.asked.total()
            self.served -= bucket.served.total()

    def is_behind(self, account: str, running: int) -> bool:
        asked = self.asked_by_account.get(account, 0)
        if not asked:
            return False
        served = self.served_by_account.get(account, 0) + running
        return served * self.asked < LEAST_RELATIVE_SHARE * self.served * (asked + running)


class FairService:
    """Count how often each account's calls are served, and find the accounts that are behind.

    Handles load beyond the capacity: priorities and the order of arrival decide who is served, and
    may leave an account with next to nothing. Calls count when they end, as those that still wait
    or run may be served yet. Accounts of all services of an entry are counted together.
    """

    __slots__ = ("_window", "_short_window", "_running_by_account")

    def __init__(self) -> None:
        self._window = _Window(WINDOW_MS)
        self._short_window = _Window(SHORT_WINDOW_MS)
        self._running_by_account: Counter[str] = Counter()

    def record(self, account: str, *, is_served: bool, now_ms: float) -> None:
        """Record the end of a call.

        Args:
            account: Account of the call.
            is_served: Whether an endpoint answered it.
            now_ms: Current time, milliseconds.
        """
        self.expire(now_ms)
        self._window.record(account, is_served, now_ms)
        self._short_window.record(account, is_served, now_ms)

    def start(self, account: str) -> None:
        """Record that a call is assigned to an endpoint."""
        self._running_by_account[account] += 1

    def finish(self, account: str) -> None:
        """Record that a call no longer occupies an endpoint."""
        self._running_by_account[account] -= 1
        if not self._running_by_account[account]:
            del self._running_by_account[account]

    def expire(self, now_ms: float) -> None:
        """Drop the calls that ended before the windows."""
        self._window.expire(now_ms)
        self._short_window.expire(now_ms)

    def is_behind(self, account: str) -> bool:
        """Return whether an account is served far less often than all together.

        Its calls at endpoints count as served: once enough of them are on their way, other
        accounts need not wait for their ends.
        """
        if not self._window.asked:
            return False
        running = self._running_by_account.get(account, 0)
        return self._short_window.is_behind(account, running) or self._window.is_behind(
            account, running
        )

    def count_behind(self) -> int:
        """Return the number of accounts that are served far less often than all together."""
        return sum(self.is_behind(account) for account in self._window.asked_by_account)

    def share(self, account: str) -> float | None:
        """Return the share of an account's calls that were served, ``None`` if there were none."""
        asked = self._window.asked_by_account.get(account, 0)
        return self._window.served_by_account.get(account, 0) / asked if asked else None

    @property
    def overall_share(self) -> float | None:
        """Return the share of all accounts' calls that were served, ``None`` without calls."""
        return self._window.served / self._window.asked if self._window.asked else None
