"""Rate limits that endpoints name in their answers, divided among the entries."""

import math
import re
from collections import Counter, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

UNLIMITED = math.inf
MS_PER_S = 1000.0
BURST_S = 1.0
WINDOW_MS = 4000.0  # endpoints count the calls of this time
# Endpoints count from 3 s after they named a limit, so their first windows reach back before it.
COUNTED_BEFORE_MS = 1100.0
ONSET_MS = 4200.0  # until the endpoint's window holds no call from before the limit
ONSET_SHARE = 0.5  # of a window's calls; the rest is left to those that other entries sent before
# Calls a second that show whether a limit still holds, where it or a share of it is near 0.
RECHECK_PER_S = 0.25
NEAR_WEIGHT = 4.0
# An entry that lost its watchers hears of all other entries again within this time.
SHARE_HOLD_MS = 10_000.0
# A notice overtaken by another entry's is older than this.
NOTICE_GUARD_MS = 1000.0
NOTICE_REFRESH_MS = 10_000.0
# Bounds the time for which a notice counts whose successor was lost; two refreshes may be.
NOTICE_LIFETIME_MS = 30_000.0
NOTABLE_CHANGE = 1.25  # smaller changes of a limit reach other entries with its next answer there
_DECIMAL = re.compile(r"\d+(?:\.\d+)?", re.ASCII)


def parse_rate(value: str) -> float | None:
    """Parse a decimal number of calls a second; ``None`` if it cannot be read."""
    if _DECIMAL.fullmatch(value.strip()) is None:
        return None
    rate = float(value)
    return rate if math.isfinite(rate) else None


def read_rate_limit(status: int, value: str | None) -> float | None:
    """Return the limit that a response names, infinite for none, ``None`` if it does not tell.

    Only a success without a limit means that there is none: a failure may be answered by a part of
    the endpoint that does not know of it.

    Args:
        status: Status of the response.
        value: Text of the limit, ``None`` if the response has none.
    """
    if value is not None:
        return parse_rate(value)
    return UNLIMITED if 200 <= status < 300 else None


@dataclass(frozen=True, slots=True)
class RateShare:
    """This entry's share of each limit, among the entries that serve callers.

    The entries in an endpoint's own zone get more of its limit, as they send it most of its calls.
    Entries that serve no callers get a few calls, to check whether a limit still holds.

    Attributes:
        zone: Availability zone of this entry.
        serves: Whether this entry serves callers.
        size_by_zone: Number of entries that serve callers in each zone.
        live: Number of all live entries.
    """

    zone: str = ""
    serves: bool = True
    size_by_zone: Mapping[str, int] = field(default_factory=lambda: {"": 1})
    live: int = 1

    @property
    def size(self) -> int:
        """Return the number of entries that serve callers."""
        return max(1, sum(self.size_by_zone.values()))

    def rate_per_s(self, limit_per_s: float, zone: str) -> float:
        """Return the calls a second of this entry at an endpoint in ``zone`` with a limit."""
        if not self.serves:
            return RECHECK_PER_S / max(self.live, self.size)
        weight = NEAR_WEIGHT if zone == self.zone else 1.0
        weights = self.size + (NEAR_WEIGHT - 1) * self.size_by_zone.get(zone, 0)
        return max(limit_per_s, RECHECK_PER_S) * weight / weights

    def yields(self, zone: str) -> bool:
        """Return whether entries in ``zone`` send its endpoints most of their calls.

        These sent most of the calls of the time before a limit too, and alone know how many.
        """
        return zone != self.zone and bool(self.size_by_zone.get(zone))


class ShareHistory:
    """Derive the share from the entries that serve callers, as seen lately.

    An entry that loses sight of the others must not take over their shares while they still send,
    so the largest numbers of entries within ``SHARE_HOLD_MS`` count.

    Args:
        name: Name of this entry.
        zone: Its availability zone.
        zones: All zones; before any entry is known, each is taken to have one that serves callers.
    """

    __slots__ = ("_name", "_zone", "_sizes_by_zone", "_lives")

    def __init__(self, name: str, zone: str, zones: Iterable[str], now_ms: float) -> None:
        self._name = name
        self._zone = zone
        self._sizes_by_zone = {item: deque([(now_ms, 1)]) for item in {zone, *zones}}
        self._lives: deque[tuple[float, int]] = deque()

    def update(self, zone_by_name: Mapping[str, str], live: int, now_ms: float) -> RateShare:
        """Return the share of this entry.

        Args:
            zone_by_name: Zones of the entries that serve callers.
            live: Number of live entries.
            now_ms: Current time, milliseconds.
        """
        sizes = Counter(zone_by_name.values())
        for zone in sizes.keys() - self._sizes_by_zone.keys():
            self._sizes_by_zone[zone] = deque()
        return RateShare(
            self._zone,
            self._name in zone_by_name,
            {
                zone: _largest_recent(history, sizes[zone], now_ms)
                for zone, history in self._sizes_by_zone.items()
            },
            _largest_recent(self._lives, live, now_ms),
        )


