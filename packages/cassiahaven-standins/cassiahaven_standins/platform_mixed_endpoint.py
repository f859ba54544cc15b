"""Stand-in for an endpoint that cuts, repeats and precedes its answers, and records each."""

import random
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache

from cassiahaven_standins.answer_framing import (
    FRAMING_BY_NAME,
    INVALID_STATUS_LINES,
    NO_LINGER,
    FramedAnswer,
)
from cassiahaven_standins.platform_endpoint import (
    EndpointHandler,
    EndpointState,
    PlatformEndpoint,
)
from cassiahaven_standins.segment_proxy import BUFFER_BYTES, SegmentProxy

HEALTH_PATH = "/health"
SERVICE_TIME_S = 0.005
LONGEST_SILENCE_S = 5.0
HALF_OPEN_S = 0.5
RESET_DELAY_S = (0.0, 0.05)  # behind an orderly end
SECOND_ANSWER_DELAYS_S = ((0.0, 0.03), (0.0, 0.5))
READING_DELAY_S = (0.0, 0.2)
LARGE_BODY_BYTES = 50_000
PART_BYTES = 65_536
CACHED_BODIES = 32
FAILURE_BODY = b"out of order"
INTERIM_HEADS = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\nRequest-Id: %s\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
)


KEPT_FRAMINGS = frozenset({"length", "length, interim answer"}) | {
    name for name in FRAMING_BY_NAME if name.startswith("chunks")
}


class Spoil(Enum):
    """What an endpoint does to an answer."""

    NONE = "none"
    CUT = "cut"
    TWICE = "twice"
    LATE = "late"  # preceded by a part of the connection's answer before
    INTERIM = "interim"
    EARLY = "early"  # answers a long request before reading it
    STATUS = "status"  # with an invalid status line, and another body


class Ending(Enum):
    """How an endpoint ends a connection within an answer."""

    FIN = "fin"
    RESET = "reset"
    FIN_AND_RESET = "fin and reset"
    HALF_CLOSED = "half-closed"
    SILENT = "silent"


ENDINGS_THAT_SHOW = (Ending.RESET, Ending.SILENT)  # an answer without a length is broken by these


@dataclass(slots=True)
class SecondAnswer:
    """One more answer to a request.

    Attributes:
        delay_s: Time after the answer before.
        cut_at: Number of bytes sent, ``None`` for all.
        is_in_use: Whether the connection had got another request meanwhile.
        is_sent: Whether it could be sent.
    """

    framing: str
    delay_s: float
    cut_at: int | None
    is_in_use: bool = False
    is_sent: bool = False


@dataclass(slots=True)
class SentAnswer:
    """An answer as an endpoint sent it.

    Attributes:
        exchange: Position of the request on its connection, from 1.
        body_bytes: Length of the whole body.
        part: Kind of the part in which it was cut, empty for none.
        cut_at: Number of bytes sent, including the head.
        ending: How the connection was ended within it.
    """

    request: str
    endpoint: str
    framing: str
    spoil: Spoil
    exchange: int
    body_bytes: int
    part: str = ""
    cut_at: int | None = None
    ending: Ending | None = None
    seconds: list[SecondAnswer] = field(default_factory=list)


class MixedEndpointState(EndpointState):
    """Answers that an endpoint sent, and how it is to spoil them.

    Attributes:
        spoils: What it does to the answers that it spoils.
        spoiled_share: Share of the answers that it spoils.
        answers: All answers to requests that were run.
        service_by_instance: Services that the endpoint's address has belonged to.
        misread_requests: Ids of requests whose body was not what their target announces.
        unfinished_requests: Number of requests whose sender gave up before all of it had arrived.
        misdirected: Number of requests that were meant for another endpoint.
        health_checks: Number of health checks.
        kept_health_checks: Number of those on a connection that had been used before.
    """

    def __init__(
        self, endpoint: str, service: str, seed: str, spoils: list[Spoil], share: float
    ) -> None:
        super().__init__(endpoint, service)
        self.service_time_s = SERVICE_TIME_S
        self.random = random.Random(seed)
        self.spoils = spoils
        self.spoiled_share = share
        self.answers: list[SentAnswer] = []
        self.service_by_instance = {endpoint: service}
        self.misread_requests: list[str] = []
        self.unfinished_requests = 0
        self.misdirected = 0
        self.health_checks = 0
        self.kept_health_checks = 0

    def choose_spoil(self) -> Spoil:
        """Return what to do to an answer."""
        if not self.spoils or self.random.random() >= self.spoiled_share:
            return Spoil.NONE
        return self.random.choice(self.spoils)


