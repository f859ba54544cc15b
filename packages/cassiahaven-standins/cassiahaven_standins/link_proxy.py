"""A loopback proxy that harms the connections through it."""

import socket
import struct
import threading

PART_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0  # loopback answers at once unless the machine is very busy


class LinkProxy:
    """Pass connections on to a target, until a fault is set.

    Attributes:
        delay_s: Time that each part is held back.
        is_silent: Whether parts are swallowed in both directions, without a close.
        is_one_way: Whether only what the target sends is swallowed.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.delay_s = 0.0
        self.is_silent = False
        self.is_one_way = False
        self._target = target
        self._open: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address as host and port."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def reset_all(self) -> None:
        """Reset every open connection."""
        opened, self._open = self._open, []
        for item in opened:
            try:
                item.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                # A thread that waits for data holds the connection open until it wakes.
                item.shutdown(socket.SHUT_RD)
                item.close()
            except OSError:
                continue

    def heal(self) -> None:
        """Pass everything on again; connections that lost bytes are reset."""
        was_silent = self.is_silent or self.is_one_way
        self.delay_s, self.is_silent, self.is_one_way = 0.0, False, False
        if was_silent:
            self.reset_all()

    def close(self) -> None:
        """Stop listening and end all connections."""
        self._listener.close()
        self.reset_all()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection(self._target, timeout=CONNECT_TIMEOUT_S)
                far.settimeout(None)
            except OSError:
                if self._listener.fileno() < 0:
                    return
                near.close()
                continue
            self._open += [near, far]
            for source, sink, is_answer in ((near, far, False), (far, near, True)):
                threading.Thread(
                    target=self._pass_on, args=(source, sink, is_answer), daemon=True
                ).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket, is_answer: bool) -> None:
        try:
            while data := source.recv(PART_BYTES):
                if self.delay_s:
                    threading.Event().wait(self.delay_s)
                if self.is_silent or (self.is_one_way and is_answer):
                    continue
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for item in (source, sink):
                item.close()
