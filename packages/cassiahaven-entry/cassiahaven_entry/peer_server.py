"""The accepting end of peer links: it publishes messages and replies to requests."""

import hmac
from collections.abc import Collection
from http import HTTPStatus

from websockets.http11 import Request, Response
from websockets.sync.server import ServerConnection, serve

from cassiahaven_core.peer_message import (
    Encoded,
    MalformedMessage,
    PeerMessage,
    decode,
    encode_once,
)
from cassiahaven_entry.event import LogEvent, log
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.peer_handler import (
    CLOSE_TIMEOUT_S,
    CLUSTER_HEADER,
    CONNECTION_ERRORS,
    LARGEST_MESSAGE_BYTES,
    OPEN_TIMEOUT_S,
    PeerSubscribers,
)


class PeerServer:
    """Publish messages to connected peers and reply to their requests.

    Args:
        host: Address to listen on.
        port: Port to listen on.
        cluster: Cluster name that peers must send.
        key: Shared key that peers must send.
        handler: Handler of the subscribers' messages.
        metrics: Counters.
        options: Further options of the websocket server.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        cluster: str,
        key: str,
        handler: PeerSubscribers,
        metrics: Metrics,
        **options: float | None,
    ) -> None:
        self._cluster = cluster
        self._authorization = f"Bearer {key}"
        self._handler = handler
        self._metrics = metrics
        self._subscribers: set[ServerConnection] = set()
        self._server = serve(
            self._serve_peer,
            host,
            port,
            process_request=self._check,
            compression=None,
            max_size=LARGEST_MESSAGE_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            **options,
        )

    def run(self) -> None:
        """Accept peers until the server is closed."""
        self._server.serve_forever()

    def close(self) -> None:
        """Stop accepting connections and close all open ones."""
        self._server.shutdown()
        for connection in list(self._subscribers):
            connection.close()

    def drop(self) -> None:
        """Stop accepting connections and drop all open ones without closing handshakes."""
        self._server.shutdown()
        for connection in list(self._subscribers):
            connection.close_socket()

    def publish(self, message: PeerMessage) -> None:
        """Send ``message`` to every subscriber."""
        encoded = encode_once(message)
        for connection in list(self._subscribers):
            self._send(connection, encoded.kind, encoded.data)

    def send_to(self, message: PeerMessage, connections: Collection[str]) -> None:
        """Send ``message`` to the subscribers of some connections."""
        encoded = encode_once(message)
        for connection in list(self._subscribers):
            if str(connection.id) in connections:
                self._send(connection, encoded.kind, encoded.data)

    def _check(self, connection: ServerConnection, request: Request) -> Response | None:
        authorization = request.headers.get("Authorization", "")
        if not hmac.compare_digest(authorization.encode(), self._authorization.encode()):
            return self._reject(connection, HTTPStatus.UNAUTHORIZED, "wrong-key")
        if request.headers.get(CLUSTER_HEADER) != self._cluster:
            return self._reject(connection, HTTPStatus.FORBIDDEN, "other-cluster")
        return None

    def _reject(self, connection: ServerConnection, status: HTTPStatus, reason: str) -> Response:
        self._metrics.peer_rejections.labels(reason).inc()
        log(LogEvent.PEER_REJECTED, reason=reason)
        return connection.respond(status, f"{reason}\n")

    def _serve_peer(self, connection: ServerConnection) -> None:
        self._subscribers.add(connection)
        try:
            for message in self._handler.greeting():
                encoded = encode_once(message)
                self._send(connection, encoded.kind, encoded.data)
            for data in connection:
                self._receive(connection, data)
        except CONNECTION_ERRORS:
            pass
        except MalformedMessage as error:
            self._metrics.peer_rejections.labels("malformed-message").inc()
            log(LogEvent.PEER_MESSAGE_MALFORMED, error=str(error))
        finally:
            self._subscribers.discard(connection)
            self._handler.on_disconnected(str(connection.id))

    def _receive(self, connection: ServerConnection, data: bytes | str) -> None:
        if isinstance(data, str):
            raise MalformedMessage("text instead of CBOR")
        message = decode(data)
        self._metrics.peer_bytes_received.count(type(message).__name__, len(data))
        for reply in self._handler.receive(str(connection.id), message):
            encoded = reply if isinstance(reply, Encoded) else encode_once(reply)
            self._send(connection, encoded.kind, encoded.data)

    def _send(self, connection: ServerConnection, kind: str, data: bytes) -> None:
        self._metrics.peer_bytes_sent.count(kind, len(data))
        try:
            connection.send(data)
        except CONNECTION_ERRORS:
            self._subscribers.discard(connection)