class MixedHandler(EndpointHandler):
    """Answer in any framing, and spoil some of the answers."""

    state: MixedEndpointState

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._exchanges = 0
        self._early: SentAnswer | None = None
        self._last_answer: tuple[float, str, bytes] | None = None

    def handle_request(self) -> None:
        self._exchanges += 1
        self._early = None
        if self.path == HEALTH_PATH:
            self.state.health_checks += 1
            self.state.kept_health_checks += self._exchanges > 1
        elif self.headers["Target-Instance"] != self.state.endpoint:
            self.state.misdirected += 1
        super().handle_request()

    do_GET = do_POST = handle_request

    def read_body(self) -> bytes:
        """Read the request's body, after the answer if that is to be early."""
        size = int(self.headers.get("Content-Length") or 0)
        request = self.headers["Request-Id"]
        is_ours = self.headers["Target-Instance"] == self.state.endpoint
        if request and is_ours and size >= LARGE_BODY_BYTES and self._answers_early():
            self._early = self._send_answer(request, Spoil.EARLY)
            threading.Event().wait(self.state.random.uniform(*READING_DELAY_S))
        body = super().read_body()
        if len(body) < size:
            # Its sender gave the request up.
            self.state.unfinished_requests += 1
            raise ConnectionAbortedError
        return body

    def respond(self, request: str, body: bytes) -> None:
        """Answer a request that was run, unless that was done before it was read."""
        if body != mixed_request_body(self.path):
            self.state.misread_requests.append(request)
        if self._early is None:
            spoil = self.state.choose_spoil()
            self._send_answer(request, Spoil.NONE if spoil is Spoil.EARLY else spoil)

    def _answers_early(self) -> bool:
        return self.state.choose_spoil() is Spoil.EARLY

    def _send_answer(self, request: str, spoil: Spoil) -> SentAnswer:
        state, rng = self.state, self.state.random
        body = mixed_answer(self._service(), self.path)
        name, answer = self._encode(request, body, self._interim(request, spoil))
        if spoil in (Spoil.TWICE, Spoil.EARLY):
            # Connections that are kept.
            while answer.ends_with_connection:
                name, answer = self._encode(request, body, b"")
        if spoil is Spoil.STATUS:
            # Its body differs, so that the rig notices if it is handed out as a success.
            name, answer = self._encode(request, FAILURE_BODY, b"")
            answer = answer.with_status_line(rng.choice(INVALID_STATUS_LINES))
        sent = SentAnswer(request, state.endpoint, name, spoil, self._exchanges, len(body))
        state.answers.append(sent)
        if spoil is Spoil.LATE:
            self._send_late_part(sent)
        self._last_answer = time.monotonic(), request, body
        if spoil is Spoil.CUT:
            self._cut(answer, sent)
            return sent
        self._write_parts(answer.data)
        if spoil is Spoil.TWICE:
            for _ in range(rng.choice((1, 1, 2))):
                self._schedule_second(request, body, sent)
        elif name not in KEPT_FRAMINGS:
            self.close_connection = True
        return sent

    def _service(self) -> str:
        instance = self.headers["Target-Instance"]
        return self.state.service_by_instance.get(instance, self.state.service)

    def _interim(self, request: str, spoil: Spoil) -> bytes:
        rng = self.state.random
        if spoil is not Spoil.INTERIM:
            return b""
        heads = [rng.choice(INTERIM_HEADS) for _ in range(rng.randint(1, 3))]
        return b"".join(heads).replace(b"%s", request.encode())

    def _encode(self, request: str, body: bytes, interim: bytes) -> tuple[str, FramedAnswer]:
        rng = self.state.random
        headers = [
            ("Request-Id", request),
            ("Response-Signature", f"sig-{request}"),
            ("Server-Load", self._load()),
        ]
        rng.shuffle(headers)
        name = rng.choice(list(FRAMING_BY_NAME))
        answer = FRAMING_BY_NAME[name].encode(
            "200 OK", dict(headers), body, framing_first=rng.random() < 0.5, interim=interim
        )
        return name, answer

    def _choose_cut(self, answer: FramedAnswer) -> tuple[str, int]:
        """Return a kind of part, and a position in it; each kind is as likely."""
        rng = self.state.random
        part, ranges = rng.choice(list(answer.parts_by_name().items()))
        return part, rng.choice(rng.choice(ranges))

    def _cut(self, answer: FramedAnswer, sent: SentAnswer) -> None:
        rng = self.state.random
        sent.part, sent.cut_at = self._choose_cut(answer)
        is_unframed = answer.ends_with_connection and sent.cut_at >= answer.head_size
        sent.ending = rng.choice(ENDINGS_THAT_SHOW if is_unframed else list(Ending))
        self.close_connection = True
        self._write_parts(answer.data[: sent.cut_at])
        try:
            self._end(sent.ending)
        except OSError:
            return

    def _end(self, ending: Ending) -> None:
        connection = self.connection
        if ending is Ending.RESET:
            self._reset()
        elif ending is Ending.FIN_AND_RESET:
            connection.shutdown(socket.SHUT_WR)
            threading.Event().wait(self.state.random.uniform(*RESET_DELAY_S))
            self._reset()
        elif ending is Ending.HALF_CLOSED:
            connection.shutdown(socket.SHUT_WR)
            self._await_end(HALF_OPEN_S)
        elif ending is Ending.SILENT:
            self._await_end(LONGEST_SILENCE_S)
            self._reset()

    def _reset(self) -> None:
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.rfile.close()
        self.connection.close()

    def _await_end(self, most_s: float) -> None:
        self.connection.settimeout(most_s)
        try:
            while self.connection.recv(PART_BYTES):
                continue
        except TimeoutError:
            return

    def _send_late_part(self, sent: SentAnswer) -> None:
        if self._last_answer is None:
            return
        at_s, request, body = self._last_answer
        name, answer = self._encode(request, body, b"")
        cut_at = self._choose_cut(answer)[1]
        second = SecondAnswer(name, time.monotonic() - at_s, cut_at, is_in_use=True)
        sent.seconds.append(second)
        second.is_sent = self._write_parts(answer.data[:cut_at])

    def _schedule_second(self, request: str, body: bytes, sent: SentAnswer) -> None:
        rng = self.state.random
        name, answer = self._encode(request, body, b"")
        cut_at = rng.choice((None, self._choose_cut(answer)[1]))
        second = SecondAnswer(name, rng.uniform(*rng.choice(SECOND_ANSWER_DELAYS_S)), cut_at)
        sent.seconds.append(second)
        exchange = self._exchanges

        def send() -> None:
            second.is_in_use = self._exchanges > exchange
            second.is_sent = self._write_parts(answer.data[:cut_at])

        timer = threading.Timer(second.delay_s, send)
        timer.daemon = True
        timer.start()

    def _write_parts(self, data: bytes) -> bool:
        try:
            with self._write_lock:
                for part in _parts(data, self.state.random):
                    self.connection.sendall(part)
        except (OSError, ValueError):
            self.close_connection = True
            return False
        return True


