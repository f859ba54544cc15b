"""Messages between entry processes and their CBOR encoding."""

import zlib
from dataclasses import dataclass, field, fields
from hashlib import blake2b
from typing import Any, TypeAlias

import cbor2

from cassiahaven_core.answer import Answer
from cassiahaven_core.idempotency import Busy, Granted, GrantedElsewhere, PeerReply, Replay
from cassiahaven_core.outcome import NotRun, Outcome, Ran, Unknown
from cassiahaven_core.reason import RefusalReason, UnknownReason
from cassiahaven_core.steering import EntryAddress
from cassiahaven_core.store_version import StoreVersion
from cassiahaven_core.table import Row
from cassiahaven_core.table_codec import row_from_plain, row_to_plain
from cassiahaven_core.usage_cap import Claim, Claims

DIGEST_BYTES = 8
# Lists of registrations and names shrink to a fifth; heartbeats and small changes would not.
LEAST_COMPRESSED_BYTES = 512
COMPRESSION_LEVEL = 1  # a state of 22 kB takes 0.2 ms, and is encoded once for all subscribers
COMPRESSED_MARK = b"\x00"  # no message starts with it, as each is an array
LARGEST_DECOMPRESSED_BYTES = 64 * 1024 * 1024


class MalformedMessage(Exception):
    """The bytes are not a message of this protocol."""


@dataclass(frozen=True, slots=True)
class Introduction:
    """Identifies the sender to subscribers; sent on connection and whenever ``entry`` changes."""

    entry: EntryAddress


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells subscribers that the sender is alive, with its table revisions and demand.

    Attributes:
        digest: Digest of the sender's table revisions, see ``revision_digest``.
        revision_by_service: Revisions that changed since the last heartbeat, or all of them.
        demand_by_service: Calls per second.
    """

    digest: bytes
    revision_by_service: dict[str, int]
    demand_by_service: dict[str, float]


@dataclass(frozen=True, slots=True)
class RevisionsRequest:
    """Requests a heartbeat with all revisions."""


@dataclass(frozen=True, slots=True)
class TableRequest:
    """Requests a service's rows from the sender of a heartbeat."""

    service: str


@dataclass(frozen=True, slots=True)
class TableRows:
    """The rows of a service that changed since ``base_revision``, 0 for all rows.

    Attributes:
        era: Era of the store from which the rows are.
    """

    service: str
    revision: int
    row_by_name: dict[str, Row]
    base_revision: int = 0
    era: int = 0


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """Announces that an incarnation of an endpoint is leaving service."""

    service: str
    endpoint: str
    incarnation: str
    reason: str


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Reports a request that seems to have crashed an incarnation of an endpoint.

    Attributes:
        is_retracted: Whether an earlier notice is withdrawn, as the endpoint is alive after all.
    """

    fingerprint: str
    incarnation: str
    is_retracted: bool = False


@dataclass(frozen=True, slots=True)
class RateLimitNotice:
    """Tells that an incarnation of an endpoint names another rate limit.

    Attributes:
        limit_per_s: Calls a second from all entries together, ``None`` if it names none any more.
    """

    service: str
    endpoint: str
    incarnation: str
    limit_per_s: float | None


@dataclass(frozen=True, slots=True)
class RateLimitNotices:
    """The rate limits of one or more endpoints."""

    notices: list[RateLimitNotice]


@dataclass(frozen=True, slots=True)
class UsageClaims:
    """Claims of one or more processes on the usage caps of client accounts."""

    claims: list[Claims]


@dataclass(frozen=True, slots=True)
class UsageJoined:
    """Tells a process that the sender knows its claims and has sent it all others.

    Attributes:
        number: Number of the claims.
    """

    number: int


@dataclass(frozen=True, slots=True)
class UsageNews:
    """What a watcher knows of accounts besides single claims.

    Attributes:
        reached: Accounts whose calls have reached their caps.
        minor_use: Calls in the window of entries that got no share, by account.
    """

    watcher: str
    reached: list[str]
    minor_use: dict[str, int]


@dataclass(frozen=True, slots=True)
class KeyQuestion:
    """Asks the owner of an idempotency key for the call's outcome or the right to run it.

    Attributes:
        question: Number that the reply repeats.
    """

    question: int
    process: str
    partner: str
    service: str
    key: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class KeyReply:
    """The reply to a ``KeyQuestion``."""

    question: int
    reply: PeerReply


@dataclass(frozen=True, slots=True)
class ExplanationHandover:
    """Call explanations that a stopping entry hands over, as mappings."""

    explanations: list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """Tells a watcher the state of a subscriber; sent on connection and at each change.

    Attributes:
        version_by_topic: Version of each topic at the sender, empty if unchanged since its last
            report.
    """

    name: str
    is_draining: bool
    version_by_topic: dict[str, StoreVersion] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class MemberPulse:
    """Heartbeat of a subscriber: nothing changed since its last report on this connection."""


@dataclass(frozen=True, slots=True)
class WatcherReport:
    """Tells a subscriber which entries are alive and which fleet state the sender has.

    Attributes:
        live: Entries that report to the sender, itself included.
        draining: Those of them that are draining because they stop.
        store_age_ms: Time since the store's last answer.
        version_by_topic: Version of each topic that the sender has.
        sequence: Number of the last change that is included.
        starting: Live entries that have no configuration yet, so callers cannot use them.
    """

    live: list[str]
    draining: list[str]
    store_age_ms: float
    version_by_topic: dict[str, StoreVersion]
    sequence: int = 0
    starting: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class WatcherReportChange:
    """What changed in a watcher's report since the one with the number before.

    Attributes:
        version_by_topic: The versions that changed.
        starting: Further entries that have no configuration yet.
        started: Entries that have one by now, or are gone.
    """

    sequence: int
    joined: list[str]
    lost: list[str]
    started_draining: list[str]
    stopped_draining: list[str]
    store_age_ms: float
    version_by_topic: dict[str, StoreVersion]
    starting: list[str] = field(default_factory=list)
    started: list[str] = field(default_factory=list)

    @property
    def is_empty(self) -> bool:
        """Return whether nothing but the store's age changed."""
        return not (
            self.joined
            or self.lost
            or self.started_draining
            or self.stopped_draining
            or self.version_by_topic
            or self.starting
            or self.started
        )


