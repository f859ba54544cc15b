"""Stand-in for the platform's store, which tests also write to as the operator."""

import json
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler
from typing import Any
from urllib.parse import parse_qs, urlsplit

from cassiahaven_standins.quiet_server import QuietServer

OBJECTS_PATH = "/cassiahaven/objects/"
HISTORY_LENGTH = 1000
POLL_S = 0.02
MAX_SILENCE_S = 60.0


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The state of a store at one revision."""

    revision: int
    object_by_key: dict[tuple[str, str], dict[str, Any]]
    history: tuple[tuple[int, str, dict[str, Any], bool], ...]
    compacted_revision: int


class StoreState:
    """Objects by kind and name under one store-wide revision, and the active faults.

    Attributes:
        is_down: Whether every request gets a 503.
        refused_hosts: Client IP addresses whose requests get a 503.
        is_silent: Whether requests get no response until it is cleared.
        loses_watch_answers: Whether the answers to watches are lost, on connections that stay up.
        page_items: Number of objects on a page of a list.
        accept: Returns the contents to store in place of those that an entry wrote to a kind.
        before_page: Called with the kind and the name after which a page starts, before the page
            is read.
        call_count: Requests so far, including refused ones.
        deleted_since_restore: Kind and name of all deletes since the last restore, also of objects
            that it lost.
        era: Number of restores, sent with every response; ``None`` to send none.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.revision = 1
        self.object_by_key: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: deque[tuple[int, str, dict[str, Any], bool]] = deque(maxlen=HISTORY_LENGTH)
        self.compacted_revision = 0  # watches from an earlier revision get a 410
        self.is_down = False
        self.is_silent = False
        self.loses_watch_answers = False
        self.page_items = 500
        self.accept: Callable[[str, Any], Any] = lambda kind, spec: spec
        self.before_page: Callable[[str, str], None] = lambda kind, after: None
        self.refused_hosts: set[str] = set()
        self.call_count = 0
        self.deleted_since_restore: set[tuple[str, str]] = set()
        self.era: int | None = None

    def copy(self) -> "StoreCopy":
        """Return a copy of the objects, from which the store can be restored."""
        with self.lock:
            return self._copy_locked()

    def _copy_locked(self) -> "StoreCopy":
        return StoreCopy(
            self.revision, dict(self.object_by_key), tuple(self.history), self.compacted_revision
        )

    def restore(self, copy: "StoreCopy") -> "StoreCopy":
        """Return to an earlier state, and return the state that is lost.

        What was written since the copy is gone, also its revisions.
        """
        with self.lock:
            lost = self._copy_locked()
            self.deleted_since_restore = set()
            self.compacted_revision = copy.compacted_revision
            self.revision = copy.revision
            self.object_by_key = dict(copy.object_by_key)
            self.history = deque(copy.history, maxlen=HISTORY_LENGTH)
            self.era = (self.era or 0) + 1
            return lost

    def changed_after(self, revision: int) -> set[tuple[str, str]]:
        """Return kind and name of the objects that were written or removed after a revision."""
        with self.lock:
            return {
                (kind, stored["metadata"]["name"])
                for at_revision, kind, stored, _ in self.history
                if at_revision > revision
            }

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object and return the store's revision."""
        with self.lock:
            known = self.object_by_key.get((kind, name))
            if known is not None and known["spec"] == spec:
                return self.revision
            self.revision += 1
            metadata = {"name": name, "revision": self.revision, "finalizers": []}
            stored = {"metadata": metadata, "spec": spec, "status": None}
            self.object_by_key[kind, name] = stored
            self.history.append((self.revision, kind, stored, False))
            return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.lock:
            self.deleted_since_restore.add((kind, name))
            stored = self.object_by_key.pop((kind, name), None)
            if stored is not None:
                self.revision += 1
                self.history.append((self.revision, kind, stored, True))

    def drop_watch_history(self) -> None:
        """Drop the change history, so that watches cannot resume from an older revision."""
        with self.lock:
            self.compacted_revision = self.revision
            self.history.clear()

    def page(self, kind: str, after: str) -> dict[str, Any]:
        """Return the page of a list that starts after the name ``after``."""
        self.before_page(kind, after)
        with self.lock:
            names = sorted(name for other, name in self.object_by_key if other == kind)
            left = [name for name in names if name > after]
            return {
                "items": [self.object_by_key[kind, name] for name in left[: self.page_items]],
                "more": len(left) > self.page_items,
                "storeRevision": self.revision,
            }

    def events(self, kind: str, revision: int) -> tuple[list[dict[str, Any]] | None, int]:
        """Return the changes after ``revision`` and the store's revision.

        The changes are ``None`` if the history after ``revision`` was dropped.
        """
        with self.lock:
            if revision < self.compacted_revision or revision > self.revision:
                return None, self.revision
            found = [
                {"object": stored, "deleted": deleted}
                for at_revision, other, stored, deleted in self.history
                if at_revision > revision and other == kind
            ]
            return found, self.revision


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    state: StoreState

    def do_GET(self) -> None:
        kind, name, query = self._parse_path()
        if self._refused_by_fault():
            return
        if "watch" in query:
            self._watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        elif name:
            stored = self.state.object_by_key.get((kind, name))
            self._send(200 if stored else 404, stored)
        else:
            self._send(200, self.state.page(kind, query.get("after", "")))

    def do_POST(self) -> None:
        kind, _, _ = self._parse_path()
        body = self._body()
        if self._refused_by_fault():
            return
        name = body["metadata"]["name"]
        if (kind, name) in self.state.object_by_key:
            self._send(409, self.state.object_by_key[kind, name])
            return
        self.state.put(kind, name, self.state.accept(kind, body["spec"]))
        self._send(201, self.state.object_by_key[kind, name])

    def do_PUT(self) -> None:
        kind, name, _ = self._parse_path()
        body = self._body()
        if self._refused_by_fault():
            return
        if (kind, name) not in self.state.object_by_key:
            self._send(404, None)
            return
        known = self.state.object_by_key[kind, name]
        expected = body["metadata"].get("revision")
        if expected is not None and expected != known["metadata"]["revision"]:
            self._send(409, known)
            return
        self.state.put(kind, name, self.state.accept(kind, body["spec"]))
        self._send(200, self.state.object_by_key[kind, name])

    def do_DELETE(self) -> None:
        kind, name, _ = self._parse_path()
        if not self._refused_by_fault():
            self.state.delete(kind, name)
            self._send(200, None)

    def _watch(self, kind: str, revision: int, wait_ms: int) -> None:
        deadline_s = time.monotonic() + wait_ms / 1000
        while True:
            events, at_revision = self.state.events(kind, revision)
            if events is None:
                self._send(410, None)
                return
            if events and self.state.loses_watch_answers:
                self._lose_answer()
                return
            if events or time.monotonic() >= deadline_s or self.state.is_down:
                payload = {"events": events, "storeRevision": at_revision}
                self._send(503 if self.state.is_down else 200, payload)
                return
            threading.Event().wait(POLL_S)

    def _lose_answer(self) -> None:
        self.close_connection = True
        self.connection.settimeout(MAX_SILENCE_S)
        try:
            self.connection.recv(1)
        except OSError:
            return

    def _parse_path(self) -> tuple[str, str, dict[str, str]]:
        parts = urlsplit(self.path)
        kind, _, name = parts.path.removeprefix(OBJECTS_PATH).partition("/")
        return kind, name, {key: values[0] for key, values in parse_qs(parts.query).items()}

    def _body(self) -> Any:
        return json.loads(self.rfile.read(int(self.headers["Content-Length"])))

    def _refused_by_fault(self) -> bool:
        self.state.call_count += 1
        while self.state.is_silent:
            threading.Event().wait(POLL_S)
        if self.state.is_down or self.client_address[0] in self.state.refused_hosts:
            self._send(503, None)
            return True
        return False

    def _send(self, status: int, value: Any) -> None:
        data = json.dumps(value).encode()
        try:
            self.send_response(status)
            if self.state.era is not None:
                self.send_header("Store-Era", str(self.state.era))
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
        except OSError:
            # The entry was killed or timed out.
            self.close_connection = True

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""


class PlatformStore:
    """A store that listens on loopback."""

    def __init__(self) -> None:
        self.state = StoreState()
        handler = type("Handler", (_Handler,), {"state": self.state})
        self._server = QuietServer(("127.0.0.1", 0), handler)
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """Return the address as host and port."""
        host, port = self._server.server_address
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()
