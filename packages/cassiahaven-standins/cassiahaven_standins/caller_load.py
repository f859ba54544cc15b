"""Callers of a fleet, and what its endpoints got from them."""

import threading
import time
from collections.abc import Callable
from itertools import count

from cassiahaven_standins.notice_check import Arrival, late_requests, requests_while_closed
from cassiahaven_standins.pipelining_caller import PipelinedRequest, PipeliningCaller
from cassiahaven_standins.platform_fleet import Entry, PlatformFleet

CALL_GAP_S = 0.02
BATCH = 3
MOST_PIPELINING_CALLERS = 3


class CallerLoad:
    """Callers with new connections and with kept ones, each at an entry of its own.

    Attributes:
        call_by_request: Entry and time of each request that was sent.
        answers: Time, status, headers and duration in seconds of each answer on a new connection.
        statuses: Status of each answer.
        interruptions: Entry and time of the start and end of each restart, freeze or cut.
    """

    def __init__(self, fleet: PlatformFleet, *, callers: int, prefix: str = "x") -> None:
        self.fleet = fleet
        self.call_by_request: dict[str, tuple[str, float]] = {}
        self.answers: list[tuple[float, int, dict[str, str], float]] = []
        self.statuses: list[int] = []
        self.interruptions: list[tuple[str, float]] = []
        self._prefix = prefix
        self._numbers = count()
        self._stop = threading.Event()
        entries = fleet.entries
        runs = [(self._call, entries[n % len(entries)]) for n in range(callers)]
        runs += [(self._call_in_batches, entry) for entry in entries[:MOST_PIPELINING_CALLERS]]
        self._threads = [
            threading.Thread(target=run, args=(entry,), daemon=True) for run, entry in runs
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop all callers after their last answer."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def interrupt(
        self, entry: Entry, number: int, seconds: float, resume: Callable[[], None]
    ) -> None:
        """Send a signal to an entry and resume it after some seconds."""
        self.interruptions.append((entry.name, time.monotonic()))
        entry.signal(number)
        time.sleep(seconds)
        resume()
        self.interruptions.append((entry.name, time.monotonic()))

    def arrivals(self, name: str, from_s: float = 0.0, to_s: float = float("inf")) -> int:
        """Return how many requests an endpoint got in a time."""
        state = self.fleet.endpoint_by_name[name].state
        return sum(from_s <= at_s < to_s for at_s, _ in list(state.arrivals))

    def late_requests(self, name: str, drain_s: float) -> list[str]:
        """Return the requests that an endpoint got from entries that knew that it leaves."""
        state = self.fleet.endpoint_by_name[name].state
        told = [
            (at_s, self.call_by_request[request][0])
            for at_s, request in list(state.leaving_responses)
            if request in self.call_by_request
        ]
        arrivals = [
            Arrival(at_s, *self.call_by_request[request], request)
            for at_s, request in list(state.arrivals)
        ]
        return late_requests(told, arrivals, drain_s=drain_s, is_excused=self._was_interrupted)

    def requests_while_closed(self, name: str) -> list[str]:
        """Return the times for which an endpoint closed itself and got requests all the same."""
        state = self.fleet.endpoint_by_name[name].state
        closings = [
            (at_s, self.call_by_request[request][0], float(text))
            for at_s, request, text in list(state.closing_responses)
            if request in self.call_by_request and text.replace(".", "", 1).isdecimal()
        ]
        arrivals = [
            (at_s, self.call_by_request[request][0]) for at_s, request in list(state.arrivals)
        ]
        return requests_while_closed(closings, arrivals, is_excused=self._was_interrupted)

    def _was_interrupted(self, entry: str, from_s: float, to_s: float) -> bool:
        return any(name == entry and from_s <= at_s <= to_s for name, at_s in self.interruptions)

    def _new_request(self, entry: Entry) -> str:
        request = f"load-{self._prefix}-{next(self._numbers)}"
        self.call_by_request[request] = (entry.name, time.monotonic())
        return request

    def _call(self, entry: Entry) -> None:
        for position in count():
            if self._stop.wait(CALL_GAP_S):
                return
            method, kind = ("GET", "safe") if position % 2 else ("POST", "unsafe")
            request = self._new_request(entry)
            sent_s = time.monotonic()
            status, _, headers = self.fleet.call(
                entry, method, f"/{kind}/{self._prefix}/1", request=request
            )
            self.statuses.append(status)
            self.answers.append((sent_s, status, headers, time.monotonic() - sent_s))

    def _call_in_batches(self, entry: Entry) -> None:
        caller = PipeliningCaller(entry.front_port)
        while not self._stop.wait(CALL_GAP_S):
            requests = [self._new_request(entry) for _ in range(BATCH)]
            batch = [
                PipelinedRequest("GET", f"/safe/{self._prefix}/{item}", item) for item in requests
            ]
            self.statuses += [status for status, _ in caller.call(batch)]
        caller.close()
