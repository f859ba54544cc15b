"""End-to-end tests of calls, addresses, drains, stops and the table with real processes."""

import json
import signal
import socket
import subprocess
import sys
import threading

import pytest
import urllib3

from cassiahaven_standins.fleet import HOST, OPERATOR_KEY, PEER_KEY, ServicePlan, wait_until


def statuses(fleet, service, name):
    members = [item for item in fleet.entry_by_name.values() if item.process.poll() is None]
    found = [fleet.status(member) for member in members]
    return [item["services"][service]["endpoints"].get(name, {}).get("status") for item in found]


def raw_exchange(port, data, *, timeout_s=5.0):
    with socket.create_connection((HOST, port), timeout=timeout_s) as connection:
        connection.sendall(data)
        connection.settimeout(timeout_s)
        parts = []
        while part := connection.recv(65536):
            parts.append(part)
            if b"\r\n\r\n" in b"".join(parts):
                break
        return b"".join(parts)


def test_caller_gets_the_whole_answer_to_its_own_request(shared_fleet):
    answers = []

    def ask(number):
        caller = shared_fleet.caller("parish")
        for turn in range(20):
            body = f"{number}/{turn}"
            answers.append((body, caller.call("lookup", "GET", "/x", body=body.encode())))

    threads = [threading.Thread(target=ask, args=(number,)) for number in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(answers) == 120
    assert all(json.loads(answer.body)["body"] == body for body, answer in answers)


@pytest.mark.parametrize("chunked", ["", "&chunked=1"])
@pytest.mark.parametrize("padding", [1000, 300_000])
def test_large_and_chunked_answers_are_whole(shared_fleet, chunked, padding):
    answer = shared_fleet.caller().call("lookup", "GET", f"/x?padding={padding}{chunked}")
    assert answer.outcome == "ran"
    head, _, rest = answer.body.partition(b"}")
    assert (json.loads(head + b"}")["path"], len(rest)) == ("/x", padding)


@pytest.mark.parametrize("chunked", ["", "&chunked=1"])
@pytest.mark.parametrize("padding", [1000, 300_000])
def test_truncated_answer_never_looks_whole(start_fleet, chunked, padding):
    fleet = start_fleet([ServicePlan("lookup", endpoints=2)])
    for name in fleet.upstream_by_name:
        fleet.set_upstream_faults(name, truncate=True)
    answer = fleet.caller().call("lookup", "GET", f"/x?padding={padding}{chunked}")
    assert answer.outcome.startswith(("unknown", "lost"))
    for name in fleet.upstream_by_name:
        fleet.set_upstream_faults(name, truncate=False)
    again = fleet.caller().call("lookup", "GET", "/y?padding=10")
    assert (again.outcome, json.loads(again.body[:-10])["path"]) == ("ran", "/y")


def test_timeout_cancels_the_call_at_the_upstream(start_fleet):
    fleet = start_fleet([ServicePlan("lookup", endpoints=1)])
    fleet.caller().call("lookup", "GET", "/slow?service_ms=100000", timeout_ms=200)
    upstream = fleet.upstream_by_name["lookup-1"]

    def cancelled():
        response = urllib3.request("POST", f"{upstream.url}/faults", json={})
        return response.json()["cancelled"]

    wait_until(lambda: cancelled() == 1, "the upstream cancels the call")


def test_late_answer_is_not_given_to_another_call(shared_fleet):
    caller = shared_fleet.caller()
    late = caller.call("lookup", "GET", "/slow?service_ms=100000", timeout_ms=200)
    assert late.outcome == "unknown; reason=answer-timeout"
    for turn in range(5):
        body = str(turn).encode()
        answer = caller.call("lookup", "GET", "/fast", body=body)
        assert json.loads(answer.body)["body"] == body.decode()


@pytest.mark.parametrize(
    ("service", "partner", "options", "status", "outcome"),
    [
        ("nowhere", None, {}, 404, "not-run; reason=unknown-service"),
        ("orders", None, {}, 401, "not-run; reason=unauthenticated"),
        ("orders", "stranger", {}, 401, "not-run; reason=unauthenticated"),
        ("lookup", None, {"body": b"x" * 1_100_000}, 413, "not-run; reason=body-too-large"),
        ("lookup", None, {"timeout_ms": 0}, 504, "not-run; reason=deadline-exceeded"),
    ],
)
def test_refused_calls_are_not_run_and_are_counted(
    shared_fleet, service, partner, options, status, outcome
):
    caller = shared_fleet.caller(partner)
    address = caller.addresses("lookup")[0]
    before = len(shared_fleet.run_log())
    answer = caller.call(service, "POST", "/x", address=address, **options)
    assert (answer.status, answer.outcome) == (status, outcome)
    assert len(shared_fleet.run_log()) == before
    member = next(item for item in shared_fleet.entry_by_name.values() if item.port == address.port)
    reason = outcome.partition("reason=")[2]
    assert f'reason="{reason}"' in metrics(member)


def metrics(member):
    response = urllib3.request(
        "GET",
        f"http://{HOST}:{member.operator_port}/metrics",
        headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
    )
    return response.data.decode()


@pytest.mark.parametrize(
    "data",
    [
        b"GARBAGE\r\n\r\n",
        b"GET /v1/call/lookup/x HTTP/1.1\r\nHost: x\r\nRequest-Timeout-Ms: soon\r\n\r\n",
        b"GET /v1/call/lookup/x HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n",
        b"GET /v1/call/lookup/x HTTP/1.1\r\nHost: x\r\n" + b"A: " + b"y" * 70_000 + b"\r\n\r\n",
        b"GET /" + b"z" * 20_000 + b" HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
)
def test_malformed_requests_get_a_client_error_without_a_traceback(shared_fleet, data):
    member = next(iter(shared_fleet.entry_by_name.values()))
    answer = raw_exchange(member.port, data)
    # A request line without a version is answered as HTTP/0.9, which has no status line.
    assert answer.startswith((b"HTTP/1.1 4", b"HTTP/1.0 4")) or b"Error code: 400" in answer
    assert b"Traceback" not in answer
    assert shared_fleet.caller().call("lookup", "GET", "/x").outcome == "ran"


def test_second_entry_on_the_same_ports_is_refused(shared_fleet):
    member = next(iter(shared_fleet.entry_by_name.values()))
    done = subprocess.run(
        [sys.executable, "-m", "cassiahaven_entry.main", "--settings", str(member.settings)],
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert (done.returncode, "cannot listen" in done.stderr) == (3, True)
    assert "Traceback" not in done.stderr


def test_slow_callers_delay_no_other_call(shared_fleet):
    member = next(iter(shared_fleet.entry_by_name.values()))
    head = b"POST /v1/call/lookup/x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"
    slow = [socket.create_connection((HOST, member.port)) for _ in range(50)]
    for connection in slow:
        connection.sendall(head)
    assert shared_fleet.caller().call("lookup", "GET", "/x").outcome == "ran"
    for connection in slow:
        connection.close()
    assert all(line["method"] == "GET" or line["key"] for line in shared_fleet.run_log())


@pytest.mark.parametrize(
    ("key", "cluster", "status"),
    [("wrong-key-wrong-key", "demo", b"401"), (PEER_KEY, "other", b"403")],
)
def test_unauthorized_peers_are_rejected(shared_fleet, key, cluster, status):
    member = next(iter(shared_fleet.entry_by_name.values()))
    head = (
        f"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        f"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
        f"Authorization: Bearer {key}\r\nCassiahaven-Cluster: {cluster}\r\n\r\n"
    )
    assert status in raw_exchange(member.peer_port, head.encode()).split(b"\r\n")[0]
    assert "cassiahaven_peer_rejections_total" in metrics(member)


def test_garbage_on_the_peer_port_changes_nothing(shared_fleet):
    member = next(iter(shared_fleet.entry_by_name.values()))
    with socket.create_connection((HOST, member.peer_port)) as connection:
        connection.sendall(b"\x00\xff" * 1000)
    assert shared_fleet.is_converged()


def test_drained_and_leaving_endpoints_get_no_new_work(start_fleet, run_command):
    fleet = start_fleet([ServicePlan("lookup", endpoints=4)])
    fleet.set_store_faults(delay_ms=20)
    assert run_command(fleet, "drain", "lookup", "lookup-1").returncode == 0
    fleet.leaving.add("lookup-2")
    fleet.publish_vms()
    fleet.set_store_faults(down=True)
    fleet.set_upstream_faults("lookup-3", draining=True)
    caller = fleet.caller()
    wait_until(
        lambda: [caller.call("lookup", "GET", "/x") for _ in range(4)]
        and set(statuses(fleet, "lookup", "lookup-3")) == {"draining"},
        "all entries know that the upstream is draining",
    )
    wait_until(
        lambda: set(statuses(fleet, "lookup", "lookup-1")) == {"drained_by_operator"}
        and set(statuses(fleet, "lookup", "lookup-2")) == {"draining"},
        "all entries know of the drains",
    )
    before = len(fleet.run_log())
    for address in caller.addresses("lookup"):
        for _ in range(5):
            assert caller.call("lookup", "GET", "/x", address=address).outcome == "ran"
    assert {line["endpoint"] for line in fleet.run_log()[before:]} == {"lookup-4"}


def test_upstream_that_restarts_is_served_again_as_a_new_incarnation(start_fleet):
    plan = ServicePlan("lookup", endpoints=1)
    fleet = start_fleet([plan])
    fleet.leaving.add("lookup-1")
    fleet.publish_vms()
    wait_until(
        lambda: set(statuses(fleet, "lookup", "lookup-1")) == {"draining"},
        "drained",
    )
    assert fleet.caller().call("lookup", "GET", "/x").outcome == "not-run; reason=no-upstream"
    old = fleet.upstream_by_name["lookup-1"]
    fleet.signal(old, signal.SIGTERM)
    old.process.wait(timeout=10)
    fleet.start_upstream("lookup-1", plan)
    fleet.publish_vms()
    wait_until(
        lambda: set(statuses(fleet, "lookup", "lookup-1")) == {"cold"},
        "all entries list the new incarnation",
    )
    wait_until(
        lambda: fleet.caller().call("lookup", "GET", "/x").outcome == "ran",
        "the endpoint serves calls again",
    )


def wait_for_more_answers(answers):
    count = len(answers)
    wait_until(lambda: len(answers) > count + 20, "more calls are answered")


@pytest.mark.parametrize("store_is_down", [False, True])
def test_entry_stops_without_cutting_a_call(start_fleet, store_is_down):
    fleet = start_fleet([ServicePlan("lookup", endpoints=3, service_ms=40.0)])
    if store_is_down:
        fleet.set_store_faults(down=True)
    answers, over = [], threading.Event()

    def ask():
        caller = fleet.caller()
        while not over.is_set():
            answers.append(caller.call("lookup", "GET", "/x"))

    threads = [threading.Thread(target=ask) for _ in range(4)]
    for thread in threads:
        thread.start()
    for name in ("entry-1", "entry-2"):
        wait_for_more_answers(answers)
        stopped = fleet.entry_by_name[name]
        fleet.signal(stopped, signal.SIGTERM)
        assert stopped.process.wait(timeout=20) == 0
    wait_for_more_answers(answers)
    over.set()
    for thread in threads:
        thread.join()
    assert {answer.outcome for answer in answers} == {"ran"}


def test_explanations_outlive_a_planned_stop(start_fleet, run_command):
    fleet = start_fleet()
    answer = fleet.caller().call("lookup", "GET", "/x")
    name = answer.call_id.rpartition("-")[0].rpartition("-")[0]
    stopped = fleet.entry_by_name[name]
    fleet.signal(stopped, signal.SIGTERM)
    stopped.process.wait(timeout=20)
    done = run_command(fleet, "why", answer.call_id)
    assert (done.returncode, answer.call_id in done.stdout) == (0, True)


def test_killed_entry_is_removed_and_callers_fail_over(start_fleet):
    fleet = start_fleet()
    caller = fleet.caller()
    active = caller.addresses("lookup")[0]
    victim = next(item for item in fleet.entry_by_name.values() if item.port == active.port)
    fleet.signal(victim, signal.SIGKILL)
    victim.process.wait()
    lost = caller.call("lookup", "GET", "/x").outcome
    assert lost.startswith(("lost", "not-connected"))
    assert caller.call("lookup", "GET", "/x").outcome == "ran"
    survivors = [item for item in fleet.entry_by_name.values() if item is not victim]
    wait_until(
        lambda: all(len(fleet.status(m)["entries"]) == 2 for m in survivors),
        "the killed entry is removed",
    )
    caller.forget("lookup")
    assert active.port not in {item.port for item in caller.addresses("lookup")}


def test_edit_with_a_lost_answer_is_accepted_once_and_in_force_everywhere(start_fleet, run_command):
    fleet = start_fleet()
    fleet.set_store_faults(lose_answers=1)
    done = run_command(fleet, "table", "set", "lookup", "*/printer", "--weight", "0.5")
    assert (done.returncode, "accepted as version 1" in done.stdout) == (0, True)
    fleet.set_store_faults(down=True)
    wait_until(lambda: in_force(fleet) == [1, 1, 1], "in force during the outage")
    history = run_command(fleet, "table", "history", "lookup")
    assert history.returncode == 5


def in_force(fleet):
    members = [item for item in fleet.entry_by_name.values() if item.process.poll() is None]
    found = [fleet.operator_get(member, "/v1/table/lookup") for member in members]
    return [item["revision"] for item in found if item]


def test_entry_that_restarts_during_an_outage_learns_the_table_from_its_peers(
    start_fleet, run_command
):
    fleet = start_fleet()
    run_command(fleet, "table", "set", "lookup", "*/*", "--weight", "2")
    wait_until(lambda: in_force(fleet) == [1, 1, 1], "in force")
    fleet.set_store_faults(down=True)
    victim = fleet.entry_by_name["entry-2"]
    fleet.signal(victim, signal.SIGKILL)
    victim.process.wait()
    fleet.start_entry("entry-2")
    wait_until(lambda: in_force(fleet) == [1, 1, 1], "in force again")


def test_racing_operators_on_one_cell_get_one_acceptance(start_fleet, run_command):
    fleet = start_fleet()
    done = []
    threads = [
        threading.Thread(
            target=lambda weight=weight: done.append(
                run_command(
                    fleet, "table", "set", "lookup", "*/*", "--weight", weight, "--seen", "0"
                )
            )
        )
        for weight in ("2", "3", "4")
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(item.returncode for item in done) == [0, 3, 3]
    assert all("it is now" in item.stderr for item in done if item.returncode == 3)


def test_frozen_entry_catches_up_and_never_goes_back(start_fleet, run_command):
    fleet = start_fleet()
    frozen = fleet.entry_by_name["entry-3"]
    fleet.signal(frozen, signal.SIGSTOP)
    for weight in ("2", "3", "4"):
        assert (
            run_command(fleet, "table", "set", "lookup", "*/*", "--weight", weight).returncode == 0
        )
    fleet.signal(frozen, signal.SIGCONT)
    seen = []
    wait_until(
        lambda: seen.append((fleet.operator_get(frozen, "/v1/table/lookup") or {}).get("revision"))
        or seen[-1] == 3,
        "the resumed entry has the newest revision",
    )
    known = [revision for revision in seen if revision is not None]
    assert known == sorted(known)


def test_limits_hold_and_are_read_back(start_fleet, run_command):
    fleet = start_fleet()
    done = run_command(fleet, "table", "set", "lookup", "*/printer", "--weight", "0")
    assert done.returncode == 0
    wait_until(lambda: in_force(fleet) == [1, 1, 1], "in force")
    assert fleet.caller("printer").call("lookup", "GET", "/x").outcome.endswith("partner-blocked")
    assert fleet.caller("parish").call("lookup", "GET", "/x").outcome == "ran"
    shown = run_command(fleet, "table", "get", "lookup", "zone-a", "printer", "--json")
    assert json.loads(shown.stdout)["weight"] == {"value": 0, "row": "*/printer"}


def test_addresses_stay_available_while_the_vm_list_is_down(start_fleet):
    fleet = start_fleet()
    fleet.post(f"{fleet.vm_list.url}/faults", {"down": True})
    assert fleet.caller().call("lookup", "GET", "/x").outcome == "ran"
