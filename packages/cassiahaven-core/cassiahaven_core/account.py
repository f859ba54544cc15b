"""Client accounts of a configuration and the keys by which their calls are recognized."""

from dataclasses import dataclass
from hashlib import blake2b

KEY_DIGEST_BYTES = 16
LARGEST_KEY_BYTES = 512
ROUTE_PRIORITIES = 1000  # more than any configuration distinguishes
BEARER = "bearer"
UNUSABLE_KEY = ""  # belongs to no account


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is stored and compared."""
    return blake2b(key.encode(errors="surrogateescape"), digest_size=KEY_DIGEST_BYTES).digest()


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A customer whose calls carry one of its keys.

    Attributes:
        key_digests: Digests of its keys; the keys themselves are not kept.
        priority: Priority of its calls in place of the routes' priority, ``None`` for the routes'.
        rate_per_s: Calls admitted per second over all entries, 0 for no limit.
        burst: Calls admitted in addition within any window.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


ANONYMOUS = ClientAccount("", ())  # calls without a key, on routes that allow these


def read_key(credentials: list[str]) -> str | None:
    """Return the key in a request's credentials.

    Args:
        credentials: Values of all ``Authorization`` headers, their bytes decoded as Latin-1.

    Returns:
        The key, ``UNUSABLE_KEY`` if the credentials cannot name one, ``None`` without credentials.
    """
    if not credentials:
        return None
    # Two values may name two accounts, so neither is used.
    scheme, _, rest = credentials[0].partition(" ")
    key = rest.strip(" ").encode("latin-1", "replace")
    if len(credentials) > 1 or scheme.lower() != BEARER or len(key) > LARGEST_KEY_BYTES:
        return UNUSABLE_KEY
    # Keys in the configuration are Unicode texts, which callers send as UTF-8.
    return key.decode(errors="surrogateescape")


def combined_priority(account: int | None, route: int) -> int:
    """Return the priority of an account's calls, 0 is the highest.

    Args:
        account: The account's priority, ``None`` if that of the route applies.
        route: The route's priority, which decides among accounts of equal priority.
    """
    first = route if account is None else account
    return first * ROUTE_PRIORITIES + min(route, ROUTE_PRIORITIES - 1)
