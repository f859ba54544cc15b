"""Calls to endpoints that are cold after a start, divided among the entries."""

import math
import re
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from cassiahaven_core.membership import REPORT_TIMEOUT_MS, Fleet
from cassiahaven_core.rate_limit import MS_PER_S, NEAR_WEIGHT
from cassiahaven_core.registry import Registration

# An entry that lost contact notices 1.0 to 1.75 s later: ``REPORT_TIMEOUT_MS`` after the last
# message of a watcher, less a report interval of 500 ms, and a computation of shares every 250 ms.
# Its watchers notice after 1.0 s at the earliest, so this time separates old and new shares.
TAKEOVER_MS = 1000.0
# More than a quarter of the entries: at most three groups without contact to each other have that
# many, or one beside a group of more than half.
MINOR_GROUP_SHARE = 1 / 4
MAX_MINOR_GROUPS = 3
# Shares are computed every 250 ms; one that is older belongs to an entry that was frozen.
SHARE_LIFETIME_MS = 1000.0
MAX_CLOCK_LEAD_MS = 60_000.0  # a start further in the future says nothing about its age
ANY_OTHER_ZONE = ""
_WHOLE_MS = re.compile(r"\d{1,9}", re.ASCII)


def parse_cold_ms(value: str) -> float | None:
    """Parse the remaining cold time, milliseconds; ``None`` if it cannot be read."""
    return float(value) if _WHOLE_MS.fullmatch(value.strip()) else None


class Contact(Enum):
    """How many of the registered entries the group of an entry has."""

    NONE = "none"
    MINOR = "minor"  # more than ``MINOR_GROUP_SHARE``
    MAJOR = "major"  # more than half


def contact_of(fleet: Fleet, now_ms: float) -> Contact:
    """Return the size of the largest group in which some watcher sees this entry.

    Two groups of entries without contact to each other cannot both have more than half.
    """
    if not fleet.has_members:
        return Contact.NONE
    members = fleet.member_by_name.keys()
    groups = [frozenset(fleet.own_subscribers(now_ms))]
    groups += [
        view.live
        for view in fleet.view_by_watcher.values()
        if now_ms - view.last_message_ms < REPORT_TIMEOUT_MS
    ]
    largest = max(len(group & members) for group in groups if fleet.own.name in group)
    if largest > len(members) / 2:
        return Contact.MAJOR
    return Contact.MINOR if largest > len(members) * MINOR_GROUP_SHARE else Contact.NONE


@dataclass(frozen=True, slots=True)
class ColdShare:
    """This entry's share of the calls that cold endpoints bear.

    Attributes:
        share_by_zone: Share by the endpoint's availability zone, at most 1.
        ends_ms: When it ends unless it is computed again.
    """

    share_by_zone: Mapping[str, float] = field(default_factory=lambda: {ANY_OTHER_ZONE: 1.0})
    ends_ms: float = math.inf

    def rate_per_s(self, cold_per_s: float, zone: str) -> float:
        """Return the calls a second of this entry to a cold endpoint in ``zone``."""
        other = self.share_by_zone.get(ANY_OTHER_ZONE, 0.0)
        return cold_per_s * self.share_by_zone.get(zone, other)


class ColdShares:
    """Derive this entry's share from the entries that serve callers.

    A share shrinks at once and grows ``TAKEOVER_MS`` later, when the entries that had it before
    have noticed that they lost it. A group of more than a quarter of the entries, as is left when
    many are killed, divides what the overage leaves beside a group of more than half. Smaller
    groups have no share, except in a fleet so small that a call of each entry fits into the slack.

    Args:
        name: Name of this entry.
        zones: All availability zones.
        slack: Calls a second that a cold endpoint may get beyond what it bears.
        overage: How many times the calls a second that it bears all entries may send on average.
    """

    __slots__ = ("_name", "_zones", "_slack", "_minor", "_history_by_zone", "_updated_ms")

    def __init__(
        self, name: str, zones: Iterable[str], slack: float, *, overage: float = 1.0
    ) -> None:
        self._name = name
        self._zones = (ANY_OTHER_ZONE, *zones)
        self._slack = slack
        self._minor = max(0.0, min(overage - 1, overage / MAX_MINOR_GROUPS))
        self._history_by_zone: dict[str, deque[tuple[float, float]]] = {
            zone: deque() for zone in self._zones
        }
        self._updated_ms = -math.inf

    def update(
        self, zone_by_name: Mapping[str, str], *, members: int, contact: Contact, now_ms: float
    ) -> ColdShare:
        """Return the share of this entry.

        Args:
            zone_by_name: Zones of the entries that serve callers.
            members: Number of registered entries.
            contact: Size of the group with which this entry has contact.
            now_ms: Current time, milliseconds.
        """
        if now_ms - self._updated_ms > SHARE_LIFETIME_MS:
            # The entry starts, or was frozen and has yet to learn what changed since.
            for history in self._history_by_zone.values():
                history.clear()
                history.append((now_ms, 0.0))
        self._updated_ms = now_ms
        shares: dict[str, float] = {}
        for zone in self._zones:
            share = 0.0
            if self._name in zone_by_name:
                if contact is Contact.MAJOR:
                    share = self._share(zone, zone_by_name, self._slack / 2)
                elif members <= self._slack:
                    share = 1 / max(1, members)
                elif contact is Contact.MINOR:
                    share = self._minor * self._share(zone, zone_by_name, self._slack / 4)
            shares[zone] = _smallest_recent(self._history_by_zone[zone], share, now_ms)
        return ColdShare(shares, now_ms + SHARE_LIFETIME_MS)

    def _share(self, zone: str, zone_by_name: Mapping[str, str], senders: float) -> float:
        # Each sender may add one call to any second, beside its rate: half of the slack is for
        # these, a quarter for each minor group, the rest for calls that were sent late.
        most = max(1, int(senders))
        near = sorted(name for name, item in zone_by_name.items() if item == zone)
        names = sorted(zone_by_name) if len(zone_by_name) <= most or not near else near
        if self._name not in names[:most]:
            return 0.0
        weights = {name: NEAR_WEIGHT if name in near else 1.0 for name in names[:most]}
        return weights[self._name] / sum(weights.values())


