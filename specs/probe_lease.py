"""Specification: two processes never hold the lease on the same probe budget at the same time.

Two processes use the real ``Lease`` with a store that has conditional updates and whose answers may
be late or lost. Either process may pause at any point, also between checking the lease and using
it. Time is discrete.
"""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from dataclasses import dataclass, replace
from unittest.mock import patch

from cassiahaven_core.lease import LEASE_MS, Lease, LeaseRecord
from specs.explorer import Spec

STEP_MS = 3300.0  # two steps are LEASE_MS + GUARD_MS
LATEST_STEP = 4
LATEST_VERSION = 3


@dataclass(frozen=True, slots=True)
class Process:
    """Lease state of a process and its write request in flight.

    Attributes:
        record: Lease record that the process last read.
        since_ms: Time since which reads have returned ``record`` unchanged.
        sent_ms: When the write in flight was sent; ``None`` if there is none.
        expected_version: Record version that the conditional write expects.
        answer: Version of the accepted write, 0 if refused, ``None`` before the store handles it.
    """

    valid_until_ms: float = float("-inf")
    record: LeaseRecord | None = None
    since_ms: float = 0.0
    sent_ms: float | None = None
    expected_version: int = 0
    answer: int | None = None


@dataclass(frozen=True, slots=True)
class World:
    """State of the whole system: time, the lease record in the store and both processes."""

    step: int
    record: LeaseRecord
    processes: tuple[Process, ...]

    @property
    def now_ms(self) -> float:
        """Return the current time."""
        return self.step * STEP_MS


class ProbeLease(Spec[World]):
    """Explore pauses, delayed answers and lost answers."""

    name = "probe-lease"
    bound = (
        f"2 processes, {LATEST_VERSION} writes, {LATEST_STEP} steps of half a lease and guard, "
        "pauses at any point"
    )

    def initial(self) -> World:
        """Return the state in which the store has no lease record."""
        return World(0, LeaseRecord(0, ""), (Process(), Process()))

    def properties(self) -> dict[str, Callable[[World], bool]]:
        """Return the invariant that at most one process holds the lease."""
        return {"one_holder": _one_holder}

    def mutants(self) -> dict[str, Callable[[], AbstractContextManager[None]]]:
        """Return mutants of the lease."""
        return {
            "claims without watching a whole lease": lambda: patch.object(
                Lease, "wanted_version", lambda self, now_ms: self._record and self._record.version
            ),
            "counts the lease from the answer": lambda: patch.object(
                Lease, "confirm", _late_confirm
            ),
        }

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield every possible next step; a paused process simply takes none."""
        if world.step < LATEST_STEP:
            yield "time passes", replace(world, step=world.step + 1)
        for index, process in enumerate(world.processes):
            if process.sent_ms is None:
                yield f"read {index}", self._read(world, index)
                yield from self._send(world, index)
            elif process.answer is None:
                yield f"store acts for {index}", self._handle_write(world, index)
            else:
                yield f"answer to {index}", self._receive(world, index)
                abandoned = replace(process, sent_ms=None, answer=None)
                yield f"answer lost for {index}", _put(world, index, abandoned)

    def _read(self, world: World, index: int) -> World:
        lease = _lease(world, index)
        lease.observe(world.record, world.now_ms)
        return _put(world, index, _process(lease, world.processes[index]))

    def _send(self, world: World, index: int) -> Iterator[tuple[str, World]]:
        expected_version = _lease(world, index).wanted_version(world.now_ms)
        if expected_version is not None and expected_version < LATEST_VERSION:
            process = world.processes[index]
            sent = replace(process, sent_ms=world.now_ms, expected_version=expected_version)
            yield f"write {index}", _put(world, index, sent)

    def _handle_write(self, world: World, index: int) -> World:
        process = world.processes[index]
        if process.expected_version != world.record.version:
            return _put(world, index, replace(process, answer=0))
        version = world.record.version + 1
        after = replace(world, record=LeaseRecord(version, str(index)))
        return _put(after, index, replace(process, answer=version))

    def _receive(self, world: World, index: int) -> World:
        process = world.processes[index]
        lease = _lease(world, index)
        if process.answer:
            lease.confirm(process.answer, process.sent_ms)
        else:
            lease.reject()
        return _put(world, index, replace(_process(lease, process), sent_ms=None, answer=None))


def _late_confirm(self: Lease, version: int, write_sent_ms: float) -> None:
    self._record = LeaseRecord(version, self.process)
    self._unchanged_since_ms = write_sent_ms
    self.valid_until_ms = self.received_ms + LEASE_MS


def _one_holder(world: World) -> bool:
    return sum(world.now_ms < process.valid_until_ms for process in world.processes) <= 1


class _TimedLease(Lease):
    """Lease that also holds the time at which an answer arrived, for a mutant."""

    __slots__ = ("received_ms",)


def _lease(world: World, index: int) -> Lease:
    process = world.processes[index]
    lease = _TimedLease(str(index))
    lease.received_ms = world.now_ms
    lease.valid_until_ms = process.valid_until_ms
    lease._record = process.record
    lease._unchanged_since_ms = process.since_ms
    return lease


def _process(lease: Lease, before: Process) -> Process:
    return replace(
        before,
        valid_until_ms=lease.valid_until_ms,
        record=lease._record,
        since_ms=lease._unchanged_since_ms,
    )


def _put(world: World, index: int, process: Process) -> World:
    processes = (*world.processes[:index], process, *world.processes[index + 1 :])
    return replace(world, processes=processes)
