"""Requests that crash the upstreams that run them."""

from dataclasses import dataclass, field
from hashlib import blake2b

CRASHES_BEFORE_REFUSAL = 2
CRASH_MEMORY_MS = 600_000.0
MOST_FINGERPRINTS = 10_000
FINGERPRINT_BYTES = 16


def request_fingerprint(service: str, partner: str, method: str, path: str, body: bytes) -> str:
    """Return a name for requests that are the same to an upstream."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (service, partner, method, path):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()


@dataclass(slots=True)
class Quarantine:
    """Count the crashes that each request caused, over all entries.

    A crash is named by the endpoint's incarnation, so that a notice heard twice counts once.
    """

    crashes_by_fingerprint: dict[str, dict[str, float]] = field(default_factory=dict)

    def record(self, fingerprint: str, incarnation: str, now_ms: float) -> bool:
        """Record a crash and tell whether it was news."""
        crashes = self.crashes_by_fingerprint.setdefault(fingerprint, {})
        is_news = incarnation not in crashes
        crashes[incarnation] = now_ms
        while len(self.crashes_by_fingerprint) > MOST_FINGERPRINTS:
            del self.crashes_by_fingerprint[next(iter(self.crashes_by_fingerprint))]
        return is_news

    def retract(self, fingerprint: str, incarnation: str) -> None:
        """Forget a suspected crash: the endpoint turned out to live."""
        crashes = self.crashes_by_fingerprint.get(fingerprint)
        if crashes is not None:
            crashes.pop(incarnation, None)

    def has_recorded(self, fingerprint: str, incarnation: str) -> bool:
        """Tell whether a crash is recorded and was not retracted."""
        return incarnation in self.crashes_by_fingerprint.get(fingerprint, {})

    def refuses(self, fingerprint: str, now_ms: float) -> bool:
        """Tell whether the request is to be refused."""
        crashes = self.crashes_by_fingerprint.get(fingerprint)
        if crashes is None:
            return False
        recent = [at_ms for at_ms in crashes.values() if now_ms - at_ms < CRASH_MEMORY_MS]
        if not recent:
            del self.crashes_by_fingerprint[fingerprint]
        return len(recent) >= CRASHES_BEFORE_REFUSAL

    def clear(self, fingerprint: str) -> None:
        """Forget the crashes of a request that an upstream answered."""
        self.crashes_by_fingerprint.pop(fingerprint, None)
