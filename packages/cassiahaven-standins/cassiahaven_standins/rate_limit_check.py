"""Checks the rate limits that endpoints named against the requests that they got."""

from bisect import bisect_left
from collections.abc import Callable, Iterable
from dataclasses import dataclass

WINDOW_S = 4.0
OVERAGE = 1.5
SLACK_REQUESTS = 5.0
SPREAD_S = 0.5  # an entry counts this long after its first answer with the limit


@dataclass(frozen=True, slots=True)
class LimitedPeriod:
    """A time in which an endpoint named rate limits.

    Attributes:
        start_s: When it named the first one.
        end_s: When it named none any more, infinite if it never did.
        rates_per_s: Each limit with the time from which it was named, in order.
    """

    start_s: float
    end_s: float
    rates_per_s: tuple[tuple[float, float], ...]

    def highest(self, from_s: float, to_s: float) -> float:
        """Return the highest limit named within a time."""
        ends_s = [at_s for at_s, _ in self.rates_per_s[1:]] + [self.end_s]
        spans = zip(self.rates_per_s, ends_s, strict=True)
        return max(
            (rate for (at_s, rate), end_s in spans if at_s <= to_s and end_s > from_s), default=0.0
        )


def told_limits(
    rate_limits: Iterable[tuple[float, str]], told_s: Iterable[float]
) -> list[tuple[float, str]]:
    """Leave out the limits that were replaced before any answer carried them.

    No entry can know of such a limit, so the one before it still holds.
    """
    named = list(rate_limits)
    ends_s = [at_s for at_s, _ in named[1:]] + [float("inf")]
    answered_s = sorted(told_s)
    return [
        (at_s, text)
        for (at_s, text), end_s in zip(named, ends_s, strict=True)
        if not text or bisect_left(answered_s, at_s) < bisect_left(answered_s, end_s)
    ]


def limited_periods(rate_limits: Iterable[tuple[float, str]]) -> list[LimitedPeriod]:
    """Return the periods in which an endpoint named limits that can be read."""
    periods: list[LimitedPeriod] = []
    rates: list[tuple[float, float]] = []
    for at_s, text in [*rate_limits, (float("inf"), "")]:
        if text.replace(".", "", 1).isdecimal():
            rates.append((at_s, float(text)))
        elif not text and rates:
            periods.append(LimitedPeriod(rates[0][0], at_s, tuple(rates)))
            rates = []
    return periods


def rate_limit_violations(
    period: LimitedPeriod,
    told: Iterable[tuple[float, str]],
    arrivals: Iterable[tuple[float, str]],
    *,
    contact_s: float,
    is_excused: Callable[[str, float, float], bool] = lambda entry, from_s, to_s: False,
) -> list[str]:
    """Return where an endpoint got more requests than the limit that it named allows.

    All requests of an entry in a window count if it was told ``SPREAD_S`` before the window's end,
    also those that it sent before it was told.

    Args:
        period: The limits that it named.
        told: When it answered with its limit, with the entry that got the answer.
        arrivals: When it got each request, with the entry that sent it.
        contact_s: Time after which the limit holds.
        is_excused: Whether a fault of an entry excuses its requests in a window.
    """
    told_s_by_entry: dict[str, float] = {}
    for at_s, entry in sorted(told):
        if period.start_s <= at_s <= period.end_s:
            told_s_by_entry.setdefault(entry, at_s)
    ordered = sorted(arrivals)
    violations = []
    for position, (at_s, last) in enumerate(ordered):
        if not period.start_s + contact_s <= at_s <= period.end_s:
            continue
        from_s = at_s - WINDOW_S
        bound = {
            entry
            for entry, told_s in told_s_by_entry.items()
            if told_s + SPREAD_S <= at_s and not is_excused(entry, from_s, at_s)
        }
        if last not in bound:
            continue
        first = bisect_left(ordered, (from_s, ""))
        count = sum(entry in bound for _, entry in ordered[first : position + 1])
        rate = period.highest(from_s, at_s)
        allowed = OVERAGE * rate * WINDOW_S + SLACK_REQUESTS
        if count > allowed:
            violations.append(
                f"{count} requests in {WINDOW_S:.0f} s, {at_s - period.start_s:.1f} s after the"
                f" endpoint named a limit, of {rate} a second; allowed {allowed:.0f}"
            )
    return violations
