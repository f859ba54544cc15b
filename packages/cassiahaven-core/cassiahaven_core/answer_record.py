"""How an upstream's answer was read, for logs."""

from dataclasses import dataclass
from enum import Enum
from typing import Any


class Framing(Enum):
    """What tells where an answer ends."""

    UNKNOWN = "unknown"  # its head was not read
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    BODILESS = "bodiless"


class ConnectionEnd(Enum):
    """How a connection had ended when an answer was read from it for the last time."""

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"
    TIMEOUT = "timeout"
    ERROR = "error"


@dataclass(slots=True)
class AnswerRecord:
    """How an answer was read.

    Attributes:
        exchange: Position of the call among those sent over its connection, from 1; 0 if it was not
            sent.
        framing: What tells where the answer ends.
        declared_bytes: Length of the body according to its head, ``None`` if the head names none.
        received_bytes: Bytes received, including the head and bytes behind the answer.
        body_bytes: Bytes of the body that were passed on.
        surplus: Bytes behind the answer that were received together with it.
        connection: How the connection had ended.
        is_whole: Whether the answer was read to its end.
    """

    exchange: int = 0
    framing: Framing = Framing.UNKNOWN
    declared_bytes: int | None = None
    received_bytes: int = 0
    body_bytes: int = 0
    surplus: bytes = b""
    connection: ConnectionEnd = ConnectionEnd.OPEN
    is_whole: bool = False

    @property
    def surplus_bytes(self) -> int:
        """Return the number of bytes behind the answer that were received together with it."""
        return len(self.surplus)

    def to_plain(self) -> dict[str, Any]:
        """Return the record as a dictionary of plain values."""
        return {
            "exchange": self.exchange,
            "framing": self.framing.value,
            "declared": self.declared_bytes,
            "received": self.received_bytes,
            "body": self.body_bytes,
            "surplus": self.surplus_bytes,
            "connection": self.connection.value,
            "whole": self.is_whole,
        }

    @property
    def text(self) -> str:
        """Return the record as a phrase."""
        declared = "" if self.declared_bytes is None else f" of {self.declared_bytes}"
        return (
            f"{self.received_bytes} bytes received, {self.body_bytes}{declared} of the body, "
            f"framing {self.framing.value}, connection {self.connection.value}, "
            f"exchange {self.exchange}"
        )
