"""Shared fixtures of the core's tests."""

import random
from collections.abc import Callable

import pytest

from cassiahaven_core.admission import Admission, WaitingCall
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.pool import Pool
from cassiahaven_core.service import ServicePolicy
from cassiahaven_core.table import CellValue

CELL = CellValue(
    weight=1.0, rate_per_s=1e9, concurrency=1000, queue_limit=100, probe_budget_ms_per_s=0.0
)


@pytest.fixture
def make_policy() -> Callable[..., ServicePolicy]:
    def make(
        *, endpoints: int = 3, slots: int = 2, cells: dict[str, CellValue] | None = None
    ) -> ServicePolicy:
        pool = Pool(rng=random.Random(1))
        names = [f"e{number}" for number in range(endpoints)]
        pool.set_endpoints(
            [EndpointAddress(name, "1", "zone", "127.0.0.1", 1, slots) for name in names], 0.0
        )
        admission = Admission()
        for partner, cell in (cells or {"parish": CELL, "printer": CELL}).items():
            admission.set_cell(partner, cell, 0.0)
        return ServicePolicy("lookup", pool, admission)

    return make


@pytest.fixture
def make_call() -> Callable[..., WaitingCall]:
    def make(
        call_id: str,
        *,
        partner: str = "parish",
        idempotent: bool = True,
        deadline_ms: float = 1000.0,
        arrived_ms: float = 0.0,
    ) -> WaitingCall:
        return WaitingCall(call_id, partner, idempotent, deadline_ms, arrived_ms)

    return make
