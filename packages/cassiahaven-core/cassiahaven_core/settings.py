"""Settings of an entry process."""

from dataclasses import dataclass

from cassiahaven_core.request_memory import BYTES_PER_MB, DEFAULT_PROCESS_BYTES

PUBLIC_PARTNER = "public"
DEFAULT_IDEMPOTENT_METHODS = ("GET", "HEAD")


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of the entry itself.

    Attributes:
        address_lifetime_ms: How long a caller may cache the addresses that it looked up.
        memory_mb: Memory that the process may use.
    """

    name: str
    availability_zone: str
    host: str
    caller_port: int
    operator_port: int
    peer_port: int
    address_lifetime_ms: int = 5000
    memory_mb: int = DEFAULT_PROCESS_BYTES // BYTES_PER_MB
    log_file: str | None = None


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """URLs of the platform's services."""

    store: str
    vm_list: str


@dataclass(frozen=True, slots=True)
class KeySettings:
    """Shared secrets of the peer links and of the operator API."""

    peer: str
    operator: str


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """An availability zone; ``distance_ms`` is the one-way latency to any other zone."""

    name: str
    distance_ms: float = 1.0


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings of a service.

    Attributes:
        public: Whether calls without a token are served, as partner ``public``.
        timeout_ms: Default timeout of a call that sets none.
        entry_capacity_per_s: Calls per second that one entry can handle.
        probe_cost_ms: Upstream time that one probe takes.
        connection_cost_ms: Upstream time that one new connection takes.
    """

    name: str
    idempotent_methods: tuple[str, ...] = DEFAULT_IDEMPOTENT_METHODS
    public: bool = False
    timeout_ms: int = 10_000
    largest_body_bytes: int = 1_048_576
    entry_capacity_per_s: float = 500.0
    probe_cost_ms: float = 5.0
    connection_cost_ms: float = 1.0


@dataclass(frozen=True, slots=True)
class PartnerSettings:
    """A partner and the hexadecimal SHA-256 digest of its bearer token."""

    name: str
    token_sha256: str


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an entry process."""

    cluster: str
    entry: EntrySettings
    platform: PlatformSettings
    keys: KeySettings
    zone_by_name: dict[str, ZoneSettings]
    service_by_name: dict[str, ServiceSettings]
    partner_by_digest: dict[str, PartnerSettings]

    @property
    def partner_names(self) -> set[str]:
        """Return every partner that a cell may name."""
        return {item.name for item in self.partner_by_digest.values()} | {PUBLIC_PARTNER}
