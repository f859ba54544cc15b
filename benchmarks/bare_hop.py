"""Minimal proxy without any routing decision: the baseline that an entry is compared with."""

from cassiahaven_standins import _patched  # noqa: F401, I001

from collections.abc import Callable, Iterable

import eventlet
import fire
import urllib3
from eventlet import wsgi


def main(*, port: int, upstream: str) -> None:
    """Forward each call to one upstream."""
    pool = urllib3.PoolManager(retries=False, maxsize=32)

    def application(environ: dict, start_response: Callable) -> Iterable[bytes]:
        response = pool.request(environ["REQUEST_METHOD"], upstream + environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", str(len(response.data)))])
        return [response.data]

    listener = eventlet.listen(("127.0.0.1", port), backlog=1024, reuse_port=False)
    wsgi.server(listener, application, log_output=False, debug=False)


if __name__ == "__main__":
    fire.Fire(main)
