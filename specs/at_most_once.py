"""Specification: a call with an idempotency key runs at most once, and "not run" is never wrong.

Two entries use the real ``KeyRegistry``. Messages between them may be lost, delayed, reordered or
duplicated. An entry may crash at any point and restarts as a new process with an empty registry. A
dispatched call may run at any later time, even after its entry has crashed, or never.
"""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from dataclasses import dataclass, replace
from unittest.mock import patch

from cassiahaven_core import idempotency
from cassiahaven_core.answer import Answer
from cassiahaven_core.idempotency import (
    Ask,
    AskGrantHolder,
    Busy,
    ClaimEffect,
    Granted,
    GrantedElsewhere,
    KeyRegistry,
    PeerReply,
    Phase,
    Replay,
    Run,
    ScopedKey,
    join_prefix,
)
from cassiahaven_core.outcome import NotRun, Outcome, Ran, Unknown
from cassiahaven_core.reason import RefusalReason, UnknownReason
from specs.explorer import Spec

ENTRIES = ("a", "b")
FINGERPRINT = "f"
LATEST_EPOCH = 5


@dataclass(frozen=True, slots=True)
class EntryState:
    """The running process of one entry and the contents of its ``KeyRegistry``."""

    process: str
    epoch: int
    records: frozenset
    questions: int = 0


@dataclass(frozen=True, slots=True)
class Question:
    """Message that asks a process about a key.

    Attributes:
        asker: Process that sent the question.
        holder: Process that is asked.
        number: Number that ``KeyRegistry.resolve`` expects; 0 for a direct question.
        is_direct: The asker relays a replayed outcome to the caller and calls no ``resolve``.
    """

    asker: str
    holder: str
    scoped: ScopedKey
    number: int
    is_direct: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """Message that carries a reply back to the asker."""

    question: Question
    reply: PeerReply


@dataclass(frozen=True, slots=True)
class World:
    """State of the whole system.

    Attributes:
        sends: Number of sends left, by key.
        network: Messages in transit.
        dispatched: Process and key of calls sent to an upstream that have not run yet.
        runs: Number of runs, by key; counted up to 2.
        waiting: Process, key and whether the call ran, for calls whose entry awaits the outcome.
        crashes: Number of crashes so far.
        fault: Kind of the first wrong reply to the caller; empty if there was none.
    """

    entries: tuple[EntryState, ...]
    sends: tuple[int, ...]
    network: frozenset
    dispatched: frozenset
    runs: tuple[int, ...]
    waiting: frozenset
    crashes: int
    fault: str = ""


