"""Stand-in for an upstream endpoint, with the faults of real ones.

Run with ``python -m cassiahaven_standins.upstream --name NAME --port PORT --log FILE``. It writes
a line to the log for each call that it starts to run and for each health check, so the log shows
which calls ran and how often. ``POST /faults`` sets faults; a call to a path that ends in
``/crash`` ends the process.
"""

from cassiahaven_standins import _patched  # noqa: F401, I001

import json
import os
import random
import signal
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass

import eventlet
import fire
from eventlet import wsgi
from eventlet.semaphore import Semaphore

from cassiahaven_standins._wsgi import (
    Environ,
    cut_connection,
    is_client_disconnected,
    query,
    read_body,
    read_json,
)

CRASH_EXIT_STATUS = 70
FAIL_FAST_STATUS = "500 Internal Server Error"
HEALTH_PATH = "/health"
CANCEL_CHECK_INTERVAL_S = 0.02
PADDING_CHUNK = b"x" * 65_536


@dataclass(slots=True)
class Faults:
    """Active faults.

    Attributes:
        fail_fast: Respond to every call at once with a server error, without running it.
        shed: Reject every call with a header that says that it was not run.
        draining: Announce in every response that this upstream is draining.
        truncate: Break off each response before the last chunk of its padding.
        reset_before_answer: Run the call, then close the connection without a response.
        slow_factor: Factor on the service time.
        says_healthy: Pass health checks even if calls fail.
        load_lag_ms: Age of the reported load.
    """

    fail_fast: bool = False
    shed: bool = False
    draining: bool = False
    truncate: bool = False
    reset_before_answer: bool = False
    slow_factor: float = 1.0
    says_healthy: bool = False
    load_lag_ms: float = 100.0


