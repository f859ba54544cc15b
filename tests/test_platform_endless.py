"""Endpoints whose bytes are no answer and do not end until somebody closes."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.platform_endpoint import Flood
from cassiahaven_standins.platform_fleet import platform_fleet

DEADLINE_S = 0.8
LATE_S = 0.5  # within this after its deadline a call is over
PROMPT_S = 0.5  # for another caller of the same entry, on a busy machine too
LARGEST_GROWTH_KB = 40_000
OK = b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
PART = b"x" * 65_536
CHUNK = b"10000\r\n" + PART + b"\r\n"
DRIP_S = 0.05
FLOODS = {
    "no head": Flood(b"", PART),
    "line of a head": Flood(OK + b"X: ", PART),
    "lines of a head": Flood(OK, b"X: y\r\n" * 1000),
    "interim answers": Flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "slow line of a head": Flood(OK + b"X: ", b"y", DRIP_S),
    "slow lines of a head": Flood(OK, b"X: y\r\n", DRIP_S),
    "slow interim answers": Flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n", DRIP_S),
    "body without a length": Flood(OK + b"\r\n", PART),
    "chunks": Flood(OK + CHUNKED, CHUNK),
    "size of a chunk": Flood(OK + CHUNKED, b"0" * 65_536),
    "trailers": Flood(OK + CHUNKED + b"0\r\n", b"X: y\r\n" * 1000),
    "slow body": Flood(OK + b"Content-Length: 60000\r\n\r\n", b"x", DRIP_S),
    "slow chunks": Flood(OK + CHUNKED, b"1\r\nx\r\n", DRIP_S),
    "body of a refusal": Flood(NOT_RUN + CHUNKED, CHUNK),
    "slow body of a refusal": Flood(NOT_RUN + CHUNKED, b"1\r\nx\r\n", DRIP_S),
}
HEALTH_FLOODS = {
    "body": Flood(b"HTTP/1.1 200 OK\r\n\r\n", PART),
    "slow body": Flood(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", b"x", DRIP_S / 5),
    "slow head": Flood(b"HTTP/1.1 200 OK\r\nX: ", b"y", DRIP_S / 5),
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
    state.flood = state.health_flood = None
    state.floods_s.clear()


def call(entry, path, *, deadline_s=DEADLINE_S):
    """Return how long a call took until its connection ended, and the first bytes of its answer."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-{time.monotonic_ns()}\r\n"
        f"Deadline-Ms: {deadline_s * 1000:.0f}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
    started_s = time.monotonic()
    with socket.create_connection(("127.0.0.1", entry.front), timeout=10) as caller:
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


def assert_harmless(fleet, endpoint):
    [entry] = fleet.entries
    before_kb = memory_kb(entry)
    with ThreadPoolExecutor(1) as pool:
        ended = pool.submit(call, entry, "/unsafe/f/")
        others_s = []
        while not ended.done():
            took_s, first, _ = call(entry, "/unsafe/s/")
            others_s.append(took_s)
            assert first.startswith(b"HTTP/1.1 200")
    took_s, first, last = ended.result()
    assert took_s < DEADLINE_S + LATE_S
    assert max(others_s, default=0.0) < PROMPT_S
    assert memory_kb(entry) - before_kb < LARGEST_GROWTH_KB
    wait_until(lambda: endpoint.floods_s, "the entry closes", timeout_s=1.0)
    assert max(endpoint.floods_s) < DEADLINE_S + LATE_S
    return first, last


@pytest.mark.parametrize("kind", FLOODS)
def test_endless_answer_ends_with_its_call(fleet, endpoint, kind):
    endpoint.flood = FLOODS[kind]
    first, last = assert_harmless(fleet, endpoint)
    if first.startswith(b"HTTP/1.1 200"):
        # What was passed on already must not look whole.
        assert not last.endswith(b"0\r\n\r\n")
    else:
        assert first.split()[1] in (b"502", b"503", b"504")


@pytest.mark.parametrize("kind", HEALTH_FLOODS)
def test_endless_health_answer_holds_no_call_up(fleet, endpoint, kind):
    endpoint.health_flood = HEALTH_FLOODS[kind]
    first, _ = assert_harmless(fleet, endpoint)
    assert first.startswith(b"HTTP/1.1 200")
