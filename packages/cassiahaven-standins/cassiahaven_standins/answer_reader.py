"""Reader of answers that takes none for whole that is not."""

import re
import socket
import threading
from dataclasses import dataclass, field

PART_BYTES = 65_536
LONGEST_LINE = 65_536
OK = 200
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(;.*)?\r\n")
DIGITS = re.compile(r"[0-9]+")


class AnswerBroken(Exception):
    """The connection ended within an answer, or the answer is malformed."""


@dataclass(slots=True)
class ReceivedAnswer:
    """An answer as its caller got it.

    Attributes:
        status: Status code, 0 if no head arrived.
        framing: What tells where the answer ends: ``length``, ``chunks`` or ``connection``.
        declared_bytes: Length according to the head, ``None`` without one.
        is_whole: Whether the answer looks complete.
        failure: Why it does not.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    framing: str = ""
    declared_bytes: int | None = None
    body: bytes = b""
    is_whole: bool = False
    failure: str = ""


class AnswerReader:
    """Read the answers that arrive over one connection, in order.

    Args:
        pause_s: Pause before each part of a body, for a caller that reads slowly.
    """

    def __init__(self, connection: socket.socket, *, pause_s: float = 0.0) -> None:
        self._file = connection.makefile("rb")
        self._pause_s = pause_s

    def read(self) -> ReceivedAnswer:
        """Read the next answer, as far as it arrives."""
        answer = ReceivedAnswer()
        parts: list[bytes] = []
        try:
            self._read_head(answer)
            self._read_body(answer, parts)
            answer.is_whole = True
        except (AnswerBroken, OSError, ValueError) as error:
            answer.failure = repr(error)
        answer.body = b"".join(parts)
        return answer

    def close(self) -> None:
        """Stop reading."""
        self._file.close()

    def _read_head(self, answer: ReceivedAnswer) -> None:
        while answer.status < OK:
            version, code, *_ = self._line().decode("latin-1").split(" ", 2)
            if not version.startswith("HTTP/1.") or not DIGITS.fullmatch(code.strip()):
                raise AnswerBroken(f"{version} {code}")
            answer.status = int(code)
            answer.headers = self._headers()

    def _headers(self) -> dict[str, str]:
        headers: dict[str, str] = {}
        while (line := self._line()) != b"\r\n":
            name, colon, value = line.decode("latin-1").partition(":")
            if not colon:
                raise AnswerBroken(f"header {name!r}")
            known = headers.get(name.lower())
            headers[name.lower()] = value.strip() if known is None else f"{known}, {value.strip()}"
        return headers

    def _read_body(self, answer: ReceivedAnswer, parts: list[bytes]) -> None:
        headers = answer.headers
        if "transfer-encoding" in headers:
            answer.framing = "chunks"
            if headers["transfer-encoding"] != "chunked" or "content-length" in headers:
                raise AnswerBroken("framing")
            while size := self._chunk_size():
                self._read_exactly(size, parts)
                if self._line() != b"\r\n":
                    raise AnswerBroken("end of a chunk")
            self._headers()
        elif "content-length" in headers:
            answer.framing = "length"
            if not DIGITS.fullmatch(headers["content-length"]):
                raise AnswerBroken("length")
            answer.declared_bytes = int(headers["content-length"])
            self._read_exactly(answer.declared_bytes, parts)
        else:
            answer.framing = "connection"
            while part := self._part(PART_BYTES):
                parts.append(part)

    def _chunk_size(self) -> int:
        found = CHUNK_SIZE.fullmatch(self._line())
        if found is None:
            raise AnswerBroken("size of a chunk")
        return int(found[1], 16)

    def _read_exactly(self, size: int, parts: list[bytes]) -> None:
        while size:
            part = self._part(min(size, PART_BYTES))
            if not part:
                raise AnswerBroken(f"{size} bytes are missing")
            parts.append(part)
            size -= len(part)

    def _part(self, size: int) -> bytes:
        if self._pause_s:
            threading.Event().wait(self._pause_s)
        return self._file.read1(size)

    def _line(self) -> bytes:
        line = self._file.readline(LONGEST_LINE)
        if not line.endswith(b"\r\n"):
            raise AnswerBroken(f"the connection ended after {line[-40:]!r}")
        return line
