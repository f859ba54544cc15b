"""A loopback TCP proxy that delays, splits and joins segments, and passes on how each side ends."""

import random
import select
import socket
import threading
from contextlib import suppress
from dataclasses import dataclass

from cassiahaven_standins.answer_framing import NO_LINGER
from cassiahaven_standins.link_proxy import CHUNK_BYTES, LinkProxy

BUFFER_BYTES = 32_768  # larger ones take a whole request that the target does not read
DELAY_S = (0.0, 0.02)
DELAYED_SHARE = 0.1
SPLIT_SHARE = 0.3
LARGEST_SPLIT_BYTES = 200


@dataclass(slots=True)
class _Direction:
    """Bytes on their way from one socket to the other.

    Attributes:
        held: Received and not sent yet.
        has_ended: Whether the source has ended its side.
        is_passed: Whether its end was passed on.
    """

    source: socket.socket
    sink: socket.socket
    held: bytes = b""
    has_ended: bool = False
    is_passed: bool = False


class SegmentProxy(LinkProxy):
    """Forwards connections in other segments; a reset stays a reset, an orderly end an orderly one.

    One thread handles both directions of a connection: the system reports a reset only once, to
    whichever send or receive comes first.
    """

    def __init__(self, target: tuple[str, int], seed: str) -> None:
        self._random = random.Random(seed)
        super().__init__(target)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)

    def _refuse(self, client: socket.socket) -> None:
        # The target may have reset the connection as soon as it was open.
        _reset(client)

    def _serve(self, client: socket.socket, server: socket.socket) -> None:
        threading.Thread(target=self._relay, args=(client, server), daemon=True).start()

    def _relay(self, client: socket.socket, server: socket.socket) -> None:
        directions = [_Direction(client, server), _Direction(server, client)]
        try:
            for item in (client, server):
                item.setblocking(False)
                item.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            server.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
            while not all(item.is_passed for item in directions):
                self._step(directions)
        except (OSError, ValueError):  # the latter after reset_all has closed a socket
            for item in (client, server):
                _reset(item)
        else:
            client.close()
            server.close()

    def _step(self, directions: list[_Direction]) -> None:
        poll = select.poll()
        for item in directions:
            # Errors are reported in any case, so that a reset behind an orderly end is noticed.
            poll.register(item.source, self._events_of(item.source, directions))
        ready = dict(poll.poll())
        for item in directions:
            event = ready.get(item.source.fileno(), 0)
            if event & select.POLLERR:
                # Bytes in front of the reset are still passed on.
                self._drain(item)
                raise ConnectionResetError
            if event & (select.POLLIN | select.POLLHUP) and not (item.held or item.has_ended):
                self._receive(item)
        for item in directions:
            if item.held:
                self._send(item)
            if item.has_ended and not item.held and not item.is_passed:
                item.sink.shutdown(socket.SHUT_WR)
                item.is_passed = True

    def _events_of(self, opened: socket.socket, directions: list[_Direction]) -> int:
        events = 0
        for item in directions:
            if item.source is opened and not item.held and not item.has_ended:
                events |= select.POLLIN
            if item.sink is opened and item.held:
                events |= select.POLLOUT
        return events

    def _receive(self, item: _Direction) -> None:
        if self._random.random() < DELAYED_SHARE:
            # What arrives meanwhile is joined to one segment.
            threading.Event().wait(self._random.uniform(*DELAY_S))
        item.held = item.source.recv(CHUNK_BYTES)
        item.has_ended = not item.held

    def _send(self, item: _Direction) -> None:
        size = len(item.held)
        if self._random.random() < SPLIT_SHARE:
            size = self._random.randint(1, LARGEST_SPLIT_BYTES)
        try:
            sent = item.sink.send(item.held[:size])
        except BlockingIOError:
            return
        item.held = item.held[sent:]

    def _drain(self, item: _Direction) -> None:
        item.sink.setblocking(True)
        item.sink.settimeout(1.0)
        item.sink.sendall(item.held)
        while data := item.source.recv(CHUNK_BYTES):
            item.sink.sendall(data)


def _reset(item: socket.socket) -> None:
    with suppress(OSError):
        item.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    item.close()