class MixedEndpoint(PlatformEndpoint):
    """An endpoint that spoils answers, reached through a proxy that forms other segments."""

    state: MixedEndpointState

    def __init__(
        self, endpoint: str, service: str, *, seed: str, spoils: list[Spoil], share: float
    ) -> None:
        state = MixedEndpointState(endpoint, service, seed, spoils, share)
        super().__init__(endpoint, service, "a", state=state, handler=MixedHandler)
        self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        host, _, port = super().address.partition(":")
        self._proxy = SegmentProxy((host, int(port)), seed)

    @property
    def address(self) -> str:
        """Return the proxy's address."""
        return self._proxy.address

    def become(self, endpoint: str, service: str) -> None:
        """Answer as another endpoint from now on, at the same address."""
        self.state.service_by_instance[endpoint] = service
        self.state.endpoint, self.state.service = endpoint, service

    def close(self) -> None:
        """Stop the server and the proxy at once."""
        super().close()
        self._proxy.close()


def mixed_target(kind: str, prefix: str, name: str, answer_bytes: int, body_bytes: int) -> str:
    """Return the target of a request that tells how long its answer and its own body are."""
    return f"/{kind}/{prefix}/{name}/{answer_bytes}/{body_bytes}"


@lru_cache(maxsize=CACHED_BODIES)
def mixed_answer(service: str, target: str) -> bytes:
    """Return the whole body with which ``service`` answers a request."""
    size = int(target.split("/")[-2])
    return random.Random(f"{service} {target}").randbytes(size)


@lru_cache(maxsize=CACHED_BODIES)
def mixed_request_body(target: str) -> bytes:
    """Return the body of a request with this target."""
    return random.Random(target).randbytes(int(target.rpartition("/")[2]))


def _parts(data: bytes, rng: random.Random) -> Iterator[bytes]:
    """Yield ``data``, often as several segments."""
    split = rng.randrange(len(data)) if data and rng.random() < 0.5 else 0
    yield data[:split]
    yield data[split:]
