"""Explanations of recent calls, kept in memory by an entry."""

from collections import OrderedDict
from dataclasses import asdict, dataclass, field
from itertools import islice
from typing import Any

MAX_NOTABLE_BYTES = 6_000_000
MAX_ORDINARY_BYTES = 2_000_000
STEP_BYTES = 120
ORDINARY_OUTCOME = "ran"
EXPLANATION_BYTES = 400


@dataclass(frozen=True, slots=True)
class Step:
    """An event in the course of a call; ``at_ms`` counts from the call's arrival."""

    at_ms: float
    what: str
    detail: str


@dataclass(slots=True)
class Explanation:
    """What happened to one call and why: its steps and outcome.

    Attributes:
        arrived_at: Wall-clock time of arrival, seconds since the epoch.
    """

    call_id: str
    service: str
    partner: str
    method: str
    path: str
    arrived_at: float
    outcome: str = "in flight"
    steps: list[Step] = field(default_factory=list)

    @property
    def is_ordinary(self) -> bool:
        """Return whether the call ran at its first attempt."""
        return self.outcome == ORDINARY_OUTCOME and len(self.steps) <= 1

    @property
    def size(self) -> int:
        """Return the estimated size in bytes."""
        return EXPLANATION_BYTES + STEP_BYTES * len(self.steps)

    def to_plain(self) -> dict[str, Any]:
        """Return the explanation as a mapping."""
        return asdict(self)


class ExplanationRing:
    """The newest explanations, up to a total size.

    Args:
        max_bytes: Estimated total size above which the oldest explanations are dropped.
    """

    __slots__ = ("_explanation_by_call", "_size", "_max_bytes")

    def __init__(self, *, max_bytes: int) -> None:
        self._explanation_by_call: OrderedDict[str, Explanation] = OrderedDict()
        self._size = 0
        self._max_bytes = max_bytes

    def add(self, explanation: Explanation) -> None:
        """Keep a finished call's explanation."""
        self._explanation_by_call[explanation.call_id] = explanation
        self._size += explanation.size
        while self._size > self._max_bytes:
            _, dropped = self._explanation_by_call.popitem(last=False)
            self._size -= dropped.size

    def find(self, call_id: str) -> Explanation | None:
        """Return the explanation of ``call_id`` if it is still kept."""
        return self._explanation_by_call.get(call_id)

    def newest(self, count: int) -> list[Explanation]:
        """Return the ``count`` newest explanations, newest first."""
        return list(islice(reversed(self._explanation_by_call.values()), count))


class ExplanationMemory:
    """Recent explanations; calls that were queued, refused, retried or lost are kept longer."""

    __slots__ = ("_notable", "_ordinary")

    def __init__(self) -> None:
        self._notable = ExplanationRing(max_bytes=MAX_NOTABLE_BYTES)
        self._ordinary = ExplanationRing(max_bytes=MAX_ORDINARY_BYTES)

    def add(self, explanation: Explanation) -> None:
        """Keep a finished call's explanation."""
        ring = self._ordinary if explanation.is_ordinary else self._notable
        ring.add(explanation)

    def find(self, call_id: str) -> Explanation | None:
        """Return the explanation of ``call_id`` if it is still kept."""
        return self._notable.find(call_id) or self._ordinary.find(call_id)

    def newest(self, count: int) -> list[Explanation]:
        """Return up to ``count`` explanations, the notable ones first."""
        notable = self._notable.newest(count)
        return notable + self._ordinary.newest(count)[: count - len(notable)]
