"""What one endpoint admits from this entry: slots, rate limit, and when it is closed or cold."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from zlib import crc32

from cassiahaven_core.closure import REOPENING_CALLS, Closure
from cassiahaven_core.cold_start import ColdStart
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.rate_limit import (
    NOTICE_GUARD_MS,
    UNLIMITED,
    WINDOW_MS,
    RateLimit,
    RateShare,
)

REMOTE_ZONE_SLOT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class SlotShare:
    """Divide each endpoint's slots among the entries that serve the same callers.

    The shares of all members add up to the slots, so calls wait at the entries, where they are
    ordered by weight, and not at the endpoints.

    Attributes:
        position: Index of this entry among the members, ``None`` if it is not a member.
        size: Number of members.
    """

    position: int | None = 0
    size: int = 1

    def slots(self, address: EndpointAddress) -> int:
        """Return the in-flight limit of this entry at an endpoint."""
        if self.position is None:
            return 1
        if address.distance_ms:
            return max(1, int(address.slots * REMOTE_ZONE_SLOT_SHARE))
        if self.size == 1:
            return address.slots
        whole, rest = divmod(address.slots, self.size)
        turn = (self.position + crc32(address.endpoint.encode())) % self.size
        return whole + (turn < rest)


FULL_SLOT_SHARE = SlotShare()


@dataclass(slots=True)
class EndpointGate:
    """Slots, rate limit, closure and cold start of one endpoint, as far as they concern this entry.

    Attributes:
        limit: In-flight limit of this entry at the endpoint.
        room: Calls that the endpoint is believed to take, lowered by each unanswered one.
        reopening_room: Calls in flight admitted after an ejection, one more for each success;
            ``None`` at other times.
        full_until_ms: Time until which it is believed to be filled by calls of other entries.
        rate_limit: This entry's share of the rate limit that it names, ``None`` for none.
        sent_ms: When this entry sent each of its calls within ``WINDOW_MS``.
        rate_limit_changed_ms: When this entry last learned of another rate limit.
        unreadable_rate_limit: Text of its last rate limit if that cannot be read, else ``None``.
        closure: Time for which it wants no requests, ``None`` once it takes its usual load again.
        unreadable_closure: Text of the last such time that cannot be read, ``None`` for none.
        cold: Calls that it gets while it is cold, ``None`` if it is warm.
    """

    limit: int = 0
    room: float = math.inf
    reopening_room: int | None = None
    full_until_ms: float = float("-inf")
    rate_limit: RateLimit | None = None
    sent_ms: deque[float] = field(default_factory=deque)
    rate_limit_changed_ms: float = float("-inf")
    unreadable_rate_limit: str | None = None
    closure: Closure | None = None
    unreadable_closure: str | None = None
    cold: ColdStart | None = None

    @property
    def rate_limit_per_s(self) -> float:
        """Return the calls a second that the endpoint takes from all entries together."""
        return self.rate_limit.limit_per_s if self.rate_limit is not None else UNLIMITED

    @property
    def rate_per_s(self) -> float:
        """Return the calls a second of this entry to the endpoint, infinite without a limit."""
        rate_per_s = self.rate_limit.rate_per_s if self.rate_limit is not None else UNLIMITED
        return min(rate_per_s, self.cold.rate_per_s) if self.cold is not None else rate_per_s

    @property
    def most_in_flight(self) -> float:
        """Return the calls in flight up to which slots and believed room allow one more."""
        most = min(self.limit, self.room)
        return most if self.reopening_room is None else min(most, self.reopening_room)

    def start_reopening(self) -> None:
        """Start the return to the usual load after an ejection."""
        self.reopening_room = REOPENING_CALLS

    def opens_in_ms(self, now_ms: float) -> float:
        """Return the time until rate limit, closure and cold start let a call through."""
        opens_in_ms = self.closed_for_ms(now_ms)
        if self.cold is not None:
            opens_in_ms = max(opens_in_ms, self.cold.opens_in_ms(now_ms))
        if self.rate_limit is None:
            return opens_in_ms
        return max(opens_in_ms, self.rate_limit.opens_in_ms(self.sent_ms, now_ms))

    def closed_for_ms(self, now_ms: float) -> float:
        """Return the time until the closure ends, 0 without one."""
        return self.closure.left_ms(now_ms) if self.closure is not None else 0.0

    def close_for(self, asked_ms: float, now_ms: float) -> None:
        """Apply that the endpoint wants no requests for a time, in place of an earlier one."""
        self.closure = Closure(asked_ms, now_ms)
        self.unreadable_closure = None

    def reopen(self, now_ms: float) -> None:
        """Let the endpoint take its usual load step by step from now on."""
        if self.closure is None:
            self.closure = Closure.ended(now_ms)

    def end_cold(self, now_ms: float) -> bool:
        """Return whether the endpoint has become warm since the last check, and apply that."""
        if self.cold is None or now_ms < self.cold.ends_ms:
            return False
        self.cold = None
        self.reopen(now_ms)
        return True

    def record_success(self, started_ms: float) -> None:
        """Record a call that succeeded, which opens a closed endpoint step by step."""
        if self.reopening_room is not None:
            self.reopening_room += 1
            if self.reopening_room > self.limit:
                self.reopening_room = None
        if self.closure is not None:
            self.closure.record_success(started_ms)
            if self.closure.room > self.limit:
                self.closure = None

    def count_sent(self, now_ms: float) -> None:
        """Record a call that is about to be sent."""
        self.sent_ms.append(now_ms)
        while self.sent_ms[0] <= now_ms - WINDOW_MS:
            self.sent_ms.popleft()
        if self.rate_limit is not None:
            self.rate_limit.take(now_ms)
        if self.cold is not None:
            self.cold.take(now_ms)

    def give_back(self, counted_ms: float, *, is_rate_limited: bool, is_cold: bool = False) -> None:
        """Undo the record of a call that was not sent."""
        if is_cold and self.cold is not None:
            self.cold.give_back()
        if counted_ms in self.sent_ms:
            self.sent_ms.remove(counted_ms)
        if is_rate_limited and self.rate_limit is not None:
            self.rate_limit.give_back()

    def apply_rate_limit(
        self,
        rate_per_s: float,
        *,
        zone: str,
        share: RateShare,
        started_ms: float | None,
        now_ms: float,
    ) -> float | None:
        """Apply the rate limit named in the answer to a call, or that it named none.

        Args:
            rate_per_s: Calls a second, infinite if the answer names no limit.
            zone: Availability zone of the endpoint.
            share: This entry's share of the limits.
            started_ms: When the call was counted at the endpoint, ``None`` if it is not.
            now_ms: Current time, milliseconds.

        Returns:
            The limit before, ``None`` if it did not change.
        """
        limit = self.rate_limit
        before = self.rate_limit_per_s
        if rate_per_s == UNLIMITED:
            # The answer may have been made before the last one that named a limit.
            if limit is None or started_ms is None or started_ms < limit.named_ms:
                return None
            self.rate_limit = None
        elif limit is None:
            self.rate_limit = RateLimit(rate_per_s, zone, share, now_ms)
        else:
            limit.named_ms = now_ms
            limit.ends_ms = UNLIMITED
            limit.change(rate_per_s, share, now_ms)
        if before == rate_per_s:
            return None
        self.rate_limit_changed_ms = now_ms
        return before

    def apply_rate_limit_notice(
        self,
        rate_per_s: float,
        *,
        zone: str,
        share: RateShare,
        ends_ms: Callable[[float], float],
        now_ms: float,
    ) -> float | None:
        """Apply the rate limit that another entry was told, infinite for none.

        Notices reach an entry over several links, so one that contradicts what became known just
        before may be older.

        Args:
            rate_per_s: Calls a second.
            zone: Availability zone of the endpoint.
            share: This entry's share of the limits.
            ends_ms: Returns when a notice of now ends, unless another one or an answer confirms it.
            now_ms: Current time, milliseconds.

        Returns:
            The limit before, ``None`` if it did not change.
        """
        limit = self.rate_limit
        before = self.rate_limit_per_s
        last_ms = max(self.rate_limit_changed_ms, limit.named_ms if limit else -math.inf)
        if limit is not None and before == rate_per_s:
            limit.announced_ms = now_ms
            if limit.ends_ms < UNLIMITED:
                limit.ends_ms = ends_ms(now_ms)
        if before == rate_per_s or now_ms - last_ms < NOTICE_GUARD_MS:
            return None
        if rate_per_s == UNLIMITED:
            self.rate_limit = None
        elif limit is None:
            self.rate_limit = RateLimit(rate_per_s, zone, share, now_ms)
            self.rate_limit.ends_ms = ends_ms(now_ms)
        else:
            limit.change(rate_per_s, share, now_ms)
        self.rate_limit_changed_ms = now_ms
        return before
