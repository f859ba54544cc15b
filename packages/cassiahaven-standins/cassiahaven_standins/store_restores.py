"""Restores of the store from older copies, after which operators and endpoints write again."""

import random
import threading
import time
from collections.abc import Callable

from cassiahaven_standins.platform_store import StoreCopy, StoreState

WRITTEN_AGAIN = ("config", "servers", "evacuations")
COPY_AGE_S = (1.5, 4.0)
DOWN_S = (0.1, 1.0)
WRITTEN_AGAIN_AFTER_S = (0.1, 0.8)


class StoreRestores:
    """Restores the store again and again.

    Args:
        record_fault: Called when the store goes away, and when all is written again.

    Attributes:
        periods_s: Times from each restore until what was lost is written again.
    """

    def __init__(
        self, state: StoreState, rng: random.Random, *, record_fault: Callable[[], None]
    ) -> None:
        self.periods_s: list[tuple[float, float]] = []
        self._state = state
        self._random = rng
        self._record_fault = record_fault
        state.era = 0

    def run(self, healing: threading.Event) -> None:
        """Restore the store until ``healing`` is set."""
        while True:
            copy = self._state.copy()
            if healing.wait(self._random.uniform(*COPY_AGE_S)):
                return
            self._record_fault()
            down_s = time.monotonic()
            self._state.is_down = True
            healing.wait(self._random.uniform(*DOWN_S))
            lost = self._state.restore(copy)
            self._state.is_down = False
            healing.wait(self._random.uniform(*WRITTEN_AGAIN_AFTER_S))
            self._write_again(copy, lost)
            self.periods_s.append((down_s, time.monotonic()))
            self._record_fault()

    def _write_again(self, copy: StoreCopy, lost: StoreCopy) -> None:
        """Write what operators and endpoints wrote, except what they have written since."""
        written = self._state.changed_after(copy.revision) | self._state.deleted_since_restore
        for key in copy.object_by_key.keys() | lost.object_by_key.keys():
            kind, name = key
            if kind not in WRITTEN_AGAIN or key in written:
                continue
            if key in lost.object_by_key:
                self._state.put(kind, name, lost.object_by_key[key]["spec"])
            else:
                self._state.delete(kind, name)
