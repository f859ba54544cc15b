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


SLOW_LINK_BYTES_PER_S = 1_250_000  # 10 Mbit/s
SLOW_UPLOAD_BYTES = 360_000
SLOW_UPLOADS = 8
SLOW_PART_BYTES = 1_500


def upload_slowly(entry, request, stop):
    """Send uploads one after another, at a part of the pace of a link; return their statuses."""
    pause_s = SLOW_PART_BYTES * SLOW_UPLOADS / SLOW_LINK_BYTES_PER_S
    statuses = []
    while not stop.is_set():
        with socket.create_connection(("127.0.0.1", entry.front_port)) as caller:
            head = (
                f"POST /unsafe/x/up HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request()}\r\n"
                f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {SLOW_UPLOAD_BYTES}\r\n\r\n"
            )
            caller.sendall(head.encode())
            start_s = time.monotonic()
            for part in range(SLOW_UPLOAD_BYTES // SLOW_PART_BYTES):
                caller.sendall(b"x" * SLOW_PART_BYTES)
                time.sleep(max(0.0, start_s + (part + 1) * pause_s - time.monotonic()))
            statuses.append(caller.recv(12))
    return statuses


def short_call_ms(fleet, request_id, count):
    """Return the time of each of some short calls, in order."""
    took_ms = []
    for _ in range(count):
        started_s = time.monotonic()
        status, _, _ = fleet.call(fleet.entries[0], "GET", "/safe/x/1", request=request_id())
        took_ms.append((time.monotonic() - started_s) * 1000)
        assert status == 200
    return sorted(took_ms)


def test_uploads_over_a_slow_link_do_not_delay_short_calls(fleet, request_id):
    """Guards against short calls that wait until the bodies of uploads have been read."""
    alone_ms = short_call_ms(fleet, request_id, 100)
    stop = threading.Event()
    with ThreadPoolExecutor(SLOW_UPLOADS) as pool:
        uploads = [
            pool.submit(upload_slowly, fleet.entries[0], request_id, stop)
            for _ in range(SLOW_UPLOADS)
        ]
        time.sleep(0.5)
        beside_ms = short_call_ms(fleet, request_id, 100)
        stop.set()
        statuses = [status for item in uploads for status in item.result()]
    print(f"median {alone_ms[50]:.1f} alone, {beside_ms[50]:.1f} ms beside uploads,")
    print(f"95th percentile {alone_ms[95]:.1f} and {beside_ms[95]:.1f} ms")
    assert set(statuses) == {b"HTTP/1.1 200"}
    # The body of one upload takes 290 ms on the link, and those of all eight 2.3 s.
    assert beside_ms[95] < alone_ms[95] + 100
