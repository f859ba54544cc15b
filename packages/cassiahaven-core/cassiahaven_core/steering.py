"""Assignment of entries to the callers of a service."""

import math
from dataclasses import dataclass

from cassiahaven_core.endpoint_gate import SlotShare
from cassiahaven_core.rendezvous import rank

STANDBY_COUNT = 2
TARGET_UTILIZATION = 0.7


@dataclass(frozen=True, slots=True)
class EntryAddress:
    """Address of an entry process as announced to its peers.

    Attributes:
        name: Name of the entry's VM.
        process: Unique name of the process, new at each start.
        key_prefix: Prefix of the idempotency keys issued by this process.
        draining: Whether the process is draining before it stops.
    """

    name: str
    process: str
    availability_zone: str
    host: str
    caller_port: int
    operator_port: int
    key_prefix: str
    draining: bool = False


@dataclass(frozen=True, slots=True)
class EntrySet:
    """Entries that callers in one availability zone use for a service.

    Attributes:
        active: Entries that callers send to.
        standby: Entries that callers fail over to when no active one responds.
    """

    active: tuple[EntryAddress, ...]
    standby: tuple[EntryAddress, ...]

    def slot_share(self, name: str) -> SlotShare:
        """Return the share of each endpoint's slots that the entry ``name`` may use."""
        for position, entry in enumerate(self.active):
            if entry.name == name:
                return SlotShare(position, len(self.active))
        return SlotShare(None, max(1, len(self.active)))


def active_size(demand_per_s: float, *, entry_capacity_per_s: float) -> int:
    """Return how many entries a service needs in an availability zone.

    Uses as few entries as the demand allows: with more entries, each one sees a smaller part of
    the endpoints' load.

    Args:
        demand_per_s: Calls per second for the service in the availability zone.
        entry_capacity_per_s: Calls per second that one entry process can handle.
    """
    return max(1, math.ceil(demand_per_s / (entry_capacity_per_s * TARGET_UTILIZATION)))


def choose_entry_set(
    service: str, availability_zone: str, entries: list[EntryAddress], *, active: int
) -> EntrySet:
    """Return the entry set for a service, identical in every process with the same entries.

    Entries in the callers' availability zone come first; entries in other zones fill the set if
    there are too few.

    Args:
        service: Name of the service.
        availability_zone: Availability zone of the callers.
        entries: Live entries.
        active: Number of active entries wanted.
    """
    by_name = {entry.name: entry for entry in entries if not entry.draining}
    zone_by_name = {name: entry.availability_zone for name, entry in by_name.items()}
    near = tuple(name for name, zone in zone_by_name.items() if zone == availability_zone)
    far = tuple(name for name, zone in zone_by_name.items() if zone != availability_zone)
    key = f"{service}/{availability_zone}"
    ranked = [by_name[name] for name in rank(key, near) + rank(key, far)]
    return EntrySet(tuple(ranked[:active]), tuple(ranked[active : active + STANDBY_COUNT]))
