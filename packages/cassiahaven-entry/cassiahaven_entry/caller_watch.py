"""Cancels a running call when its caller disconnects."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from eventlet.hubs import get_hub
from greenlet import getcurrent


class CallerLeft(BaseException):
    """Raised in a call's greenlet when its caller has closed the connection.

    It derives from ``BaseException`` so that handlers of ``Exception`` do not catch it.
    """


def has_left(connection: socket.socket) -> bool | None:
    """Return whether the caller closed the connection, ``None`` if it is open and silent."""
    try:
        return not getattr(connection, "fd", connection).recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return True


class CallerWatch:
    """Raise ``CallerLeft`` in the current greenlet once the caller's connection is closed.

    A hub callback does this without an extra greenlet for each call.

    Args:
        connection: The caller's connection, whose request has been read.
    """

    __slots__ = ("_socket", "_task", "_hub", "_listener", "_is_over")

    def __init__(self, connection: socket.socket) -> None:
        # Peek at the plain socket, because the hub's callback must not block.
        self._socket = getattr(connection, "fd", connection)
        self._task = getcurrent()
        self._hub = get_hub()
        self._is_over = False
        self._listener = self._hub.add(
            self._hub.READ,
            self._socket.fileno(),
            self._on_readable,
            self._schedule_caller_left,
            self._unlisten,
        )

    def stop(self) -> None:
        """Stop watching; the call has ended."""
        self._is_over = True
        self._unlisten()

    def _unlisten(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            self._hub.remove(listener)

    def _on_readable(self, _: int) -> None:
        left = has_left(self._socket)
        if left:
            self._schedule_caller_left()
        elif left is not None:
            # The next request is pipelined; a later close is detected when the answer is written.
            self._unlisten()

    def _schedule_caller_left(self, *_: object) -> None:
        self._unlisten()
        self._hub.schedule_call_global(0, self._raise_caller_left)

    def _raise_caller_left(self) -> None:
        if not self._task.dead and not self._is_over:
            self._task.throw(CallerLeft())


@contextmanager
def watching(connection: socket.socket | None) -> Iterator[None]:
    """Raise ``CallerLeft`` inside the block once the caller's connection is closed."""
    if connection is None:
        yield
        return
    watch = CallerWatch(connection)
    try:
        yield
    finally:
        watch.stop()
