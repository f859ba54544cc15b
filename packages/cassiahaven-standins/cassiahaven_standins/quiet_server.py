"""An HTTP server for stand-ins whose connections are broken on purpose."""

import sys
from http.server import ThreadingHTTPServer
from typing import Any


class QuietServer(ThreadingHTTPServer):
    """Serves each connection in a thread and does not log broken connections."""

    daemon_threads = True
    request_queue_size = 1024  # with the default of 5, connections opened at once time out

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log errors other than broken connections."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)
