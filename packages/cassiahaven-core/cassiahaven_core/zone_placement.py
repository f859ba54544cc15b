"""Decision whether a call runs in the home zone of its entry, waits there, or leaves the zone."""

import math
from dataclasses import dataclass
from enum import Enum

from cassiahaven_core.endpoint import Endpoint
from cassiahaven_core.slot_limit import NEARLY_FULL_SHARE
from cassiahaven_core.table import DEFAULT_ZONE_COST_MS_PER_KB

BYTES_PER_KB = 1000.0
# Slowness by which a distant endpoint must be better, for each millisecond to it: half of what a
# slow neighbour costs. It keeps calls in the zone while a free slot there is adequate.
COST_PER_DISTANCE_MS = 2.4


class ZoneReason(Enum):
    """Why a call left the home zone of its entry."""

    HOME_EMPTY = "home-empty"
    HOME_FULL = "home-full"
    HOME_SLOW = "home-slow"


@dataclass(frozen=True, slots=True)
class CallNeed:
    """What the place of a call depends on.

    Attributes:
        latency_ms: Usual time of such calls.
        left_ms: Time left until the call misses its latency target.
        body_bytes: Bytes of its body, which cross the zones if it leaves.
        may_run_twice: Whether the call may run at two endpoints.
        waited_ms: Time that it has waited, ``inf`` if it must not wait for its own zone.
    """

    latency_ms: float = 1.0
    left_ms: float = math.inf
    body_bytes: int = 0
    waited_ms: float = math.inf
    may_run_twice: bool = True


ANY_NEED = CallNeed()


@dataclass(slots=True)
class HomeZone:
    """The endpoints of the entry's own zone as seen by one decision.

    Attributes:
        slots: Calls of this entry that they run at a time.
        best: The best free one, ``None`` if all are full.
        cost: Its cost, without distance.
    """

    slots: float = 0.0
    best: Endpoint | None = None
    cost: float = math.inf


class ZonePlacement:
    """Weigh the home zone against the spare capacity of the other zones.

    It keeps no state between calls, so there is nothing that could flap: the same load gives the
    same decision, and the calls leave one by one as slots in the home zone are taken.

    Attributes:
        cost_ms_per_kb: Waiting that is accepted to keep a thousand bytes in the zone, milliseconds.
    """

    __slots__ = ("cost_ms_per_kb",)

    def __init__(self) -> None:
        self.cost_ms_per_kb = DEFAULT_ZONE_COST_MS_PER_KB

    def crossing_ms(self, need: CallNeed) -> float:
        """Return the waiting that is accepted to keep the bytes of a call's body in the zone."""
        return self.cost_ms_per_kb * need.body_bytes / BYTES_PER_KB

    def weigh(self, cost: float, need: CallNeed, distance_ms: float) -> float:
        """Return the cost of an endpoint for a call, relative to an idle one of the home zone.

        Args:
            cost: Cost of the endpoint, without distance.
            need: What the call needs.
            distance_ms: One-way latency to the endpoint, 0 in the home zone.
        """
        if not distance_ms:
            return cost
        crossing = self.crossing_ms(need) / need.latency_ms
        return cost + COST_PER_DISTANCE_MS * distance_ms + crossing

    def waits_at_home(self, home: HomeZone, need: CallNeed) -> bool:
        """Return whether a call waits for a slot of its zone although another zone has one.

        The time that it has waited counts, so no call waits longer than leaving the zone is worth.
        """
        if home.best is not None or not home.slots:
            return False
        wait_ms = need.waited_ms + need.latency_ms / home.slots
        return wait_ms < min(self.crossing_ms(need), need.left_ms - need.latency_ms)

    def has_spare_slot(self, taken: float, most: int) -> bool:
        """Return whether an endpoint of another zone has a slot that its own callers leave free.

        The last slots are left to the callers of its zone: filling them slows their calls as well.

        Args:
            taken: Calls at the endpoint from all entries, as far as they are known.
            most: Slots that are worth filling.
        """
        return taken + 1 <= max(1.0, most * NEARLY_FULL_SHARE)

    def reason(self, home: HomeZone) -> ZoneReason:
        """Return why a call leaves the zone."""
        if home.best is not None:
            return ZoneReason.HOME_SLOW
        return ZoneReason.HOME_FULL if home.slots else ZoneReason.HOME_EMPTY
