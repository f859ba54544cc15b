"""Usage caps of client accounts over all entries, enforced by each entry on its own."""

from collections import deque
from collections.abc import Iterable, Mapping
from copy import copy, deepcopy
from dataclasses import dataclass, field, replace
from enum import Enum
from math import exp
from typing import Any, TypeAlias

from cassiahaven_core.account import ClientAccount
from cassiahaven_core.routed_settings import UsageCapBounds

MS_PER_S = 1000.0
SMOOTHING_MS = 1000.0
# Calls are counted in slots of this length, to bound the memory of a busy account.
SLOT_MS = 50.0
REPORT_MS = 500.0
QUIET_REPORT_MS = 1000.0
QUIET_SHARE = 0.25  # of its cap, up to which an account is reported less often
PRESSED_REPORT_MS = 100.0
# Share of its room at which an entry reports more often, so that other entries confirm in time.
PRESSED_SHARE = 0.25
NOTABLE_CHANGE = 1.25
CONTACT_MS = 2000.0
# Killed entries return after 1 to 3.5 s, and survivors of a kill of 55 % need few of them for a
# majority. In a shorter time they would lose their shares before the first ones return.
MAJORITY_MS = 3000.0
SILENT_MS = 800.0  # an entry with claims sends a message every 500 ms, forwarded within 100 ms
FORGOTTEN_MS = 2500.0  # an account that a live process repeats no more is idle there
# Watchers forward claims to entries that sent some within this time.
CLAIM_HOLD_MS = 3500.0
JOIN_MS = 250.0  # two entries that join at the same time hear of each other within this time
IDLE_RATE_PER_S = 0.02  # a smoothed single call falls below this after 4 s
# Parts of the tolerance that entries may use without claims. Callers use one entry a zone, also
# on both sides of a partition, so each part is divided by the usual number of zones.
CONTACT_PART = 0.75
NO_CONTACT_PART = 0.15
USUAL_NAMED = 3
REACHED_HOLD_MS = 2000.0
REACHED_REFRESH_MS = 1000.0
MIN_RETRY_MS = 50.0
CONFIRMED_MS = 600.0  # until a first claim, or a higher one, is confirmed and counts
MAX_REPORTS = 64
MAX_UNHEARD = 3  # messages that may be on their way
# Messages grow with the square of the entries that share caps: calls of an account that are spread
# over all entries would cost more than the calls. Usually one entry a zone gets calls.
MAX_SHARING = 12


class CapState(Enum):
    """Why a call was admitted or refused."""

    UNLIMITED = "unlimited"
    SHARE = "share"
    ALLOWANCE = "allowance"
    CAPPED = "capped"
    NO_CONTACT = "no-contact"


@dataclass(frozen=True, slots=True)
class Admitted:
    """A call may be sent.

    Attributes:
        at_ms: When it was counted.
    """

    state: CapState = CapState.UNLIMITED
    at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Capped:
    """A call exceeds its account's cap.

    Attributes:
        retry_after_ms: Time until a call is expected to be admitted.
    """

    retry_after_ms: float
    state: CapState = CapState.CAPPED


CapDecision: TypeAlias = Admitted | Capped


@dataclass(frozen=True, slots=True)
class CapForecast:
    """What would be decided about a call of a capped account that arrived now.

    Attributes:
        quota: Calls that all entries may admit within the window.
        used: Calls in the window at all entries, as far as known.
        own_used: Calls in the window at this entry.
        share: Share of what is left that this entry would have, 0 without contact to the fleet.
        share_by_entry: Where the shares lie by the claimed rates.
        claim_age_ms_by_entry: Age of the last claim of each other entry.
        contact_age_ms: Time since this entry last heard a watcher.
    """

    decision: CapDecision
    quota: float
    used: int
    own_used: int
    share: float
    share_by_entry: dict[str, float]
    claim_age_ms_by_entry: dict[str, float]
    contact_age_ms: float


@dataclass(frozen=True, slots=True)
class Claim:
    """Use of an account at one entry.

    Attributes:
        rate_per_s: Calls that the entry was asked to admit, smoothed.
        used: Calls that it admitted within the window.
    """

    rate_per_s: float
    used: int


