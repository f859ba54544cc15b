"""Messages between entry processes and their CBOR form."""

from dataclasses import dataclass, field, fields
from hashlib import blake2b
from typing import Any, TypeAlias

import cbor2

from cassiahaven_core.answer import Answer
from cassiahaven_core.idempotency import Busy, Granted, GrantedElsewhere, PeerReply, Replay
from cassiahaven_core.outcome import NotRun, Outcome, Ran, Unknown
from cassiahaven_core.reason import RefusalReason, UnknownReason
from cassiahaven_core.steering import EntryAddress
from cassiahaven_core.table import Row
from cassiahaven_core.table_codec import row_from_plain, row_to_plain

DIGEST_BYTES = 8


class MalformedMessage(Exception):
    """Report bytes that are no message of this protocol."""


@dataclass(frozen=True, slots=True)
class Introduction:
    """Tell subscribers who the sender is; sent on connection and when that changes."""

    entry: EntryAddress


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tell subscribers that the sender lives.

    Attributes:
        digest: Digest of the sender's table revisions, see ``revision_digest``.
        revision_by_service: Revisions that changed since the last heartbeat, or all of them.
        demand_by_service: Calls a second.
    """

    digest: bytes
    revision_by_service: dict[str, int]
    demand_by_service: dict[str, float]


@dataclass(frozen=True, slots=True)
class RevisionsRequest:
    """Ask for a heartbeat with all revisions."""


@dataclass(frozen=True, slots=True)
class TableRequest:
    """Ask the sender of a heartbeat for its rows of a service."""

    service: str


@dataclass(frozen=True, slots=True)
class TableRows:
    """Carry the rows of a service that changed since a revision, 0 for all rows."""

    service: str
    revision: int
    row_by_name: dict[str, Row]
    base_revision: int = 0


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """Tell that an incarnation of an endpoint is leaving."""

    service: str
    endpoint: str
    incarnation: str
    reason: str


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Tell that a request seems to have crashed an incarnation of an endpoint.

    Attributes:
        is_retracted: Whether the endpoint turned out to live after all.
    """

    fingerprint: str
    incarnation: str
    is_retracted: bool = False


@dataclass(frozen=True, slots=True)
class KeyQuestion:
    """Ask the holder of an idempotency key for its outcome or the right to run it."""

    question: int
    process: str
    partner: str
    service: str
    key: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class KeyReply:
    """Carry the reply to a question."""

    question: int
    reply: PeerReply


@dataclass(frozen=True, slots=True)
class ExplanationHandover:
    """Carry explanations of an entry that stops, as mappings."""

    explanations: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Tell a watcher that the sender lives; sent by each of its subscribers.

    Attributes:
        version_by_topic: What the sender has, empty if that is as in its last report.
    """

    name: str
    is_draining: bool
    version_by_topic: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WatcherReport:
    """Tell subscribers who lives and which state of the fleet the sender has.

    Attributes:
        live: Entries that report to the sender, itself included.
        draining: Those of them that are stopping.
        store_age_ms: Time since the store's last answer.
        version_by_topic: Version of each topic that the sender has.
    """

    live: list[str]
    draining: list[str]
    store_age_ms: float
    version_by_topic: dict[str, int]


@dataclass(frozen=True, slots=True)
class WatcherPulse:
    """Tell subscribers that nothing changed since the last report but the store's age."""

    store_age_ms: float


@dataclass(frozen=True, slots=True)
class StateRequest:
    """Ask a watcher for a topic.

    Attributes:
        topic: Name of the topic.
        revision: What the sender has; changes since then are enough. 0 asks for all.
    """

    topic: str
    revision: int


@dataclass(frozen=True, slots=True)
class StateNews:
    """Carry the entries of a topic that changed, as plain lists; ``None`` for one that is gone.

    Attributes:
        is_whole: Whether these are all entries of the topic.
    """

    topic: str
    revision: int
    is_whole: bool
    plain_by_name: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Encoded:
    """Hold a message that was encoded once for many receivers.

    Attributes:
        kind: Name of the message's class.
    """

    kind: str
    data: bytes


