"""Checks that evacuated zones get no calls."""

from collections.abc import Iterable
from dataclasses import dataclass

EVACUATION_BOUND_S = 5.0
READ_BOUND_S = 2.5  # time in which all entries read a change in a store that answers


@dataclass(slots=True)
class EvacuatedPeriod:
    """A time in which the evacuation of a zone was stored."""

    zone: str
    acknowledged_s: float
    ended_s: float = float("inf")


def late_arrivals(
    period: EvacuatedPeriod,
    arrivals: Iterable[tuple[float, str]],
    *,
    outages_s: Iterable[tuple[float, float]] = (),
    restores_s: Iterable[tuple[float, float]] = (),
) -> list[str]:
    """Return the requests that endpoints of an evacuated zone got too late.

    Args:
        period: When the zone was evacuated.
        arrivals: Time and id of each request that an endpoint of the zone got.
        outages_s: Times in which no entry could read the store. The bound counts from the end of
            one that began within ``READ_BOUND_S``; later, the entries know of the evacuation.
        restores_s: Times from a restore of the store until the operators wrote again what it lost.
    """
    outages = sorted(outages_s)
    allowed = [
        (from_s, _due_s(to_s, outages))
        for from_s, to_s in [(period.acknowledged_s, period.acknowledged_s), *restores_s]
    ]
    return [
        f"{request} reached an endpoint {at_s - period.acknowledged_s:.1f} s after the evacuation"
        f" of zone {period.zone} was acknowledged"
        for at_s, request in arrivals
        if period.acknowledged_s < at_s < period.ended_s
        and not any(from_s <= at_s <= to_s for from_s, to_s in allowed)
    ]


def _due_s(acknowledged_s: float, outages: list[tuple[float, float]]) -> float:
    readable_s = acknowledged_s
    for from_s, to_s in outages:
        if from_s <= readable_s + READ_BOUND_S and to_s > readable_s:
            readable_s = to_s
    return readable_s + EVACUATION_BOUND_S
