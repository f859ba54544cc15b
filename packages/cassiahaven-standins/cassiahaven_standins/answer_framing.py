"""Answers in every framing of HTTP, which stand-ins cut off after any number of bytes."""

import socket
import struct
from abc import ABC, abstractmethod
from dataclasses import dataclass

CHUNK_BYTES = 40
NO_LINGER = struct.pack("ii", 1, 0)  # closing resets the connection


@dataclass(frozen=True, slots=True)
class FramedAnswer:
    """An answer as it is sent.

    Attributes:
        data: The head, and the body with its framing.
        head_size: Length of the head, bytes.
        ends_with_connection: Whether only the end of the connection tells where the answer ends.
    """

    data: bytes
    head_size: int
    ends_with_connection: bool = False


class Framing(ABC):
    """A way to tell where an answer ends."""

    version = "HTTP/1.1"
    interim = b""
    ends_with_connection = False

    def encode(self, status: str, headers: dict[str, str], body: bytes) -> FramedAnswer:
        """Return an answer in this framing."""
        lines = [f"{name}: {value}" for name, value in (headers | self.headers(body)).items()]
        head = "\r\n".join([f"{self.version} {status}", *lines, "", ""]).encode()
        data = self.interim + head + self.frame(body)
        return FramedAnswer(data, len(self.interim + head), self.ends_with_connection)

    @abstractmethod
    def headers(self, body: bytes) -> dict[str, str]:
        """Return the headers that announce the framing."""

    @abstractmethod
    def frame(self, body: bytes) -> bytes:
        """Return the body as it is sent."""


class LengthFraming(Framing):
    """Announce the length of the body."""

    def __init__(self, *, version: str = "HTTP/1.1", closes: bool = False, interim: bytes = b""):
        self.version = version
        self.interim = interim
        self._added = {"Connection": "close"} if closes else {}

    def headers(self, body: bytes) -> dict[str, str]:
        """Return the length."""
        return self._added | {"Content-Length": str(len(body))}

    def frame(self, body: bytes) -> bytes:
        """Return the body."""
        return body


class ChunkedFraming(Framing):
    """Send the body in chunks."""

    def __init__(self, *, size: str = "{:x}", extension: str = "", trailers: bytes = b""):
        self._size = size
        self._extension = extension
        self._trailers = trailers

    def headers(self, body: bytes) -> dict[str, str]:
        """Return the transfer coding."""
        return {"Transfer-Encoding": "chunked"}

    def frame(self, body: bytes) -> bytes:
        """Return the chunks, and the trailers."""
        starts = range(0, len(body), max(CHUNK_BYTES, len(body) // 4))
        chunks = [body[start : start + starts.step] for start in starts]
        sent = [self._line(chunk) + chunk + b"\r\n" for chunk in chunks]
        return b"".join([*sent, self._line(b""), self._trailers, b"\r\n"])

    def _line(self, chunk: bytes) -> bytes:
        return (self._size.format(len(chunk)) + self._extension + "\r\n").encode()


class ConnectionFraming(Framing):
    """Let the answer end with its connection."""

    ends_with_connection = True

    def __init__(self, *, version: str = "HTTP/1.1", closes: bool = False):
        self.version = version
        self._added = {"Connection": "close"} if closes else {}

    def headers(self, body: bytes) -> dict[str, str]:
        """Return no length."""
        return self._added

    def frame(self, body: bytes) -> bytes:
        """Return the body."""
        return body


FRAMING_BY_NAME: dict[str, Framing] = {
    "length": LengthFraming(),
    "length, closes": LengthFraming(closes=True),
    "length, HTTP/1.0": LengthFraming(version="HTTP/1.0"),
    "length, interim answer": LengthFraming(interim=b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunks": ChunkedFraming(),
    "chunks, padded sizes": ChunkedFraming(size="{:06x}"),
    "chunks, extensions": ChunkedFraming(extension=";name=value"),
    "chunks, trailers": ChunkedFraming(trailers=b"X-Sum: 1\r\n"),
    "connection": ConnectionFraming(),
    "connection, closes": ConnectionFraming(closes=True),
    "connection, HTTP/1.0": ConnectionFraming(version="HTTP/1.0"),
}


def send_cut(connection: socket.socket, data: bytes, *, resets: bool) -> None:
    """Send ``data`` and end the connection, by a reset or orderly."""
    connection.sendall(data)
    if resets:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    connection.close()
