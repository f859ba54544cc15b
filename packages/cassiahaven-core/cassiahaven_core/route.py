"""Routing configuration: maps hosts and paths to services."""

from collections.abc import Iterable
from copy import copy, deepcopy
from dataclasses import dataclass, field
from enum import Enum

from cassiahaven_core.account import ANONYMOUS, UNUSABLE_KEY, ClientAccount, key_digest
from cassiahaven_core.reason import RefusalReason

DEFAULT_IDLE_MS = 15_000.0  # the most common value in operators' configurations
DEFAULT_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight of one service in a route's traffic split; weights are relative."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Route for the calls under one path prefix of a host.

    Attributes:
        path_prefix: Starts and ends with a slash.
        shares: Services that share the traffic of the route.
        is_idempotent: Whether a call may run more than once.
        timeout_ms: Maximum time until the caller gets a response.
        target_ms: Target latency of a response.
        most_attempts: Maximum number of endpoints that one call may be sent to.
        priority: Priority of the calls, 0 is the highest.
        allows_anonymous: Whether calls need no key of a client account.
        is_upload: Whether the calls have large bodies.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    is_idempotent: bool
    timeout_ms: float
    target_ms: float
    most_attempts: int
    priority: int = 0
    allows_anonymous: bool = False
    is_upload: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Configuration of one service.

    Attributes:
        most_connections: Maximum connections to an endpoint over all callers.
        cold_ms: Time for which an endpoint is cold after its start.
        cold_per_s: Calls a second that a cold endpoint bears, 0 for no limit.
    """

    name: str
    health_path: str
    most_connections: int
    cold_ms: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests and connections of callers.

    Attributes:
        idle_ms: Idle timeout of a connection.
    """

    largest_body_bytes: int = DEFAULT_BODY_BYTES
    idle_ms: float = DEFAULT_IDLE_MS


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Settings of a route as they apply to one of its services; see ``Route``.

    Attributes:
        share: Fraction of the route's calls that the service gets, at most 1.
    """

    share: float
    priority: int
    timeout_ms: float
    target_ms: float
    most_attempts: int
    is_idempotent: bool


class ConfigTable(Enum):
    """A table of a configuration."""

    ROUTES = "routes"
    SERVICES = "services"
    LIMITS = "limits"
    ACCOUNTS = "accounts"


@dataclass(frozen=True, slots=True)
class RejectedRow:
    """A row of a configuration that this build cannot use.

    Attributes:
        name: Name of the row, or its position if the name is unreadable.
        finding: Why the row is rejected.
        host: Host of a route, empty if it is unreadable.
        path_prefix: Path prefix of a route, empty if it is unreadable.
    """

    table: ConfigTable
    name: str
    finding: str
    host: str = ""
    path_prefix: str = ""

    @property
    def is_placed(self) -> bool:
        """Return whether the requests that the row is meant for are known."""
        return bool(self.host and self.path_prefix)


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One version of the routes and services.

    Attributes:
        rejected: Rows that cannot be used; all others are in force.
        accounts: Client accounts, ``None`` if calls need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, ServiceSpec]
    limits: CallerLimits = CallerLimits()
    rejected: tuple[RejectedRow, ...] = ()
    accounts: tuple[ClientAccount, ...] | None = None

    @property
    def expects_contention(self) -> bool:
        """Return whether callers may compete for less capacity than they ask for.

        Client accounts have quotas since they do, and uploads occupy endpoints and links for long.
        """
        return self.accounts is not None or any(route.is_upload for route in self.routes)

    def rules(self, service: str) -> dict[str, RouteRule]:
        """Return the active rules for the calls to a service, keyed by route name."""
        return {
            route.name: RouteRule(
                share.weight / sum(item.weight for item in route.shares),
                route.priority,
                route.timeout_ms,
                route.target_ms,
                route.most_attempts,
                route.is_idempotent,
            )
            for route in self.routes
            for share in route.shares
            if share.service == service
        }


class NoRouteReason(Enum):
    """Reason why no route matched a call."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    REJECTED_ROUTE = "rejected-route"


@dataclass(slots=True)
class _SplitState:
    """Round-robin credits of a traffic split; the service with the most credit is next."""

    shares: tuple[ServiceShare, ...]
    credit_by_service: dict[str, float] = field(default_factory=dict)


