"""Stand-in for the platform's VM list, which shows changes with a delay.

Run with ``python -m cassiahaven_standins.vm_list --port PORT [--lag_ms MS]``. ``POST /vms``
replaces the list, ``POST /faults`` sets ``down`` and ``lag_ms``.
"""

from cassiahaven_standins import _patched  # noqa: F401, I001

import time

import fire

from cassiahaven_standins._wsgi import Environ, Reply, json_reply, read_json, serve


class VmListServer:
    """Serves the VM list as it was ``lag_ms`` ago.

    Args:
        lag_ms: Time until a change becomes visible.
    """

    def __init__(self, *, lag_ms: float) -> None:
        self._lag_ms = lag_ms
        self._is_down = False
        self._versions: list[tuple[float, list[dict]]] = [(float("-inf"), [])]

    def handle(self, environ: Environ) -> Reply | None:
        """Handle one request; ``None`` means no response."""
        if environ["PATH_INFO"] == "/faults":
            return self._set_faults(environ)
        if environ["REQUEST_METHOD"] == "POST":
            self._versions.append((time.monotonic(), read_json(environ)))
            return json_reply("taken")
        if self._is_down:
            return None
        seen_at = time.monotonic() - self._lag_ms / 1000
        seen = [vms for changed_at, vms in self._versions if changed_at <= seen_at]
        return json_reply(seen[-1])

    def _set_faults(self, environ: Environ) -> Reply:
        faults = read_json(environ)
        self._lag_ms = faults.get("lag_ms", self._lag_ms)
        self._is_down = faults.get("down", self._is_down)
        return json_reply("switched")


def main(*, port: int, host: str = "127.0.0.1", lag_ms: float = 0.0) -> None:
    """Serve a VM list that is empty at first."""
    serve(host, port, VmListServer(lag_ms=lag_ms).handle)


if __name__ == "__main__":
    fire.Fire(main)
