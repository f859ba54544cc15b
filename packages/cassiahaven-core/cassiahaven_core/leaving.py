"""Endpoints that told this entry that they leave."""

from collections.abc import Collection
from dataclasses import dataclass

RETENTION_MS = 600_000.0  # an endpoint that leaves ends within seconds, or minutes if it hangs
MAX_STARTS = 1000


@dataclass(slots=True)
class Leaving:
    """What one start of an endpoint told this entry.

    Attributes:
        source: Kind of answer that told it first.
        learned_ms: When this entry got that answer.
        last_known_ms: When the start last answered or was last listed.
    """

    source: str
    learned_ms: float
    last_known_ms: float


class LeavingEndpoints:
    """Starts of endpoints that said in an answer to this entry that they leave.

    An endpoint never takes this back, so what others report of the same start is either the same or
    older. Only what this entry was told itself is kept here: reports of others stay with their
    source. A start is forgotten once it was neither listed nor heard of for ``RETENTION_MS``.
    """

    __slots__ = ("leaving_by_start",)

    def __init__(self) -> None:
        self.leaving_by_start: dict[tuple[str, str], Leaving] = {}

    def learn(self, endpoint: str, incarnation: str, source: str, now_ms: float) -> bool:
        """Record an answer that says so; return whether it is the first one of this start."""
        known = self.leaving_by_start.get((endpoint, incarnation))
        if known is not None:
            known.last_known_ms = now_ms
            return False
        self._forget_ended(now_ms)
        if len(self.leaving_by_start) >= MAX_STARTS:
            # The pool holds the status of listed endpoints, which have the latest times.
            oldest = min(self.leaving_by_start.items(), key=lambda item: item[1].last_known_ms)
            del self.leaving_by_start[oldest[0]]
        self.leaving_by_start[endpoint, incarnation] = Leaving(source, now_ms, now_ms)
        return True

    def find(self, endpoint: str, incarnation: str) -> Leaving | None:
        """Return what a start of an endpoint told, ``None`` if it is not known to leave."""
        return self.leaving_by_start.get((endpoint, incarnation))

    def keep_listed(self, listed: Collection[tuple[str, str]], now_ms: float) -> None:
        """Record which starts are listed, and forget those that ended."""
        for start, leaving in self.leaving_by_start.items():
            if start in listed:
                leaving.last_known_ms = now_ms
        self._forget_ended(now_ms)

    def _forget_ended(self, now_ms: float) -> None:
        ended = [
            start
            for start, leaving in self.leaving_by_start.items()
            if now_ms - leaving.last_known_ms > RETENTION_MS
        ]
        for start in ended:
            del self.leaving_by_start[start]
