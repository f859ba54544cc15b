"""Abstract interfaces to the systems outside: stores, VM list, upstreams and callers."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from cassiahaven_core.answer_record import AnswerRecord
from cassiahaven_core.endpoint import CallResult, LoadReport, ProbeFailed
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.evacuation import Evacuation
from cassiahaven_core.membership import Member
from cassiahaven_core.registry import Registration
from cassiahaven_core.request_memory import Body
from cassiahaven_core.route import GatewayConfig
from cassiahaven_core.store_version import StoreVersion
from cassiahaven_core.table import ServiceTable


class StoreUnavailable(Exception):
    """The store did not answer; a write may nevertheless have taken effect."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """A value of the object store with its version."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class WatchResult:
    """The objects that changed up to ``revision`` of the store."""

    revision: int
    objects: list[StoredObject]


class VersionedStore(ABC):
    """A key-value store with compare-and-set writes.

    Attributes:
        era: Number of times that the store was restored from a copy, as of its last answer.
    """

    era: int = 0

    @abstractmethod
    def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``, or ``None``.

        Raises:
            StoreUnavailable: The store gave no answer.
        """

    @abstractmethod
    def put(self, key: str, value: bytes, *, version: int) -> int | None:
        """Write ``value`` if the object is at ``version``; 0 means that it must not exist.

        Returns:
            The new version, or ``None`` if the object is at another version.

        Raises:
            StoreUnavailable: The store gave no answer.
        """


class ObjectStore(VersionedStore):
    """The platform's object store."""

    @abstractmethod
    def watch(self, prefix: str, *, revision: int, wait_ms: int) -> WatchResult:
        """Long-poll for objects below ``prefix`` that changed after ``revision``.

        Raises:
            StoreUnavailable: The store gave no answer.
        """


class Topic(Enum):
    """A kind of data that a fleet keeps in its store."""

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    MEMBERS = "members"
    EVACUATIONS = "evacuations"
    TABLES = "tables"


FleetItem: TypeAlias = GatewayConfig | Registration | Member | ServiceTable | Evacuation


@dataclass(frozen=True, slots=True)
class FleetChange:
    """A changed item of a topic.

    Attributes:
        item: New value, ``None`` if it was deleted or cannot be read.
        finding: Why the item cannot be read, empty if it can.
        revision: Revision of the store that wrote the item, 0 if it is not known.
    """

    name: str
    item: FleetItem | None
    finding: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class FleetChanges:
    """The items of a topic that changed up to ``revision`` of the store.

    Attributes:
        is_whole: Whether this is a snapshot with all items of the topic.
        era: Era of the store to which the revision belongs.
    """

    revision: int
    changes: list[FleetChange]
    is_whole: bool
    era: int = 0

    @property
    def version(self) -> StoreVersion:
        """Return the version of the store up to which the items changed."""
        return StoreVersion(self.era, self.revision)


class HistoryGone(Exception):
    """The store no longer has all changes since the requested revision."""


class WatchUnanswered(Exception):
    """A watch was not answered in time; its answer may be lost although the store is available."""


class FleetStore(VersionedStore):
    """The store of a fleet's configuration, endpoints, members, tables and evacuations."""

    @abstractmethod
    def read(self, topic: Topic) -> FleetChanges:
        """Return a snapshot of a topic, exactly as it is at the snapshot's revision.

        Raises:
            StoreUnavailable: The store gave no answer.
            HistoryGone: The topic changed while it was read; it must be read again.
        """

    @abstractmethod
    def watch(self, topic: Topic, *, revision: int, wait_ms: int) -> FleetChanges:
        """Long-poll for changes after ``revision``.

        Raises:
            StoreUnavailable: The store could not be reached, or its answer cannot be read.
            WatchUnanswered: The wait is long over, and no answer has arrived.
            HistoryGone: Changes are missing; the whole topic must be read again.
        """

    @abstractmethod
    def register(self, member: Member) -> None:
        """Write a member, replacing any other under its name.

        Raises:
            StoreUnavailable: The store gave no answer.
        """

    @abstractmethod
    def check(self) -> None:
        """Send the cheapest possible request to check that the store answers.

        Raises:
            StoreUnavailable: The store gave no answer.
        """


class VmRole(Enum):
    """The role of a VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM in the platform's list.

    Attributes:
        incarnation: Changes with each start.
        service: Service of an upstream, empty for an entry.
        port: Port for calls of an upstream, for peers of an entry.
        slots: Calls that an upstream runs concurrently.
        leaving: Whether the endpoint on the VM is to be drained.
    """

    name: str
    role: VmRole
    incarnation: str
    availability_zone: str
    host: str
    port: int
    service: str = ""
    slots: int = 1
    leaving: bool = False


class VmListUnavailable(Exception):
    """The VM list did not answer."""


class VmList(ABC):
    """The platform's list of VMs, which lags behind the actual state."""

    @abstractmethod
    def fetch(self) -> list[Vm]:
        """Return the listed VMs.

        Raises:
            VmListUnavailable: The list gave no answer.
        """


