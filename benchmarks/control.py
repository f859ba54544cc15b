"""Idle cost of real entries, and how fast edits and drains propagate to all of them."""

import os
import re
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import urllib3

from cassiahaven_standins.fleet import (
    HOST,
    OPERATOR_KEY,
    Fleet,
    FleetProcess,
    ServicePlan,
    running_fleet,
)

SIZES = (3, 8, 16)
SAMPLE_S = 10.0
EDITS = 5
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SERVICES = [ServicePlan("lookup", endpoints=3), ServicePlan("orders", endpoints=2)]


def measure() -> Iterator[dict[str, Any]]:
    """Yield the results for several numbers of entries."""
    for entries in SIZES:
        with (
            tempfile.TemporaryDirectory() as name,
            running_fleet(Path(name), SERVICES, entries=entries) as fleet,
        ):
            yield _measure_idle_cost(fleet, entries)
            yield _measure_edit_propagation(fleet, entries)
            yield _measure_drain_propagation(fleet, entries)


def _measure_idle_cost(fleet: Fleet, entries: int) -> dict[str, Any]:
    members = list(fleet.entry_by_name.values())
    cpu = [_cpu_s(member) for member in members]
    sent = [_counter(member, "cassiahaven_peer_bytes_total") for member in members]
    calls = [_counter(member, "cassiahaven_store_calls_total") for member in members]
    time.sleep(SAMPLE_S)
    spent = [_cpu_s(member) - before for member, before in zip(members, cpu, strict=True)]
    after = [_counter(member, "cassiahaven_peer_bytes_total") for member in members]
    sent_per_s = [(now - before) / SAMPLE_S for now, before in zip(after, sent, strict=True)]
    now_calls = sum(_counter(member, "cassiahaven_store_calls_total") for member in members)
    return {
        "bench": "control",
        "what": "at rest",
        "entries": entries,
        "core_percent": round(100 * max(spent) / SAMPLE_S, 2),
        "peer_bytes_per_s": round(max(sent_per_s)),
        "store_calls_per_s_all": round((now_calls - sum(calls)) / SAMPLE_S, 2),
        "resident_mb": round(max(_resident_mb(member) for member in members), 1),
    }


def _measure_edit_propagation(fleet: Fleet, entries: int) -> dict[str, Any]:
    times = []
    first, *_ = fleet.entry_by_name.values()
    for number in range(EDITS):
        edit = {
            "edit": f"bench-{number}",
            "row": "*/*",
            "seen_version": number,
            "value": {"weight": number + 1.0},
        }
        started = time.perf_counter()
        _post(first, "/v1/table/lookup/edits", edit)
        while not _has_revision_everywhere(fleet, number + 1):
            pass
        times.append((time.perf_counter() - started) * 1000)
    return {
        "bench": "control",
        "what": "edit in force everywhere",
        "entries": entries,
        "worst_ms": round(max(times), 1),
    }


def _measure_drain_propagation(fleet: Fleet, entries: int) -> dict[str, Any]:
    fleet.set_store_faults(down=True)
    fleet.leaving.add("lookup-1")
    started = time.perf_counter()
    fleet.publish_vms()
    while not _is_draining_everywhere(fleet):
        pass
    return {
        "bench": "control",
        "what": "leaving endpoint known everywhere, store out",
        "entries": entries,
        "worst_ms": round((time.perf_counter() - started) * 1000, 1),
    }


def _has_revision_everywhere(fleet: Fleet, revision: int) -> bool:
    members = fleet.entry_by_name.values()
    return all(
        fleet.operator_get(member, "/v1/table/lookup")["revision"] >= revision for member in members
    )


def _is_draining_everywhere(fleet: Fleet) -> bool:
    for member in fleet.entry_by_name.values():
        endpoints = fleet.status(member)["services"]["lookup"]["endpoints"]
        if endpoints["lookup-1"]["status"] != "draining":
            return False
    return True


def _post(member: FleetProcess, path: str, value: dict) -> None:
    response = urllib3.request(
        "POST",
        f"http://{HOST}:{member.operator_port}{path}",
        json=value,
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
    )
    assert response.status == 200, response.data


def _counter(member: FleetProcess, name: str) -> float:
    response = urllib3.request(
        "GET",
        f"http://{HOST}:{member.operator_port}/metrics",
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
    )
    values = re.findall(rf"^{name}{{.*}} (.+)$", response.data.decode(), re.M)
    return sum(float(value) for value in values)


def _cpu_s(member: FleetProcess) -> float:
    parts = Path(f"/proc/{member.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / TICKS_PER_S


def _resident_mb(member: FleetProcess) -> float:
    status = Path(f"/proc/{member.process.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024
