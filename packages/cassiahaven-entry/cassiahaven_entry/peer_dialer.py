"""An outgoing connection to a peer with automatic reconnection."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager

import eventlet
from websockets.exceptions import InvalidStatus
from websockets.sync.client import ClientConnection, connect

from cassiahaven_core.peer_message import MalformedMessage, PeerMessage, decode, encode
from cassiahaven_entry.clock import MS_PER_S
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.peer_handler import (
    CLOSE_TIMEOUT_S,
    CLUSTER_HEADER,
    CONNECTION_ERRORS,
    LARGEST_MESSAGE_BYTES,
    OPEN_TIMEOUT_S,
)

RECONNECT_DELAY_MS = 200.0


class PeerDialer(ABC):
    """Keep a connection to one peer open, reconnecting when it ends.

    Args:
        name: Name of the peer's VM.
        url: Address of its peer port.
        cluster: Name of the cluster.
        key: Shared key of the peer links.
        metrics: Counters of the bytes, ``None`` for none.
    """

    def __init__(
        self, name: str, url: str, *, cluster: str, key: str, metrics: Metrics | None = None
    ) -> None:
        self.name = name
        self.url = url
        self._metrics = metrics
        self._headers = {"Authorization": f"Bearer {key}", CLUSTER_HEADER: cluster}
        self._connection: ClientConnection | None = None
        self._is_closed = False

    def run(self) -> None:
        """Connect and reconnect until the link is closed."""
        while not self._is_closed:
            try:
                self._connect()
            except InvalidStatus as error:
                log(LogEvent.PEER_LOST, peer=self.name, error=str(error))
            except MalformedMessage as error:
                log(LogEvent.PEER_MESSAGE_MALFORMED, peer=self.name, error=str(error))
            except CONNECTION_ERRORS as error:
                self._on_failure(error)
            eventlet.sleep(RECONNECT_DELAY_MS / MS_PER_S)

    def close(self) -> None:
        """Close the link."""
        self._is_closed = True
        if self._connection is not None:
            self._connection.close()

    def drop(self) -> None:
        """Close the link without a closing handshake."""
        self._is_closed = True
        if self._connection is not None:
            self._connection.close_socket()

    def send(self, message: PeerMessage) -> bool:
        """Send ``message`` and return whether it was written to the connection."""
        if self._connection is None:
            return False
        data = encode(message)
        try:
            self._connection.send(data)
        except CONNECTION_ERRORS:
            return False
        if self._metrics is not None:
            self._metrics.peer_bytes_sent.count(type(message).__name__, len(data))
        return True

    def _connect(self) -> None:
        with (
            connect(
                self.url,
                additional_headers=self._headers,
                compression=None,
                proxy=None,
                max_size=LARGEST_MESSAGE_BYTES,
                open_timeout=OPEN_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                **self._options(),
            ) as connection,
            self._connected(connection),
        ):
            for data in connection:
                message = decode(data)
                if self._metrics is not None:
                    self._metrics.peer_bytes_received.count(type(message).__name__, len(data))
                self._receive(message)

    @contextmanager
    def _connected(self, connection: ClientConnection) -> Iterator[None]:
        self._connection = connection
        log(LogEvent.PEER_CONNECTED, peer=self.name)
        self._on_connected()
        try:
            yield
        finally:
            self._connection = None
            self._on_disconnected()
            log(LogEvent.PEER_LOST, peer=self.name)

    def _options(self) -> dict[str, float | None]:
        return {}

    @abstractmethod
    def _on_failure(self, error: Exception) -> None:
        """Handle a connection that could not be opened or broke."""

    @abstractmethod
    def _on_connected(self) -> None:
        """Handle a new connection."""

    @abstractmethod
    def _on_disconnected(self) -> None:
        """Handle the end of the connection."""

    @abstractmethod
    def _receive(self, message: PeerMessage) -> None:
        """Handle a message from the peer."""
