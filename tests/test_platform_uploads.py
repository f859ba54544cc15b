"""Large uploads through a real entry: its memory stays bounded, and other calls go on."""

import os
import signal
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from itertools import count
from pathlib import Path

import pytest

from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.platform_endpoint import endpoint_answer
from cassiahaven_standins.platform_fleet import GRACE_MS, MEMORY_MB, platform_fleet

BYTES_PER_MB = 1_048_576
LARGEST_BODY_BYTES = 64 * BYTES_PER_MB
UPLOAD_BYTES = 40_000_000
UPLOADS = 8
DEADLINE_MS = 20_000
EXIT_TOLERANCE_S = 1.0


@pytest.fixture
def fleet(tmp_path):
    with platform_fleet(tmp_path) as running:
        for name, service in (("i-1", "one"), ("i-2", "one")):
            running.add_endpoint(name, service)
        running.configure(
            {"x": "one"}, timeout_ms=DEADLINE_MS, largest_body_bytes=LARGEST_BODY_BYTES
        )
        running.start()
        yield running


@pytest.fixture
def request_id():
    numbers = count()
    return lambda: f"req-{next(numbers)}"


def resident_mb(entry):
    pages = int(Path(f"/proc/{entry.process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


@contextmanager
def watching_memory(entry):
    """Yield a list of the memory of an entry, in MB, every few milliseconds."""
    seen = [resident_mb(entry)]
    stop = threading.Event()

    def watch():
        while not stop.wait(0.005):
            seen.append(resident_mb(entry))

    watcher = threading.Thread(target=watch)
    watcher.start()
    try:
        yield seen
    finally:
        stop.set()
        watcher.join()


def upload(fleet, request):
    target = f"/unsafe/x/{request}"
    body = request.encode().ljust(UPLOAD_BYTES, b"x")
    answer = fleet.call(
        fleet.entries[0], "POST", target, request=request, body=body, deadline_ms=DEADLINE_MS
    )
    return request, answer, endpoint_answer("one", target, body)


def test_uploads_together_stay_within_the_memory_and_disturb_no_other_call(fleet, request_id):
    # Eight bodies within the limit of a body made an entry outgrow its memory, and it was killed.
    entry = fleet.entries[0]
    with watching_memory(entry) as seen_mb, ThreadPoolExecutor(UPLOADS) as pool:
        for _ in range(2):
            uploads = [pool.submit(upload, fleet, request_id()) for _ in range(UPLOADS)]
            while not all(item.done() for item in uploads):
                request = request_id()
                target = f"/unsafe/x/{request}"
                answer = fleet.call(entry, "POST", target, request=request, body=b"order")
                assert answer[:2] == (200, endpoint_answer("one", target, b"order"))
                time.sleep(0.02)
            answers = [item.result() for item in uploads]
            for request, (status, body, headers), expected in answers:
                assert status in (200, 503)
                if status == 200:
                    assert body == expected
                    assert fleet.run_count(request) == 1
                else:
                    assert float(headers["Retry-After"]) > 0
                    assert fleet.run_count(request) == 0
            assert 200 in {answer[0] for _, answer, _ in answers}
    assert entry.process.poll() is None
    assert max(seen_mb) < MEMORY_MB


def test_memory_of_uploads_returns_to_the_system(fleet, request_id):
    entry = fleet.entries[0]
    before_mb = resident_mb(entry)
    for _ in range(3):
        _, (status, body, _), expected = upload(fleet, request_id())
        assert (status, body) == (200, expected)
    assert resident_mb(entry) < before_mb + UPLOAD_BYTES / BYTES_PER_MB / 2


def test_body_is_dropped_while_its_answer_is_streamed(fleet, request_id):
    # A caller that reads a long answer slowly kept its body in memory all that time.
    entry = fleet.entries[0]
    before_mb = resident_mb(entry)
    head = (
        f"POST /unsafe/x/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id()}\r\n"
        f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", entry.front_port)) as caller:
        caller.sendall(head.encode() + b"x" * UPLOAD_BYTES)
        assert caller.recv(12) == b"HTTP/1.1 200"
        limit_mb = before_mb + UPLOAD_BYTES / BYTES_PER_MB / 2
        wait_until(lambda: resident_mb(entry) < limit_mb, "the body is dropped", 5)
        assert not entry.events("answer_streamed")


def test_stop_does_not_wait_for_an_upload_that_stalls(fleet, request_id):
    entry = fleet.entries[0]
    head = (
        f"POST /unsafe/x/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id()}\r\n"
        f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    )
    with socket.create_connection(("127.0.0.1", entry.front_port)) as caller:
        caller.sendall(head.encode() + b"x" * 300_000)
        time.sleep(0.2)
        entry.signal(signal.SIGTERM)
        assert entry.process.wait(GRACE_MS / 1000 + EXIT_TOLERANCE_S) == 0