@dataclass(frozen=True, slots=True)
class WatcherPulse:
    """Heartbeat of a watcher: nothing but the store's age changed since its last report.

    Attributes:
        sequence: Number of the last change of its report.
    """

    store_age_ms: float
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Requests a watcher's full report, as changes of it are missing."""


@dataclass(frozen=True, slots=True)
class StateRequest:
    """Requests the state of a topic from a watcher.

    Attributes:
        topic: Name of the topic.
        version: Version that the sender has; later changes suffice. 0 requests a snapshot.
        digest: Digest of the items that the sender has, 0 without any.
    """

    topic: str
    version: StoreVersion
    digest: int = 0


@dataclass(frozen=True, slots=True)
class StateNews:
    """The changed items of a topic.

    Attributes:
        is_whole: Whether this is a snapshot with all items of the topic.
        plain_by_name: Items as plain lists, ``None`` for a deleted one.
        digest: Digest of all items of the sender, 0 if there is none.
    """

    topic: str
    version: StoreVersion
    is_whole: bool
    plain_by_name: dict[str, Any]
    digest: int = 0


@dataclass(frozen=True, slots=True)
class Encoded:
    """A message encoded once for many receivers.

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
    | RateLimitNotices
    | UsageClaims
    | UsageJoined
    | UsageNews
    | KeyQuestion
    | KeyReply
    | ExplanationHandover
    | MemberReport
    | MemberPulse
    | WatcherReport
    | WatcherReportChange
    | WatcherPulse
    | ReportRequest
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
        RateLimitNotices,
        UsageClaims,
        UsageJoined,
        UsageNews,
        KeyQuestion,
        KeyReply,
        ExplanationHandover,
        MemberReport,
        MemberPulse,
        WatcherReport,
        WatcherReportChange,
        WatcherPulse,
        ReportRequest,
        StateRequest,
        StateNews,
    )
}

# Numbers in place of the names of short messages that are sent often.
_NUMBER_BY_CLASS: dict[type, int] = {
    MemberPulse: 1,
    WatcherPulse: 2,
    WatcherReportChange: 3,
    StateRequest: 4,
}
_VERSIONS_POSITION_BY_CLASS = {MemberReport: 2, WatcherReport: 3, WatcherReportChange: 6}
_CLASS_BY_NUMBER = {number: item for item, number in _NUMBER_BY_CLASS.items()}


def revision_digest(revision_by_service: dict[str, int]) -> bytes:
    """Return a short digest of the revisions; collisions are very unlikely."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for service, revision in sorted(revision_by_service.items()):
        if revision:
            digest.update(f"{service}={revision}\n".encode())
    return digest.digest()