class Upstream:
    """An endpoint that runs calls in a limited number of slots.

    Args:
        name: Name of the endpoint.
        slots: Number of calls that run at the same time.
        service_ms: Mean service time.
        cold_ms: Time after the start during which calls take twice as long.
        log_file: File that gets one line for each call that is run and each health check.
    """

    def __init__(
        self, name: str, *, slots: int, service_ms: float, cold_ms: float, log_file: str
    ) -> None:
        self._name = name
        self._slots = Semaphore(slots)
        self._service_ms = service_ms
        self._warm_at = time.monotonic() + cold_ms / 1000
        self._log = open(log_file, "a", encoding="utf-8")  # noqa: SIM115
        self._random = random.Random(name)
        self.faults = Faults()
        self.in_flight = 0
        self.cancelled = 0
        self._reported_load = 0

    def application(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        """Handle one request."""
        if environ["PATH_INFO"] == "/faults":
            for name, value in (read_json(environ) or {}).items():
                setattr(self.faults, name, value)
            start_response("200 OK", [("Content-Type", "application/json")])
            known = {**asdict(self.faults), "cancelled": self.cancelled}
            return [json.dumps(known).encode()]
        if environ["PATH_INFO"] == HEALTH_PATH:
            return self._answer_probe(environ, start_response)
        if self.faults.shed:
            start_response("503 Service Unavailable", self._headers([("Upstream-Not-Run", "1")]))
            return [b"shed\n"]
        if self.faults.fail_fast:
            start_response(FAIL_FAST_STATUS, self._headers([]))
            return [b"failing\n"]
        return self._run(environ, start_response)

    def _answer_probe(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        self._write_log(environ, b"")
        is_healthy = self.faults.says_healthy or not self.faults.fail_fast
        start_response("200 OK" if is_healthy else FAIL_FAST_STATUS, self._headers([]))
        return [b"healthy\n" if is_healthy else b"failing\n"]

    def report_load(self) -> None:
        """Keep updating the reported load, delayed by the load lag."""
        while True:
            current = self.in_flight
            eventlet.sleep(self.faults.load_lag_ms / 1000)
            self._reported_load = current

    def _run(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        body = read_body(environ)
        self.in_flight += 1
        try:
            with self._slots:
                self._write_log(environ, body)
                if environ["PATH_INFO"].endswith("/crash"):
                    os._exit(CRASH_EXIT_STATUS)
                is_done = self._work(environ, self._service_time_ms(environ) / 1000)
        finally:
            self.in_flight -= 1
        if not is_done:
            return cut_connection(environ)
        if self.faults.reset_before_answer:
            return cut_connection(environ)
        return self._answer(environ, start_response, body)

    def _work(self, environ: Environ, remaining_s: float) -> bool:
        deadline = time.monotonic() + float(environ.get("HTTP_REQUEST_TIMEOUT_MS", "inf")) / 1000
        while remaining_s > 0:
            eventlet.sleep(min(remaining_s, CANCEL_CHECK_INTERVAL_S))
            remaining_s -= CANCEL_CHECK_INTERVAL_S
            if time.monotonic() >= deadline or is_client_disconnected(environ):
                self.cancelled += 1
                return False
        return True

    def _service_time_ms(self, environ: Environ) -> float:
        requested = query(environ).get("service_ms")
        mean = float(requested) if requested else self._service_ms
        cold_factor = 2.0 if time.monotonic() < self._warm_at else 1.0
        return self._random.expovariate(1 / mean) * self.faults.slow_factor * cold_factor

    def _answer(self, environ: Environ, start_response: Callable, body: bytes) -> Iterable[bytes]:
        echo = {
            "endpoint": self._name,
            "path": environ["PATH_INFO"],
            "query": environ.get("QUERY_STRING", ""),
            "partner": environ.get("HTTP_CALL_PARTNER"),
            "body": body.decode("utf-8", "replace"),
        }
        text = json.dumps(echo).encode()
        padding = int(query(environ).get("padding", "0"))
        headers = self._headers([("Content-Type", "application/json")])
        if query(environ).get("chunked"):
            start_response("200 OK", headers)
        else:
            length = str(len(text) + padding)
            start_response("200 OK", [*headers, ("Content-Length", length)])
        return self._body_chunks(text, padding)

    def _body_chunks(self, text: bytes, padding: int) -> Iterable[bytes]:
        yield text
        while padding > 0:
            chunk = PADDING_CHUNK[:padding]
            if self.faults.truncate and padding == len(chunk):
                raise RuntimeError("truncated on purpose")
            yield chunk
            padding -= len(chunk)

    def _headers(self, extra: list[tuple[str, str]]) -> list[tuple[str, str]]:
        headers = [("Upstream-Load", str(self._reported_load)), *extra]
        if self.faults.draining:
            headers.append(("Upstream-Draining", "1"))
        return headers

    def _write_log(self, environ: Environ, body: bytes) -> None:
        line = {
            "endpoint": self._name,
            "at": time.time(),
            "call": environ.get("HTTP_CALL_ID"),
            "key": environ.get("HTTP_IDEMPOTENCY_KEY"),
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "body": body.decode("utf-8", "replace"),
        }
        self._log.write(json.dumps(line) + "\n")
        self._log.flush()


def main(
    *,
    name: str,
    port: int,
    log: str,
    host: str = "127.0.0.1",
    slots: int = 3,
    service_ms: float = 5.0,
    cold_ms: float = 0.0,
) -> None:
    """Serve one endpoint; SIGTERM lets the in-flight calls finish, then exits."""
    upstream = Upstream(name, slots=slots, service_ms=service_ms, cold_ms=cold_ms, log_file=log)
    listener = eventlet.listen((host, port), backlog=1024, reuse_port=False)
    signal.signal(signal.SIGTERM, lambda *_: eventlet.spawn(_stop, upstream))
    eventlet.spawn(upstream.report_load)
    # Sends each piece of a response at once, so that a truncated response starts like a full one.
    wsgi.server(listener, upstream.application, log_output=False, debug=False, minimum_chunk_size=1)


def _stop(upstream: Upstream) -> None:
    upstream.faults.draining = True
    while upstream.in_flight:
        eventlet.sleep(0.02)
    os._exit(0)


if __name__ == "__main__":
    fire.Fire(main)
