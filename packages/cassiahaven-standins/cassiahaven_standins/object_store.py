"""Stand-in for the platform's object store.

Run with ``python -m cassiahaven_standins.object_store --port PORT``. While it runs,
``POST /faults`` sets any of the faults ``down``, ``delay_ms`` and ``lose_answers``.
"""

from cassiahaven_standins import _patched  # noqa: F401, I001

from collections import Counter
from dataclasses import asdict, dataclass
from http import HTTPStatus
from urllib.parse import unquote

import eventlet
import fire

from cassiahaven_standins._wsgi import (
    Environ,
    Reply,
    json_reply,
    query,
    read_body,
    read_json,
    serve,
)

OBJECTS_PREFIX = "/objects/"
MAX_VALUE_BYTES = 1_048_576
WATCH_POLL_S = 0.02


@dataclass(slots=True)
class Faults:
    """Active faults.

    Attributes:
        down: Drop every request before it takes effect.
        delay_ms: Delay before every response.
        lose_answers: Number of further writes that take effect without a response.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0


class ObjectStoreServer:
    """Versioned objects with conditional writes and long-poll watches."""

    def __init__(self) -> None:
        self._object_by_key: dict[str, tuple[int, bytes]] = {}
        self._revision = 0
        self._faults = Faults()
        self._counts: Counter[str] = Counter()

    def handle(self, environ: Environ) -> Reply | None:
        """Handle one request; ``None`` means no response."""
        path = environ["PATH_INFO"]
        if path == "/faults":
            return self._set_faults(environ)
        if path == "/counts":
            return json_reply(dict(self._counts))
        if self._faults.delay_ms:
            eventlet.sleep(self._faults.delay_ms / 1000)
        if self._faults.down:
            return None
        if path == "/watch":
            return self._watch(environ)
        key = unquote(path.removeprefix(OBJECTS_PREFIX))
        if environ["REQUEST_METHOD"] == "GET":
            return self._get(key)
        return self._put(key, environ)

    def _set_faults(self, environ: Environ) -> Reply:
        for name, value in (read_json(environ) or {}).items():
            setattr(self._faults, name, value)
        return json_reply(asdict(self._faults))

    def _get(self, key: str) -> Reply:
        self._counts["get"] += 1
        if key not in self._object_by_key:
            return Reply(HTTPStatus.NOT_FOUND)
        version, value = self._object_by_key[key]
        return Reply(HTTPStatus.OK, value, (("Version", str(version)),))

    def _put(self, key: str, environ: Environ) -> Reply | None:
        self._counts["put"] += 1
        value = read_body(environ)
        if len(value) > MAX_VALUE_BYTES:
            return Reply(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        current, _ = self._object_by_key.get(key, (0, b""))
        if current != int(environ["HTTP_IF_VERSION"]):
            return Reply(HTTPStatus.CONFLICT)
        self._revision += 1
        self._object_by_key[key] = (self._revision, value)
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            return None
        return Reply(HTTPStatus.OK, headers=(("Version", str(self._revision)),))

    def _watch(self, environ: Environ) -> Reply | None:
        self._counts["watch"] += 1
        requested = query(environ)
        revision = int(requested["revision"])
        polls = int(float(requested["wait_ms"]) / 1000 / WATCH_POLL_S)
        for _ in range(max(1, polls)):
            if self._faults.down:
                return None
            changed = self._changed_objects(requested["prefix"], revision)
            if changed:
                return json_reply({"revision": self._revision, "objects": changed})
            eventlet.sleep(WATCH_POLL_S)
        return json_reply({"revision": self._revision, "objects": []})

    def _changed_objects(self, prefix: str, revision: int) -> list[dict]:
        return [
            {"key": key, "version": version, "value": value.decode()}
            for key, (version, value) in self._object_by_key.items()
            if key.startswith(prefix) and version > revision
        ]


def main(*, port: int, host: str = "127.0.0.1") -> None:
    """Serve an object store that is empty at first."""
    serve(host, port, ObjectStoreServer().handle)


if __name__ == "__main__":
    fire.Fire(main)