def encode(message: PeerMessage) -> bytes:
    """Return ``message`` as a CBOR array: its class name or number, then its fields in order."""
    values = [getattr(message, item.name) for item in fields(message)]
    match message:
        case Introduction(entry=entry):
            values = [getattr(entry, item.name) for item in fields(entry)]
        case TableRows(row_by_name=rows):
            values[2] = {name: row_to_plain(row) for name, row in rows.items()}
        case RateLimitNotices(notices=notices):
            values[0] = [[getattr(item, part.name) for part in fields(item)] for item in notices]
        case UsageClaims(claims=claims):
            values[0] = [_claims_to_plain(item) for item in claims]
        case KeyReply(reply=reply):
            values[1] = _reply_to_plain(reply)
        case MemberReport(version_by_topic=versions):
            values[2] = _versions_to_plain(versions)
        case WatcherReport(version_by_topic=versions):
            values[3] = _versions_to_plain(versions)
        case StateRequest(version=version) | StateNews(version=version):
            values[1] = StoreVersion.of(version).to_plain()
        case WatcherPulse(store_age_ms=store_age_ms):
            values[0] = round(store_age_ms)  # at most 5 bytes in place of 9
        case WatcherReportChange(store_age_ms=store_age_ms, version_by_topic=versions):
            values[5] = round(store_age_ms)
            values[6] = _versions_to_plain(versions)
    kind = type(message)
    data = cbor2.dumps([_NUMBER_BY_CLASS.get(kind, kind.__name__), *values])
    if len(data) < LEAST_COMPRESSED_BYTES:
        return data
    return COMPRESSED_MARK + zlib.compress(data, COMPRESSION_LEVEL)


def encode_once(message: PeerMessage) -> Encoded:
    """Encode ``message`` once, to send the same bytes to many receivers."""
    return Encoded(type(message).__name__, encode(message))


def decode(data: bytes) -> PeerMessage:
    """Decode the message in ``data``.

    Raises:
        MalformedMessage: The bytes are not valid CBOR or not a known message.
    """
    try:
        if data.startswith(COMPRESSED_MARK):
            data = zlib.decompressobj().decompress(data[1:], LARGEST_DECOMPRESSED_BYTES)
        tag, *values = cbor2.loads(data)
        match tag:
            case "Introduction":
                values = [EntryAddress(*values)]
            case "TableRows":
                values[2] = {name: row_from_plain(row) for name, row in values[2].items()}
            case "RateLimitNotices":
                values[0] = [RateLimitNotice(*item) for item in values[0]]
            case "UsageClaims":
                values[0] = [_claims_from_plain(item) for item in values[0]]
            case "KeyReply":
                values[1] = _reply_from_plain(values[1])
        kind = _CLASS_BY_NUMBER[tag] if isinstance(tag, int) else _CLASS_BY_TAG[tag]
        position = _VERSIONS_POSITION_BY_CLASS.get(kind)
        if position is not None:
            values[position] = {
                topic: StoreVersion.of(plain) for topic, plain in values[position].items()
            }
        elif kind in (StateRequest, StateNews):
            values[1] = StoreVersion.of(values[1])
        return kind(*values)
    except (
        zlib.error,
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        LookupError,
        AttributeError,
    ) as error:
        raise MalformedMessage(f"{type(error).__name__}: {error}") from None


def _claims_to_plain(claims: Claims) -> list[Any]:
    plain = [getattr(claims, item.name) for item in fields(claims)]
    plain[-1] = {
        name: [claim.rate_per_s, claim.used] for name, claim in claims.claim_by_account.items()
    }
    return plain


def _claims_from_plain(plain: list[Any]) -> Claims:
    *values, claims = plain
    return Claims(*values, {name: Claim(*claim) for name, claim in claims.items()})


def _versions_to_plain(versions: dict[str, StoreVersion]) -> dict[str, int | list[int]]:
    return {topic: StoreVersion.of(version).to_plain() for topic, version in versions.items()}


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
    """Decode an outcome from a list."""
    match plain:
        case ["ran", status, endpoint]:
            return Ran(status, endpoint)
        case ["not-run", reason]:
            return NotRun(RefusalReason(reason))
        case ["unknown", reason]:
            return Unknown(UnknownReason(reason))
    raise ValueError("not an outcome")


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
    raise ValueError("not a reply")