@dataclass(frozen=True, slots=True)
class Claims:
    """Claims of a process, as sent to other entries.

    Attributes:
        number: Increases with each message of the process.
        is_joining: Whether the process requests the claims of all others.
        is_urgent: Whether the process waits for the others to confirm its claims.
        heard: Number of the last message received of each other process.
        claim_by_account: Claims that changed or are repeated.
    """

    entry: str
    process: str
    number: int
    is_joining: bool
    is_urgent: bool
    heard: dict[str, int]
    claim_by_account: dict[str, Claim]


@dataclass(slots=True)
class _Report:
    number: int
    total: int
    claim: Claim


@dataclass(slots=True)
class _Peer:
    """What another process last reported.

    Attributes:
        heard: Number of the last message that it received of each process.
        is_minor: Whether it gets no share, since too many entries have claims.
        rates_by_account: Its claimed rates within ``CLAIM_HOLD_MS``, with their times.
        reserve_by_account: Calls that it may have admitted since it fell silent; empty before.
    """

    entry: str
    number: int
    heard_ms: float
    heard: dict[str, int]
    is_minor: bool = False
    claim_by_account: dict[str, tuple[Claim, float]] = field(default_factory=dict)
    rates_by_account: dict[str, deque[tuple[float, float]]] = field(default_factory=dict)
    reserve_by_account: dict[str, float] = field(default_factory=dict)

    def is_silent(self, now_ms: float) -> bool:
        return now_ms - self.heard_ms > SILENT_MS

    def add(self, account: str, claim: Claim, now_ms: float) -> None:
        """Record a claim."""
        self.claim_by_account[account] = (claim, now_ms)
        rates = self.rates_by_account.setdefault(account, deque())
        rates.append((now_ms, claim.rate_per_s))
        while now_ms - rates[0][0] > CLAIM_HOLD_MS:
            rates.popleft()

    def claim(self, account: str) -> Claim | None:
        """Return its last claim on an account, ``None`` if the account is idle there."""
        known = self.claim_by_account.get(account)
        if known is None or self.heard_ms - known[1] > FORGOTTEN_MS:
            return None
        return known[0]


class _WindowCount:
    """Count of the calls within the window."""

    __slots__ = ("total", "_expired", "_slots")

    def __init__(self) -> None:
        self.total = 0
        self._expired = 0
        self._slots: deque[list[float]] = deque()

    def add(self, now_ms: float) -> None:
        self.total += 1
        if self._slots and now_ms < self._slots[-1][0]:
            self._slots[-1][1] += 1
        else:
            self._slots.append([now_ms + SLOT_MS, 1])

    def remove(self, at_ms: float) -> bool:
        """Remove a call that was counted at ``at_ms``, and return whether it is still counted."""
        for slot in reversed(self._slots):
            if slot[0] - SLOT_MS <= at_ms:
                if at_ms >= slot[0] or not slot[1]:
                    return False
                slot[1] -= 1
                self.total -= 1
                return True
        return False

    def expired(self, now_ms: float, window_ms: float) -> int:
        """Return the number of all calls before the window."""
        while self._slots and now_ms - self._slots[0][0] >= window_ms:
            self._expired += int(self._slots.popleft()[1])
        return self._expired

    def frees_in_ms(self, count: float, now_ms: float, window_ms: float) -> float:
        """Return the time until ``count`` of the calls have left the window."""
        for end_ms, calls in self._slots:
            count -= calls
            if count <= 0:
                return max(0.0, end_ms + window_ms - now_ms)
        return window_ms


class _Usage:
    """Calls of one account at this entry."""

    __slots__ = (
        "admitted",
        "allowed",
        "rate_per_s",
        "rated_ms",
        "reports",
        "reported_ms",
        "promised_ms",
    )

    def __init__(self, now_ms: float) -> None:
        self.admitted = _WindowCount()
        self.allowed = _WindowCount()
        self.rate_per_s = 0.0
        self.rated_ms = now_ms
        self.reports: deque[_Report] = deque()
        self.reported_ms = float("-inf")
        self.promised_ms = float("-inf")

    @property
    def has_unreported(self) -> bool:
        return not self.reports or self.reports[-1].total != self.admitted.total

    def ask(self, now_ms: float) -> None:
        self.rate_per_s = self.smoothed(now_ms) + MS_PER_S / SMOOTHING_MS
        self.rated_ms = now_ms

    def smoothed(self, now_ms: float) -> float:
        return self.rate_per_s * exp(-max(0.0, now_ms - self.rated_ms) / SMOOTHING_MS)


