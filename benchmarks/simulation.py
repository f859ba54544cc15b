"""Discrete-event simulation of upstream endpoints with a limited number of slots."""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count


class EventLoop:
    """Event loop that runs callbacks in the order of their simulated times."""

    __slots__ = ("now_ms", "_queue", "_sequence")

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` at a simulated time."""
        heapq.heappush(self._queue, (at_ms, next(self._sequence), callback))

    def run(self, until_ms: float) -> None:
        """Run all callbacks that are due up to a simulated time."""
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._queue)
            callback()


@dataclass(slots=True, eq=False)
class Job:
    """Call at an endpoint.

    Attributes:
        work_ms: Remaining service time at full speed.
        done: Callback that receives whether the call succeeded.
    """

    work_ms: float
    done: Callable[[bool], None]


@dataclass(slots=True)
class SimulatedEndpoint:
    """Endpoint that runs jobs in slots, first come first served, at a variable speed.

    Attributes:
        speed: Work done per unit of time in each slot; 1 is full speed.
        is_failing: Every new job fails, 0.2 ms after it arrives.
        is_draining: The endpoint is leaving and must get no new jobs.
        queue_limit: Jobs that wait; any further one is never answered. ``None`` for no limit.
        late_jobs: Number of jobs that arrived while the endpoint was draining.
        hung_jobs: Number of jobs that are never answered.
        _updated_ms: Time up to which the work of the running jobs has been subtracted.
        _generation: Number of the latest scheduled completion; earlier ones are ignored.
    """

    name: str
    slots: int
    loop: EventLoop
    speed: float = 1.0
    is_failing: bool = False
    is_draining: bool = False
    queue_limit: int | None = None
    late_jobs: int = 0
    hung_jobs: int = 0
    running: list[Job] = field(default_factory=list)
    queue: deque[Job] = field(default_factory=deque)
    _updated_ms: float = 0.0
    _generation: int = 0

    @property
    def load(self) -> int:
        """Return the number of running and queued jobs."""
        return len(self.running) + len(self.queue)

    def submit(self, job: Job) -> None:
        """Start a job, or queue it if all slots are busy."""
        if self.is_draining:
            self.late_jobs += 1
        if self.is_failing:
            self.loop.call_at(self.loop.now_ms + 0.2, lambda: job.done(False))
            return
        self._update_work()
        if len(self.running) < self.slots:
            self.running.append(job)
        elif self.queue_limit is not None and len(self.queue) >= self.queue_limit:
            self.hung_jobs += 1
        else:
            self.queue.append(job)
        self._schedule()

    def cancel(self, job: Job) -> None:
        """Drop a job whose caller has closed the connection."""
        self._update_work()
        if job in self.queue:
            self.queue.remove(job)
        elif job in self.running:
            self.running.remove(job)
            if self.queue:
                self.running.append(self.queue.popleft())
            self._schedule()

    def set_speed(self, speed: float) -> None:
        """Change the speed of all running jobs."""
        self._update_work()
        self.speed = speed
        self._schedule()

    def remaining_ms(self) -> float:
        """Return the estimated time until a new job would start, if the speed stays the same."""
        self._update_work()
        if len(self.running) < self.slots:
            return 0.0
        work = sum(job.work_ms for job in self.running) + sum(job.work_ms for job in self.queue)
        return work / self.slots / self.speed

    def _update_work(self) -> None:
        passed = (self.loop.now_ms - self._updated_ms) * self.speed
        self._updated_ms = self.loop.now_ms
        for job in self.running:
            job.work_ms -= passed

    def _schedule(self) -> None:
        self._generation += 1
        if not self.running:
            return
        generation = self._generation
        left_ms = max(0.0, min(job.work_ms for job in self.running)) / self.speed
        self.loop.call_at(self.loop.now_ms + left_ms, lambda: self._complete(generation))

    def _complete(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._update_work()
        finished = min(self.running, key=lambda job: job.work_ms)
        self.running.remove(finished)
        if self.queue:
            self.running.append(self.queue.popleft())
        self._schedule()
        finished.done(True)


def slow_episodes(
    loop: EventLoop,
    endpoints: list[SimulatedEndpoint],
    rng: random.Random,
    *,
    until_ms: float,
    mean_gap_ms: float = 3000.0,
    duration_ms: float = 300.0,
    factor: float = 5.0,
) -> None:
    """Schedule slow episodes of each endpoint at random times."""
    for endpoint in endpoints:
        at_ms = rng.expovariate(1 / mean_gap_ms)
        while at_ms < until_ms:
            loop.call_at(at_ms, lambda item=endpoint: item.set_speed(1 / factor))
            loop.call_at(at_ms + duration_ms, lambda item=endpoint: item.set_speed(1.0))
            at_ms += duration_ms + rng.expovariate(1 / mean_gap_ms)
