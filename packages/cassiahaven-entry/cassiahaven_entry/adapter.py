"""Interface of a platform adapter, which contains all code specific to a platform."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from cassiahaven_core.edge import CallResponse, FleetStore, UpstreamDialect
from cassiahaven_core.membership import Member
from cassiahaven_core.route import RoutingTable
from cassiahaven_core.routed_settings import RoutedSettings
from cassiahaven_entry.caller_dialect import CallerDialect, Environ
from cassiahaven_entry.metrics import Metrics


class PlatformAdapter(ABC):
    """Translate between a platform's protocols and the entry's own types."""

    @abstractmethod
    def read_settings(self) -> RoutedSettings:
        """Read and check the settings that the platform provides.

        Raises:
            InvalidDocument: The settings are invalid; all faults are reported together.
        """

    @abstractmethod
    def settings_changed(self) -> bool:
        """Return whether the settings changed since they were last read."""

    @abstractmethod
    def make_store(self, settings: RoutedSettings, metrics: Metrics) -> FleetStore:
        """Return a client of the fleet's store."""

    @abstractmethod
    def make_caller_dialect(self, routing: RoutingTable) -> CallerDialect:
        """Return the protocol of the callers."""

    @abstractmethod
    def make_upstream_dialect(self) -> UpstreamDialect:
        """Return the protocol of the upstreams."""

    @abstractmethod
    def answer_readiness(self, environ: Environ, is_ready: bool) -> CallResponse:
        """Return the response to the platform's readiness check."""

    @abstractmethod
    def answer_directory(
        self,
        environ: Environ,
        serving_entries: Callable[[str, str], list[Member]],
        lifetime_ms: float,
    ) -> CallResponse:
        """Return the response to a caller's address lookup.

        Args:
            environ: The request.
            serving_entries: Returns the entries that callers in an availability zone use for a
                host.
            lifetime_ms: How long the response may be cached.
        """
