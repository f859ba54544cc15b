"""HTTP client of the platform's object store."""

import json
from urllib.parse import quote

import urllib3

from cassiahaven_core.edge import ObjectStore, StoredObject, StoreUnavailable, WatchResult
from cassiahaven_entry._connection import whole_response_pools
from cassiahaven_entry.metrics import Metrics

CALL_TIMEOUT_S = 1.0
WATCH_GRACE_S = 1.0
MS_PER_S = 1000.0
VERSION_HEADER = "Version"
EXPECTED_VERSION_HEADER = "If-Version"
CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404
OK_STATUS = 200


class HttpObjectStore(ObjectStore):
    """Client of the object store at ``url``."""

    def __init__(self, url: str, metrics: Metrics) -> None:
        self._url = url
        self._metrics = metrics
        self._http = whole_response_pools(retries=False, maxsize=8)

    def get(self, key: str) -> StoredObject | None:
        """Return the object at ``key``, or ``None``."""
        response = self._request("get", "GET", f"/objects/{quote(key)}")
        if response.status == NOT_FOUND_STATUS:
            return None
        return StoredObject(key, int(response.headers[VERSION_HEADER]), response.data)

    def put(self, key: str, value: bytes, *, version: int) -> int | None:
        """Write ``value`` if the object's current version is ``version``; ``None`` on conflict."""
        response = self._request(
            "put",
            "PUT",
            f"/objects/{quote(key)}",
            body=value,
            headers={EXPECTED_VERSION_HEADER: str(version)},
        )
        if response.status == CONFLICT_STATUS:
            return None
        return int(response.headers[VERSION_HEADER])

    def watch(self, prefix: str, *, revision: int, wait_ms: int) -> WatchResult:
        """Long-poll for objects below ``prefix`` that changed after ``revision``."""
        target = f"/watch?prefix={quote(prefix)}&revision={revision}&wait_ms={wait_ms}"
        timeout_s = wait_ms / MS_PER_S + WATCH_GRACE_S
        response = self._request("watch", "GET", target, timeout_s=timeout_s)
        try:
            plain = json.loads(response.data)
            objects = [
                StoredObject(item["key"], item["version"], item["value"].encode())
                for item in plain["objects"]
            ]
            return WatchResult(plain["revision"], objects)
        except (ValueError, KeyError, TypeError) as error:
            raise StoreUnavailable(f"malformed answer: {error}") from None

    def _request(
        self,
        kind: str,
        method: str,
        target: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> urllib3.BaseHTTPResponse:
        self._metrics.store_calls.labels(kind).inc()
        try:
            response = self._http.request(
                method, self._url + target, body=body, headers=headers, timeout=timeout_s
            )
        except urllib3.exceptions.HTTPError as error:
            raise StoreUnavailable(str(error)) from None
        if response.status not in (OK_STATUS, NOT_FOUND_STATUS, CONFLICT_STATUS):
            raise StoreUnavailable(f"status {response.status}")
        return response
