"""Interfaces of everything outside the system."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from cassiahaven_core.membership import Member
from cassiahaven_core.pool import CallResult, EndpointAddress, LoadReport, ProbeFailed
from cassiahaven_core.registry import Registration
from cassiahaven_core.route import GatewayConfig
from cassiahaven_core.table import ServiceTable


class StoreUnavailable(Exception):
    """Report that the store gave no answer; a write may have taken effect all the same."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold a value of the object store with its version."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class WatchResult:
    """Hold the objects that changed up to ``revision`` of the store."""

    revision: int
    objects: list[StoredObject]


class VersionedStore(ABC):
    """Reach objects that are written only if nobody else changed them."""

    @abstractmethod
    def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``, or ``None``.

        Raises:
            StoreUnavailable: The store gave no answer.
        """

    @abstractmethod
    def put(self, key: str, value: bytes, *, version: int) -> int | None:
        """Write ``value`` if the object stands at ``version``; 0 means that there is none.

        Returns:
            The new version, or ``None`` if the object stands at another version.

        Raises:
            StoreUnavailable: The store gave no answer.
        """


class ObjectStore(VersionedStore):
    """Reach the platform's object store."""

    @abstractmethod
    def watch(self, prefix: str, *, revision: int, wait_ms: int) -> WatchResult:
        """Wait for objects below ``prefix`` that changed after ``revision``.

        Raises:
            StoreUnavailable: The store gave no answer.
        """


class Topic(Enum):
    """Name what a fleet keeps in its store."""

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    MEMBERS = "members"
    TABLES = "tables"


FleetItem: TypeAlias = GatewayConfig | Registration | Member | ServiceTable


@dataclass(frozen=True, slots=True)
class FleetChange:
    """Hold one entry of a topic, ``None`` where it is gone or cannot be read.

    Attributes:
        finding: Why an entry cannot be read, empty for one that can.
    """

    name: str
    item: FleetItem | None
    finding: str = ""


@dataclass(frozen=True, slots=True)
class FleetChanges:
    """Hold what changed in a topic up to ``revision`` of the store.

    Attributes:
        is_whole: Whether these are all entries of the topic.
    """

    revision: int
    changes: list[FleetChange]
    is_whole: bool


class HistoryGone(Exception):
    """Report that the store no longer knows what changed since a revision."""


class FleetStore(VersionedStore):
    """Reach the store that holds a fleet's configuration, endpoints, members and tables."""

    @abstractmethod
    def read(self, topic: Topic) -> FleetChanges:
        """Return all entries of a topic.

        Raises:
            StoreUnavailable: The store gave no answer.
        """

    @abstractmethod
    def watch(self, topic: Topic, *, revision: int, wait_ms: int) -> FleetChanges:
        """Wait for changes after ``revision``.

        Raises:
            StoreUnavailable: The store gave no answer.
            HistoryGone: The whole topic must be read again.
        """

    @abstractmethod
    def register(self, member: Member) -> None:
        """Put a member in place of what stands under its name.

        Raises:
            StoreUnavailable: The store gave no answer.
        """

    @abstractmethod
    def check(self) -> None:
        """Ask the store for as little as possible.

        Raises:
            StoreUnavailable: The store gave no answer.
        """


class VmRole(Enum):
    """Tell what a VM runs."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


@dataclass(frozen=True, slots=True)
class Vm:
    """Describe a VM as the platform lists it.

    Attributes:
        incarnation: Changes with each start.
        service: Service of an upstream, empty for an entry.
        port: Port for calls of an upstream, for peers of an entry.
        slots: Calls that an upstream runs at a time.
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
    """Report that the VM list gave no answer."""


class VmList(ABC):
    """Reach the platform's list of VMs, which lags."""

    @abstractmethod
    def fetch(self) -> list[Vm]:
        """Return the listed VMs.

        Raises:
            VmListUnavailable: The list gave no answer.
        """


