"""Time, message size and memory of each part of the control code at several sizes."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.endpoint import CallResult
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.explanation import Explanation, ExplanationRing, Step
from cassiahaven_core.idempotency import KeyRegistry, ScopedKey, join_prefix
from cassiahaven_core.outcome import Ran
from cassiahaven_core.peer_message import Heartbeat, TableRows, decode, encode, revision_digest
from cassiahaven_core.pool import Pool
from cassiahaven_core.rendezvous import rank
from cassiahaven_core.service import Dispatch, ServicePolicy
from cassiahaven_core.table import CellValue, Row, ServiceTable

REPEATS = 5
US_PER_S = 1_000_000
CELL = CellValue(1.0, 1e9, 1_000_000, 1000, 0.0)


def measure() -> Iterator[dict[str, Any]]:
    """Yield one result per part and size."""
    yield from _measure_times("decision", "endpoints", (6, 13, 24, 100), _decision_us)
    yield from _measure_times("key claim and outcome", "keys kept", (1000, 10_000, 90_000), _key_us)
    yield from _measure_times("rendezvous", "entries", (19, 100, 1000), _rank_us)
    yield from _measure_times("rendezvous, kept", "entries", (19, 100, 1000), _cached_rank_us)
    yield from _measure_times(
        "heartbeat encoded and decoded", "services", (6, 100, 890), _heartbeat_us
    )
    yield from _measure_sizes("heartbeat", "services", (6, 100, 890), _heartbeat_bytes)
    yield from _measure_sizes("full heartbeat", "services", (6, 100, 890), _full_heartbeat_bytes)
    yield from _measure_sizes("table rows message", "rows", (10, 100, 1000), _rows_bytes)
    yield from _measure_times("table merge", "rows", (10, 100, 1000), _merge_us)
    yield from _measure_memory("endpoints", (1000, 5000, 21_000), _make_pool)
    yield from _measure_memory("keys kept", (1000, 10_000, 90_000), _make_keys)
    yield from _measure_memory("table rows", (1000, 10_000, 50_000), _make_table)
    yield from _measure_memory("explanations", (1000, 5000, 15_000), _make_ring)


def _measure_times(
    name: str, size_name: str, sizes: tuple[int, ...], run: Callable[[int], float]
) -> Iterator[dict[str, Any]]:
    for size in sizes:
        best = min(run(size) for _ in range(REPEATS))
        yield {"bench": "slopes", "part": name, size_name: size, "us_each": round(best, 2)}


def _measure_sizes(
    name: str, size_name: str, sizes: tuple[int, ...], run: Callable[[int], int]
) -> Iterator[dict[str, Any]]:
    for size in sizes:
        yield {"bench": "slopes", "part": name, size_name: size, "bytes": run(size)}


def _measure_memory(
    size_name: str, sizes: tuple[int, ...], factory: Callable[[int], object]
) -> Iterator[dict[str, Any]]:
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = factory(size)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del kept
        yield {
            "bench": "slopes",
            "part": f"memory of {size_name}",
            size_name: size,
            "bytes_each": round(used / size),
        }


def _mean_us(calls: int, run: Callable[[int], object]) -> float:
    started = time.perf_counter()
    for number in range(calls):
        run(number)
    return (time.perf_counter() - started) / calls * US_PER_S


def _addresses(count: int) -> list[EndpointAddress]:
    return [
        EndpointAddress(f"service-{number}", str(number), "zone-a", "10.0.0.1", 9000, 3)
        for number in range(count)
    ]


def _decision_us(endpoints: int) -> float:
    pool = Pool()
    pool.set_endpoints(_addresses(endpoints), 0.0)
    admission = Admission()
    admission.set_cell("parish", CELL, 0.0)
    policy = ServicePolicy("service", pool, admission)

    def decide(number: int) -> None:
        now_ms = float(number)
        call = WaitingCall(str(number), "parish", True, now_ms + 1000, now_ms)
        [effect] = policy.submit(call, now_ms)
        assert isinstance(effect, Dispatch)
        policy.finish(call, effect.address.endpoint, CallResult.OK, now_ms + 5)

    return _mean_us(2000, decide)


def _key_us(kept: int) -> float:
    registry = _make_keys(kept)
    return _mean_us(500, lambda number: _run_key(registry, number))


def _run_key(registry: KeyRegistry, number: int) -> None:
    scoped = ScopedKey("parish", "orders", join_prefix(registry.prefix, f"again-{number}"))
    registry.claim(scoped, "f" * 32)
    registry.complete(scoped, Ran(200, "orders-1"))
    del registry.record_by_key[scoped]


def _rank_us(entries: int) -> float:
    names = tuple(f"entry-{number}" for number in range(entries))
    return _mean_us(50, lambda number: rank.__wrapped__(f"service-{number}/zone-a", names))


def _cached_rank_us(entries: int) -> float:
    names = tuple(f"entry-{number}" for number in range(entries))
    return _mean_us(500, lambda number: rank(f"service-{number % 50}/zone-a", names))


def _heartbeat(services: int, *, is_full: bool) -> Heartbeat:
    revisions = {f"service-{number}": 1000 + number for number in range(services)}
    demand = {"service-1": 412.5, "service-2": 83.0}
    return Heartbeat(revision_digest(revisions), revisions if is_full else {}, demand)


def _heartbeat_us(services: int) -> float:
    message = _heartbeat(services, is_full=False)
    return _mean_us(50, lambda number: decode(encode(message)))


def _heartbeat_bytes(services: int) -> int:
    return len(encode(_heartbeat(services, is_full=False)))


def _full_heartbeat_bytes(services: int) -> int:
    return len(encode(_heartbeat(services, is_full=True)))


def _rows(count: int) -> dict[str, Row]:
    return {
        f"zone-{number % 18}/partner-{number}": Row(number + 1, f"{number:032x}", CELL)
        for number in range(count)
    }


def _rows_bytes(count: int) -> int:
    return len(encode(TableRows("service", count, _rows(count))))


def _merge_us(count: int) -> float:
    rows = _rows(count)
    return _mean_us(20, lambda number: ServiceTable("service").merge(count, rows.items()))


def _make_pool(count: int) -> Pool:
    pool = Pool()
    pool.set_endpoints(_addresses(count), 0.0)
    return pool


def _make_keys(count: int) -> KeyRegistry:
    registry = KeyRegistry("entry-1-0123456789ab")
    for number in range(count):
        scoped = ScopedKey("parish", "orders", join_prefix(registry.prefix, f"{number:032x}"))
        registry.claim(scoped, f"{number:032x}")
        registry.complete(scoped, Ran(200, "orders-1"))
    return registry


def _make_table(count: int) -> ServiceTable:
    table = ServiceTable("service")
    table.merge(count, _rows(count).items())
    return table


def _make_ring(count: int) -> ExplanationRing:
    ring = ExplanationRing(max_bytes=10**12)
    for number in range(count):
        step = Step(0.2, "sent", f"feast-lookup-{number % 13} after waiting 0.1 ms")
        call_id = f"entry-1-0123456789ab-{number}"
        ring.add(
            Explanation(
                call_id, "feast-lookup", "parish", "GET", f"/f/{number}", 0.0, "ran", [step]
            )
        )
    return ring
