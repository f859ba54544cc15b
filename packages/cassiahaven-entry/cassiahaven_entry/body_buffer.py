"""Buffer for the body of a request while it is read."""

import mmap

from cassiahaven_core.request_memory import LARGEST_SMALL_BODY_BYTES, Body

GROWTH = 1.25  # bodies in chunks; pages that are not written take no memory


class BodyBuffer:
    """Collect the parts of a body without ever holding it twice.

    A large body is kept in a mapping of its own: joining its parts would double it, and memory of
    the heap may not return to the system when the body is dropped.

    Args:
        declared_bytes: Length of the body, 0 if unknown.
    """

    __slots__ = ("size", "_declared_bytes", "_parts", "_mapping")

    def __init__(self, declared_bytes: int = 0) -> None:
        self.size = 0
        self._declared_bytes = declared_bytes
        self._parts: list[bytes] = []
        self._mapping: mmap.mmap | None = None

    def append(self, part: bytes) -> None:
        """Add the next part."""
        end = self.size + len(part)
        if end <= LARGEST_SMALL_BODY_BYTES:
            self._parts.append(part)
        else:
            self._map(end)[self.size : end] = part
        self.size = end

    def body(self) -> Body:
        """Return the body; nothing can be added any more."""
        if self._mapping is None:
            return b"".join(self._parts)
        return memoryview(self._mapping)[: self.size].toreadonly()

    def _map(self, size: int) -> mmap.mmap:
        """Return a mapping for ``size`` bytes that has the parts added before."""
        if self._mapping is None:
            room = max(size, self._declared_bytes)
            # A shared mapping, the default, cannot grow.
            self._mapping = mmap.mmap(-1, room, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
            for part in self._parts:
                self._mapping.write(part)
            self._parts.clear()
        elif size > len(self._mapping):
            self._mapping.resize(int(size * GROWTH))
        return self._mapping