PeerMessage: TypeAlias = (
    Introduction
    | Heartbeat
    | RevisionsRequest
    | TableRequest
    | TableRows
    | DrainNotice
    | CrashNotice
    | KeyQuestion
    | KeyReply
    | ExplanationHandover
    | MemberReport
    | WatcherReport
    | WatcherPulse
    | StateRequest
    | StateNews
)
_CLASS_BY_TAG: dict[str, type] = {
    item.__name__: item
    for item in (
        Introduction,
        Heartbeat,
        RevisionsRequest,
        TableRequest,
        TableRows,
        DrainNotice,
        CrashNotice,
        KeyQuestion,
        KeyReply,
        ExplanationHandover,
        MemberReport,
        WatcherReport,
        WatcherPulse,
        StateRequest,
        StateNews,
    )
}


def revision_digest(revision_by_service: dict[str, int]) -> bytes:
    """Return a short digest that differs, practically always, for different revisions."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for service, revision in sorted(revision_by_service.items()):
        if revision:
            digest.update(f"{service}={revision}\n".encode())
    return digest.digest()


def encode(message: PeerMessage) -> bytes:
    """Return ``message`` as a CBOR array: its class and its fields in order."""
    values = [getattr(message, item.name) for item in fields(message)]
    match message:
        case Introduction(entry=entry):
            values = [getattr(entry, item.name) for item in fields(entry)]
        case TableRows(row_by_name=rows):
            values[2] = {name: row_to_plain(row) for name, row in rows.items()}
        case KeyReply(reply=reply):
            values[1] = _reply_to_plain(reply)
    return cbor2.dumps([type(message).__name__, *values])


def encode_once(message: PeerMessage) -> Encoded:
    """Return ``message`` in the form that need not be worked out for each receiver."""
    return Encoded(type(message).__name__, encode(message))


def decode(data: bytes) -> PeerMessage:
    """Return the message in ``data``.

    Raises:
        MalformedMessage: The bytes are not CBOR or no known message.
    """
    try:
        tag, *values = cbor2.loads(data)
        match tag:
            case "Introduction":
                values = [EntryAddress(*values)]
            case "TableRows":
                values[2] = {name: row_from_plain(row) for name, row in values[2].items()}
            case "KeyReply":
                values[1] = _reply_from_plain(values[1])
        return _CLASS_BY_TAG[tag](*values)
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        LookupError,
        AttributeError,
    ) as error:
        raise MalformedMessage(f"{type(error).__name__}: {error}") from None


def outcome_to_plain(outcome: Outcome) -> list[Any]:
    """Return ``outcome`` as a list that starts with its kind."""
    match outcome:
        case Ran(status=status, endpoint=endpoint):
            return ["ran", status, endpoint]
        case NotRun(reason=reason):
            return ["not-run", reason.value]
        case Unknown(reason=reason):
            return ["unknown", reason.value]


def outcome_from_plain(plain: list[Any]) -> Outcome:
    """Return the outcome that ``plain`` stands for."""
    match plain:
        case ["ran", status, endpoint]:
            return Ran(status, endpoint)
        case ["not-run", reason]:
            return NotRun(RefusalReason(reason))
        case ["unknown", reason]:
            return Unknown(UnknownReason(reason))
    raise ValueError("no outcome")


def _reply_to_plain(reply: PeerReply) -> list[Any]:
    match reply:
        case Granted():
            return ["granted"]
        case Busy():
            return ["busy"]
        case GrantedElsewhere(process=process):
            return ["granted-elsewhere", process]
        case Replay(outcome=outcome, answer=answer):
            kept = answer.to_plain() if answer is not None else None
            return ["replay", outcome_to_plain(outcome), kept]


def _reply_from_plain(plain: list[Any]) -> PeerReply:
    match plain:
        case ["granted"]:
            return Granted()
        case ["busy"]:
            return Busy()
        case ["granted-elsewhere", process]:
            return GrantedElsewhere(process)
        case ["replay", outcome, kept]:
            answer = Answer.from_plain(kept) if kept is not None else None
            return Replay(outcome_from_plain(outcome), answer)
    raise ValueError("no reply")
