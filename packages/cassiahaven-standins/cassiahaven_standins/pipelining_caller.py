"""Caller that keeps its connection and sends several requests before the first is answered."""

import http.client
import socket
from dataclasses import dataclass
from typing import BinaryIO

from cassiahaven_standins.answer_framing import ChunkedFraming

TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class PipelinedRequest:
    """One request of a batch.

    Attributes:
        chunk_bytes: Length of the chunks in which the body is sent; 0 to send its length instead.
        headers: Further headers.
    """

    method: str
    target: str
    request: str
    body: bytes = b""
    version: str = "HTTP/1.1"
    chunk_bytes: int = 0
    closes: bool = False
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self, *, deadline_ms: int) -> bytes:
        """Return the request as it is sent."""
        lines = [
            f"{self.method} {self.target} {self.version}",
            "Host: h.example",
            f"Request-Id: {self.request}",
            f"Deadline-Ms: {deadline_ms}",
            *(f"{name}: {value}" for name, value in self.headers),
        ]
        if self.closes:
            lines.append("Connection: close")
        body = self.body
        if self.chunk_bytes:
            lines.append("Transfer-Encoding: chunked")
            body = ChunkedFraming(chunk_bytes=self.chunk_bytes).frame(body)
        elif body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body


class _Connection:
    """A connection whose responses share one buffered file."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), TIMEOUT_S)
        self._file = self.socket.makefile("rb")

    def makefile(self, *_: object) -> BinaryIO:
        return _Unclosed(self._file)

    def close(self) -> None:
        self._file.close()
        self.socket.close()


class _Unclosed:
    """A file that outlives the responses that read from it."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file

    def __getattr__(self, name: str) -> object:
        return getattr(self._file, name)

    def close(self) -> None:
        """Keep the file open."""


class PipeliningCaller:
    """Send batches of requests over one connection to an entry, until it ends.

    Args:
        port: The entry's port for callers.
    """

    def __init__(self, port: int, *, deadline_ms: int = 2000) -> None:
        self._port = port
        self._deadline_ms = deadline_ms
        self._connection: _Connection | None = None

    def call(self, batch: list[PipelinedRequest]) -> list[tuple[int, bytes]]:
        """Return status and body for each request; status 0 if it was not answered."""
        answers: list[tuple[int, bytes]] = []
        try:
            if self._connection is None:
                self._connection = _Connection(self._port)
            self._connection.socket.sendall(
                b"".join(item.encode(deadline_ms=self._deadline_ms) for item in batch)
            )
            for item in batch:
                response = http.client.HTTPResponse(self._connection, method=item.method)
                response.begin()
                answers.append((response.status, response.read()))
                if response.will_close:
                    self.close()
                    break
        except (OSError, http.client.HTTPException):
            self.close()
        return answers + [(0, b"")] * (len(batch) - len(answers))

    def close(self) -> None:
        """Close the connection, if it is open."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
