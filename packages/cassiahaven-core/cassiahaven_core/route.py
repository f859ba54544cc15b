"""Routes from hosts and paths to services, and the configuration that holds them."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

DEFAULT_IDLE_MS = 15_000.0  # the usual value in the operators' configurations
DEFAULT_BODY_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Hold a service's part of a route's calls; weights need not add up to anything."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Describe the calls below one path of a host.

    Attributes:
        path_prefix: Starts and ends with a slash.
        shares: Services that the calls are divided among.
        is_idempotent: Whether a call may run more than once.
        timeout_ms: Longest time that a caller is kept waiting.
        target_ms: Time within which an answer is of full use.
        most_attempts: Endpoints that one call may be sent to.
        priority: Rank, 0 is the highest.
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


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Describe a service of a configuration.

    Attributes:
        most_connections: Connections that an endpoint takes from all callers together.
    """

    name: str
    health_path: str
    most_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send.

    Attributes:
        idle_ms: How long a connection may stay idle.
    """

    largest_body_bytes: int = DEFAULT_BODY_BYTES
    idle_ms: float = DEFAULT_IDLE_MS


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Hold what a configuration says of a route's calls to one service; see ``Route``.

    Attributes:
        share: Part of the route's calls that the service gets, at most 1.
    """

    share: float
    priority: int
    timeout_ms: float
    target_ms: float
    most_attempts: int
    is_idempotent: bool


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """Hold one version of the routes and services."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, ServiceSpec]
    limits: CallerLimits = CallerLimits()

    def rules(self, service: str) -> dict[str, RouteRule]:
        """Return what is in force for the calls to a service, by route."""
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


class RouteMiss(Enum):
    """Tell why a call has no route."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"


@dataclass(slots=True)
class _SplitState:
    """Hold the credit of each service of a split; the largest is served next."""

    shares: tuple[ServiceShare, ...]
    credit_by_service: dict[str, float] = field(default_factory=dict)


class RoutingTable:
    """Match calls against the newest configuration that this process has seen.

    An older version never replaces a newer one, whatever way it arrives.
    """

    __slots__ = ("config", "_routes_by_host", "_split_by_route")

    def __init__(self) -> None:
        self.config: GatewayConfig | None = None
        self._routes_by_host: dict[str, list[Route]] = {}
        self._split_by_route: dict[str, _SplitState] = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self.config.version if self.config is not None else 0

    def put_in_force(self, config: GatewayConfig) -> bool:
        """Use ``config`` if it is newer, and tell whether it was."""
        if config.version <= self.version:
            return False
        self.config = config
        self._routes_by_host = _index(config.routes)
        shares_by_route = {route.name: route.shares for route in config.routes}
        # Credits that were earned under other weights would skew the new ones.
        self._split_by_route = {
            name: state
            for name, state in self._split_by_route.items()
            if shares_by_route.get(name) == state.shares
        }
        return True

    def match(self, host: str, path: str) -> Route | RouteMiss:
        """Return the route whose prefix is the longest that starts ``path``."""
        if self.config is None:
            return RouteMiss.NO_CONFIGURATION
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return RouteMiss.NO_ROUTE

    def choose_service(self, route: Route) -> str:
        """Return the service of the next call, in the proportions of the route's weights.

        Smooth weighted round robin keeps the proportions over short spans too, which a random
        choice does not. A service short of room keeps its part: its calls are refused, not moved.
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


def _index(routes: Iterable[Route]) -> dict[str, list[Route]]:
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    for listed in routes_by_host.values():
        listed.sort(key=lambda route: -len(route.path_prefix))
    return routes_by_host
