"""The server of the stand-ins takes many connections at once."""

import socket
from contextlib import ExitStack
from http.server import BaseHTTPRequestHandler

from cassiahaven_standins.quiet_server import QuietServer

CONNECTIONS = 64
CONNECT_TIMEOUT_S = 0.5  # as entries connect to endpoints


def test_connections_opened_at_once_wait_for_a_busy_server():
    # With the queue of 5 that the library sets, entries took busy stand-ins for dead ones.
    with ExitStack() as stack:
        server = stack.enter_context(QuietServer(("127.0.0.1", 0), BaseHTTPRequestHandler))
        for _ in range(CONNECTIONS):
            connection = socket.create_connection(server.server_address, CONNECT_TIMEOUT_S)
            stack.enter_context(connection)
