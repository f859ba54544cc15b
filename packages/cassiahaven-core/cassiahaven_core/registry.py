"""The endpoints that registered themselves, and which of them are in use."""

from dataclasses import dataclass


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

    __slots__ = ("registration_by_endpoint", "_lapsed")

    def __init__(self) -> None:
        self.registration_by_endpoint: dict[str, Registration] = {}
        self._lapsed: set[str] = set()

    @property
    def kept_endpoints(self) -> frozenset[str]:
        """Return the endpoints that are in use though their registration is gone."""
        return frozenset(self._lapsed)

    def replace(
        self, registration_by_endpoint: dict[str, Registration], *, may_have_lapsed: bool
    ) -> None:
        """Take in the store's list.

        Args:
            registration_by_endpoint: All registrations that the store lists.
            may_have_lapsed: Whether an outage may explain what is missing.
        """
        in_use = self.registration_by_endpoint
        missing = in_use.keys() - registration_by_endpoint.keys()
        self._lapsed = missing if may_have_lapsed else set()
        kept = {name: in_use[name] for name in self._lapsed}
        self.registration_by_endpoint = registration_by_endpoint | kept

    def expire(self) -> bool:
        """Drop the endpoints that are not listed; tell whether there were any."""
        for name in self._lapsed:
            del self.registration_by_endpoint[name]
        had_any = bool(self._lapsed)
        self._lapsed = set()
        return had_any
