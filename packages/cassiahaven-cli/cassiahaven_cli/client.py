"""HTTP client of the entries' operator API."""

import json
import os
from collections.abc import Mapping
from typing import Any

import urllib3

from cassiahaven_cli.failure import CommandFailed, ExitCode

ENTRIES_VARIABLE = "CASSIAHAVEN_ENTRIES"
KEY_VARIABLE = "CASSIAHAVEN_OPERATOR_KEY"
TIMEOUT_S = 8.0
CODE_BY_STATUS = {
    400: ExitCode.INVALID_INPUT,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    503: ExitCode.UNDECIDED,
}


class Client:
    """Send requests to the first entry that responds.

    Args:
        entries: Operator addresses of entries, each ``host:port``.
        key: Operator key.
        missing: Environment variables that are not set, so that no request can be sent.
    """

    def __init__(self, entries: list[str], key: str, *, missing: tuple[str, ...] = ()) -> None:
        self._missing = missing
        self._entries = entries
        self._key = key
        self._http = urllib3.PoolManager(retries=False)

    @classmethod
    def from_environment(cls, environ: Mapping[str, str] = os.environ) -> "Client":
        """Return a client for the entries and the key in the environment.

        Missing variables are reported by the first request: help needs none.
        """
        names = (ENTRIES_VARIABLE, KEY_VARIABLE)
        missing = tuple(name for name in names if not environ.get(name))
        entries = environ.get(ENTRIES_VARIABLE, "").split(",")
        return cls(entries, environ.get(KEY_VARIABLE, ""), missing=missing)

    def get(self, path: str) -> Any:
        """Return the decoded response to a GET request.

        Raises:
            CommandFailed: No entry responds, or the response is an error.
        """
        return self._first_response("GET", path, None)

    def post(self, path: str, value: Any) -> Any:
        """Send a change in a POST request and return the decoded response.

        Raises:
            CommandFailed: No entry responds, or the change is refused.
        """
        return self._first_response("POST", path, json.dumps(value).encode())

    def get_from(self, entry: str, path: str) -> Any | None:
        """Return the response of one entry, or ``None`` if the request fails."""
        try:
            response = self._request(entry, "GET", path, None)
        except urllib3.exceptions.HTTPError:
            return None
        return json.loads(response.data) if response.status == 200 else None

    def _first_response(self, method: str, path: str, body: bytes | None) -> Any:
        errors = []
        for entry in self._entries:
            try:
                response = self._request(entry, method, path, body)
            except urllib3.exceptions.HTTPError as error:
                errors.append(f"{entry}: {type(error).__name__}")
                continue
            if response.status == 200:
                return json.loads(response.data)
            code = CODE_BY_STATUS.get(response.status, ExitCode.FAILED)
            raise CommandFailed(_error_message(response.data), code)
        raise CommandFailed(f"no entry answers: {'; '.join(errors)}", ExitCode.UNREACHABLE)

    def _request(
        self, entry: str, method: str, path: str, body: bytes | None
    ) -> urllib3.BaseHTTPResponse:
        if self._missing:
            raise CommandFailed(f"set {' and '.join(self._missing)}", ExitCode.INVALID_INPUT)
        return self._http.request(
            method,
            f"http://{entry}{path}",
            body=body,
            headers={"Authorization": f"Bearer {self._key}"},
            timeout=TIMEOUT_S,
        )


def _error_message(data: bytes) -> str:
    try:
        plain = json.loads(data)
    except ValueError:
        return data.decode("utf-8", "replace")
    if "error" in plain:
        return plain["error"]
    if "current" in plain:
        return (
            f"the row changed since version {plain['seen_version']}: "
            f"it is now {json.dumps(plain['current'])}"
        )
    return json.dumps(plain)
