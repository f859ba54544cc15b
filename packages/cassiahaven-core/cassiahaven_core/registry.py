"""Endpoint registrations, and the endpoints that stay in use through a store outage."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Registration:
    """An endpoint as it registered itself.

    Attributes:
        born_ms: Unix time of its start in milliseconds; distinguishes two runs under one name.
        cold_ms: Remaining warm-up time, during which it is slow.
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
        """Return an identifier of this run of the endpoint."""
        return str(self.born_ms)


class EndpointRegistry:
    """The registrations in use, which may be more than the store lists.

    Endpoints whose registrations expired during a store outage are kept until they have had time
    to register again: most are alive, and dropping all at once would leave none to serve calls.
    """

    __slots__ = ("registration_by_endpoint", "_listed", "_lapsed")

    def __init__(self) -> None:
        self.registration_by_endpoint: dict[str, Registration] = {}
        self._listed: dict[str, Registration] = {}
        self._lapsed: set[str] = set()

    @property
    def kept_endpoints(self) -> frozenset[str]:
        """Return the endpoints in use that the store no longer lists, or as they were before."""
        return frozenset(self._lapsed)

    def replace(
        self,
        registration_by_endpoint: dict[str, Registration],
        *,
        may_have_expired: bool,
        is_restored: bool = False,
    ) -> None:
        """Replace the registrations with the store's list.

        Args:
            registration_by_endpoint: All registrations that the store lists.
            may_have_expired: Whether missing registrations may have expired in a store outage.
            is_restored: Whether the list may be older than the registrations in use.
        """
        in_use = self.registration_by_endpoint
        self._listed = registration_by_endpoint
        self._lapsed = set()
        if may_have_expired:
            self._lapsed |= in_use.keys() - registration_by_endpoint.keys()
        if is_restored:
            self._lapsed |= {
                name
                for name, listed in registration_by_endpoint.items()
                if name in in_use and _is_older(listed, in_use[name])
            }
        kept = {name: in_use[name] for name in self._lapsed}
        self.registration_by_endpoint = registration_by_endpoint | kept

    def drop_expired(self) -> bool:
        """Return to the store's list; return whether other registrations were in use."""
        had_any = bool(self._lapsed)
        if had_any:
            self.registration_by_endpoint = dict(self._listed)
        self._lapsed = set()
        return had_any


def _is_older(listed: Registration, known: Registration) -> bool:
    """Return whether ``listed`` is an earlier start, or the same one before it drained."""
    if listed.born_ms != known.born_ms:
        return listed.born_ms < known.born_ms
    return known.is_draining and not listed.is_draining