@dataclass(frozen=True, slots=True)
class ResponseSignals:
    """Signals to the load balancer in the status and headers of an upstream's response.

    Attributes:
        load: Load of the endpoint, ``None`` if not reported.
        draining: Whether the endpoint that answered leaves and wants no new calls.
        not_run: Whether the endpoint states that it did not run the call.
        is_misdirected: Whether another endpoint answered at this address.
        is_genuine: Whether the response is the endpoint's own and belongs to this call.
        request_id: Id of the request that the response names, ``None`` if it names none.
        rate_limit_per_s: Calls a second that the endpoint takes from all entries together, infinite
            if it names no limit, ``None`` if the response does not tell.
        unreadable_rate_limit: Text of a rate limit that cannot be read, ``None`` otherwise.
        instance: Name of the endpoint that answered, ``None`` if the response does not tell.
        closed_for_ms: Time for which it wants no requests, ``None`` if it does not say.
        unreadable_closure: Text of such a time that cannot be read, ``None`` otherwise.
        cold_ms: Remaining time for which the endpoint is cold, ``None`` if it does not say.
    """

    load: LoadReport | None = None
    draining: bool = False
    not_run: bool = False
    is_misdirected: bool = False
    is_genuine: bool = True
    request_id: str | None = None
    rate_limit_per_s: float | None = None
    unreadable_rate_limit: str | None = None
    instance: str | None = None
    closed_for_ms: float | None = None
    unreadable_closure: str | None = None
    cold_ms: float | None = None


class UpstreamDialect(ABC):
    """The header conventions between the load balancer and its upstreams.

    Attributes:
        accepts_unframed: Whether a response without a length may be delimited by connection close.
    """

    accepts_unframed: bool = False

    @abstractmethod
    def request_headers(
        self, request: "CallRequest", call_id: str, partner: str, endpoint: str, left_ms: float
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers to send to an upstream with a call."""

    def account_headers(
        self, headers: tuple[tuple[str, str], ...], account: str
    ) -> tuple[tuple[str, str], ...]:
        """Return a caller's headers without its key and with the name of its account.

        Args:
            headers: Headers as the caller sent them.
            account: Name of the client account, empty for an anonymous call.
        """
        return headers

    @abstractmethod
    def read_head(
        self, status: int, headers: dict[str, str], request_id: str | None
    ) -> ResponseSignals:
        """Read the signals in a response's status and headers; header names are in lower case."""

    @abstractmethod
    def read_health(
        self, status: int, headers: dict[str, str], endpoint: str
    ) -> LoadReport | ProbeFailed:
        """Read the load from a response of the health path."""


class UpstreamProbe(ABC):
    """Active health check of an upstream, which takes some of its time."""

    @abstractmethod
    def probe(self, address: EndpointAddress) -> bool:
        """Return whether the endpoint reports that it is healthy; send at most one request."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A call as sent to an upstream."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: Body
    idempotent: bool
    request_id: str | None = None


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """An upstream's response, whose body is streamed.

    Attributes:
        signal: Signals to the load balancer in the status and headers.
        body: Chunks of the body, exhausted at its end; raises ``TransferBroken`` if cut short.
        close: Closes the connection, even in the middle of the body.
        record: How the answer was read so far; updated while the body is read.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]
    close: Callable[[], None]
    signal: ResponseSignals = ResponseSignals()
    record: AnswerRecord = field(default_factory=AnswerRecord)


@dataclass(frozen=True, slots=True)
class SendFailed:
    """A failed attempt to send a call; only two of the results mean that it was not run."""

    result: CallResult
    detail: str
    signal: ResponseSignals = ResponseSignals()
    record: AnswerRecord = field(default_factory=AnswerRecord)


SendResult: TypeAlias = UpstreamAnswer | SendFailed


class TransferBroken(Exception):
    """The body of a response ended early."""


class UpstreamTransport(ABC):
    """The connections over which calls are sent to upstreams."""

    @abstractmethod
    def send(
        self,
        address: EndpointAddress,
        request: UpstreamRequest,
        timeout_ms: float,
        *,
        patience_ms: float | None = None,
    ) -> SendResult:
        """Send ``request`` once, without retries, and return once the response headers arrive.

        Args:
            address: The endpoint.
            request: The call.
            timeout_ms: Time until the end of the response.
            patience_ms: Time until the response headers, after which the call counts as unanswered.
        """

    def probe(
        self, address: EndpointAddress, path: str, timeout_ms: float
    ) -> LoadReport | ProbeFailed:
        """Return an endpoint's load as reported at its health path."""
        return ProbeFailed("this transport does not probe")

    def is_down(self, address: EndpointAddress) -> bool:
        """Return whether nothing listens at the address; called after a connection was lost."""
        return False


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A call as its caller sent it.

    Attributes:
        service: Name of the service.
        token: Bearer token, ``None`` without one.
        key: Idempotency key, ``None`` without one.
        timeout_ms: Time that the caller waits, ``None`` if not stated.
        host: Host that the caller addressed; together with the path it selects a route.
        request_id: The caller's own ID of the call, ``None`` without one.
        arrived_ms: When the call was read.
        await_turn: Blocks until all earlier calls of the caller's connection are answered.
    """

    service: str
    method: str
    target: str
    # Left out of the text form, which may be logged: both can hold the caller's credentials.
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: Body
    token: str | None = field(repr=False)
    key: str | None
    timeout_ms: float | None
    host: str = ""
    request_id: str | None = None
    arrived_ms: float = field(kw_only=True)
    await_turn: Callable[[], None] = lambda: None


@dataclass(frozen=True, slots=True)
class CallResponse:
    """The response to a caller.

    Attributes:
        body: Chunks of the body; raises ``TransferBroken`` if the upstream's response broke off.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]


class CallerFrontend(ABC):
    """Accepts calls from callers and passes them to a handler."""

    @abstractmethod
    def serve(self, handler: Callable[[CallRequest], CallResponse]) -> None:
        """Serve until ``stop`` is called."""

    @abstractmethod
    def stop(self) -> None:
        """Accept no new connections and let in-flight calls finish."""
