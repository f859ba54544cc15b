"""Helpers shared by the stand-ins' HTTP servers."""

import json
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeAlias
from urllib.parse import parse_qs

import eventlet
from eventlet import wsgi

Environ: TypeAlias = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response."""

    status: HTTPStatus
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


def serve(host: str, port: int, handle: Callable[[Environ], Reply | None]) -> None:
    """Serve ``handle`` until the process ends; ``None`` closes the connection unanswered."""

    def application(environ: Environ, start_response: Callable) -> Iterable[bytes]:
        reply = handle(environ)
        if reply is None:
            return cut_connection(environ)
        headers = [("Content-Length", str(len(reply.body))), *reply.headers]
        start_response(f"{reply.status.value} {reply.status.phrase}", headers)
        return [reply.body]

    wsgi.server(
        eventlet.listen((host, port), backlog=1024, reuse_port=False),
        application,
        log_output=False,
        debug=False,
    )


def cut_connection(environ: Environ) -> list[bytes]:
    """Shut down the client's connection without a response."""
    environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
    return []


def is_client_disconnected(environ: Environ) -> bool:
    """Return whether the client has closed its connection."""
    try:
        return environ["eventlet.input"].get_socket().fd.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def read_body(environ: Environ) -> bytes:
    """Return the request's body."""
    return environ["wsgi.input"].read()


def read_json(environ: Environ) -> Any:
    """Return the request's body parsed as JSON."""
    return json.loads(read_body(environ) or b"null")


def query(environ: Environ) -> dict[str, str]:
    """Return the first value of each query parameter."""
    return {name: values[0] for name, values in parse_qs(environ.get("QUERY_STRING", "")).items()}


def json_reply(value: Any, status: HTTPStatus = HTTPStatus.OK) -> Reply:
    """Return a response with ``value`` as JSON."""
    return Reply(status, json.dumps(value).encode(), (("Content-Type", "application/json"),))
