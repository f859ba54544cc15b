"""Checks what endpoints said of themselves in answers against the requests that they got."""

from bisect import bisect_right
from collections.abc import Callable, Iterable
from dataclasses import dataclass

SPREAD_S = 0.5  # requests that were under way when an endpoint closed itself
REQUESTS_WHILE_CLOSED = 2


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that an endpoint got.

    Attributes:
        at_s: When it got the request.
        entry: The entry that sent it.
        sent_s: When the caller sent it to the entry.
        request: Its id.
    """

    at_s: float
    entry: str
    sent_s: float
    request: str


def _never(entry: str, from_s: float, to_s: float) -> bool:
    return False


def late_requests(
    told: Iterable[tuple[float, str]],
    arrivals: Iterable[Arrival],
    *,
    drain_s: float,
    is_excused: Callable[[str, float, float], bool] = _never,
) -> list[str]:
    """Return the requests that an endpoint got from entries that it had told that it leaves.

    Args:
        told: When it answered that it leaves, with the entry that got the answer.
        arrivals: The requests that it got.
        drain_s: Time after such an answer from which a request counts, by when it was sent.
        is_excused: Whether a restart or freeze of an entry between two times excuses it.
    """
    told_s_by_entry: dict[str, list[float]] = {}
    for at_s, entry in sorted(told):
        told_s_by_entry.setdefault(entry, []).append(at_s)
    late = []
    for item in arrivals:
        told_s = told_s_by_entry.get(item.entry, [])
        known_s = [at_s for at_s in told_s if at_s + drain_s < item.sent_s]
        # If the last such answer is excused, those before it are too.
        if known_s and not is_excused(item.entry, known_s[-1], item.at_s):
            late.append(
                f"{item.request} came from {item.entry} {item.at_s - known_s[0]:.1f} s after the"
                " endpoint had said that it leaves"
            )
    return late


def requests_while_closed(
    closings: Iterable[tuple[float, str, float]],
    arrivals: Iterable[tuple[float, str]],
    *,
    is_excused: Callable[[str, float, float], bool] = _never,
) -> list[str]:
    """Return the times for which an endpoint closed itself and got more than a few requests.

    A later answer to the same entry with an earlier end ends the time of those before it.

    Args:
        closings: When it turned a request of an entry away, and for how many seconds.
        arrivals: When it got each request, with the entry that sent it.
        is_excused: Whether a fault of an entry between two times excuses it.
    """
    closings_by_entry: dict[str, list[tuple[float, float]]] = {}
    for at_s, entry, seconds in sorted(closings):
        closings_by_entry.setdefault(entry, []).append((at_s, seconds))
    arrivals_by_entry: dict[str, list[float]] = {}
    for at_s, entry in sorted(arrivals):
        arrivals_by_entry.setdefault(entry, []).append(at_s)
    found = []
    for entry, said in closings_by_entry.items():
        got_s = arrivals_by_entry.get(entry, [])
        end_s = float("inf")
        for at_s, seconds in reversed(said):
            end_s = min(end_s, at_s + seconds)
            from_s, to_s = at_s + SPREAD_S, end_s
            got = bisect_right(got_s, to_s) - bisect_right(got_s, from_s)
            if to_s > from_s and got > REQUESTS_WHILE_CLOSED and not is_excused(entry, at_s, to_s):
                found.append(
                    f"{got} requests from {entry} in the {seconds:.1f} s for which the endpoint"
                    " wanted none"
                )
    return found
