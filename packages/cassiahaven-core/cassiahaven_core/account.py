"""Client accounts of a configuration and the keys by which their calls are recognized."""

from dataclasses import dataclass
from hashlib import blake2b

KEY_DIGEST_BYTES = 16


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