@dataclass(frozen=True, slots=True)
class _Room:
    """What this entry may admit of an account.

    Attributes:
        share: Share of what is left of the cap.
        left: Calls left of the cap, before the unconfirmed ones of this entry.
        unconfirmed: Calls since the newest report that all other entries confirmed.
        known: All calls in the window, as far as known.
    """

    quota: float
    share: float
    left: float
    unconfirmed: int
    known: float

    @property
    def has_room(self) -> bool:
        # Less than one call too many at each entry: where few calls are left, rounding down would
        # refuse calls of small accounts below their caps.
        return self.unconfirmed < self.share * self.left and self.known + 1 <= self.quota


class UsageCaps:
    """Admit the calls of accounts so that all entries together keep to each account's cap.

    Each entry knows how many calls the others admitted, from the claims that they report. It may
    admit a share of what is left, in proportion to its rate among all rates. Its calls count
    against this share until all other entries confirm that they know of them, and a higher rate
    counts only from then on. So entries that do not hear of each other's calls in time, or at all,
    never admit more than what was left.

    Args:
        entry: Name of this entry.
        process: Unique name of this process.
        bounds: Tolerances of the deployment.
    """

    __slots__ = (
        "account_by_name",
        "named",
        "_minor_by_watcher",
        "_entry",
        "_process",
        "_bounds",
        "_usage_by_account",
        "_peer_by_process",
        "_number",
        "_contact_ms",
        "_majority_ms",
        "_is_full_due",
        "_is_reply_due",
        "_sent_ms",
        "_joining",
        "_joined_ms",
        "_reached_ms_by_account",
        "_published_reached",
        "_published_reached_ms",
    )

    def __init__(self, entry: str, process: str, bounds: UsageCapBounds) -> None:
        self.account_by_name: dict[str, ClientAccount] = {}
        self.named: frozenset[str] = frozenset()
        self._minor_by_watcher: dict[str, tuple[dict[str, int], float]] = {}
        self._entry = entry
        self._process = process
        self._bounds = bounds
        self._usage_by_account: dict[str, _Usage] = {}
        self._peer_by_process: dict[str, _Peer] = {}
        self._number = 0
        self._contact_ms = float("-inf")
        self._majority_ms = float("-inf")
        self._is_full_due = False
        self._is_reply_due = False
        self._sent_ms = float("-inf")
        self._joining: int | None = None
        self._joined_ms: float | None = None
        self._reached_ms_by_account: dict[str, float] = {}
        self._published_reached: list[str] = []
        self._published_reached_ms = float("-inf")

    @property
    def has_claims(self) -> bool:
        """Return whether this entry was lately asked to admit calls of capped accounts."""
        return bool(self._usage_by_account)

    @property
    def window_ms(self) -> float:
        """Return the length of the window in which calls are counted."""
        return self._bounds.window_ms

    def set_accounts(self, accounts: Iterable[ClientAccount]) -> None:
        """Apply the accounts of a configuration from now on."""
        self.account_by_name = {item.name: item for item in accounts if item.rate_per_s > 0}
        for name in self._usage_by_account.keys() - self.account_by_name.keys():
            del self._usage_by_account[name]

    @property
    def is_named(self) -> bool:
        """Return whether the directory names this entry to callers."""
        return self._entry in self.named

    def set_named(self, named: Iterable[str]) -> None:
        """Set the entries that the directory names to callers."""
        self.named = frozenset(named)

    def set_contact(self, *, heard_ms: float, has_majority: bool, now_ms: float) -> None:
        """Record what this entry sees of the fleet.

        Args:
            heard_ms: When it last heard a watcher.
            has_majority: Whether it sees more than half of the registered entries alive.
            now_ms: Current time, on a clock that also runs while the VM is suspended.
        """
        if not self.is_in_contact(now_ms):
            self._leave()
        self._contact_ms = max(self._contact_ms, heard_ms)
        if has_majority:
            self._majority_ms = now_ms

    def is_in_contact(self, now_ms: float) -> bool:
        """Return whether this entry may use its shares."""
        return now_ms - self._contact_ms <= CONTACT_MS and now_ms - self._majority_ms <= MAJORITY_MS

    def report_all(self) -> None:
        """Report all claims next time, as a new link may have lost earlier ones."""
        self._is_full_due = True

    def admit(self, account: str, now_ms: float) -> CapDecision:
        """Return whether a call of ``account`` may be sent, and count it if so."""
        capped = self.account_by_name.get(account)
        if capped is None:
            return Admitted()
        usage = self._usage_by_account.get(account)
        if usage is None:
            usage = self._usage_by_account[account] = _Usage(now_ms)
        usage.ask(now_ms)
        room = self._room(account, usage, now_ms)
        is_in_contact = self.is_in_contact(now_ms)
        if is_in_contact and room.has_room:
            usage.admitted.add(now_ms)
            return Admitted(CapState.SHARE, now_ms)
        window_ms = self._bounds.window_ms
        allowed = usage.allowed.total - usage.allowed.expired(now_ms, window_ms)
        if allowed + 1 <= self._allowance(account, room, now_ms):
            usage.admitted.add(now_ms)
            usage.allowed.add(now_ms)
            return Admitted(CapState.ALLOWANCE, now_ms)
        state = CapState.CAPPED if is_in_contact else CapState.NO_CONTACT
        return Capped(self._retry_after_ms(capped, usage, room, now_ms), state)

    def forecast(self, account: str, now_ms: float) -> "CapForecast | None":
        """Return what ``admit`` would decide, without counting a call; ``None`` without a cap.

        It runs on a copy of what it knows of the account: also the reserve for a silent process is
        kept from the first time that it is asked for.
        """
        if account not in self.account_by_name:
            return None
        twin = self._copy(account)
        claims = twin.claims_by_entry(account, now_ms)
        rates = sum(claim.rate_per_s for claim in claims.values())
        own = claims.get(self._entry, Claim(0.0, 0))
        used = twin.used(account, now_ms)
        return CapForecast(
            twin.admit(account, now_ms),
            twin.quota(account),
            used,
            own.used,
            twin.share(account, now_ms),
            {
                entry: claim.rate_per_s / rates if rates > 0 else 0.0
                for entry, claim in sorted(claims.items())
            },
            {
                peer.entry: now_ms - peer.claim_by_account[account][1]
                for peer in twin._peer_by_process.values()
                if account in peer.claim_by_account
            },
            now_ms - self._contact_ms,
        )

    def _copy(self, account: str) -> "UsageCaps":
        """Return a copy that knows of one account only."""
        twin = copy(self)
        usage = self._usage_by_account.get(account)
        twin._usage_by_account = {} if usage is None else {account: deepcopy(usage)}
        twin._peer_by_process = {
            process: replace(
                peer,
                claim_by_account=_only(peer.claim_by_account, account),
                rates_by_account=_only(peer.rates_by_account, account),
                reserve_by_account=_only(peer.reserve_by_account, account),
            )
            for process, peer in self._peer_by_process.items()
        }
        return twin

    def give_back(self, account: str, admitted: Admitted) -> None:
        """Stop counting an admitted call that did not run.

        This entry may use its share of the call at once, and the others theirs after its next
        report. Both go by the least number of calls that any of them may know of.
        """
        usage = self._usage_by_account.get(account)
        if usage is None or admitted.state is CapState.UNLIMITED:
            return
        if usage.admitted.remove(admitted.at_ms) and admitted.state is CapState.ALLOWANCE:
            usage.allowed.remove(admitted.at_ms)

    def quota(self, account: str) -> float:
        """Return the calls of ``account`` that all entries may admit in a window."""
        item = self.account_by_name[account]
        return item.rate_per_s * self._bounds.window_ms / MS_PER_S + item.burst

    def own_claims(self, now_ms: float) -> Claims | None:
        """Return the claims that are due to be sent, ``None`` if there are none."""
        self._forget(now_ms)
        if not self._usage_by_account or not self.is_in_contact(now_ms):
            self._leave()
        due = {
            name: usage
            for name, usage in self._usage_by_account.items()
            if self._is_full_due or self._is_due(name, usage, now_ms)
        }
        is_reply_due = self._is_reply_due and now_ms - self._sent_ms >= PRESSED_REPORT_MS
        is_pulse_due = now_ms - self._sent_ms >= REPORT_MS
        if not self._usage_by_account or not (due or is_reply_due or is_pulse_due):
            return None
        self._is_full_due = False
        # Others take a confirmation to mean that they know all calls before it.
        for name, usage in self._usage_by_account.items():
            if usage.has_unreported:
                due[name] = usage
        return self._report(due, now_ms)

    def known_claims(self, now_ms: float) -> list[Claims]:
        """Return the claims of all other processes that still count."""
        self._forget(now_ms)
        return [
            Claims(
                peer.entry,
                process,
                peer.number,
                False,
                False,
                peer.heard,
                {name: claim for name, (claim, _) in peer.claim_by_account.items()},
            )
            for process, peer in self._peer_by_process.items()
            if not peer.is_minor
        ]

    def receive_claims(self, claims: Claims, now_ms: float) -> bool:
        """Apply claims that another process sent to this watcher.

        Returns:
            Whether the process takes part, so that its claims are forwarded.
        """
        self._forget(now_ms)
        known = self._peer_by_process.get(claims.process)
        is_minor = (
            claims.entry not in self.named
            and (known is None or known.is_minor)
            and sum(not peer.is_minor for peer in self._peer_by_process.values()) >= MAX_SHARING
        )
        self.apply_claims(claims, now_ms, is_minor=is_minor)
        return not is_minor

    def apply_claims(self, claims: Claims, now_ms: float, *, is_minor: bool = False) -> None:
        """Apply claims of another process unless newer ones are known."""
        if claims.process == self._process:
            return
        peer = self._peer_by_process.get(claims.process)
        if peer is None:
            peer = _Peer(claims.entry, 0, now_ms, claims.heard)
            self._peer_by_process[claims.process] = peer
        elif claims.number <= peer.number:
            return
        peer.number = claims.number
        peer.heard_ms = now_ms
        peer.heard = claims.heard
        peer.is_minor = is_minor
        peer.reserve_by_account.clear()
        self._is_reply_due |= claims.is_urgent and not is_minor
        for name, claim in claims.claim_by_account.items():
            peer.add(name, claim, now_ms)

    def confirm_join(self, number: int, now_ms: float) -> None:
        """Record that a watcher knows the claims with which this entry joins, and all others."""
        if self._joining is not None and number >= self._joining and self._joined_ms is None:
            self._joined_ms = now_ms

    def lacks(self, entry: str, claims: Claims) -> bool:
        """Return whether an entry that should hear of ``claims`` directly does not."""
        peers = [peer for peer in self._peer_by_process.values() if peer.entry == entry]
        newest = max(peers, key=lambda peer: peer.heard_ms, default=None)
        if newest is None:
            return True
        return newest.heard.get(claims.process, 0) < claims.number - MAX_UNHEARD

    def minor_use(self, now_ms: float) -> dict[str, int]:
        """Return the calls of entries without shares, by account, as this watcher knows them."""
        used: dict[str, int] = {}
        for peer in self._peer_by_process.values():
            for name in peer.claim_by_account if peer.is_minor else ():
                if (claim := peer.claim(name)) is not None and claim.used:
                    used[name] = used.get(name, 0) + claim.used
        return used

    def apply_minor_use(self, watcher: str, used: dict[str, int], now_ms: float) -> None:
        """Record the calls of entries without shares, as a watcher knows them."""
        self._minor_by_watcher[watcher] = (used, now_ms)

    def apply_reached(self, accounts: Iterable[str], now_ms: float) -> None:
        """Record accounts that have reached their caps, as another entry knows them."""
        for name in accounts:
            self._reached_ms_by_account[name] = now_ms

    def newly_reached(self, now_ms: float) -> list[str] | None:
        """Return the accounts at their caps if they changed or are repeated, else ``None``."""
        if not self._peer_by_process and not self._usage_by_account:
            return None
        known: dict[str, int] = {}
        for name, used in self._used_by_account(now_ms):
            known[name] = known.get(name, 0) + used
        reached = sorted(
            name
            for name, used in known.items()
            if name in self.account_by_name and used + 1 > self.quota(name)
        )
        is_changed = bool(set(reached) - set(self._published_reached))
        is_due = reached and now_ms - self._published_reached_ms >= REACHED_REFRESH_MS
        if not is_changed and not is_due:
            return None
        self._published_reached = reached
        self._published_reached_ms = now_ms
        return reached

    def share(self, account: str, now_ms: float) -> float:
        """Return this entry's share of what is left of an account's cap."""
        usage = self._usage_by_account.get(account)
        if usage is None or account not in self.account_by_name or not self.is_in_contact(now_ms):
            return 0.0
        return self._room(account, usage, now_ms).share

    def used(self, account: str, now_ms: float) -> int:
        """Return the calls of ``account`` in the window at all entries, as far as known."""
        return sum(used for name, used in self._used_by_account(now_ms) if name == account)

    def claims_by_entry(self, account: str, now_ms: float) -> dict[str, Claim]:
        """Return the claims on an account by entry, as far as known."""
        known = {
            peer.entry: peer.claim_by_account[account][0]
            for peer in self._peer_by_process.values()
            if account in peer.claim_by_account and not self._is_superseded(peer)
        }
        usage = self._usage_by_account.get(account)
        if usage is not None:
            known[self._entry] = self._claim(usage, now_ms)
        return known

    def to_plain(self, now_ms: float) -> dict[str, Any]:
        """Return the use of each account with claims and where its shares lie, as far as known."""
        plain = {}
        for name, item in sorted(self.account_by_name.items()):
            claims = self.claims_by_entry(name, now_ms)
            rates = sum(claim.rate_per_s for claim in claims.values())
            if not claims:
                continue
            plain[name] = {
                "rate_per_s": item.rate_per_s,
                "burst": item.burst,
                "used": self.used(name, now_ms),
                "quota": self.quota(name),
                "share_by_entry": {
                    entry: round(claim.rate_per_s / rates, 3) if rates > 0 else 0.0
                    for entry, claim in sorted(claims.items())
                },
            }
        return plain

    def oldest_claim_ms(self, now_ms: float) -> float:
        """Return the age of the oldest claims that count, 0 if there are none."""
        ages = (now_ms - peer.heard_ms for peer in self._peer_by_process.values())
        return max(ages, default=0.0)

    def _used_by_account(self, now_ms: float) -> Iterable[tuple[str, int]]:
        for peer in self._peer_by_process.values():
            for name in peer.claim_by_account:
                claim = peer.claim(name)
                if claim is not None:
                    yield name, claim.used
        for name, usage in self._usage_by_account.items():
            yield name, self._claim(usage, now_ms).used

    def _claim(self, usage: _Usage, now_ms: float) -> Claim:
        expired = usage.admitted.expired(now_ms, self._bounds.window_ms)
        return Claim(round(usage.smoothed(now_ms), 2), usage.admitted.total - expired)

    def _allowance(self, account: str, room: _Room, now_ms: float) -> float:
        """Return the calls in a window that this entry may admit without a share."""
        quota = self.quota(account)
        tolerance = self._bounds.slack + self._bounds.overage * quota
        if not self.is_in_contact(now_ms):
            return NO_CONTACT_PART * tolerance / USUAL_NAMED if self.is_named else 0.0
        if self.is_named:
            return max(1.0, CONTACT_PART * tolerance / max(USUAL_NAMED, len(self.named)))
        reached_ms = self._reached_ms_by_account.get(account, float("-inf"))
        is_reached = room.known + 1 > quota or now_ms - reached_ms < REACHED_HOLD_MS
        return 0.0 if is_reached else 1.0

    def _room(self, account: str, usage: _Usage, now_ms: float) -> _Room:
        expired = usage.admitted.expired(now_ms, self._bounds.window_ms)
        total = usage.admitted.total
        others_used = 0.0
        others_rate_per_s = 0.0
        confirmed: int | None = None
        for peer in self._peer_by_process.values():
            claim = peer.claim(account)
            if claim is None:
                continue
            others_used += claim.used
            if peer.is_minor:
                continue
            if peer.is_silent(now_ms) or self._is_superseded(peer):
                others_used += self._reserve(account, usage, peer)
                continue
            others_rate_per_s += claim.rate_per_s
            heard = peer.heard.get(self._process, 0)
            confirmed = heard if confirmed is None else min(confirmed, heard)
        others_used += max(
            (used.get(account, 0) for used, _ in self._minor_by_watcher.values()), default=0
        )
        rate_per_s = usage.smoothed(now_ms)
        confirmed_total, sure_per_s = total, rate_per_s
        if confirmed is not None:
            confirmed_total, sure_per_s = _confirmed(usage, confirmed, rate_per_s)
        is_joined = self._joined_ms is not None and now_ms - self._joined_ms >= JOIN_MS
        rates = rate_per_s + others_rate_per_s
        share = sure_per_s / rates if is_joined and rates > 0 else 0.0
        # Calls that left the window need no confirmation any more.
        unconfirmed = total - max(confirmed_total, expired)
        quota = self.quota(account)
        left = max(0.0, quota - (total - expired - unconfirmed) - others_used)
        return _Room(quota, share, left, unconfirmed, total - expired + others_used)

    def _is_superseded(self, peer: _Peer) -> bool:
        """Return whether the entry of a process was restarted, so that it admits no more calls."""
        return any(
            other.entry == peer.entry and other.heard_ms > peer.heard_ms
            for other in self._peer_by_process.values()
            if other is not peer
        )

    def _reserve(self, account: str, usage: _Usage, peer: _Peer) -> float:
        """Return the calls that a silent or ended process may have admitted since its claims.

        These are its share of what was left of the cap, as it knew of it. The others may use the
        rest at once, without its confirmation.
        """
        reserve = peer.reserve_by_account.get(account)
        if reserve is not None:
            return reserve
        number = peer.heard.get(self._process, 0)
        # The last of the reports that it heard for sure; not every message holds this account.
        first = max(
            (n for n, item in enumerate(usage.reports) if item.number <= number), default=-1
        )
        reports = list(usage.reports)[first:] if first >= 0 else []
        # It may have heard later ones too, which hold fewer calls once some were given back.
        given_back = reports[0].total - min(item.total for item in reports) if reports else 0
        own_used = max(0, reports[0].claim.used - given_back) if reports else 0
        own_per_s = min((item.claim.rate_per_s for item in reports), default=0.0)
        left, others_per_s = self.quota(account) - own_used, 0.0
        for other in self._peer_by_process.values():
            claim = other.claim(account)
            if claim is not None:
                left -= claim.used
                others_per_s += claim.rate_per_s if other is not peer else 0.0
        # It need not know which of its claims arrived here, and may go by the largest.
        rate_per_s = max(rate for _, rate in peer.rates_by_account[account])
        rates = own_per_s + others_per_s + rate_per_s
        reserve = max(0.0, left) * rate_per_s / rates if rates > 0 else 0.0
        peer.reserve_by_account[account] = reserve
        return reserve

    def _is_due(self, account: str, usage: _Usage, now_ms: float) -> bool:
        since_ms = now_ms - usage.reported_ms
        if since_ms >= QUIET_REPORT_MS:
            return True
        if since_ms < PRESSED_REPORT_MS:
            return False
        room = self._room(account, usage, now_ms)
        if since_ms >= REPORT_MS and room.known > QUIET_SHARE * self.quota(account):
            return True
        if self._joined_ms is None:
            return False
        rate_per_s = usage.smoothed(now_ms)
        reported_per_s = usage.reports[-1].claim.rate_per_s if usage.reports else 0.0
        if rate_per_s > reported_per_s * NOTABLE_CHANGE:
            return True
        return room.unconfirmed > PRESSED_SHARE * room.share * room.left

    def _report(self, usages: Mapping[str, _Usage], now_ms: float) -> Claims:
        self._number += 1
        self._sent_ms = now_ms
        self._is_reply_due = False
        is_joining = self._joined_ms is None
        if is_joining and self._joining is None:
            self._joining = self._number
        claims = {}
        is_urgent = is_joining
        for name, usage in usages.items():
            is_urgent |= now_ms - usage.reported_ms < REPORT_MS
            claims[name] = claim = self._claim(usage, now_ms)
            usage.reports.append(_Report(self._number, usage.admitted.total, claim))
            usage.reported_ms = now_ms
            if len(usage.reports) > MAX_REPORTS:
                usage.reports.popleft()
        heard = {
            process: peer.number
            for process, peer in self._peer_by_process.items()
            if not peer.is_minor
        }
        return Claims(
            self._entry, self._process, self._number, is_joining, is_urgent, heard, claims
        )

    def _forget(self, now_ms: float) -> None:
        # A lost process stops after MAJORITY_MS; then its calls stay in the window.
        window_ms = self._bounds.window_ms
        hold_ms = MAJORITY_MS + window_ms
        for process, peer in list(self._peer_by_process.items()):
            age_ms = now_ms - peer.heard_ms
            is_gone = self._is_superseded(peer) and age_ms >= window_ms + SILENT_MS
            if is_gone or age_ms >= hold_ms:
                del self._peer_by_process[process]
                continue
            for name in list(peer.claim_by_account):
                if peer.claim(name) is None:
                    del peer.claim_by_account[name], peer.rates_by_account[name]
        for name, usage in list(self._usage_by_account.items()):
            if usage.smoothed(now_ms) < IDLE_RATE_PER_S and not self._claim(usage, now_ms).used:
                del self._usage_by_account[name]
        for watcher, (_, at_ms) in list(self._minor_by_watcher.items()):
            if now_ms - at_ms >= REACHED_HOLD_MS:
                del self._minor_by_watcher[watcher]
        for name, at_ms in list(self._reached_ms_by_account.items()):
            if now_ms - at_ms >= REACHED_HOLD_MS:
                del self._reached_ms_by_account[name]

    def _leave(self) -> None:
        """Give up the shares; they are earned again as after a restart."""
        self._joining = None
        self._joined_ms = None
        for usage in self._usage_by_account.values():
            usage.reports.clear()

    def _retry_after_ms(
        self, account: ClientAccount, usage: _Usage, room: _Room, now_ms: float
    ) -> float:
        """Return when a call will be admitted; later for each call that was told so before."""
        window_ms = self._bounds.window_ms
        waits_ms = [usage.allowed.frees_in_ms(1, now_ms, window_ms)]
        if room.share > 0:
            missing = (room.unconfirmed + 1) / room.share - room.left
            per_ms = max(room.known, 1) / window_ms
            waits_ms.append(missing / per_ms)
        if room.known + 1 <= room.quota and self.is_in_contact(now_ms):
            waits_ms.append(CONFIRMED_MS)
        opens_ms = now_ms + min(window_ms, max(MIN_RETRY_MS, min(waits_ms)))
        gap_ms = MS_PER_S / (account.rate_per_s * max(room.share, 1 / USUAL_NAMED))
        usage.promised_ms = max(opens_ms, min(usage.promised_ms + gap_ms, now_ms + window_ms))
        return min(window_ms, usage.promised_ms - now_ms)


def _only(value_by_account: Mapping[str, Any], account: str) -> dict[str, Any]:
    """Return a copy of the items of one account."""
    return {name: deepcopy(value) for name, value in value_by_account.items() if name == account}


def _confirmed(usage: _Usage, number: float, rate_per_s: float) -> tuple[int, float]:
    """Return the least calls and rate that others may know of if they heard ``number``.

    The number of calls falls when calls are given back, so a later report may hold fewer.
    """
    while len(usage.reports) > 1 and usage.reports[1].number <= number:
        usage.reports.popleft()
    if not usage.reports or usage.reports[0].number > number:
        return 0, 0.0
    lowest = min(report.claim.rate_per_s for report in usage.reports)
    fewest = min(report.total for report in usage.reports)
    return min(fewest, usage.admitted.total), min(lowest, rate_per_s)
