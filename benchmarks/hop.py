"""Latency added by an entry, against direct calls and a minimal proxy in the same run."""

import statistics
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import urllib3

from cassiahaven_standins.fleet import Fleet, FleetProcess, ServicePlan, running_fleet, wait_until

CALLS = 1500
ROUNDS = 3
THREADS = 8
SERVICE = ServicePlan("lookup", endpoints=4, slots=16, service_ms=0.001)


def measure() -> Iterator[dict[str, Any]]:
    """Yield the latencies of one caller and the throughput of eight callers, by path."""
    with (
        tempfile.TemporaryDirectory() as name,
        running_fleet(Path(name), [SERVICE], entries=1) as fleet,
    ):
        urls = _urls(fleet)
        for url in urls.values():
            _measure_latencies(url, 200)
        times: dict[str, list[float]] = {label: [] for label in urls}
        for _ in range(ROUNDS):
            for label, url in urls.items():
                times[label] += _measure_latencies(url, CALLS // ROUNDS)
        direct_p50 = statistics.median(times["direct"])
        bare_added = statistics.median(times["bare hop"]) - direct_p50
        for label, url in urls.items():
            ordered = sorted(times[label])
            added = statistics.median(ordered) - direct_p50
            yield {
                "bench": "hop",
                "path": label,
                "p50_ms": round(statistics.median(ordered), 3),
                "p99_ms": round(ordered[int(len(ordered) * 0.99)], 3),
                "added_p50_ms": round(added, 3),
                "added_over_bare": round(added / bare_added, 2),
                "calls_per_s_8": round(_measure_throughput(url)),
            }


def _urls(fleet: Fleet) -> dict[str, str]:
    entry = next(iter(fleet.entry_by_name.values()))
    upstream = next(iter(fleet.upstream_by_name.values()))
    bare = _start_bare_hop(fleet, upstream)
    return {
        "direct": f"{upstream.url}/x",
        "bare hop": f"{bare.url}/x",
        "entry": f"{entry.url}/v1/call/lookup/x",
    }


def _start_bare_hop(fleet: Fleet, upstream: FleetProcess) -> FleetProcess:
    from cassiahaven_standins.fleet import free_port

    port = free_port()
    arguments = ["--port", str(port), "--upstream", upstream.url]
    process = fleet._spawn("bare-hop", "benchmarks.bare_hop", arguments)
    member = FleetProcess("bare-hop", process, port)
    fleet.upstream_by_name["bare-hop"] = member
    wait_until(lambda: fleet._listens(port), "the bare hop listens")
    return member


def _measure_latencies(url: str, calls: int) -> list[float]:
    pool = urllib3.PoolManager(retries=False)
    times = []
    for _ in range(calls):
        started = time.perf_counter()
        response = pool.request("GET", url)
        times.append((time.perf_counter() - started) * 1000)
        assert response.status == 200, response.data
    return times


def _measure_throughput(url: str) -> float:
    threads = [
        threading.Thread(target=_measure_latencies, args=(url, CALLS // 3)) for _ in range(THREADS)
    ]
    started = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return THREADS * (CALLS // 3) / (time.perf_counter() - started)
