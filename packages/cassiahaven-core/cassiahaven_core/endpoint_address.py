"""Address of an endpoint."""

from dataclasses import dataclass

DEFAULT_WARM_UP_MS = 2000.0  # used for upstreams that do not announce a warm-up time


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """Address and capacity of one incarnation of an endpoint.

    Attributes:
        endpoint: Name of the endpoint, stable across restarts.
        incarnation: Identifier that changes each time the upstream process starts.
        distance_ms: One-way network latency from this entry, milliseconds.
        warm_up_ms: Warm-up time after the endpoint is first listed, milliseconds.
        cold_ends_ms: Time until which it bears few calls, as far as its listing tells.
    """

    endpoint: str
    incarnation: str
    availability_zone: str
    host: str
    port: int
    slots: int
    distance_ms: float = 0.0
    warm_up_ms: float = DEFAULT_WARM_UP_MS
    cold_ends_ms: float = float("-inf")
