"""A complete upstream response, kept to replay it to a repeated call."""

from dataclasses import dataclass
from typing import Any

MAX_KEPT_ANSWER_BYTES = 65_536


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
