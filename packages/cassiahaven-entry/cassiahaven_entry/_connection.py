"""Connections to upstreams that tell cheaply whether they are open, and truly how they ended."""

import errno
import socket
from collections.abc import Callable
from typing import Any

from eventlet.greenio import GreenSocket
from urllib3.connection import HTTPConnection


class ResetTellingSocket(GreenSocket):
    """Raise where a connection was reset.

    The library reports a reset as an end of the stream, and then an answer that ends with its
    connection would look whole though it was cut.
    """

    def _recv_loop(self, recv_meth: Callable, empty_val: Any, *args: Any) -> Any:
        was_reset = False

        def receive(*values: Any) -> Any:
            nonlocal was_reset
            try:
                return recv_meth(*values)
            except ConnectionResetError:
                was_reset = True
                raise

        received = super()._recv_loop(receive, empty_val, *args)
        if was_reset:
            raise ConnectionResetError(errno.ECONNRESET, "connection reset by the upstream")
        return received


class PeekingConnection(HTTPConnection):
    """Look for a closed connection without a round through the hub."""

    def _new_conn(self) -> socket.socket:
        opened = super()._new_conn()
        plain = getattr(opened, "fd", None)
        if plain is None:
            return opened
        telling = ResetTellingSocket(plain)
        # The first wrapper closes the shared socket when it is collected.
        telling.first_wrapper = opened
        telling.settimeout(opened.gettimeout())
        return telling

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
