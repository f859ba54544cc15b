"""Times for which an endpoint wants no requests from this entry."""

import re
from collections.abc import Iterable

from cassiahaven_core.rate_limit import MS_PER_S

MAX_CLOSURE_MS = 300_000.0  # bounds what a mistaken value costs; a call then finds out anew
REOPENING_CALLS = 2
FIRST_CALLS = 1  # to an endpoint that starts or returns, of which all entries learn at once
_DECIMAL = re.compile(r"\d+(?:\.\d+)?", re.ASCII)


def parse_closure_ms(value: str) -> float | None:
    """Parse a decimal number of seconds to milliseconds; ``None`` if it cannot be read."""
    if _DECIMAL.fullmatch(value.strip()) is None:
        return None
    return float(value) * MS_PER_S


class Closure:
    """A time for which an endpoint takes no requests, and the return to its usual load.

    Once it ends, a few calls are let through, and one more for each that succeeds: the endpoint
    turned requests away as it had too many of them.

    Args:
        asked_ms: Time that the endpoint asked for, from now on; cut to ``MAX_CLOSURE_MS``.
        now_ms: Current time, milliseconds.

    Attributes:
        ends_ms: When it ends.
        room: Calls in flight that are let through after its end.
    """

    __slots__ = ("ends_ms", "room")

    def __init__(self, asked_ms: float, now_ms: float) -> None:
        self.ends_ms = now_ms + min(asked_ms, MAX_CLOSURE_MS)
        self.room = REOPENING_CALLS

    @classmethod
    def ended(cls, now_ms: float) -> "Closure":
        """Return one that ends now, for an endpoint that is to take its usual load step by step."""
        closure = cls(0.0, now_ms)
        closure.room = FIRST_CALLS
        return closure

    def left_ms(self, now_ms: float) -> float:
        """Return the time until its end, 0 after it."""
        return max(0.0, self.ends_ms - now_ms)

    def admits(self, started_ms: Iterable[float], now_ms: float) -> bool:
        """Return whether one more call may be sent.

        Args:
            started_ms: Start times of the calls in flight at the endpoint.
            now_ms: Current time, milliseconds.
        """
        if now_ms < self.ends_ms:
            return False
        return sum(at_ms >= self.ends_ms for at_ms in started_ms) < self.room

    def record_success(self, started_ms: float) -> None:
        """Let one more call through after one that was sent since the end succeeded."""
        if started_ms >= self.ends_ms:
            self.room += 1
