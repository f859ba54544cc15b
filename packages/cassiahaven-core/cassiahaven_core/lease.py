"""Lease on an object in the store, safe without synchronized clocks."""

from dataclasses import dataclass

LEASE_MS = 6000.0
RENEWAL_MS = 2000.0
GUARD_MS = 600.0  # covers clock drift of up to a tenth of the lease


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Lease record in the store; version 0 means that there is none."""

    version: int
    holder: str


class Lease:
    """Decide whether this process holds a lease, may renew it or may take it over.

    The holder counts its lease from the time before it sent the write that the store confirmed. A
    claimant waits until it has seen the record unchanged for a full lease plus a guard interval on
    its own clock. By then the holder's lease has expired, however long either process was paused.

    Args:
        process: Unique name of this process.
    """

    __slots__ = ("process", "valid_until_ms", "_record", "_unchanged_since_ms")

    def __init__(self, process: str) -> None:
        self.process = process
        self.valid_until_ms = float("-inf")
        self._record: LeaseRecord | None = None
        self._unchanged_since_ms = 0.0

    def is_held(self, now_ms: float) -> bool:
        """Return whether the lease is held; check again right before each use."""
        return now_ms < self.valid_until_ms

    def observe(self, record: LeaseRecord, now_ms: float) -> None:
        """Record a read of the lease record whose response arrived at ``now_ms``."""
        if self._record != record:
            self._record = record
            self._unchanged_since_ms = now_ms

    def wanted_version(self, now_ms: float) -> int | None:
        """Return the version to overwrite, ``None`` if this process may not write now."""
        record = self._record
        if record is None:
            return None
        if record.version == 0:
            return 0
        if record.holder == self.process:
            return record.version
        if now_ms - self._unchanged_since_ms >= LEASE_MS + GUARD_MS:
            return record.version
        return None

    def confirm(self, version: int, write_sent_ms: float) -> None:
        """Extend the lease after the store accepted this process's write."""
        self._record = LeaseRecord(version, self.process)
        self._unchanged_since_ms = write_sent_ms
        self.valid_until_ms = write_sent_ms + LEASE_MS

    def reject(self) -> None:
        """Discard the known record after a write conflict, until the next read."""
        self._record = None
