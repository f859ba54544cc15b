"""Probes sent by real entries to real upstreams stay within the budget."""

import signal

from cassiahaven_standins.fleet import ServicePlan, wait_until

BUDGET_MS_PER_S = 60.0
PROBE_COST_MS = 6.0


def probes(fleet):
    return sorted(line["at"] for line in fleet.run_log() if line["path"] == "/health")


def test_real_probes_stay_within_the_budget(start_fleet, run_command):
    fleet = start_fleet([ServicePlan("lookup", endpoints=4)])
    fleet.set_upstream_faults("lookup-1", fail_fast=True)
    done = run_command(
        fleet, "table", "set", "lookup", "*/*", "--probe_budget_ms_per_s", str(BUDGET_MS_PER_S)
    )
    assert done.returncode == 0
    caller = fleet.caller()
    active = caller.addresses("lookup")[0]
    holder = next(item for item in fleet.entry_by_name.values() if item.port == active.port)

    def ejected():
        for _ in range(30):
            caller.call("lookup", "GET", "/x?service_ms=1", address=active)
        endpoints = fleet.status(holder)["services"]["lookup"]["endpoints"]
        return endpoints["lookup-1"]["status"] == "ejected"

    fleet.set_upstream_faults("lookup-2", shed=True)
    fleet.set_upstream_faults("lookup-3", shed=True)
    fleet.set_upstream_faults("lookup-4", shed=True)
    wait_until(ejected, "the failing endpoint is ejected")
    wait_until(lambda: len(probes(fleet)) >= 5, "probes are sent")
    fleet.signal(holder, signal.SIGSTOP)
    count = len(probes(fleet))
    wait_until(
        lambda: len(fleet.status(other(fleet, holder))["entries"]) == 2,
        "the stopped entry is removed",
    )
    fleet.signal(holder, signal.SIGCONT)
    wait_until(lambda: len(probes(fleet)) > count, "the resumed entry probes again")
    sent = probes(fleet)
    for earlier in range(len(sent)):
        for later in range(earlier, len(sent)):
            spent = (later - earlier + 1) * PROBE_COST_MS
            window_s = sent[later] - sent[earlier]
            # 0.1 s allows for the delay between the budget check and the upstream's log entry.
            assert spent <= BUDGET_MS_PER_S * (window_s + 0.1) + PROBE_COST_MS


def other(fleet, member):
    return next(item for item in fleet.entry_by_name.values() if item is not member)
