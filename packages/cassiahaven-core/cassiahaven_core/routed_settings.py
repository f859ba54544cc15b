"""Settings of an entry that reads its routes and endpoints from the fleet store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """A host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class UsageCapBounds:
    """Tolerances within which usage caps of client accounts hold over all entries.

    Attributes:
        window_ms: Length of the window in which calls are counted.
        overage: Share of the cap that may be exceeded.
        slack: Calls that may be admitted in addition.
    """

    window_ms: float
    overage: float
    slack: float


@dataclass(frozen=True, slots=True)
class RoutedSettings:
    """The validated settings of the process.

    Attributes:
        region_by_zone: Every availability zone with its region.
        cores: CPU seconds per second that the VM allots to this process.
        memory_bytes: Memory that the VM allots to this process.
        callers: Address that accepts calls.
        readiness: Address of the readiness check for the platform.
        directory: Address at which callers look up the entries to use.
        peers: Address that accepts connections of other entries.
        address_lifetime_ms: How long callers may cache an answer of the directory.
        retry_share: Retries that the fleet may make per call in the window.
        retry_slack: Retries that the fleet may make in addition to that.
        retry_window_ms: Length of the retry budget's window.
        stop_ms: Time from SIGTERM until the process is killed.
        probes_per_s: Limit of probes per second to one endpoint.
        metrics_port: Port that serves the metrics.
        usage_cap: Tolerances of usage caps, ``None`` if the deployment has none.
        cold_overage: Factor by which calls to a cold endpoint may exceed what it bears.
        cold_slack: Calls a second that a cold endpoint may get in addition.
        evacuation_ms: Time within which an evacuated zone gets no calls, ``None`` if zones are not
            evacuated.
        fails_closed: Whether calls with keys are refused while the store's view is too old.
        revocation_ms: Age of the store's view up to which keys are accepted if so.
    """

    name: str
    availability_zone: str
    region_by_zone: dict[str, str]
    cores: float
    memory_bytes: int
    callers: SocketAddress
    readiness: SocketAddress
    directory: SocketAddress
    peers: SocketAddress
    store: SocketAddress
    address_lifetime_ms: float
    retry_share: float
    retry_slack: float
    retry_window_ms: float
    stop_ms: float
    probes_per_s: float
    metrics_port: int
    usage_cap: UsageCapBounds | None = None
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    evacuation_ms: float | None = None
    fails_closed: bool = False
    revocation_ms: float = float("inf")
