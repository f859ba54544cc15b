"""Request bodies that an entry holds in memory."""

from typing import TypeAlias

Body: TypeAlias = bytes | memoryview  # large bodies are held outside of the heap

BYTES_PER_MB = 1_048_576
DEFAULT_PROCESS_BYTES = 300 * BYTES_PER_MB
BODIES_SHARE = 0.4  # of the process's memory; the rest is for the process itself and for answers
SMALL_BODIES_SHARE = 0.125  # of the memory for bodies
LARGEST_SMALL_BODY_BYTES = 262_144


class RequestMemory:
    """Limit the bytes of request bodies that an entry holds for all calls together.

    A body that does not fit is refused at once: waiting would hold its caller until the deadline.
    Large bodies leave a part of the memory to small ones, so that uploads displace no other calls.

    Args:
        process_bytes: Memory limit of the process.

    Attributes:
        limit_bytes: Most bytes of all bodies.
        large_limit_bytes: Most bytes of all bodies up to which a large body is accepted.
        held_bytes: Bytes reserved for all bodies.
    """

    __slots__ = ("limit_bytes", "large_limit_bytes", "held_bytes")

    def __init__(self, process_bytes: int = DEFAULT_PROCESS_BYTES) -> None:
        self.limit_bytes = int(process_bytes * BODIES_SHARE)
        self.large_limit_bytes = int(self.limit_bytes * (1 - SMALL_BODIES_SHARE))
        self.held_bytes = 0

    def new_reservation(self) -> "BodyReservation":
        """Return the reservation of a body of which nothing has been read yet."""
        return BodyReservation(self)


class BodyReservation:
    """Memory reserved for the body of one request.

    Args:
        memory: Memory of all bodies.

    Attributes:
        size: Bytes reserved.
    """

    __slots__ = ("size", "_memory")

    def __init__(self, memory: RequestMemory) -> None:
        self.size = 0
        self._memory = memory

    def grow(self, size: int) -> bool:
        """Reserve memory for a body of ``size`` bytes in all, if the limits allow it."""
        memory = self._memory
        held_bytes = memory.held_bytes - self.size + size
        is_small = size <= LARGEST_SMALL_BODY_BYTES
        if held_bytes > (memory.limit_bytes if is_small else memory.large_limit_bytes):
            return False
        memory.held_bytes = held_bytes
        self.size = size
        return True

    def release(self) -> None:
        """Release what is reserved; does nothing if it was released before."""
        self._memory.held_bytes -= self.size
        self.size = 0
