"""Idempotency keys that make a non-idempotent call run at most once.

The process that issued a key's prefix, the maker, owns the key. Another process that receives the
key asks the maker, which replies with the outcome or grants the right to run the call. The maker
never revokes a grant, so grants need neither a lease nor synchronized clocks.
"""

from dataclasses import dataclass, replace
from enum import Enum
from typing import TypeAlias

from cassiahaven_core.answer import Answer
from cassiahaven_core.outcome import NotRun, Outcome, Unknown
from cassiahaven_core.reason import RefusalReason, UnknownReason

KEY_EPOCH_MS = 300_000.0
ACCEPTED_EPOCHS = 2
REMEMBERED_EPOCHS = 4
MAX_RECORDS = 100_000
PREFIX_MARKER = "ch"  # distinguishes issued prefixes from keys that callers invent
SEPARATOR = "~"


@dataclass(frozen=True, slots=True, order=True)
class ScopedKey:
    """An idempotency key, scoped to its partner and service."""

    partner: str
    service: str
    key: str


class Phase(Enum):
    """Processing state of a key at this process."""

    ASKING = "asking"
    RUNNING = "running"
    DONE = "done"
    GRANTED = "granted"


@dataclass(frozen=True, slots=True)
class Record:
    """State of a key at one process.

    Attributes:
        outcome: Set once the phase is DONE.
        answer: Stored response of the upstream, ``None`` if it was too large to store.
        granted_to: Process that holds the right to run the call, in phase GRANTED.
        epoch: Epoch of this process in which the record was created.
        question: Number of the pending question, in phase ASKING.
    """

    fingerprint: str
    phase: Phase
    epoch: int
    outcome: Outcome | None = None
    answer: Answer | None = None
    granted_to: str | None = None
    question: int = 0


@dataclass(frozen=True, slots=True)
class Run:
    """Run the call: this process holds the exclusive right to run it."""


