"""Caller that keeps its connection and sends several requests before the first is answered."""

import http.client
import socket
from dataclasses import dataclass
from typing import BinaryIO

TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class PipelinedRequest:
    """One request of a batch."""

    method: str
    target: str
    request: str
    body: bytes = b""


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
            self._connection.socket.sendall(b"".join(self._encode(item) for item in batch))
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

    def _encode(self, item: PipelinedRequest) -> bytes:
        head = (
            f"{item.method} {item.target} HTTP/1.1\r\n"
            "Host: h.example\r\n"
            f"Request-Id: {item.request}\r\n"
            f"Deadline-Ms: {self._deadline_ms}\r\n"
        )
        length = f"Content-Length: {len(item.body)}\r\n" if item.body else ""
        return f"{head}{length}\r\n".encode() + item.body
