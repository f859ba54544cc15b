"""Workloads modelled on both deployments, and the balancers compared on each."""

from collections.abc import Iterator
from dataclasses import replace
from multiprocessing import Pool
from typing import Any

from benchmarks.policy import CANDIDATES, Workload, measure

PROCESSES = 4
DURATION_MS = 10_000.0
FEAST = Workload("koledar feast-lookup", 13, 3, 0.7, duration_ms=DURATION_MS)
INTAKE = Workload("koledar observance-intake", 6, 3, 0.7, bulk_share=0.0, duration_ms=DURATION_MS)
INVENTORY = Workload("swan-coast inventory", 14, 6, 0.7, duration_ms=DURATION_MS)
ORDERING = Workload("swan-coast ordering", 6, 6, 0.7, bulk_share=0.0, duration_ms=DURATION_MS)
LEDGER = Workload(
    "bonwerk ledger, hangs when full",
    12,
    4,
    0.85,
    service_ms=60.0,
    bulk_share=0.0,
    slow=True,
    queue_limit=2,
    duration_ms=30_000.0,
)
MAIN_CANDIDATES = ("two choices, stale reports", "policy, entry set of 1", "full knowledge")


def jobs() -> Iterator[tuple[Workload, str]]:
    """Yield each pair of workload and candidate to simulate."""
    for base in (FEAST, INVENTORY):
        for load in (0.5, 0.7, 0.85):
            yield from _with_candidates(
                replace(base, name=f"{base.name}, slow", load=load, slow=True), MAIN_CANDIDATES
            )
        slow_workload = replace(base, name=f"{base.name}, slow", slow=True)
        yield from _with_candidates(
            slow_workload, tuple(name for name in CANDIDATES if name not in MAIN_CANDIDATES)
        )
        yield from _with_candidates(
            replace(base, name=f"{base.name}, bulk neighbour"), MAIN_CANDIDATES
        )
        # The same load of single lookups, which are 0.9 of the 1.9 units of work with bulk pulls.
        quiet = replace(
            base,
            name=f"{base.name}, no neighbour",
            bulk_share=0.0,
            load=base.load * 0.9 / 1.9,
        )
        yield from _with_candidates(quiet, MAIN_CANDIDATES)
        overload = replace(base, name=f"{base.name}, overload", load=1.2)
        yield from _with_candidates(overload, ("policy, entry set of 1", "policy, weight 4 to 1"))
        failing = replace(base, name=f"{base.name}, one fails fast", failing=1)
        yield from _with_candidates(failing, (*MAIN_CANDIDATES, "random"))
    yield from _with_candidates(LEDGER, tuple(name for name in CANDIDATES if "3 entries" in name))
    for base in (INTAKE, ORDERING):
        yield from _with_candidates(
            replace(base, name=f"{base.name}, slow", slow=True), MAIN_CANDIDATES
        )


def run_all() -> Iterator[dict[str, Any]]:
    """Simulate every pair in parallel processes and yield the results in order."""
    with Pool(PROCESSES) as pool:
        for figures in pool.imap(_run, list(jobs())):
            yield from figures


def _run(job: tuple[Workload, str]) -> list[dict[str, Any]]:
    workload, name = job
    return list(measure(workload, name, CANDIDATES[name]))


def _with_candidates(workload: Workload, names: tuple[str, ...]) -> Iterator[tuple[Workload, str]]:
    for name in names:
        yield workload, name
