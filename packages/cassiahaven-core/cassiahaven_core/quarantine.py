"""Quarantine of requests that crash the upstreams running them."""

from dataclasses import dataclass, field
from hashlib import blake2b

from cassiahaven_core.request_memory import Body

CRASHES_BEFORE_REFUSAL = 2
CRASH_MEMORY_MS = 600_000.0
MAX_FINGERPRINTS = 10_000
FINGERPRINT_BYTES = 16


def request_fingerprint(service: str, partner: str, method: str, path: str, body: Body) -> str:
    """Return a hash that is equal for requests that an upstream cannot tell apart."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (service, partner, method, path):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()


@dataclass(slots=True)
class Quarantine:
    """Count the crashes caused by each request, over all entries.

    A crash is identified by the endpoint's incarnation, so duplicate notices count once.
    """

    crashes_by_fingerprint: dict[str, dict[str, float]] = field(default_factory=dict)

    def record(self, fingerprint: str, incarnation: str, now_ms: float) -> bool:
        """Record a crash and return whether it was new."""
        crashes = self.crashes_by_fingerprint.setdefault(fingerprint, {})
        is_new = incarnation not in crashes
        crashes[incarnation] = now_ms
        while len(self.crashes_by_fingerprint) > MAX_FINGERPRINTS:
            del self.crashes_by_fingerprint[next(iter(self.crashes_by_fingerprint))]
        return is_new

    def retract(self, fingerprint: str, incarnation: str) -> None:
        """Remove a suspected crash whose endpoint turned out to be alive."""
        crashes = self.crashes_by_fingerprint.get(fingerprint)
        if crashes is not None:
            crashes.pop(incarnation, None)

    def has_crash(self, fingerprint: str, incarnation: str) -> bool:
        """Return whether a crash is recorded and not retracted."""
        return incarnation in self.crashes_by_fingerprint.get(fingerprint, {})

    def is_quarantined(self, fingerprint: str, now_ms: float) -> bool:
        """Return whether the request is quarantined."""
        crashes = self.crashes_by_fingerprint.get(fingerprint)
        if crashes is None:
            return False
        recent = [at_ms for at_ms in crashes.values() if now_ms - at_ms < CRASH_MEMORY_MS]
        if not recent:
            del self.crashes_by_fingerprint[fingerprint]
        return len(recent) >= CRASHES_BEFORE_REFUSAL

    def clear(self, fingerprint: str) -> None:
        """Remove the crashes of a request that an upstream has answered."""
        self.crashes_by_fingerprint.pop(fingerprint, None)
