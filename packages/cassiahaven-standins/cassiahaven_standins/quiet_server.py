"""An HTTP server for stand-ins whose callers are cut off on purpose."""

import sys
from http.server import ThreadingHTTPServer
from typing import Any


class QuietServer(ThreadingHTTPServer):
    """Serve each connection in a thread and say nothing of those that break."""

    daemon_threads = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Report faults other than broken connections."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)
