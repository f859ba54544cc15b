"""Upstream responses that an entry holds in memory."""

from dataclasses import dataclass
from typing import Any

MAX_KEPT_ANSWER_BYTES = 65_536
MAX_BUFFERED_ANSWER_BYTES = 1_048_576
MAX_BUFFERED_BYTES = 33_554_432  # of all answers, a sixth of the smallest VM's memory


class AnswerMemory:
    """Limit the bytes of large answers that an entry holds until their callers have read them.

    An answer that is read whole frees its endpoint however slowly its caller reads, and can still
    be asked for elsewhere if it breaks off. Beyond the limits, answers are streamed.

    Attributes:
        held_bytes: Bytes reserved for all answers.
    """

    __slots__ = ("held_bytes",)

    def __init__(self) -> None:
        self.held_bytes = 0

    def reserve(self, *, held: int, more: int) -> bool:
        """Reserve ``more`` bytes for an answer that holds ``held``, if the limits allow it."""
        if held + more > MAX_BUFFERED_ANSWER_BYTES or self.held_bytes + more > MAX_BUFFERED_BYTES:
            return False
        self.held_bytes += more
        return True

    def release(self, size: int) -> None:
        """Release the bytes of an answer that was sent or dropped."""
        self.held_bytes -= size


@dataclass(frozen=True, slots=True)
class Answer:
    """An upstream response with its complete body."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def to_plain(self) -> list[Any]:
        """Return the answer as a list."""
        return [self.status, [list(item) for item in self.headers], self.body]

    @classmethod
    def from_plain(cls, plain: list[Any]) -> "Answer":
        """Decode an answer from a list."""
        status, headers, body = plain
        return cls(status, tuple((name, value) for name, value in headers), body)
