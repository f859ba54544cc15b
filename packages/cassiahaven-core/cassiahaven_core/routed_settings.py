"""Settings of an entry that learns its routes and endpoints from a fleet's store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """Name a host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class RoutedSettings:
    """Hold the checked settings of the process.

    Attributes:
        region_by_zone: Every availability zone with its region.
        cores: Processor time a second that the VM gives this process.
        callers: Where calls are taken.
        readiness: Where the platform asks whether this entry is ready.
        directory: Where callers ask which addresses to use.
        peers: Where other entries connect.
        address_lifetime_ms: How long callers may keep an answer of the directory.
        retry_share: Retries allowed in the fleet for each call of a window.
        retry_slack: Retries allowed in the fleet beside them.
        retry_window_ms: Length of the window.
        stop_ms: Time from SIGTERM until the process is killed.
        probes_per_s: Probes that an endpoint may get a second.
        metrics_port: Port of the metrics.
    """

    name: str
    availability_zone: str
    region_by_zone: dict[str, str]
    cores: float
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