@dataclass(frozen=True, slots=True)
class UpstreamSignal:
    """Hold what an answer's head says, beside the answer itself.

    Attributes:
        load: Load of the endpoint, ``None`` if it does not say.
        draining: Whether the endpoint asks for no new work.
        not_run: Whether it states that it did not run the call.
        other_incarnation: Whether another endpoint answers at this address.
        is_genuine: Whether this is the endpoint's answer to this very call.
    """

    load: LoadReport | None = None
    draining: bool = False
    not_run: bool = False
    other_incarnation: bool = False
    is_genuine: bool = True


class UpstreamDialect(ABC):
    """Speak with upstreams: what a call carries beside itself, and what an answer says.

    Attributes:
        accepts_unframed: Whether an answer without a length may end with its connection.
    """

    accepts_unframed: bool = False

    @abstractmethod
    def request_headers(
        self, request: "CallRequest", call_id: str, partner: str, endpoint: str, left_ms: float
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers that go to an upstream with a call."""

    @abstractmethod
    def read_head(
        self, status: int, headers: dict[str, str], request_id: str | None
    ) -> UpstreamSignal:
        """Return what the head of an answer says; header names are in lower case."""

    @abstractmethod
    def read_health(
        self, status: int, headers: dict[str, str], endpoint: str
    ) -> LoadReport | ProbeFailed:
        """Return what an answer of the health path says."""


class UpstreamProbe(ABC):
    """Measure an upstream actively, which costs it time."""

    @abstractmethod
    def probe(self, address: EndpointAddress) -> bool:
        """Tell whether the endpoint says that it is healthy; send one request at the most."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """Hold a call as it goes to an upstream."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    request_id: str | None = None


@dataclass(frozen=True, slots=True)
class UpstreamAnswer:
    """Hold an answer's head and its body, which raises if the transfer breaks.

    Attributes:
        signal: What the head says beside the answer.
        body: Parts of the body, empty once read to its end.
        close: Gives the connection up, wherever the body stands.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]
    close: Callable[[], None]
    signal: UpstreamSignal = UpstreamSignal()


@dataclass(frozen=True, slots=True)
class SendFailed:
    """Tell how sending a call failed; only two of the results mean that it was not run."""

    result: CallResult
    detail: str
    signal: UpstreamSignal = UpstreamSignal()


SendResult: TypeAlias = UpstreamAnswer | SendFailed


class TransferBroken(Exception):
    """Report that the body of an answer ended early."""


class UpstreamTransport(ABC):
    """Carry calls to upstreams."""

    @abstractmethod
    def send(
        self, address: EndpointAddress, request: UpstreamRequest, timeout_ms: float
    ) -> SendResult:
        """Send ``request`` once, without retries, and return the head of its answer."""

    def probe(
        self, address: EndpointAddress, path: str, timeout_ms: float
    ) -> LoadReport | ProbeFailed:
        """Return an endpoint's load by its health path."""
        return ProbeFailed("this transport does not probe")

    def is_down(self, address: EndpointAddress) -> bool:
        """Tell whether nothing listens at the address; asked after a connection was lost."""
        return False


@dataclass(frozen=True, slots=True)
class CallRequest:
    """Hold a call as a caller sent it.

    Attributes:
        service: Name of the service.
        token: Bearer token, ``None`` without one.
        key: Idempotency key, ``None`` without one.
        timeout_ms: Time that the caller waits, ``None`` if it does not say.
        host: Host that the caller addressed; together with the path it selects a route.
        request_id: The caller's own name for the call, ``None`` without one.
    """

    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    token: str | None
    key: str | None
    timeout_ms: float | None
    host: str = ""
    request_id: str | None = None


@dataclass(frozen=True, slots=True)
class CallResponse:
    """Hold what a caller gets.

    Attributes:
        body: Parts of the body; it raises ``TransferBroken`` where the upstream's answer broke.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterator[bytes]


class CallerFrontend(ABC):
    """Take calls from callers and pass them to a handler."""

    @abstractmethod
    def serve(self, handler: Callable[[CallRequest], CallResponse]) -> None:
        """Serve until ``stop`` is called."""

    @abstractmethod
    def stop(self) -> None:
        """Take no new connections and let calls in flight finish."""