@dataclass(frozen=True, slots=True)
class Join:
    """Wait for the call in flight with the same key."""


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask the process that may hold the key, then call ``resolve`` with its reply.

    Attributes:
        question: Number to pass to ``resolve``, so that a late reply cannot resolve a newer
            question.
    """

    process: str
    question: int


@dataclass(frozen=True, slots=True)
class AskGrantHolder:
    """Ask the process that holds the grant and relay its reply to the caller."""

    process: str


@dataclass(frozen=True, slots=True)
class Replay:
    """Return the stored outcome, and the response if it was stored."""

    outcome: Outcome
    answer: Answer | None


@dataclass(frozen=True, slots=True)
class Granted:
    """Reply of the maker: the asking process holds the exclusive right to run the call."""


@dataclass(frozen=True, slots=True)
class Busy:
    """Reply of the maker: the call is in flight here; ask again later."""


@dataclass(frozen=True, slots=True)
class GrantedElsewhere:
    """Reply of the maker: another process holds the right to run the call."""

    process: str


ClaimEffect: TypeAlias = Run | Join | Ask | AskGrantHolder | Replay
PeerReply: TypeAlias = Granted | Busy | GrantedElsewhere | Replay


class KeyRegistry:
    """State machine for the idempotency keys received by one process.

    Args:
        process: Unique name of this process, new at each start.
    """

    __slots__ = ("process", "epoch", "record_by_key", "questions")

    def __init__(self, process: str) -> None:
        self.process = process
        self.epoch = 0
        self.record_by_key: dict[ScopedKey, Record] = {}
        self.questions = 0

    @property
    def prefix(self) -> str:
        """Return the prefix for keys issued in the current epoch."""
        return SEPARATOR.join((PREFIX_MARKER, self.process, str(self.epoch)))

    def advance_epoch(self, epoch: int) -> None:
        """Move to ``epoch`` and delete the records that no accepted key can refer to.

        A maker accepts a key for fewer epochs than processes keep records, so a grant repeated
        after a lost reply always finds the record of the first grant.
        """
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        self.record_by_key = {
            key: record
            for key, record in self.record_by_key.items()
            if record.epoch + REMEMBERED_EPOCHS > epoch
            or record.phase in (Phase.RUNNING, Phase.ASKING)
        }

    def claim(self, scoped: ScopedKey, fingerprint: str) -> ClaimEffect:
        """Decide how to handle a call with a key that a caller sent to this process.

        Raises:
            ValueError: The key carries no prefix.
        """
        record = self.record_by_key.get(scoped)
        if record is not None:
            return self._claim_known(scoped, record, fingerprint)
        maker, epoch = split_prefix(scoped.key)
        if maker != self.process:
            return self._ask_process(scoped, fingerprint, maker)
        if not self._accepts(epoch):
            return Replay(Unknown(UnknownReason.KEY_EXPIRED), None)
        if self._is_full():
            return Replay(NotRun(RefusalReason.KEY_MEMORY_FULL), None)
        self.record_by_key[scoped] = Record(fingerprint, Phase.RUNNING, self.epoch)
        return Run()

    def answer_peer(self, scoped: ScopedKey, fingerprint: str, process: str) -> PeerReply:
        """Answer another process that asks about a key.

        The question goes to the key's maker, or to the process that the maker granted the key to.
        """
        record = self.record_by_key.get(scoped)
        if record is None:
            return self._grant(scoped, fingerprint, process)
        if record.fingerprint != fingerprint:
            return Replay(NotRun(RefusalReason.KEY_REUSED), None)
        match record.phase:
            case Phase.DONE:
                return Replay(record.outcome, record.answer)
            case Phase.GRANTED:
                return self._repeat_grant(scoped, record, process)
            case Phase.ASKING:
                # Waiting here could deadlock two processes that ask each other.
                return Replay(Unknown(UnknownReason.HELD_ELSEWHERE), None)
        return Busy()

    def resolve(self, scoped: ScopedKey, question: int, reply: PeerReply | None) -> ClaimEffect:
        """Continue a call in phase ASKING with the reply of the other process.

        Args:
            scoped: The key that was asked about.
            question: Number of the question.
            reply: The reply, or ``None`` if none came in time.
        """
        record = self.record_by_key.get(scoped)
        if record is None or not self._awaits(record, question):
            return Replay(Unknown(UnknownReason.HELD_ELSEWHERE), None)
        if isinstance(reply, Granted):
            self.record_by_key[scoped] = replace(record, phase=Phase.RUNNING)
            return Run()
        del self.record_by_key[scoped]
        match reply:
            case Replay():
                return reply
            case GrantedElsewhere(process=process) if process != self.process:
                return self._ask_process(scoped, record.fingerprint, process)
            case Busy() | GrantedElsewhere():
                return Replay(Unknown(UnknownReason.HELD_ELSEWHERE), None)
        return Replay(Unknown(UnknownReason.MAKER_UNREACHABLE), None)

    def complete(self, scoped: ScopedKey, outcome: Outcome, answer: Answer | None = None) -> None:
        """Store the outcome of a call that this process held the right to run.

        If the call certainly did not run, its key is released, so that a resend can run it.
        """
        record = self.record_by_key.get(scoped)
        if record is None or record.phase is not Phase.RUNNING:
            return
        if not isinstance(outcome, NotRun):
            self.record_by_key[scoped] = replace(
                record, phase=Phase.DONE, outcome=outcome, answer=answer
            )
            return
        maker, _ = split_prefix(scoped.key)
        if maker == self.process:
            del self.record_by_key[scoped]
            return
        # The maker still records the grant, so this process keeps the right to run the call.
        self.record_by_key[scoped] = replace(record, phase=Phase.GRANTED, granted_to=self.process)

    def _claim_known(self, scoped: ScopedKey, record: Record, fingerprint: str) -> ClaimEffect:
        if record.fingerprint != fingerprint:
            return Replay(NotRun(RefusalReason.KEY_REUSED), None)
        if record.phase is Phase.DONE:
            return Replay(record.outcome, record.answer)
        if record.phase is not Phase.GRANTED:
            return Join()
        if record.granted_to == self.process:
            self.record_by_key[scoped] = replace(record, phase=Phase.RUNNING)
            return Run()
        return AskGrantHolder(record.granted_to)

    def _ask_process(self, scoped: ScopedKey, fingerprint: str, process: str) -> ClaimEffect:
        if self._is_full():
            return Replay(Unknown(UnknownReason.KEY_MEMORY_FULL), None)
        self.questions += 1
        self.record_by_key[scoped] = Record(
            fingerprint, Phase.ASKING, self.epoch, question=self.questions
        )
        return Ask(process, self.questions)

    def _awaits(self, record: Record, question: int) -> bool:
        return record.phase is Phase.ASKING and record.question == question

    def _accepts(self, epoch: int) -> bool:
        return self.epoch - ACCEPTED_EPOCHS < epoch <= self.epoch

    def _is_full(self) -> bool:
        return len(self.record_by_key) >= MAX_RECORDS

    def _grant(self, scoped: ScopedKey, fingerprint: str, process: str) -> PeerReply:
        maker, epoch = split_prefix(scoped.key)
        if maker != self.process or not self._accepts(epoch):
            # The record of an earlier run may have been deleted, so "not run" could be wrong.
            return Replay(Unknown(UnknownReason.KEY_EXPIRED), None)
        if self._is_full():
            return Replay(Unknown(UnknownReason.KEY_MEMORY_FULL), None)
        self.record_by_key[scoped] = Record(
            fingerprint, Phase.GRANTED, self.epoch, granted_to=process
        )
        return Granted()

    def _repeat_grant(self, scoped: ScopedKey, record: Record, process: str) -> PeerReply:
        if record.granted_to == self.process:
            # The call has not run yet, but a resend may be running by the time this reply arrives.
            return Replay(Unknown(UnknownReason.HELD_ELSEWHERE), None)
        if record.granted_to != process:
            return GrantedElsewhere(record.granted_to)
        _, epoch = split_prefix(scoped.key)
        if not self._accepts(epoch):
            return Replay(Unknown(UnknownReason.KEY_EXPIRED), None)
        return Granted()


def join_prefix(prefix: str, own_part: str) -> str:
    """Return the key built from an issued prefix and the caller's own part."""
    return prefix + SEPARATOR + own_part


def split_prefix(key: str) -> tuple[str, int]:
    """Return the maker and the epoch encoded in ``key``.

    Raises:
        ValueError: The key carries no prefix.
    """
    parts = key.split(SEPARATOR, 3)
    if len(parts) != 4 or parts[0] != PREFIX_MARKER or not parts[2].isdigit() or not parts[3]:
        raise ValueError("the key has no prefix")
    return parts[1], int(parts[2])
