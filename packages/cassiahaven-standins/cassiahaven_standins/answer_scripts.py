"""Scripts of what an endpoint sends for each request, and a check of what is handed out.

An endpoint of a script sends answers whole, cut off, repeated and late, in pieces with pauses
between them, and ends its connection in an orderly way, by a reset, by both or not at all.
"""

import json
import random
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from enum import Enum
from hashlib import sha256
from pathlib import Path
from typing import Any

import fire

from cassiahaven_standins.answer_framing import (
    FRAMING_BY_NAME,
    INVALID_STATUS_LINES,
    NO_LINGER,
    FramedAnswer,
)

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
FIRST_LOAD = 100
MOST_CALLS = 5
CALL_TIMEOUT_MS = 400.0  # a silent endpoint costs as much
SERVER_TIMEOUT_S = 2.0
BACKLOG = 512
STATUSES = ["200 OK"] * 6 + [
    "204 No Content",
    "304 Not Modified",
    "404 Not Found",
    "500 Internal Server Error",
    "503 Service Unavailable",
]
BODILESS_STATUSES = ("204", "304")
ANSWER_BYTES = [0, 1, 40, 400, 8100, 8200, 70_000]
REQUEST_BYTES = [0, 0, 1, 200, 20_000]
LARGEST_BYTES = 1_000_000
LARGEST_SHARE = 0.02
CUT_SHARE = 0.3
LATE_SHARE = 0.15
INTERIM_SHARE = 0.1
INVALID_STATUS_SHARE = 0.05
SURPLUS_SHARE = 0.25
SPLIT_SHARE = 0.4
LONGEST_PAUSE_S = 0.02
CALLS = Path(__file__).with_name("answer_script_calls.py")