def _largest_recent(history: deque[tuple[float, int]], value: int, now_ms: float) -> int:
    """Add a value and return the largest one within ``SHARE_HOLD_MS``."""
    while history and history[-1][1] <= value:
        history.pop()
    history.append((now_ms, value))
    while now_ms - history[0][0] > SHARE_HOLD_MS:
        history.popleft()
    return history[0][1]


class RateLimit:
    """This entry's share of a limit that an endpoint named.

    A token bucket spaces the calls. Beside it, the calls of any ``WINDOW_MS`` are bounded, since
    calls that were sent before the limit was named count in the endpoint's first windows.

    Args:
        limit_per_s: Calls a second that the endpoint takes from all entries together.
        zone: Availability zone of the endpoint.
        share: Share of this entry.
        now_ms: Current time, milliseconds.

    Attributes:
        named_ms: Time of the last answer or notice that named the limit.
        rate_per_s: Calls a second of this entry.
        ends_ms: When a limit that only other entries told ends, infinite for an answer's limit.
        announced_ms: When this or another entry last told the others of the limit.
    """

    __slots__ = (
        "limit_per_s",
        "named_ms",
        "rate_per_s",
        "ends_ms",
        "announced_ms",
        "_zone",
        "_yields",
        "_learned_ms",
        "_tokens",
        "_refilled_ms",
    )

    def __init__(self, limit_per_s: float, zone: str, share: RateShare, now_ms: float) -> None:
        self.named_ms = now_ms
        self.ends_ms = UNLIMITED
        self.announced_ms = now_ms
        self._zone = zone
        self._learned_ms = now_ms
        self._tokens = 0.0
        self._refilled_ms = now_ms
        self._apply(limit_per_s, share)

    def change(self, limit_per_s: float, share: RateShare, now_ms: float) -> None:
        """Apply another limit or share from now on."""
        self._refill(now_ms)
        self._apply(limit_per_s, share)

    def announce(self, now_ms: float) -> bool:
        """Return whether to tell the other entries that the limit still holds, and record it."""
        if now_ms - self.announced_ms < NOTICE_REFRESH_MS:
            return False
        self.announced_ms = now_ms
        return True

    def opens_in_ms(self, sent_ms: Sequence[float], now_ms: float) -> float:
        """Return the time until a call may be sent, 0 if one may be sent now.

        Args:
            sent_ms: When this entry sent its last calls to the endpoint, in order.
            now_ms: Current time, milliseconds.
        """
        if now_ms >= self.ends_ms:
            return 0.0
        self._refill(now_ms)
        opens_ms = now_ms + max(0.0, 1 - self._tokens) / self.rate_per_s * MS_PER_S
        onset_ends_ms = self._learned_ms + ONSET_MS
        is_onset = now_ms < onset_ends_ms
        if is_onset and self._yields:
            opens_ms = max(opens_ms, onset_ends_ms)
        window_calls = self.rate_per_s * WINDOW_MS / MS_PER_S
        most = window_calls * ONSET_SHARE if is_onset else window_calls + self._capacity
        most = max(1, int(most))
        if len(sent_ms) >= most and sent_ms[-most] > self._learned_ms - COUNTED_BEFORE_MS:
            opens_ms = max(opens_ms, sent_ms[-most] + WINDOW_MS)
        return opens_ms - now_ms

    def take(self, now_ms: float) -> None:
        """Count a call."""
        if now_ms < self.ends_ms:
            self._refill(now_ms)
            self._tokens -= 1

    def give_back(self) -> None:
        """Undo the count of a call that was not sent."""
        self._tokens += 1

    @property
    def _capacity(self) -> float:
        return max(1.0, self.rate_per_s * BURST_S)

    def _apply(self, limit_per_s: float, share: RateShare) -> None:
        self.limit_per_s = limit_per_s
        self.rate_per_s = share.rate_per_s(limit_per_s, self._zone)
        self._yields = share.yields(self._zone)

    def _refill(self, now_ms: float) -> None:
        earned = (now_ms - self._refilled_ms) / MS_PER_S * self.rate_per_s
        self._tokens = min(self._capacity, self._tokens + earned)
        self._refilled_ms = now_ms