def _smallest_recent(history: deque[tuple[float, float]], value: float, now_ms: float) -> float:
    """Add a value and return the smallest one within ``TAKEOVER_MS``."""
    while history and history[-1][1] >= value:
        history.pop()
    history.append((now_ms, value))
    while now_ms - history[0][0] > TAKEOVER_MS:
        history.popleft()
    return history[0][1]


class ColdStart:
    """Token bucket of this entry's calls to one endpoint while that is cold.

    It starts empty and holds one call, so that entries that start or take over add no burst.

    Args:
        ends_ms: When the endpoint is warm.
        rate_per_s: Calls a second of this entry.
        share_ends_ms: When the rate ends unless it is set again.
        unsent: Calls that are assigned to the endpoint and not sent yet; they count first.
        now_ms: Current time, milliseconds.
    """

    __slots__ = ("ends_ms", "rate_per_s", "_share_ends_ms", "_tokens", "_refilled_ms")

    def __init__(
        self,
        ends_ms: float,
        rate_per_s: float,
        share_ends_ms: float,
        *,
        unsent: int = 0,
        now_ms: float,
    ) -> None:
        self.ends_ms = ends_ms
        self.rate_per_s = rate_per_s
        self._share_ends_ms = share_ends_ms
        self._tokens = -float(unsent)
        self._refilled_ms = now_ms

    def change(self, rate_per_s: float, share_ends_ms: float, now_ms: float) -> None:
        """Set the rate from now on."""
        self._refill(now_ms)
        self.rate_per_s = rate_per_s
        self._share_ends_ms = share_ends_ms

    def opens_in_ms(self, now_ms: float) -> float:
        """Return the time until a call may be sent, 0 if one may be sent now."""
        left_ms = max(0.0, self.ends_ms - now_ms)
        if not left_ms or not self.rate_per_s or now_ms >= self._share_ends_ms:
            return left_ms
        self._refill(now_ms)
        return min(left_ms, max(0.0, 1 - self._tokens) / self.rate_per_s * MS_PER_S)

    def take(self, now_ms: float) -> None:
        """Count a call or a probe."""
        self._refill(now_ms)
        self._tokens -= 1

    def give_back(self) -> None:
        """Undo the count of a call that was not sent."""
        self._tokens = min(1.0, self._tokens + 1)

    def _refill(self, now_ms: float) -> None:
        if now_ms <= self._refilled_ms:
            return
        until_ms = min(now_ms, self._share_ends_ms)
        earned = max(0.0, until_ms - self._refilled_ms) / MS_PER_S * self.rate_per_s
        self._tokens = min(1.0, self._tokens + earned)
        self._refilled_ms = now_ms


@dataclass(slots=True)
class _Listing:
    """When a start of an endpoint was first listed, and its age and remaining cold time then."""

    listed_ms: float
    age_ms: float
    registered_ms: float
    registered_ends_ms: float


class ColdListings:
    """When the listed starts of endpoints are warm, counted from their first listing.

    An endpoint is cold for its service's time after it starts, and while its registration says so.
    """

    __slots__ = ("_listing_by_start",)

    def __init__(self) -> None:
        self._listing_by_start: dict[tuple[str, str], _Listing] = {}

    def observe(self, registrations: Iterable[Registration], now_ms: float, unix_ms: float) -> None:
        """Record the listed registrations and forget all others.

        Args:
            registrations: All registrations in use.
            now_ms: Current time, milliseconds.
            unix_ms: Current Unix time, milliseconds, with which starts are compared.
        """
        known = self._listing_by_start
        self._listing_by_start = {}
        for item in registrations:
            start = (item.endpoint, item.incarnation)
            listing = known.get(start)
            if listing is None:
                age_ms = unix_ms - item.born_ms
                if age_ms < -MAX_CLOCK_LEAD_MS:
                    age_ms = math.inf
                listing = _Listing(now_ms, max(0.0, age_ms), 0.0, -math.inf)
            if item.cold_ms != listing.registered_ms:
                listing.registered_ms = item.cold_ms
                if item.cold_ms:
                    ends_ms = now_ms + item.cold_ms
                    listing.registered_ends_ms = max(listing.registered_ends_ms, ends_ms)
                else:
                    # A peer may have passed on a registration of which most time was over.
                    listing.registered_ends_ms = min(listing.registered_ends_ms, now_ms)
            self._listing_by_start[start] = listing

    def ends_ms(self, item: Registration, cold_ms: float) -> float:
        """Return when a start is warm, if it is cold for ``cold_ms`` after its birth."""
        listing = self._listing_by_start.get((item.endpoint, item.incarnation))
        if listing is None:
            return -math.inf
        return max(listing.registered_ends_ms, listing.listed_ms + cold_ms - listing.age_ms)
