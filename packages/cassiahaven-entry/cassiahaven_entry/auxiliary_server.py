"""Small auxiliary HTTP servers: readiness, directory and operators."""

from collections.abc import Callable, Iterable

import eventlet
from eventlet import wsgi

from cassiahaven_core.edge import CallResponse
from cassiahaven_core.routed_settings import SocketAddress
from cassiahaven_entry.caller_dialect import Environ

SOCKET_TIMEOUT_S = 5.0  # each request fits into one small packet
LARGEST_CONNECTION_COUNT = 256
BACKLOG = 512


class AuxiliaryServer:
    """Serve each request with a function.

    Args:
        address: Address to listen on.
        answer: Returns the response to a request.
    """

    def __init__(self, address: SocketAddress, answer: Callable[[Environ], CallResponse]) -> None:
        self._answer = answer
        self._socket = eventlet.listen(
            (address.host, address.port), backlog=BACKLOG, reuse_port=False
        )
        self._pool = eventlet.GreenPool(LARGEST_CONNECTION_COUNT)

    def run(self) -> None:
        """Serve until the process ends."""
        wsgi.server(
            self._socket,
            self._application,
            custom_pool=self._pool,
            log_output=False,
            debug=False,
            socket_timeout=SOCKET_TIMEOUT_S,
        )

    def _application(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        response = self._answer(environ)
        body = b"".join(response.body)
        headers = [*response.headers, ("Content-Length", str(len(body)))]
        start_response(f"{response.status} {'OK' if response.status < 400 else 'Refused'}", headers)
        return [body]