class End(Enum):
    """What an endpoint does with its connection after an answer."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"
    CLOSE_THEN_RESET = "close, then reset"
    HALF_CLOSE = "half-close"
    SILENCE = "silence"


ORDERLY_ENDS = frozenset({End.CLOSE, End.CLOSE_THEN_RESET, End.HALF_CLOSE})


class Reading(Enum):
    """When an endpoint reads the body of a request."""

    BEFORE = "before its answer"
    AFTER = "after its answer"
    NEVER = "never"


@dataclass(slots=True)
class ScriptedAnswer:
    """A call, and what the endpoint sends when it arrives.

    Attributes:
        call_id: Id of the request.
        call: Parameters of the call.
        framing: Name of the framing of the answer.
        answer: The answer that the endpoint means for this call.
        body: The body of that answer.
        status: Its status.
        pieces: What is sent, each piece with the pause before it in seconds.
        sent_answer: What is sent from the start of this call's own answer on.
        is_whole: Whether that answer is sent to its end.
        reading: When the request's body is read.
        end: What becomes of the connection.
        load: Load that the answer to a probe reports.
        has_status: Whether its status line is valid; otherwise it is no answer.
    """

    call_id: str
    call: dict[str, Any]
    framing: str
    answer: FramedAnswer
    body: bytes
    status: int
    pieces: list[tuple[float, bytes]] = field(default_factory=list)
    sent_answer: bytes = b""
    is_whole: bool = True
    reading: Reading = Reading.BEFORE
    end: End = End.KEEP
    load: int = 0
    has_status: bool = True

    @property
    def is_bodiless(self) -> bool:
        """Return whether the head is the whole answer."""
        return self.call["method"] == "HEAD" or str(self.status) in BODILESS_STATUSES

    @property
    def allowed_body(self) -> bytes | None:
        """Return the only body that may be handed out, ``None`` if there is none."""
        if not self.has_status:
            return None
        if self.is_bodiless:
            return b"" if len(self.sent_answer) >= self.answer.head_size else None
        if not self.answer.ends_with_connection:
            return self.body if self.is_whole else None
        if self.end not in ORDERLY_ENDS or len(self.sent_answer) < self.answer.head_size:
            return None
        return self.sent_answer[self.answer.head_size :]  # its end cannot be told

    def allows(self, result: Any) -> bool:
        """Return whether ``result`` of the call is a failure or the answer to this call."""
        if result is None:
            return True
        body = self.allowed_body
        return body is not None and result == [self.status, len(body), sha256(body).hexdigest()]


def new_script(rng: random.Random, name: str) -> list[ScriptedAnswer]:
    """Return a script of a few calls to one endpoint."""
    script: list[ScriptedAnswer] = []
    for number in range(rng.randint(1, MOST_CALLS)):
        last = script[-1] if script else None
        script.append(_new_answer(rng, f"{name}.{number}", FIRST_LOAD + number, last))
    return script


def _new_answer(
    rng: random.Random, call_id: str, load: int, last: ScriptedAnswer | None
) -> ScriptedAnswer:
    is_probe = rng.random() < 0.15
    method = "GET" if is_probe else rng.choice(["GET", "GET", "POST", "POST", "PUT", "HEAD"])
    call = {
        "id": call_id,
        "is_probe": is_probe,
        "method": method,
        "is_idempotent": rng.random() < 0.8,
        "body_bytes": _size(rng, REQUEST_BYTES) if method in ("POST", "PUT") else 0,
        "pause_s": rng.choice([0.0, 0.0, 0.005, 0.03]),
        "timeout_ms": CALL_TIMEOUT_MS,
    }
    framing = rng.choice(list(FRAMING_BY_NAME))
    status = "200 OK" if is_probe else rng.choice(STATUSES)
    size = _size(rng, ANSWER_BYTES)
    body = (f"<{call_id}>".encode() * (size // len(call_id) + 1))[:size]
    headers = {"Request-Id": call_id, "Response-Signature": SIGNATURE}
    if is_probe:
        headers = {"Server-Load": f"{load},0,1"}
    elif status.startswith("503"):
        headers = {"Request-Id": call_id, "Not-Executed": "1"}
    encoded = FRAMING_BY_NAME[framing].encode(status, headers, body)
    has_status = rng.random() >= INVALID_STATUS_SHARE
    if not has_status:
        encoded = encoded.with_status_line(rng.choice(INVALID_STATUS_LINES))
    answer = ScriptedAnswer(
        call_id, call, framing, encoded, body, int(status[:3]), load=load, has_status=has_status
    )
    _add_pieces(rng, answer, last)
    return answer


def _add_pieces(rng: random.Random, scripted: ScriptedAnswer, last: ScriptedAnswer | None) -> None:
    whole = scripted.answer.data
    if scripted.is_bodiless and rng.random() < 0.8:
        whole = whole[: scripted.answer.head_size]
    sent: list[bytes] = []
    if last is not None and rng.random() < LATE_SHARE:
        sent.append(_maybe_cut(rng, last.answer))
    if rng.random() < INTERIM_SHARE:
        status = rng.choice(["100 Continue", "103 Early Hints"])
        sent.append(f"HTTP/1.1 {status}\r\nRequest-Id: {scripted.call_id}\r\n\r\n".encode())
    own = _cut(rng, scripted.answer)[: len(whole)] if rng.random() < CUT_SHARE else whole
    scripted.is_whole = len(own) == len(whole)
    behind: list[bytes] = []
    if scripted.is_whole and rng.random() < SURPLUS_SHARE:
        repeated = _maybe_cut(rng, scripted.answer)
        behind.append(rng.choice([repeated, repeated, b"\r\n", b"0\r\n\r\n", b"x" * 5]))
    scripted.sent_answer = own + b"".join(behind)
    for data in [*sent, own, *behind]:
        scripted.pieces += _split(rng, data)
    ends = [item for item in End if item is not End.KEEP]
    if scripted.is_whole and not scripted.answer.ends_with_connection:
        ends += [End.KEEP] * 12
    scripted.end = rng.choice(ends)
    readings = [Reading.BEFORE] * 3 + [Reading.AFTER]
    if scripted.end is not End.KEEP:
        readings.append(Reading.NEVER)
    scripted.reading = rng.choice(readings)


def _size(rng: random.Random, sizes: list[int]) -> int:
    return LARGEST_BYTES if rng.random() < LARGEST_SHARE else rng.choice(sizes)


def _maybe_cut(rng: random.Random, answer: FramedAnswer) -> bytes:
    return answer.data if rng.random() < 0.5 else _cut(rng, answer)


def _cut(rng: random.Random, answer: FramedAnswer) -> bytes:
    near = min(len(answer.data), answer.head_size + 20)
    return answer.data[: rng.randint(0, rng.choice([near, len(answer.data)]))]


def _split(rng: random.Random, data: bytes) -> Iterator[tuple[float, bytes]]:
    while True:
        pause_s = rng.choice([0.0, 0.0, rng.random() * LONGEST_PAUSE_S])
        is_split = len(data) > 1 and rng.random() < SPLIT_SHARE
        size = rng.randint(1, len(data) - 1) if is_split else len(data)
        yield pause_s, data[:size]
        data = data[size:]
        if not data:
            return


class ScriptServer:
    """Endpoints of scripts: each request's path is its id, which selects what is sent."""

    def __init__(self) -> None:
        self.answer_by_id: dict[str, ScriptedAnswer] = {}
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        return self.listener.getsockname()[1]

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.settimeout(SERVER_TIMEOUT_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection, suppress(OSError):
            received = b""
            while True:
                while b"\r\n\r\n" not in received:
                    received += _receive(connection)
                head, _, received = received.partition(b"\r\n\r\n")
                scripted = self.answer_by_id[head.split(b" ", 2)[1][1:].decode()]
                unread = scripted.call["body_bytes"] - len(received)
                if scripted.reading is Reading.BEFORE:
                    _skip(connection, unread)
                for pause_s, data in scripted.pieces:
                    time.sleep(pause_s)
                    connection.sendall(data)
                if scripted.reading is Reading.AFTER:
                    _skip(connection, unread)
                received = received[scripted.call["body_bytes"] :]
                if scripted.end is not End.KEEP:
                    _end(connection, scripted.end)
                    return


def _receive(connection: socket.socket) -> bytes:
    data = connection.recv(65536)
    if not data:
        raise ConnectionResetError
    return data


def _skip(connection: socket.socket, size: int) -> None:
    while size > 0:
        size -= len(_receive(connection))


def _end(connection: socket.socket, end: End) -> None:
    if end in (End.CLOSE_THEN_RESET, End.HALF_CLOSE):
        connection.shutdown(socket.SHUT_WR)
    if end in (End.SILENCE, End.HALF_CLOSE):
        while _receive(connection):
            pass
    if end is End.CLOSE_THEN_RESET:
        time.sleep(LONGEST_PAUSE_S)
    if end in (End.RESET, End.CLOSE_THEN_RESET):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


class ScriptRunner:
    """Play scripts against the HTTP transport in a process of its own.

    Attributes:
        outcomes: Number of calls by framing, end of the connection and outcome.
    """

    def __init__(self, server: ScriptServer, calls: subprocess.Popen) -> None:
        self.outcomes: Counter[tuple[str, str, str]] = Counter()
        self._server = server
        self._calls = calls

    def results(self, scripts: list[list[ScriptedAnswer]]) -> list[list[Any]]:
        """Make the calls of scripts side by side; return what was handed out for each call."""
        self._server.answer_by_id = {
            scripted.call_id: scripted for script in scripts for scripted in script
        }
        calls = [[scripted.call for scripted in script] for script in scripts]
        self._calls.stdin.write(json.dumps({"port": self._server.port, "scripts": calls}) + "\n")
        self._calls.stdin.flush()
        line = self._calls.stdout.readline()
        if not line:
            raise RuntimeError("the process that makes the calls has ended")
        return json.loads(line)

    def play(self, scripts: list[list[ScriptedAnswer]]) -> list[str]:
        """Play scripts; describe each wrong answer that was handed out."""
        found = []
        for script, results in zip(scripts, self.results(scripts), strict=True):
            loads = {
                scripted.load
                for scripted in script
                if scripted.call["is_probe"] and scripted.has_status
            }
            for scripted, result in zip(script, results, strict=True):
                is_probe = scripted.call["is_probe"]
                is_right = result in {None, *loads} if is_probe else scripted.allows(result)
                self._count(scripted, result, is_right)
                if not is_right:
                    found.append(_describe(script, results, scripted))
        return found

    def _count(self, scripted: ScriptedAnswer, result: Any, is_right: bool) -> None:
        framing = "probe" if scripted.call["is_probe"] else scripted.framing
        if scripted.is_bodiless:
            framing = "bodiless"
        sent = "whole" if scripted.is_whole else "cut"
        if not scripted.has_status:
            sent = "invalid status"
        outcome = "failed" if result is None else "handed out"
        key = (framing, f"{sent}, {scripted.end.value}", outcome if is_right else "WRONG")
        self.outcomes[key] += 1


def _describe(script: list[ScriptedAnswer], results: list[Any], wrong: ScriptedAnswer) -> str:
    lines = [f"wrong answer to {wrong.call_id}:"]
    for scripted, result in zip(script, results, strict=True):
        pieces = [
            f"{pause_s * 1000:.0f} ms, {data[:150]!r}{'...' if len(data) > 150 else ''}"
            for pause_s, data in scripted.pieces
        ]
        lines += [
            f"  {scripted.call}",
            f"    means {scripted.status} with {len(scripted.body)} bytes ({scripted.framing}), "
            f"reads the body {scripted.reading.value}, end: {scripted.end.value}",
            *(f"    sends after {piece}" for piece in pieces),
            f"    result {result}",
        ]
    return "\n".join(lines)


@contextmanager
def script_runner(python: str = sys.executable) -> Iterator[ScriptRunner]:
    """Run a server for scripts, and the process that makes their calls.

    Args:
        python: The interpreter, whose environment has the transport.
    """
    server = ScriptServer()
    command = [python, "-P", "-W", "ignore", str(CALLS)]
    calls = subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, bufsize=1
    )
    try:
        yield ScriptRunner(server, calls)
    finally:
        server.listener.close()
        calls.stdin.close()
        calls.wait()
        calls.stdout.close()


def run(
    *, seed: int = 1, batches: int = 10, scripts: int = 200, python: str = sys.executable
) -> None:
    """Play scripts of one seed and print how answers were handed out.

    Args:
        seed: Determines the scripts.
        batches: Number of batches.
        scripts: Scripts in a batch, played side by side.
        python: The interpreter, whose environment has the transport.
    """
    rng = random.Random(seed)
    found = []
    with script_runner(python) as runner:
        for batch in range(batches):
            names = [f"s{batch}-{number}" for number in range(scripts)]
            found += runner.play([new_script(rng, name) for name in names])
    for text in found[:10]:
        print(text)
    outcomes = {" / ".join(key): number for key, number in sorted(runner.outcomes.items())}
    calls = runner.outcomes.total()
    print(json.dumps({"seed": seed, "calls": calls, "wrong": len(found), "outcomes": outcomes}))
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    fire.Fire(run)
