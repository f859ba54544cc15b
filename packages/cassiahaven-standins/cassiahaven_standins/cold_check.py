"""Checks the calls that endpoints got while they were cold."""

from bisect import bisect_left
from collections.abc import Iterable

COLD_OVERAGE = 1.5
COLD_SLACK = 8.0
WINDOW_S = 1.0


def cold_violations(
    period_s: tuple[float, float], arrivals_s: Iterable[float], *, cold_per_s: float
) -> list[str]:
    """Return the seconds of a cold period in which an endpoint got too many calls.

    Args:
        period_s: Start and end of the cold period.
        arrivals_s: When the endpoint got each call.
        cold_per_s: Calls a second that it can sustain.
    """
    from_s, to_s = period_s
    allowed = cold_per_s * COLD_OVERAGE + COLD_SLACK
    ordered = sorted(at_s for at_s in arrivals_s if from_s <= at_s <= to_s)
    found = []
    for position, at_s in enumerate(ordered):
        count = position + 1 - bisect_left(ordered, at_s - WINDOW_S)
        if count > allowed:
            found.append(
                f"{count} calls in a second, {at_s - from_s:.1f} s after it came back cold;"
                f" allowed {allowed:.1f}"
            )
    return found
