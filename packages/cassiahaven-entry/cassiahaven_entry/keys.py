"""Idempotency keys at this entry: claims, queries to other entries, stored answers."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace

import eventlet
from eventlet.event import Event

from cassiahaven_core.answer import MAX_KEPT_ANSWER_BYTES, Answer
from cassiahaven_core.edge import ObjectStore, StoreUnavailable
from cassiahaven_core.idempotency import (
    KEY_EPOCH_MS,
    Ask,
    AskGrantHolder,
    Busy,
    ClaimEffect,
    GrantedElsewhere,
    Join,
    KeyRegistry,
    PeerReply,
    Replay,
    Run,
    ScopedKey,
    join_prefix,
    split_prefix,
)
from cassiahaven_core.outcome import Outcome, Unknown
from cassiahaven_core.peer_message import KeyQuestion
from cassiahaven_core.reason import UnknownReason
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.peer_link import PeerLink

CLAIM_PREFIX = "claims/"
QUESTION_TIMEOUT_MS = 1000.0
BUSY_DELAY_MS = 20.0
CLAIM_ATTEMPTS = 3
MOST_KEPT_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class Claim:
    """Decision on a call with an idempotency key.

    Attributes:
        scoped: The key with its prefix.
        replay: Outcome to return to the caller, ``None`` if the call is to be run.
    """

    scoped: ScopedKey
    replay: Replay | None


class Keys:
    """Claim keys in this process's registry, at other entries or in the object store.

    Args:
        process: Unique name of this process.
        store: The platform's object store, for claims of keys without a prefix.
        find_link: Returns the link to an entry process, ``None`` if there is none.
    """

    def __init__(
        self, process: str, store: ObjectStore, find_link: Callable[[str], PeerLink | None]
    ) -> None:
        self._registry = KeyRegistry(process)
        self._store = store
        self._find_link = find_link
        self._started_ms = now_ms()
        self._event_by_key: dict[ScopedKey, Event] = {}
        self._kept_bytes = 0

    @property
    def prefix(self) -> str:
        """Return the prefix of new keys in the current epoch."""
        self._advance_epoch()
        return self._registry.prefix

    def claim(self, scoped: ScopedKey, fingerprint: str, deadline_ms: float) -> Claim:
        """Decide whether to run a call with a key here or to replay an outcome.

        The caller must call ``complete`` if the claim has no replay.
        """
        self._advance_epoch()
        try:
            split_prefix(scoped.key)
        except ValueError:
            prefix = self._claim_in_store(scoped)
            if prefix is None:
                outcome = Unknown(UnknownReason.STORE_UNAVAILABLE)
                return Claim(scoped, Replay(outcome, None))
            scoped = replace(scoped, key=join_prefix(prefix, scoped.key))
        effect = self._registry.claim(scoped, fingerprint)
        return Claim(scoped, self._resolve_effect(scoped, fingerprint, effect, deadline_ms))

    def complete(self, scoped: ScopedKey, outcome: Outcome, answer: Answer | None) -> None:
        """Store the outcome of a call that ran here and wake the calls that joined it."""
        if answer is not None and not self._reserve_bytes(answer):
            answer = None
        self._registry.complete(scoped, outcome, answer)
        event = self._event_by_key.pop(scoped, None)
        if event is not None:
            event.send(Replay(outcome, answer))

    def answer_question(self, question: KeyQuestion) -> PeerReply:
        """Answer another process that asks for a key."""
        self._advance_epoch()
        scoped = ScopedKey(question.partner, question.service, question.key)
        return self._registry.answer_peer(scoped, question.fingerprint, question.process)

    def _resolve_effect(
        self, scoped: ScopedKey, fingerprint: str, effect: ClaimEffect, deadline_ms: float
    ) -> Replay | None:
        while True:
            match effect:
                case Run():
                    return None
                case Replay():
                    self._wake_joined(scoped, effect)
                    return effect
                case Join():
                    return self._join(scoped, deadline_ms)
                case Ask(process=process, question=question):
                    reply = self._ask(process, scoped, fingerprint, deadline_ms)
                    effect = self._registry.resolve(scoped, question, reply)
                case AskGrantHolder(process=process):
                    return self._ask_holder(process, scoped, fingerprint, deadline_ms)

    def _ask(
        self, process: str, scoped: ScopedKey, fingerprint: str, deadline_ms: float
    ) -> PeerReply | None:
        while True:
            link = self._find_link(process)
            if link is None:
                return None
            reply = link.ask(scoped, fingerprint, self._registry.process, QUESTION_TIMEOUT_MS)
            if not isinstance(reply, Busy) or now_ms() >= deadline_ms:
                return reply
            eventlet.sleep(BUSY_DELAY_MS / MS_PER_S)

    def _ask_holder(
        self, process: str, scoped: ScopedKey, fingerprint: str, deadline_ms: float
    ) -> Replay:
        reply = self._ask(process, scoped, fingerprint, deadline_ms)
        match reply:
            case Replay():
                return reply
            case None:
                return Replay(Unknown(UnknownReason.MAKER_UNREACHABLE), None)
            case Busy() | GrantedElsewhere():
                return Replay(Unknown(UnknownReason.HELD_ELSEWHERE), None)
        return Replay(Unknown(UnknownReason.INTERNAL), None)

    def _join(self, scoped: ScopedKey, deadline_ms: float) -> Replay:
        event = self._event_by_key.setdefault(scoped, Event())
        wait_s = max(0.0, deadline_ms - now_ms()) / MS_PER_S
        replay = event.wait(timeout=wait_s)
        return replay or Replay(Unknown(UnknownReason.ANSWER_TIMEOUT), None)

    def _wake_joined(self, scoped: ScopedKey, replay: Replay) -> None:
        if scoped in self._registry.record_by_key:
            return
        event = self._event_by_key.pop(scoped, None)
        if event is not None:
            event.send(replay)

    def _claim_in_store(self, scoped: ScopedKey) -> str | None:
        name = "\0".join((scoped.partner, scoped.service, scoped.key))
        store_key = CLAIM_PREFIX + hashlib.sha256(name.encode()).hexdigest()
        for _ in range(CLAIM_ATTEMPTS):
            try:
                stored = self._store.get(store_key)
                if stored is not None:
                    return stored.value.decode()
                prefix = self.prefix
                if self._store.put(store_key, prefix.encode(), version=0) is not None:
                    return prefix
            except StoreUnavailable:
                continue
        return None

    def _advance_epoch(self) -> None:
        epoch = int((now_ms() - self._started_ms) / KEY_EPOCH_MS)
        if epoch == self._registry.epoch:
            return
        self._registry.advance_epoch(epoch)
        records = self._registry.record_by_key.values()
        self._kept_bytes = sum(len(item.answer.body) for item in records if item.answer)

    def _reserve_bytes(self, answer: Answer) -> bool:
        size = len(answer.body)
        if size > MAX_KEPT_ANSWER_BYTES or self._kept_bytes + size > MOST_KEPT_BYTES:
            return False
        self._kept_bytes += size
        return True
