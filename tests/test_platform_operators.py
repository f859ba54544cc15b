"""Operators' commands against entries on a simulated platform."""

import json
from itertools import count

import pytest

from cassiahaven_standins.fleet import wait_until
from cassiahaven_standins.platform_fleet import platform_fleet

ROUTE = "r-safe-x"
PROPAGATION_BOUND_S = 2.0


@pytest.fixture
def fleet(tmp_path):
    with platform_fleet(tmp_path, entries=3) as running:
        running.add_endpoint("i-1", "one")
        running.add_endpoint("i-2", "one")
        running.configure({"x": "one"})
        running.start()
        yield running


@pytest.fixture
def call(fleet):
    numbers = count()

    def send(entry):
        request = f"req-{next(numbers)}"
        status, _, headers = fleet.call(entry, "GET", "/safe/x/", request=request)
        return status, request, headers

    return send


@pytest.fixture
def rows(fleet, run_command):
    def read(service="one"):
        shown = run_command(fleet, "table", "get", service, "--json")
        assert shown.returncode == 0, shown.stderr
        return json.loads(shown.stdout)["rows"]

    return read


def test_table_shows_routes_as_rows_with_values_in_force_and_their_source(fleet, run_command, rows):
    wait_until(
        lambda: rows()[f"route:{ROUTE}"]["in_force"] == 3,
        "the configuration is in force at every entry",
    )
    row = rows()[f"route:{ROUTE}"]
    assert (row["version"], row["entries"], row["missing"]) == (fleet.version, 3, [])
    assert row["value"]["timeout_ms"] == 2000.0
    assert row["value"]["is_idempotent"] is True
    shown = run_command(fleet, "table", "get", "one", "a", ROUTE).stdout
    assert f"route:{ROUTE}, configuration {fleet.version}" in shown
    assert "built-in" in shown
    fleet.configure({"x": "one"}, timeout_ms=1500)
    wait_until(
        lambda: rows()[f"route:{ROUTE}"]["value"]["timeout_ms"] == 1500.0,
        "the table shows the new timeout",
    )


def test_a_cell_is_changed_and_takes_effect_at_every_entry(fleet, run_command, rows, call):
    assert [call(entry)[0] for entry in fleet.entries] == [200] * 3
    done = run_command(fleet, "table", "set", "one", f"*/{ROUTE}", "--weight", "0")
    assert done.returncode == 0, done.stderr
    wait_until(
        lambda: [call(entry)[0] for entry in fleet.entries] == [503] * 3,
        "the route is blocked everywhere",
        timeout_s=PROPAGATION_BOUND_S,
    )
    wait_until(lambda: rows()[f"*/{ROUTE}"]["in_force"] == 3, "the row is in force everywhere")
    assert run_command(fleet, "table", "unset", "one", f"*/{ROUTE}").returncode == 0
    wait_until(
        lambda: [call(entry)[0] for entry in fleet.entries] == [200] * 3,
        "the route is open again",
        timeout_s=PROPAGATION_BOUND_S,
    )
    history = run_command(fleet, "table", "history", "one").stdout
    assert history.count(f"*/{ROUTE}") == 2


def test_declarations_leave_rows_of_the_configuration_alone(fleet, run_command, tmp_path):
    # Rows of routes were planned to be removed, which the entries refuse.
    folder = tmp_path / "declared"
    folder.mkdir()
    (folder / "one.yaml").write_text("service: one\ncells:\n  '*/*':\n    weight: 2.0\n")
    planned = run_command(fleet, "table", "plan", str(folder)).stdout
    assert "*/*" in planned
    assert "route:" not in planned
    done = run_command(fleet, "table", "apply", str(folder))
    assert done.returncode == 0, done.stderr


def test_an_entry_that_starts_later_has_the_table_too(fleet, run_command, call):
    run_command(fleet, "table", "set", "one", f"*/{ROUTE}", "--weight", "0")
    for entry in fleet.entries:
        entry.close()
    for entry in fleet.entries:
        entry.start()
    wait_until(lambda: all(entry.is_ready() for entry in fleet.entries), "entries are ready")
    wait_until(
        lambda: call(fleet.entries[0])[0] == 503, "the restarted entry has the row from the store"
    )


def test_a_drained_endpoint_gets_no_calls(fleet, run_command, call):
    assert run_command(fleet, "drain", "one", "i-1").returncode == 0
    wait_until(
        lambda: "drained_by_operator" in run_command(fleet, "status").stdout,
        "the status shows the drain",
    )
    before = len(fleet.endpoint_by_name["i-1"].state.ran)
    assert {call(fleet.entries[0])[0] for _ in range(10)} == {200}
    assert len(fleet.endpoint_by_name["i-1"].state.ran) == before