class RoutingTable:
    """Match calls against the newest configuration that this process has received.

    An older version never replaces a newer one, whichever source it comes from.
    """

    __slots__ = (
        "config",
        "account_by_name",
        "_account_by_key_digest",
        "_routes_by_host",
        "_may_be_rejected",
        "_split_by_route",
    )

    def __init__(self) -> None:
        self.config: GatewayConfig | None = None
        self.account_by_name: dict[str, ClientAccount] = {}
        self._account_by_key_digest: dict[bytes, ClientAccount] = {}
        self._may_be_rejected = False
        self._routes_by_host: dict[str, list[Route | RejectedRow]] = {}
        self._split_by_route: dict[str, _SplitState] = {}

    @property
    def version(self) -> int:
        """Return the active version, 0 if there is none yet."""
        return self.config.version if self.config is not None else 0

    @property
    def has_accounts(self) -> bool:
        """Return whether calls belong to client accounts."""
        return self.config is not None and self.config.accounts is not None

    @property
    def may_lack_keys(self) -> bool:
        """Return whether keys may be missing since the row of an account was rejected."""
        rejected = self.config.rejected if self.config is not None else ()
        return any(row.table is ConfigTable.ACCOUNTS for row in rejected)

    def account_for_key(self, key: str) -> ClientAccount | None:
        """Return the account that holds ``key`` in the active configuration."""
        return self._account_by_key_digest.get(key_digest(key))

    def identify(
        self, key: str | None, *, allows_anonymous: bool
    ) -> ClientAccount | RefusalReason | None:
        """Return the account of a call, or why the call is refused.

        Args:
            key: Key that the call carries, ``None`` without one; see ``read_key``.
            allows_anonymous: Whether the call's route needs no key.

        Returns:
            ``ANONYMOUS`` for a call without a key, ``None`` if calls belong to no accounts.
        """
        if not self.has_accounts:
            return None
        if key is None:
            return ANONYMOUS if allows_anonymous else RefusalReason.UNAUTHENTICATED
        if key == UNUSABLE_KEY:
            return RefusalReason.UNAUTHENTICATED
        account = self.account_for_key(key)
        if account is not None:
            return account
        # The key may belong to the row that could not be read.
        is_certain = not self.may_lack_keys
        return RefusalReason.UNAUTHENTICATED if is_certain else RefusalReason.ACCOUNTS_INCOMPLETE

    def activate(self, config: GatewayConfig) -> bool:
        """Activate ``config`` if it is newer than the active one, and return whether it was."""
        if config.version <= self.version:
            return False
        self.config = config
        accounts = config.accounts or ()
        self.account_by_name = {account.name: account for account in accounts}
        self._account_by_key_digest = {
            digest: account for account in accounts for digest in account.key_digests
        }
        rejected = [row for row in config.rejected if row.table is ConfigTable.ROUTES]
        self._routes_by_host = _index([*config.routes, *(r for r in rejected if r.is_placed)])
        # The requests meant for these routes are unknown, so no request may be told that it has
        # no route.
        self._may_be_rejected = any(not row.is_placed for row in rejected)
        shares_by_route = {route.name: route.shares for route in config.routes}
        # Credits accumulated under the old weights would skew the new split.
        self._split_by_route = {
            name: state
            for name, state in self._split_by_route.items()
            if shares_by_route.get(name) == state.shares
        }
        return True

    def match(self, host: str, path: str) -> Route | NoRouteReason:
        """Return the route with the longest path prefix that matches ``path``."""
        if self.config is None:
            return NoRouteReason.NO_CONFIGURATION
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route if isinstance(route, Route) else NoRouteReason.REJECTED_ROUTE
        return NoRouteReason.REJECTED_ROUTE if self._may_be_rejected else NoRouteReason.NO_ROUTE

    def next_service(self, route: Route) -> str:
        """Return the service that the next call gets, without counting a call."""
        twin = copy(self)
        twin._split_by_route = deepcopy(self._split_by_route)
        return twin.choose_service(route)

    def choose_service(self, route: Route) -> str:
        """Return the service for the next call, in proportion to the route's weights.

        Smooth weighted round robin keeps the proportions even over short spans, unlike a random
        choice. A service at capacity keeps its share: its calls are refused, not moved.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        state = self._split_by_route.get(route.name)
        if state is None or state.shares != route.shares:
            state = self._split_by_route[route.name] = _SplitState(route.shares)
        credits = state.credit_by_service
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            credits[share.service] = credits.get(share.service, 0.0) + share.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total
        return chosen


def _index(routes: Iterable[Route | RejectedRow]) -> dict[str, list[Route | RejectedRow]]:
    routes_by_host: dict[str, list[Route | RejectedRow]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    for listed in routes_by_host.values():
        listed.sort(key=lambda route: -len(route.path_prefix))
    return routes_by_host
