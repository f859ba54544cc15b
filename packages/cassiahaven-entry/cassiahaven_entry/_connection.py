"""Connections to upstreams: whether they are open, how they ended, how long they may take."""

import errno
import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.greenio import GreenSocket
from urllib3.connection import HTTPConnection

from cassiahaven_entry.clock import MS_PER_S, now_ms

MOST_RECEIVED_IN_A_ROW = 16  # times 8 KB, what the library reads at a time
SHORTEST_TIMEOUT_S = 0.001  # 0 would make the socket non-blocking


class UpstreamSocket(GreenSocket):
    """Raise where a connection was reset, and where an exchange takes longer than it may.

    The library reports a reset as an end of the stream, and then an answer that ends with its
    connection would look whole though it was cut. Its timeouts hold for each receive, so an
    upstream that sends a byte now and then would never meet them.

    Attributes:
        expires_ms: When the exchange has to be over.
    """

    expires_ms = float("inf")
    _received_in_a_row = 0

    def gettimeout(self) -> float | None:
        """Return the time that a receive may take, seconds."""
        timeout_s = super().gettimeout()
        if self.expires_ms == float("inf"):
            return timeout_s
        left_s = max(SHORTEST_TIMEOUT_S, (self.expires_ms - now_ms()) / MS_PER_S)
        return left_s if timeout_s is None else min(timeout_s, left_s)

    def _recv_loop(self, recv_meth: Callable, empty_val: Any, *args: Any) -> Any:
        was_reset = False
        self._let_others_run()

        def receive(*values: Any) -> Any:
            nonlocal was_reset
            if now_ms() >= self.expires_ms:
                raise TimeoutError("the exchange took too long")
            try:
                return recv_meth(*values)
            except BlockingIOError:
                self._received_in_a_row = 0
                raise
            except ConnectionResetError:
                was_reset = True
                raise

        received = super()._recv_loop(receive, empty_val, *args)
        if was_reset:
            raise ConnectionResetError(errno.ECONNRESET, "connection reset by the upstream")
        return received

    def _let_others_run(self) -> None:
        # A receive that finds data does not wait, and an upstream may send without a pause.
        self._received_in_a_row += 1
        if self._received_in_a_row >= MOST_RECEIVED_IN_A_ROW:
            self._received_in_a_row = 0
            eventlet.sleep(0)


class PeekingConnection(HTTPConnection):
    """Look for a closed connection without a round through the hub, and bound its exchanges."""

    _expires_ms = float("inf")

    def expire_in(self, timeout_ms: float) -> None:
        """Let the exchange end within ``timeout_ms`` milliseconds from now."""
        self._expire_at(now_ms() + timeout_ms)

    def extend(self, more_ms: float) -> None:
        """Let the exchange take ``more_ms`` milliseconds longer."""
        self._expire_at(self._expires_ms + more_ms)

    def _expire_at(self, at_ms: float) -> None:
        self._expires_ms = at_ms
        if isinstance(self.sock, UpstreamSocket):
            self.sock.expires_ms = at_ms

    def _new_conn(self) -> socket.socket:
        opened = super()._new_conn()
        plain = getattr(opened, "fd", None)
        if plain is None:
            return opened
        bounded = UpstreamSocket(plain)
        # The first wrapper closes the shared socket when it is collected.
        bounded.first_wrapper = opened
        bounded.settimeout(opened.gettimeout())
        bounded.expires_ms = self._expires_ms
        return bounded

    @property
    def is_connected(self) -> bool:
        """Tell whether the peer has neither closed the connection nor sent anything unasked."""
        green_socket = self.sock
        if green_socket is None:
            return False
        raw_socket = getattr(green_socket, "fd", None)
        if raw_socket is None:
            return super().is_connected
        try:
            raw_socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False