class AtMostOnce(Spec[World]):
    """Explore resends, keys granted to another entry, lost replies and crashes.

    Args:
        keys: Number of keys; the first entry issues their prefix.
        sends: Maximum number of sends of each key.
        total_sends: Maximum number of sends of all keys together.
        crashes: Maximum number of crashes.
        has_epochs: Whether epochs advance, so that keys expire.
    """

    name = "at-most-once"

    def __init__(
        self,
        *,
        keys: int = 2,
        sends: int = 3,
        total_sends: int = 3,
        crashes: int = 1,
        has_epochs: bool = False,
    ) -> None:
        self._sends = sends
        self._total_sends = total_sends
        self._crashes = crashes
        self._has_epochs = has_epochs
        prefix = KeyRegistry(ENTRIES[0]).prefix
        self._keys = [
            ScopedKey("partner", "service", join_prefix(prefix, str(number)))
            for number in range(keys)
        ]
        expiry = ", keys expire" if has_epochs else ""
        self.bound = (
            f"2 entries, {keys} keys, {sends - 1} resends a key, {total_sends} sends in all, "
            f"{crashes} crash{expiry}"
        )

    def initial(self) -> World:
        """Return the state in which nothing has been sent."""
        count = len(self._keys)
        entries = tuple(EntryState(name, 0, frozenset()) for name in ENTRIES)
        empty = frozenset()
        return World(entries, (self._sends,) * count, empty, empty, (0,) * count, empty, 0)

    def properties(self) -> dict[str, Callable[[World], bool]]:
        """Return the invariants: at most one run, "not run" only if true, no other key's answer."""
        return {
            "at_most_once": lambda world: max(world.runs) <= 1,
            "not_run_is_true": lambda world: world.fault != "not-run",
            "own_answer": lambda world: world.fault != "answer",
        }

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield every possible next step."""
        yield from self._send_calls(world)
        yield from self._deliver_or_lose_messages(world)
        yield from self._time_out_questions(world)
        yield from self._run_and_end(world)
        yield from self._crash(world)
        if self._has_epochs:
            yield from self._advance_epochs(world)

    def mutants(self) -> dict[str, Callable[[], AbstractContextManager[None]]]:
        """Return mutants of the key registry."""
        original_complete = KeyRegistry.complete
        original_repeat = KeyRegistry._repeat_grant
        original_resolve = KeyRegistry.resolve

        def forgets_unknown(self, scoped, outcome, answer=None):
            original_complete(self, scoped, outcome, answer)
            if isinstance(outcome, Unknown):
                self.record_by_key.pop(scoped, None)

        def grants_to_anyone(self, scoped, record, process):
            reply = original_repeat(self, scoped, record, process)
            return Granted() if isinstance(reply, GrantedElsewhere) else reply

        def runs_without_reply(self, scoped, question, reply):
            reply = Granted() if reply is None else reply
            return original_resolve(self, scoped, question, reply)

        def says_not_run_when_busy(self, scoped, question, reply):
            effect = original_resolve(self, scoped, question, reply)
            if isinstance(reply, Busy | GrantedElsewhere) and isinstance(effect, Replay):
                return Replay(NotRun(RefusalReason.UPSTREAM_REFUSED), None)
            return effect

        def tells_peers_not_run(self, scoped, record, process):
            if record.granted_to == self.process:
                return Replay(NotRun(RefusalReason.UPSTREAM_REFUSED), None)
            return original_repeat(self, scoped, record, process)

        def mutant(name: str, function: Callable) -> Callable[[], AbstractContextManager[None]]:
            return lambda: patch.object(KeyRegistry, name, function)

        mutants = {
            "forgets unknown outcomes": mutant("complete", forgets_unknown),
            "grants one key to two processes": mutant("_repeat_grant", grants_to_anyone),
            "runs when the maker is silent": mutant("resolve", runs_without_reply),
            "tells peers that a released key did not run": mutant(
                "_repeat_grant", tells_peers_not_run
            ),
            "says not run when another holds it": mutant("resolve", says_not_run_when_busy),
        }
        if self._has_epochs:
            mutants = {
                "forgets before the maker refuses": lambda: patch.object(
                    idempotency, "REMEMBERED_EPOCHS", 1
                ),
                "takes a late reply for a newer question": mutant(
                    "_awaits", lambda self, record, question: record.phase is Phase.ASKING
                ),
            }
        return mutants

    def _send_calls(self, world: World) -> Iterator[tuple[str, World]]:
        used = self._sends * len(self._keys) - sum(world.sends)
        if used >= self._total_sends:
            return
        for number, scoped in enumerate(self._keys):
            if not world.sends[number]:
                continue
            sends = _replace_item(world.sends, number, world.sends[number] - 1)
            for index, entry in enumerate(world.entries):
                registry = _registry(entry)
                effect = registry.claim(scoped, FINGERPRINT)
                after = self._put(replace(world, sends=sends), index, registry)
                yield f"send {number} to {entry.process}", self._apply(
                    after, entry.process, scoped, effect
                )

    def _apply(self, world: World, process: str, scoped: ScopedKey, effect: ClaimEffect) -> World:
        match effect:
            case Run():
                item = (process, scoped)
                return replace(
                    world,
                    dispatched=world.dispatched | {item},
                    waiting=world.waiting | {(process, scoped, False)},
                )
            case Ask(process=holder) | AskGrantHolder(process=holder):
                is_direct = isinstance(effect, AskGrantHolder)
                number = 0 if is_direct else effect.question
                question = Question(process, holder, scoped, number, is_direct)
                return replace(world, network=world.network | {question})
            case Replay(outcome=outcome, answer=answer):
                return self._reply_to_caller(world, scoped, outcome, answer)
        return world

    def _reply_to_caller(
        self, world: World, scoped: ScopedKey, outcome: Outcome, answer: Answer | None
    ) -> World:
        number = self._keys.index(scoped)
        pending = any(item[1] == scoped for item in world.dispatched)
        if isinstance(outcome, NotRun) and (world.runs[number] or pending):
            return replace(world, fault=world.fault or "not-run")
        if answer is not None and answer.body != scoped.key.encode():
            return replace(world, fault=world.fault or "answer")
        return world

    def _deliver_or_lose_messages(self, world: World) -> Iterator[tuple[str, World]]:
        for message in world.network:
            rest = replace(world, network=world.network - {message})
            yield "lose a message", rest
            if isinstance(message, Question):
                # Keeping the message in the network models a duplicate delivery.
                yield "deliver a question", self._deliver_question(rest, message)
                yield "deliver a question, kept", self._deliver_question(world, message)
            else:
                yield "deliver a reply", self._deliver_reply(rest, message)

    def _deliver_question(self, world: World, question: Question) -> World:
        index = _entry_index(world, question.holder)
        if index is None:
            return world
        registry = _registry(world.entries[index])
        reply = registry.answer_peer(question.scoped, FINGERPRINT, question.asker)
        after = self._put(world, index, registry)
        return replace(after, network=after.network | {Reply(question, reply)})

    def _deliver_reply(self, world: World, message: Reply) -> World:
        question = message.question
        index = _entry_index(world, question.asker)
        if index is None:
            return world
        if question.is_direct:
            if isinstance(message.reply, Replay):
                return self._reply_to_caller(
                    world, question.scoped, message.reply.outcome, message.reply.answer
                )
            return world
        registry = _registry(world.entries[index])
        effect = registry.resolve(question.scoped, question.number, message.reply)
        after = self._put(world, index, registry)
        return self._apply(after, question.asker, question.scoped, effect)

    def _time_out_questions(self, world: World) -> Iterator[tuple[str, World]]:
        for index, entry in enumerate(world.entries):
            for scoped, record in entry.records:
                if record.phase is not Phase.ASKING:
                    continue
                registry = _registry(entry)
                effect = registry.resolve(scoped, record.question, None)
                after = self._put(world, index, registry)
                yield "time out", self._apply(after, entry.process, scoped, effect)

    def _run_and_end(self, world: World) -> Iterator[tuple[str, World]]:
        for item in world.dispatched:
            process, scoped = item
            number = self._keys.index(scoped)
            runs = _replace_item(world.runs, number, min(2, world.runs[number] + 1))
            waiting = frozenset(
                (owner, key, True) if (owner, key) == item else (owner, key, ran)
                for owner, key, ran in world.waiting
            )
            after = replace(world, dispatched=world.dispatched - {item}, runs=runs, waiting=waiting)
            yield f"run {number}", after
            yield f"refuse {number}", self._end_refused(world, process, scoped)
        for process, scoped, ran in world.waiting:
            answer = Answer(200, (), scoped.key.encode())
            if ran:
                yield "answer", self._end(world, process, scoped, Ran(200, "u"), answer)
            lost = Unknown(UnknownReason.CONNECTION_LOST)
            yield "lose the answer", self._end(world, process, scoped, lost, None)

    def _end_refused(self, world: World, process: str, scoped: ScopedKey) -> World:
        after = replace(world, dispatched=world.dispatched - {(process, scoped)})
        if (process, scoped, False) not in world.waiting:
            return after
        outcome = NotRun(RefusalReason.UPSTREAM_REFUSED)
        return self._end(after, process, scoped, outcome, None)

    def _end(
        self,
        world: World,
        process: str,
        scoped: ScopedKey,
        outcome: Outcome,
        answer: Answer | None,
    ) -> World:
        waiting = frozenset(item for item in world.waiting if item[:2] != (process, scoped))
        after = replace(world, waiting=waiting)
        index = _entry_index(world, process)
        if index is None:
            return after
        registry = _registry(world.entries[index])
        registry.complete(scoped, outcome, answer)
        return self._reply_to_caller(self._put(after, index, registry), scoped, outcome, answer)

    def _crash(self, world: World) -> Iterator[tuple[str, World]]:
        if world.crashes >= self._crashes:
            return
        for index, entry in enumerate(world.entries):
            restarted = EntryState(f"{entry.process}'", 0, frozenset())
            waiting = frozenset(item for item in world.waiting if item[0] != entry.process)
            yield f"crash {entry.process}", replace(
                world,
                entries=_replace_item(world.entries, index, restarted),
                waiting=waiting,
                crashes=world.crashes + 1,
            )

    def _advance_epochs(self, world: World) -> Iterator[tuple[str, World]]:
        slowest = min(entry.epoch for entry in world.entries)
        for index, entry in enumerate(world.entries):
            # Monotonic clocks run at the same rate, so epochs differ by at most one.
            if entry.epoch >= LATEST_EPOCH or entry.epoch > slowest:
                continue
            registry = _registry(entry)
            registry.advance_epoch(entry.epoch + 1)
            yield f"epoch of {entry.process}", self._put(world, index, registry)

    def _put(self, world: World, index: int, registry: KeyRegistry) -> World:
        records = frozenset(registry.record_by_key.items())
        entry = EntryState(registry.process, registry.epoch, records, registry.questions)
        return replace(world, entries=_replace_item(world.entries, index, entry))


def _registry(entry: EntryState) -> KeyRegistry:
    registry = KeyRegistry(entry.process)
    registry.epoch = entry.epoch
    registry.record_by_key = dict(entry.records)
    registry.questions = entry.questions
    return registry


def _entry_index(world: World, process: str) -> int | None:
    for index, entry in enumerate(world.entries):
        if entry.process == process:
            return index
    return None


def _replace_item(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])
