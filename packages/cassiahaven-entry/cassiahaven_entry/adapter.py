"""What an adapter to a platform provides; everything else is the product's own."""

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
            InvalidDocument: The settings have faults; all of them are reported together.
        """

    @abstractmethod
    def settings_changed(self) -> bool:
        """Tell whether the settings changed since they were read last."""

    @abstractmethod
    def make_store(self, settings: RoutedSettings, metrics: Metrics) -> FleetStore:
        """Return the way to the fleet's store."""

    @abstractmethod
    def make_caller_dialect(self, routing: RoutingTable) -> CallerDialect:
        """Return the protocol of the callers."""

    @abstractmethod
    def make_upstream_dialect(self) -> UpstreamDialect:
        """Return the protocol of the upstreams."""

    @abstractmethod
    def answer_readiness(self, environ: Environ, is_ready: bool) -> CallResponse:
        """Return the answer to the platform's question whether this entry is ready."""

    @abstractmethod
    def answer_directory(
        self,
        environ: Environ,
        carriers: Callable[[str, str], list[Member]],
        lifetime_ms: float,
    ) -> CallResponse:
        """Return the answer to a caller's question which addresses to use.

        Args:
            environ: The question.
            carriers: Returns the entries that callers in an availability zone use for a host.
            lifetime_ms: How long the answer may be kept.
        """
