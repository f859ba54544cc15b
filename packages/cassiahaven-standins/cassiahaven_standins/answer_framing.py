"""Answers in every framing of HTTP, which stand-ins cut off after any number of bytes."""

import socket
import struct
from abc import ABC, abstractmethod
from dataclasses import dataclass, replace

CHUNK_BYTES = 40
INVALID_STATUS_LINES = (
    b"HTTP/1.1 000 Failed",
    b"HTTP/1.1 0 Failed",
    b"HTTP/1.1 00 Failed",
    b"HTTP/1.1 099 Failed",
    b"HTTP/1.1 600 Failed",
    b"HTTP/1.1 999 Failed",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 -200 OK",
    b"HTTP/1.1 2_00 OK",
    b"HTTP/1.1 2x0 OK",
    b"HTTP/1.1 two OK",
    b"HTTP/1.1",
    b"HTTP/1.1 ",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1 200\tOK",
    b"HTTP/1.1\xa0200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.x 200 OK",
    b" HTTP/1.1 200 OK",
)
NO_LINGER = struct.pack("ii", 1, 0)  # closing resets the connection


@dataclass(frozen=True, slots=True)
class FramedAnswer:
    """An answer as it is sent.

    Attributes:
        data: The head, and the body with its framing.
        head_size: Length of the head, bytes.
        ends_with_connection: Whether only the end of the connection tells where the answer ends.
        interim_size: Length of the interim answers in front of the head, which it includes.
        is_chunked: Whether the body is sent in chunks.
    """

    data: bytes
    head_size: int
    ends_with_connection: bool = False
    interim_size: int = 0
    is_chunked: bool = False

    def with_status_line(self, line: bytes) -> "FramedAnswer":
        """Return the same answer with ``line`` in place of its status line."""
        start = self.interim_size
        end = self.data.index(b"\r\n", start)
        data = self.data[:start] + line + self.data[end:]
        head_size = self.head_size + len(line) - (end - start)
        return replace(self, data=data, head_size=head_size)

    def parts_by_name(self) -> dict[str, list[range]]:
        """Return the positions of each kind of part."""
        status_end = self.data.index(b"\r\n", self.interim_size) + 2
        head = {"status line": [range(status_end)], "head": [range(status_end, self.head_size)]}
        if not self.is_chunked:
            body = range(self.head_size, len(self.data))
            return head | ({"body": [body]} if body else {})
        sizes, chunks, at = [], [], self.head_size
        while True:
            line_end = self.data.index(b"\r\n", at) + 2
            sizes.append(range(at, line_end))
            length = int(self.data[at:line_end].partition(b";")[0], 16)
            if not length:
                trailers = [range(line_end, len(self.data))]
                found = {"chunk size": sizes, "chunk": chunks, "trailers": trailers}
                return head | {name: parts for name, parts in found.items() if parts}
            at = line_end + length + 2
            chunks.append(range(line_end, at))


class Framing(ABC):
    """A way to tell where an answer ends."""

    version = "HTTP/1.1"
    interim = b""
    ends_with_connection = False
    is_chunked = False

    def encode(
        self,
        status: str,
        headers: dict[str, str],
        body: bytes,
        *,
        framing_first: bool = False,
        interim: bytes = b"",
    ) -> FramedAnswer:
        """Return an answer in this framing.

        Args:
            status: Status code and reason.
            headers: Headers other than those that announce the framing.
            body: The whole body.
            framing_first: Whether the headers that announce the framing precede the others.
            interim: Sent in front of the answer.
        """
        added = self.headers(body)
        ordered = added | headers if framing_first else headers | added
        lines = [f"{name}: {value}" for name, value in ordered.items()]
        head = "\r\n".join([f"{self.version} {status}", *lines, "", ""]).encode()
        interim += self.interim
        return FramedAnswer(
            interim + head + self.frame(body),
            len(interim + head),
            self.ends_with_connection,
            len(interim),
            self.is_chunked,
        )

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

    is_chunked = True

    def __init__(
        self,
        *,
        size: str = "{:x}",
        extension: str = "",
        trailers: bytes = b"",
        chunk_bytes: int = 0,
    ):
        self._chunk_bytes = chunk_bytes
        self._size = size
        self._extension = extension
        self._trailers = trailers

    def headers(self, body: bytes) -> dict[str, str]:
        """Return the transfer coding."""
        return {"Transfer-Encoding": "chunked"}

    def frame(self, body: bytes) -> bytes:
        """Return the chunks, and the trailers."""
        starts = range(0, len(body), self._chunk_bytes or max(CHUNK_BYTES, len(body) // 4))
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
