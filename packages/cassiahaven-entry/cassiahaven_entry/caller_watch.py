"""Notices that a caller left while its call runs."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from eventlet.hubs import get_hub
from greenlet import getcurrent


class CallerLeft(BaseException):
    """End a call whose caller closed the connection; raised inside the call's own task.

    It derives from ``BaseException`` so that no handler of ordinary faults holds it up.
    """


def has_left(connection: socket.socket) -> bool | None:
    """Tell whether the caller closed the connection, ``None`` if nothing came from it."""
    try:
        return not getattr(connection, "fd", connection).recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return True


class CallerWatch:
    """Raise ``CallerLeft`` in the current task once the caller's connection is closed.

    A callback of the hub does this without a task of its own for each call.

    Args:
        connection: The caller's connection, whose request has been read.
    """

    __slots__ = ("_socket", "_task", "_hub", "_listener", "_is_over")

    def __init__(self, connection: socket.socket) -> None:
        # Peeking goes to the plain socket: the hub's callback must not wait.
        self._socket = getattr(connection, "fd", connection)
        self._task = getcurrent()
        self._hub = get_hub()
        self._is_over = False
        self._listener = self._hub.add(
            self._hub.READ, self._socket.fileno(), self._on_readable, self._leave, self._unlisten
        )

    def stop(self) -> None:
        """Watch no longer; the call is over."""
        self._is_over = True
        self._unlisten()

    def _unlisten(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            self._hub.remove(listener)

    def _on_readable(self, _: int) -> None:
        left = has_left(self._socket)
        if left:
            self._leave()
        elif left is not None:
            # The next request came early; a later close shows when the answer is written.
            self._unlisten()

    def _leave(self, *_: object) -> None:
        self._unlisten()
        self._hub.schedule_call_global(0, self._raise)

    def _raise(self) -> None:
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
