"""Log lines on standard output, bounded and never waited for."""

import os
import sys
from collections import deque
from typing import Any

import eventlet
import orjson
from eliot import add_destinations

from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log

MOST_WAITING_LINES = 5000  # about a second of the busiest entry
MOST_LINES_PER_S = 2000
FLUSH_INTERVAL_MS = 50.0


class LogStream:
    """Take log lines at once and write them when the output takes them.

    Lines beyond a rate or beyond what may wait are dropped and counted: an entry that waits for its
    log would make its callers wait.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._second_ms = 0.0
        self._lines_this_second = 0
        os.set_blocking(self._descriptor, False)

    def open(self) -> None:
        """Receive the lines of this process."""
        add_destinations(self.take)

    def take(self, message: dict[str, Any]) -> None:
        """Take a line in, or count it as dropped."""
        at_ms = now_ms()
        if at_ms - self._second_ms >= MS_PER_S:
            self._second_ms = at_ms
            self._lines_this_second = 0
        self._lines_this_second += 1
        if self._lines_this_second > MOST_LINES_PER_S or len(self._lines) >= MOST_WAITING_LINES:
            self._dropped += 1
            return
        self._lines.append(orjson.dumps(message, default=repr) + b"\n")

    def run(self) -> None:
        """Write the lines for ever."""
        while True:
            self.flush()
            eventlet.sleep(FLUSH_INTERVAL_MS / MS_PER_S)

    def flush(self) -> None:
        """Write as many lines as the output takes."""
        if self._dropped and len(self._lines) < MOST_WAITING_LINES:
            dropped, self._dropped = self._dropped, 0
            log(LogEvent.LINES_DROPPED, count=dropped)
        while self._lines:
            data = b"".join(self._lines)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            self._lines.clear()
            if written < len(data):
                self._lines.append(data[written:])
                return
