"""Usage caps of an entry: its decisions, and its exchange of claims with other entries."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from typing import Any

import eventlet

from cassiahaven_core.membership import Fleet
from cassiahaven_core.peer_message import PeerMessage, UsageClaims, UsageJoined, UsageNews
from cassiahaven_core.usage_cap import (
    CLAIM_HOLD_MS,
    MAJORITY_MS,
    Admitted,
    CapDecision,
    CapState,
    Claims,
    UsageCaps,
)
from cassiahaven_entry.clock import MS_PER_S, boot_ms, now_ms
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.metrics import Metrics

TICK_MS = 50.0
FORWARD_MS = 100.0
GIVEN_BACK = "given-back"
TICK_GAP_MS = 500.0  # after a longer pause, it is not known that contact was kept


class _Episode:
    """Time during which calls of an account are refused."""

    __slots__ = ("refused", "began_ms", "last_ms")

    def __init__(self, at_ms: float) -> None:
        self.refused = 0
        self.began_ms = at_ms
        self.last_ms = at_ms


class UsageExchange:
    """Decide on calls of client accounts and exchange claims over the links of the fleet.

    An entry sends its claims to its watchers. Each watcher forwards them to the entries that have
    claims themselves.

    Args:
        caps: Decides on the calls.
        fleet: Members and their liveness.
        named: Returns the entries that the directory names to callers.
        subscribers: Returns the names of this entry's subscribers by connection.
        send: Sends a message to all watchers.
        send_to: Sends a message to subscribers, by connection.
    """

    def __init__(
        self,
        caps: UsageCaps,
        fleet: Fleet,
        *,
        named: Callable[[], Collection[str]],
        subscribers: Callable[[], Mapping[str, str]],
        send: Callable[[PeerMessage], None],
        send_to: Callable[[PeerMessage, Collection[str]], None],
        metrics: Metrics,
    ) -> None:
        self.caps = caps
        self._fleet = fleet
        self._named = named
        self._subscribers = subscribers
        self._send = send
        self._send_to = send_to
        self._metrics = metrics
        self._heard_ms = float("-inf")
        self._ticked_ms = float("-inf")
        self._sole_since_ms: float | None = None
        self._claimant_ms_by_connection: dict[str, float] = {}
        self._name_by_connection: dict[str, str] = {}
        self._pending_by_process: dict[str, Claims] = {}
        self._forwarded_ms = float("-inf")
        self._episode_by_account: dict[str, _Episode] = {}
        metrics.usage_claims_age.set_function(lambda: caps.oldest_claim_ms(boot_ms()) / MS_PER_S)

    def check(self, account: str) -> CapDecision:
        """Return whether a call of ``account`` may be sent, and count it if so."""
        at_ms = boot_ms()
        decision = self.caps.admit(account, at_ms)
        self._metrics.usage_cap_calls.labels(decision.state.value).inc()
        if isinstance(decision, Admitted):
            return decision
        episode = self._episode_by_account.get(account)
        if episode is None:
            episode = self._episode_by_account[account] = _Episode(at_ms)
            self._log(LogEvent.USAGE_CAP_REACHED, account, at_ms, reason=decision.state.value)
        episode.refused += 1
        episode.last_ms = at_ms
        return decision

    def give_back(self, account: str, admitted: Admitted) -> None:
        """Stop counting an admitted call that did not run."""
        if admitted.state is not CapState.UNLIMITED:
            self.caps.give_back(account, admitted)
            self._metrics.usage_cap_calls.labels(GIVEN_BACK).inc()

    def run(self) -> None:
        """Send and forward claims until the process ends."""
        while True:
            self.tick()
            eventlet.sleep(TICK_MS / MS_PER_S)

    def tick(self) -> None:
        """Send the claims that are due, and forward those of others."""
        at_ms = boot_ms()
        self._update_contact(at_ms)
        if not self.caps.account_by_name:
            self._pending_by_process.clear()
            return
        claims = self.caps.own_claims(at_ms)
        if claims is not None:
            self._send(UsageClaims([claims]))
            self._add_pending(claims)
            if self._is_settled_sole_watcher(at_ms):
                self.caps.confirm_join(claims.number, at_ms)
        if at_ms - self._forwarded_ms >= FORWARD_MS:
            self._forwarded_ms = at_ms
            self._forward(at_ms)
        self._end_episodes(at_ms)

    def note_watcher(self) -> None:
        """Record that a watcher sent a message."""
        self._heard_ms = boot_ms()

    def report_all(self) -> None:
        """Report all claims, as a link to a watcher is new."""
        self.caps.report_all()

    def receive_from_watcher(self, message: PeerMessage) -> None:
        """Apply a message of a watcher."""
        at_ms = boot_ms()
        match message:
            case UsageClaims(claims=items):
                for claims in items:
                    self.caps.apply_claims(claims, at_ms)
            case UsageJoined(number=number):
                self.caps.confirm_join(number, at_ms)
            case UsageNews(watcher=watcher, reached=reached, minor_use=minor_use):
                self.caps.apply_reached(reached, at_ms)
                if minor_use:
                    self.caps.apply_minor_use(watcher, minor_use, at_ms)

    def receive(self, connection: str, message: UsageClaims) -> list[PeerMessage]:
        """Apply claims of a subscriber and return the replies."""
        at_ms = boot_ms()
        replies: list[PeerMessage] = []
        for claims in message.claims:
            if not self.caps.receive_claims(claims, at_ms):
                self.forget(connection)
                continue
            last_ms = self._claimant_ms_by_connection.get(connection, float("-inf"))
            self._claimant_ms_by_connection[connection] = at_ms
            self._name_by_connection[connection] = claims.entry
            if at_ms - last_ms > CLAIM_HOLD_MS or claims.is_joining:
                if known := self.caps.known_claims(at_ms):
                    replies.append(UsageClaims(known))
                replies.append(UsageJoined(claims.number))
                self.caps.report_all()
            self._add_pending(claims)
        return replies

    def forget(self, connection: str) -> None:
        """Forget a subscriber that has no claims any more, or is gone."""
        self._claimant_ms_by_connection.pop(connection, None)
        self._name_by_connection.pop(connection, None)

    def _update_contact(self, at_ms: float) -> None:
        fleet = self._fleet
        watchers = [member.name for member in fleet.watchers()]
        if fleet.own.name in watchers:
            self._heard_ms = at_ms
        has_paused = at_ms - self._ticked_ms > TICK_GAP_MS
        self._ticked_ms = at_ms
        if watchers != [fleet.own.name] or has_paused or not self.caps.is_in_contact(at_ms):
            self._sole_since_ms = None
        elif self._sole_since_ms is None:
            self._sole_since_ms = at_ms
        live = len(fleet.live_names(now_ms()))
        self.caps.set_contact(
            heard_ms=self._heard_ms,
            has_majority=fleet.has_members and live > len(fleet.member_by_name) / 2,
            now_ms=at_ms,
        )
        self.caps.set_named(self._named())

    def _is_settled_sole_watcher(self, at_ms: float) -> bool:
        """Return whether this entry is the only watcher and knows the claims of all others.

        No other watcher can confirm that it joins. Entries that do not follow it stop within
        ``MAJORITY_MS``, as it sees the majority, and their calls then leave the window.
        """
        settle_ms = MAJORITY_MS + self.caps.window_ms
        return self._sole_since_ms is not None and at_ms - self._sole_since_ms >= settle_ms

    def _add_pending(self, claims: Claims) -> None:
        before = self._pending_by_process.get(claims.process)
        if before is not None:
            merged = before.claim_by_account | claims.claim_by_account
            claims = replace(
                claims, is_urgent=before.is_urgent or claims.is_urgent, claim_by_account=merged
            )
        self._pending_by_process[claims.process] = claims

    def _forward(self, at_ms: float) -> None:
        pending, self._pending_by_process = self._pending_by_process, {}
        for connection, last_ms in list(self._claimant_ms_by_connection.items()):
            if at_ms - last_ms > CLAIM_HOLD_MS:
                self.forget(connection)
        if pending:
            watchers = {member.name for member in self._fleet.watchers()}
            for connection, name in list(self._name_by_connection.items()):
                claims = [
                    item
                    for item in pending.values()
                    if item.entry != name
                    # A watcher gets the claims from their entry.
                    and (name not in watchers or self.caps.lacks(name, item))
                ]
                if claims:
                    self._send_to(UsageClaims(claims), [connection])
        self._send_news(at_ms)

    def _send_news(self, at_ms: float) -> None:
        minor_use = self.caps.minor_use(at_ms)
        reached = self.caps.newly_reached(at_ms)
        own = self._fleet.own
        if reached:
            self._send_to(UsageNews(own.name, reached, minor_use), self._near_connections())
        elif minor_use and self._claimant_ms_by_connection:
            news = UsageNews(own.name, [], minor_use)
            self._send_to(news, list(self._claimant_ms_by_connection))

    def _near_connections(self) -> list[str]:
        """Return the subscribers in the own zone and in those without a watcher, and claimants."""
        fleet = self._fleet
        others = {member.availability_zone for member in fleet.watchers()}
        others.discard(fleet.own.availability_zone)
        return [
            connection
            for connection, name in self._subscribers().items()
            if connection in self._claimant_ms_by_connection
            or name not in fleet.member_by_name
            or fleet.member_by_name[name].availability_zone not in others
        ]

    def _end_episodes(self, at_ms: float) -> None:
        for account, episode in list(self._episode_by_account.items()):
            if at_ms - episode.last_ms < self.caps.window_ms:
                continue
            del self._episode_by_account[account]
            took_ms = round(episode.last_ms - episode.began_ms)
            self._log(
                LogEvent.USAGE_CAP_ENDED, account, at_ms, refused=episode.refused, took_ms=took_ms
            )

    def _log(self, event: LogEvent, account: str, at_ms: float, **fields: Any) -> None:
        capped = self.caps.account_by_name.get(account)
        log(
            event,
            account=account,
            rate_per_s=capped.rate_per_s if capped is not None else None,
            burst=capped.burst if capped is not None else None,
            used=self.caps.used(account, at_ms),
            share=round(self.caps.share(account, at_ms), 3),
            **fields,
        )
