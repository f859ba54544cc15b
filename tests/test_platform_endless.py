"""Endpoints that send an endless response until the connection is closed."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.platform_endpoint import EndlessResponse
from cassiahaven_standins.platform_fleet import platform_fleet

DEADLINE_S = 0.8
DEADLINE_TOLERANCE_S = 0.5  # tolerance after the deadline within which a call must end
OTHER_CALL_LIMIT_S = 0.5  # limit for other calls at the same entry, also on a busy machine
MAX_MEMORY_GROWTH_KB = 40_000
OK = b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
BLOCK = b"x" * 65_536
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
SLOW_INTERVAL_S = 0.05
ENDLESS_RESPONSES = {
    "no head": EndlessResponse(b"", BLOCK),
    "line of a head": EndlessResponse(OK + b"X: ", BLOCK),
    "lines of a head": EndlessResponse(OK, b"X: y\r\n" * 1000),
    "interim answers": EndlessResponse(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "slow line of a head": EndlessResponse(OK + b"X: ", b"y", SLOW_INTERVAL_S),
    "slow lines of a head": EndlessResponse(OK, b"X: y\r\n", SLOW_INTERVAL_S),
    "slow interim answers": EndlessResponse(b"", b"HTTP/1.1 100 Continue\r\n\r\n", SLOW_INTERVAL_S),
    "body without a length": EndlessResponse(OK + b"\r\n", BLOCK),
    "chunks": EndlessResponse(OK + CHUNKED, CHUNK),
    "size of a chunk": EndlessResponse(OK + CHUNKED, b"0" * 65_536),
    "trailers": EndlessResponse(OK + CHUNKED + b"0\r\n", b"X: y\r\n" * 1000),
    "slow body": EndlessResponse(OK + b"Content-Length: 60000\r\n\r\n", b"x", SLOW_INTERVAL_S),
    "slow chunks": EndlessResponse(OK + CHUNKED, b"1\r\nx\r\n", SLOW_INTERVAL_S),
    "body of a refusal": EndlessResponse(NOT_RUN + CHUNKED, CHUNK),
    "slow body of a refusal": EndlessResponse(NOT_RUN + CHUNKED, b"1\r\nx\r\n", SLOW_INTERVAL_S),
}
ENDLESS_HEALTH_RESPONSES = {
    "body": EndlessResponse(b"HTTP/1.1 200 OK\r\n\r\n", BLOCK),
    "slow body": EndlessResponse(
        b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", b"x", SLOW_INTERVAL_S / 5
    ),
    "slow head": EndlessResponse(b"HTTP/1.1 200 OK\r\nX: ", b"y", SLOW_INTERVAL_S / 5),
}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with platform_fleet(tmp_path_factory.mktemp("endless"), entries=1) as running:
        running.add_endpoint("i-1", "sound")
        running.add_endpoint("i-2", "faulty")
        running.configure({"s": "sound", "f": "faulty"})
        running.start()
        yield running


@pytest.fixture
def endpoint(fleet):
    state = fleet.endpoint_by_name["i-2"].state
    yield state
    state.endless_response = state.endless_health_response = None
    state.endless_response_durations_s.clear()


def call(entry, path, *, deadline_s=DEADLINE_S):
    """Return the duration of a call until its connection closed, and its first and last data."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-{time.monotonic_ns()}\r\n"
        f"Deadline-Ms: {deadline_s * 1000:.0f}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
    started_s = time.monotonic()
    with socket.create_connection(("127.0.0.1", entry.front_port), timeout=10) as caller:
        caller.sendall(head.encode())
        first = last = caller.recv(65_536)
        try:
            while part := caller.recv(65_536):
                last = part
        except ConnectionResetError:
            last = b"reset"
    return time.monotonic() - started_s, first, last


def memory_kb(entry):
    with open(f"/proc/{entry.process.pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))


def assert_other_calls_unaffected(fleet, endpoint):
    [entry] = fleet.entries
    before_kb = memory_kb(entry)
    with ThreadPoolExecutor(1) as pool:
        ended = pool.submit(call, entry, "/unsafe/f/")
        other_calls_s = []
        while not ended.done():
            took_s, first, _ = call(entry, "/unsafe/s/")
            other_calls_s.append(took_s)
            assert first.startswith(b"HTTP/1.1 200")
    took_s, first, last = ended.result()
    assert took_s < DEADLINE_S + DEADLINE_TOLERANCE_S
    assert max(other_calls_s, default=0.0) < OTHER_CALL_LIMIT_S
    assert memory_kb(entry) - before_kb < MAX_MEMORY_GROWTH_KB
    wait_until(
        lambda: endpoint.endless_response_durations_s,
        "the entry closes the connection",
        timeout_s=1.0,
    )
    assert max(endpoint.endless_response_durations_s) < DEADLINE_S + DEADLINE_TOLERANCE_S
    return first, last


@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
def test_endless_answer_ends_with_its_call(fleet, endpoint, kind):
    endpoint.endless_response = ENDLESS_RESPONSES[kind]
    first, last = assert_other_calls_unaffected(fleet, endpoint)
    if first.startswith(b"HTTP/1.1 200"):
        # The truncated response must not look complete to the caller.
        assert not last.endswith(b"0\r\n\r\n")
    else:
        assert first.split()[1] in (b"502", b"503", b"504")


@pytest.mark.parametrize("kind", ENDLESS_HEALTH_RESPONSES)
def test_endless_health_answer_delays_no_call(fleet, endpoint, kind):
    endpoint.endless_health_response = ENDLESS_HEALTH_RESPONSES[kind]
    first, _ = assert_other_calls_unaffected(fleet, endpoint)
    assert first.startswith(b"HTTP/1.1 200")
