"""Non-blocking log output with a bounded buffer and a rate limit."""

import os
import sys
from collections import deque
from typing import Any

import eventlet
import orjson
from eliot import add_destinations

from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log

MAX_BUFFERED_LINES = 5000  # about one second of log lines at the busiest entry
MAX_LINES_PER_S = 2000
FLUSH_INTERVAL_MS = 50.0


class LogStream:
    """Buffer log lines and write them when the output is ready.

    Lines above the rate limit or the buffer size are dropped and counted: an entry that blocked on
    its log would block its callers.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._second_ms = 0.0
        self._lines_this_second = 0
        os.set_blocking(self._descriptor, False)

    def open(self) -> None:
        """Register as the log destination of this process."""
        add_destinations(self.enqueue)

    def enqueue(self, message: dict[str, Any]) -> None:
        """Buffer a line, or drop and count it."""
        at_ms = now_ms()
        if at_ms - self._second_ms >= MS_PER_S:
            self._second_ms = at_ms
            self._lines_this_second = 0
        self._lines_this_second += 1
        if self._lines_this_second > MAX_LINES_PER_S or len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        self._lines.append(orjson.dumps(message, default=repr) + b"\n")

    def run(self) -> None:
        """Write buffered lines until the process ends."""
        while True:
            self.flush()
            eventlet.sleep(FLUSH_INTERVAL_MS / MS_PER_S)

    def flush(self) -> None:
        """Write as many buffered lines as the output accepts without blocking."""
        if self._dropped and len(self._lines) < MAX_BUFFERED_LINES:
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
