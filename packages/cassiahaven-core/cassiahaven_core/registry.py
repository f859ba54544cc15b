"""The endpoints that registered themselves, and what an outage of their store means for them."""

from dataclasses import dataclass

# Live endpoints register again within 2 s of the store's return; 2.3 s leaves room for the way.
REREGISTRATION_MS = 2300.0


@dataclass(frozen=True, slots=True)
class Registration:
    """Describe an endpoint by what it says of itself.

    Attributes:
        born_ms: Unix time of its start, milliseconds; tells apart two runs under one name.
        cold_ms: How much longer it is slow after its start.
    """

    endpoint: str
    service: str
    host: str
    port: int
    availability_zone: str
    slots: int
    is_draining: bool
    born_ms: int = 0
    cold_ms: float = 0.0

    @property
    def incarnation(self) -> str:
        """Return a name of this run of the endpoint."""
        return str(self.born_ms)


class EndpointRegistry:
    """Hold the registrations in use, which may be more than the store lists.

    Endpoints whose entries lapsed while the store was away are kept until they had time to register
    again: most of them live, and dropping all at once would leave nothing to serve with.
    """

    __slots__ = ("registration_by_endpoint", "_returned_ms", "_is_away", "_lapsed")

    def __init__(self) -> None:
        self.registration_by_endpoint: dict[str, Registration] = {}
        self._returned_ms = float("-inf")
        self._is_away = False
        self._lapsed: set[str] = set()

    @property
    def kept_endpoints(self) -> frozenset[str]:
        """Return the endpoints that are in use though their registration is gone."""
        return frozenset(self._lapsed)

    @property
    def is_store_away(self) -> bool:
        """Tell whether the store is taken to be away."""
        return self._is_away

    def note_store(self, *, is_available: bool, now_ms: float) -> None:
        """Take in that the store went away or came back."""
        if self._is_away and is_available:
            self._returned_ms = now_ms
        self._is_away = not is_available

    def replace(self, registration_by_endpoint: dict[str, Registration], now_ms: float) -> None:
        """Take in the store's list."""
        in_use = self.registration_by_endpoint
        missing = in_use.keys() - registration_by_endpoint.keys()
        self._lapsed = missing if self._is_recovering(now_ms) else set()
        kept = {name: in_use[name] for name in self._lapsed}
        self.registration_by_endpoint = registration_by_endpoint | kept

    def expire(self, now_ms: float) -> bool:
        """Drop the endpoints that did not register again in time; tell whether there were any."""
        if not self._lapsed or self._is_away or self._is_recovering(now_ms):
            return False
        for name in self._lapsed:
            self.registration_by_endpoint.pop(name, None)
        self._lapsed.clear()
        return True

    def _is_recovering(self, now_ms: float) -> bool:
        return self._is_away or now_ms - self._returned_ms < REREGISTRATION_MS
