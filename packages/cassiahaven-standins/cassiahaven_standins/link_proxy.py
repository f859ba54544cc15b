"""A loopback TCP proxy that injects faults into the connections through it."""

import socket
import struct
import threading

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0  # loopback connects at once unless the machine is very busy


class LinkProxy:
    """Forwards connections to a target, with the faults that are set.

    Attributes:
        delay_s: Delay of each chunk.
        is_silent: Whether data is dropped in both directions while the connections stay open.
        is_one_way: Whether only data from the target is dropped.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.delay_s = 0.0
        self.is_silent = False
        self.is_one_way = False
        self._target = target
        self._open_sockets: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address as host and port."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def reset_all(self) -> None:
        """Reset every open connection."""
        opened, self._open_sockets = self._open_sockets, []
        for item in opened:
            try:
                item.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                # A thread blocked in recv keeps the connection open; the shutdown wakes it.
                item.shutdown(socket.SHUT_RD)
                item.close()
            except OSError:
                continue

    def heal(self) -> None:
        """Clear all faults; if data may have been dropped, reset the open connections."""
        lost_bytes = self.is_silent or self.is_one_way
        self.delay_s, self.is_silent, self.is_one_way = 0.0, False, False
        if lost_bytes:
            self.reset_all()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._listener.close()
        self.reset_all()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
                server = socket.create_connection(self._target, timeout=CONNECT_TIMEOUT_S)
                server.settimeout(None)
            except OSError:
                if self._listener.fileno() < 0:
                    return
                self._refuse(client)
                continue
            self._open_sockets += [client, server]
            self._serve(client, server)

    def _refuse(self, client: socket.socket) -> None:
        client.close()

    def _serve(self, client: socket.socket, server: socket.socket) -> None:
        for source, sink, is_from_target in ((client, server, False), (server, client, True)):
            threading.Thread(
                target=self._forward, args=(source, sink, is_from_target), daemon=True
            ).start()

    def _forward(self, source: socket.socket, sink: socket.socket, is_from_target: bool) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.delay_s:
                    threading.Event().wait(self.delay_s)
                if self.is_silent or (self.is_one_way and is_from_target):
                    continue
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for item in (source, sink):
                item.close()
