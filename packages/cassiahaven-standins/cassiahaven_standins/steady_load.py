"""Callers that call all entries in turn until they are stopped."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count

from cassiahaven_standins.platform_fleet import PlatformFleet

CALLERS = 3
GAP_S = 0.01
_numbers = count()


@contextmanager
def steady_load(fleet: PlatformFleet, *, target: str = "/safe/x/") -> Iterator[list[int]]:
    """Send calls that may be repeated until the block ends.

    Yields:
        Status of each answer, 0 for a broken connection.
    """
    statuses: list[int] = []
    is_over = threading.Event()

    def run(first: int) -> None:
        for number in count(first):
            if is_over.wait(GAP_S):
                return
            entry = fleet.entries[number % len(fleet.entries)]
            request = f"steady-{next(_numbers)}"
            statuses.append(fleet.call(entry, "GET", target, request=request)[0])

    threads = [threading.Thread(target=run, args=(number,)) for number in range(CALLERS)]
    for thread in threads:
        thread.start()
    try:
        yield statuses
    finally:
        is_over.set()
        for thread in threads:
            thread.join()