def test_status_names_entries_carriers_and_endpoints(fleet, run_command):
    def status():
        return json.loads(run_command(fleet, "status", "--json").stdout)

    names = {item.name for item in fleet.entries}
    # An entry can be ready before it knows all others.
    wait_until(
        lambda: {entry["name"] for entry in status()["entries"]} == names,
        "the status lists all entries",
    )
    plain = status()
    assert {entry["name"] for entry in plain["entries"]} == names
    assert plain["store_available"]
    service = plain["services"]["one"]
    assert set(service["endpoints"]) == {"i-1", "i-2"}
    assert service["active"]
    listed = run_command(fleet, "addresses", "one").stdout
    assert all(name in listed for name in service["active"])


def test_call_is_explained_by_the_request_id_of_its_caller(fleet, run_command, call):
    run_command(fleet, "table", "set", "one", f"*/{ROUTE}", "--weight", "0")
    wait_until(lambda: call(fleet.entries[2])[0] == 503, "the route is blocked")
    _, request, _ = call(fleet.entries[2])
    shown = run_command(fleet, "why", request)
    assert shown.returncode == 0, shown.stderr
    assert "not-run; reason=partner-blocked" in shown.stdout


@pytest.mark.parametrize(
    "arguments",
    [
        ("table", "get", "nowhere"),
        ("table", "set", "one", f"route:{ROUTE}", "--weight", "2"),
        ("table", "set", "one", "account:ada", "--weight", "2"),
        ("table", "set", "one", "nowhere/*", "--weight", "2"),
        ("table", "set", "one", "*/nobody", "--weight", "2"),
        ("table", "set", "one", "*/*", "--weight", "-1"),
    ],
)
def test_invalid_command_is_refused_with_a_reason(fleet, run_command, arguments):
    done = run_command(fleet, *arguments)
    assert done.returncode == 2
    assert done.stderr.strip()
    assert "Traceback" not in done.stderr


def test_where_explains_where_a_call_goes_and_sends_nothing(fleet, run_command, call):
    # Operators could ask only about calls that had been made.
    assert call(fleet.entries[0])[0] == 200

    def where(*arguments):
        done = run_command(fleet, "where", *arguments, "--json")
        assert done.returncode == 0, done.stderr
        return json.loads(done.stdout)

    arrivals = [len(item.state.arrivals) for item in fleet.endpoint_by_name.values()]
    found = where("h.example", "/safe/x/1", "--zone", "a")
    assert (found["verdict"], found["version"]) == ("sent", fleet.version)
    assert found["route"]["name"] == ROUTE
    assert [item["position"] for item in found["endpoints"]] == [1, 2]
    assert found["endpoints"][0]["endpoint"] == found["endpoint"]
    assert found["entry"] in {item["name"] for item in found["serving"]}
    assert found["ages_ms"]["store"] is not None
    assert (found["quota"], found["left_zone"]) == (None, "")
    assert where("h.example", "/nowhere/")["reason"] == "no-route"
    assert run_command(fleet, "where", "h.example", "/", "--account", "a").returncode == 2
    shown = run_command(fleet, "where", "h.example", "/safe/x/1").stdout
    assert f"sent to {found['endpoint']}" in shown or "sent to i-" in shown
    assert "why" in shown
    assert [len(item.state.arrivals) for item in fleet.endpoint_by_name.values()] == arrivals


def test_where_tells_the_quota_of_an_account_and_counts_no_call(tmp_path, run_command):
    # A command that counted calls would use up the quota that it explains.
    bounds = ["quotaWindow=5s", "quotaOverage=0.1", "quotaSlack=20"]
    with platform_fleet(tmp_path, bounds=bounds) as fleet:
        fleet.add_endpoint("i-1", "one")
        fleet.configure({"x": "one"}, accounts=[["ada", ["key-of-ada"], 2, 0.5, 1]])
        fleet.start()

        def where(*arguments):
            done = run_command(fleet, "where", "h.example", "/safe/x/1", *arguments, "--json")
            assert done.returncode == 0, done.stderr
            return json.loads(done.stdout)

        assert where()["reason"] == "unauthenticated"
        asked = [where("--account", "ada") for _ in range(3)]
        assert {(item["verdict"], item["quota"]["used"]) for item in asked} == {("sent", 0)}
        assert (asked[0]["account"]["priority"], asked[0]["quota"]["quota"]) == (2, 3.5)
        headers = {"Authorization": "Bearer key-of-ada"}
        statuses = [
            fleet.call(fleet.entries[0], "GET", "/safe/x/1", request=f"q{n}", headers=headers)[0]
            for n in range(40)
        ]
        assert statuses[-1] == 429
        capped = where("--account", "ada")
        assert (capped["verdict"], capped["reason"]) == ("refused", "usage-capped")
        assert capped["retry_after_ms"] > 0
        assert capped["quota"]["used"] == statuses.count(200)
