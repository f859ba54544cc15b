"""A row of a configuration that cannot be used stops no other row."""

import copy
import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from cassiahaven_core.fleet_state import config_from_plain, config_to_plain
from cassiahaven_core.outcome import NotRun
from cassiahaven_core.reason import RefusalReason
from cassiahaven_core.route import ConfigTable, NoRouteReason, Route, RoutingTable
from cassiahaven_platform.dialects import PlatformCallers
from cassiahaven_platform.objects import decode_config
from cassiahaven_standins.platform_fleet import platform_fleet

ACCOUNT_COLUMNS = ["name", "apiKeys"]
COLUMNS = [
    *("name", "hostname", "pathPrefix", "kind", "timeout"),
    *("targetLatency", "priority", "maxAttempts", "service", "trafficSplit"),
]
SERVICE_COLUMNS = ["name", "healthPath", "maxConnections"]
HOST = "h.example"


def route_row(row_name, **changed):
    cells = {
        "name": row_name,
        "hostname": HOST,
        "pathPrefix": f"/{row_name}/",
        "kind": "safe",
        "timeout": "1s",
        "targetLatency": "300ms",
        "priority": 1,
        "maxAttempts": 2,
        "service": "s",
        "trafficSplit": None,
    }
    return [(cells | changed)[column] for column in COLUMNS]


def spec(*rows, version=7):
    return {
        "version": version,
        "routes": {"columns": list(COLUMNS), "rows": list(rows)},
        "services": {"columns": list(SERVICE_COLUMNS), "rows": [["s", "/health", 240]]},
        "limits": {"maxBodyBytes": 1000, "idleTimeout": "15s"},
    }


def decode(value):
    return decode_config({"metadata": {"name": "main"}, "spec": value}).item


def routing(value):
    table = RoutingTable()
    assert table.activate(decode(value))
    return table


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


@pytest.mark.parametrize(
    ("kind", "is_idempotent"), [("safe", True), ("unsafe", False), ("download", True)]
)
def test_known_kinds_of_routes(kind, is_idempotent):
    (route,) = decode(spec(route_row("a", kind=kind))).routes
    assert route.is_idempotent is is_idempotent


@given(
    column=st.sampled_from(COLUMNS),
    value=json_values | st.sampled_from(["9" * 400 + "ms", "stream", 10**400, [{}]]),
    position=st.integers(0, 2),
)
def test_whatever_one_field_of_a_route_holds_all_other_routes_are_served(column, value, position):
    rows = [route_row("a"), route_row("b")]
    rows.insert(position, route_row("odd", **{column: value}))
    table = routing(spec(*rows))
    assert table.version == 7
    for name in "ab":
        found = table.match(HOST, f"/{name}/x")
        assert isinstance(found, Route)
        assert found.name in (name, "odd")
    found = table.match(HOST, "/odd/x")
    if column not in ("hostname", "pathPrefix"):
        assert found is not NoRouteReason.NO_ROUTE


# A text of three characters was read as the name, host and path of a route.
@example(row="00/", position=0)
@example(row=["", "", "/"], position=0)
@given(row=json_values, position=st.integers(0, 2))
def test_whatever_one_row_holds_all_other_routes_are_served(row, position):
    rows = [route_row("a"), route_row("b")]
    rows.insert(position, row)
    table = routing(spec(*rows))
    assert [table.match(HOST, f"/{name}/x").name for name in "ab"] == ["a", "b"]
    assert table.match(HOST, "/other/") is NoRouteReason.REJECTED_ROUTE


@given(column=st.sampled_from(SERVICE_COLUMNS), value=json_values)
def test_whatever_one_field_of_a_service_holds_the_routes_and_other_services_stay(column, value):
    plain = spec(route_row("a"))
    cells = {"name": "t", "healthPath": "/h", "maxConnections": 9, column: value}
    odd = [cells[column] for column in SERVICE_COLUMNS]
    plain["services"]["rows"].insert(0, odd)
    config = decode(plain)
    assert config.service_by_name["s"].health_path == "/health"
    assert [route.name for route in config.routes] == ["a"]


@given(name=st.sampled_from(["maxBodyBytes", "idleTimeout"]), value=json_values)
def test_whatever_one_limit_holds_the_configuration_is_in_force(name, value):
    plain = spec(route_row("a"))
    plain["limits"][name] = value
    config = decode(plain)
    assert config.limits.largest_body_bytes >= 0
    assert config.limits.idle_ms >= 0


@given(field=st.sampled_from(["routes", "services", "limits", "version"]), value=json_values)
def test_no_version_goes_back_and_an_unreadable_one_leaves_the_older_in_force(field, value):
    table = routing(spec(route_row("a")))
    plain = spec(route_row("b"), version=9) | {field: value}
    item = decode(plain)
    was_activated = item is not None and table.activate(item)
    assert table.version == (item.version if was_activated else 7)
    assert table.version >= 7


def test_requests_of_a_rejected_route_are_refused_as_not_run_and_never_as_unknown():
    table = routing(spec(route_row("a"), route_row("a/odd", kind="stream")))
    assert table.match(HOST, "/a/x").name == "a"
    assert table.match(HOST, "/a/odd/x") is NoRouteReason.REJECTED_ROUTE
    assert table.match(HOST, "/other/") is NoRouteReason.NO_ROUTE
    assert table.match("other.example", "/a/odd/x") is NoRouteReason.NO_ROUTE
    response = PlatformCallers(table).local_response(
        "none", NotRun(RefusalReason.REJECTED_ROUTE), request_id="r1", retry_after_ms=1000.0
    )
    assert response.status == 503


@pytest.mark.parametrize(
    ("column", "value"), [("pathPrefix", "a/b"), ("pathPrefix", 3), ("hostname", None)]
)
def test_a_rejected_route_without_a_readable_place_may_be_any_unmatched_request(column, value):
    table = routing(spec(route_row("a"), route_row("odd", **{column: value})))
    assert table.match(HOST, "/a/x").name == "a"
    for host in (HOST, "other.example"):
        assert table.match(host, "/other/") is NoRouteReason.REJECTED_ROUTE


def test_a_route_that_was_valid_before_is_not_used_once_its_row_is_rejected():
    table = routing(spec(route_row("a")))
    assert table.activate(decode(spec(route_row("a", kind="stream"), version=8)))
    assert table.match(HOST, "/a/x") is NoRouteReason.REJECTED_ROUTE


@pytest.mark.parametrize(
    "split",
    [
        [{"service": "s", "weight": 0}],
        [{"service": "s", "weight": -1}, {"service": "t", "weight": 2}],
        [{"service": "s", "weight": float("nan")}],
        [],
    ],
)
def test_a_split_without_usable_weights_is_rejected(split):
    config = decode(spec(route_row("a"), route_row("odd", service=None, trafficSplit=split)))
    assert [route.name for route in config.routes] == ["a"]
    assert [(row.table, row.name) for row in config.rejected] == [(ConfigTable.ROUTES, "odd")]


def test_rejected_rows_reach_other_entries():
    plain = spec(route_row("a"), route_row("odd", kind="stream"))
    plain["limits"]["idleTimeout"] = "soon"
    config = decode(plain)
    assert len(config.rejected) == 2
    assert config_from_plain(json.loads(json.dumps(config_to_plain(config)))) == config


def test_a_configuration_without_rejected_rows_is_sent_as_earlier_builds_read_it():
    assert len(config_to_plain(decode(spec(route_row("a"))))) == 4


def test_a_gateway_serves_beside_a_route_of_an_unknown_kind(tmp_path):
    with platform_fleet(tmp_path, entries=1) as fleet:
        fleet.add_endpoint("i-1", "one")
        fleet.configure({"x": "one"})
        stored = copy.deepcopy(fleet.store.state.object_by_key["config", "main"]["spec"])
        odd = list(stored["routes"]["rows"][0])
        odd[0], odd[2], odd[3] = "odd", "/odd/", "stream"
        stored["routes"]["rows"].append(odd)
        stored["version"] += 1
        fleet.store.state.put("config", "main", stored)
        fleet.start()
        (entry,) = fleet.entries
        assert fleet.call(entry, "GET", "/safe/x/", request="r1")[0] == 200
        status, body, headers = fleet.call(entry, "GET", "/odd/1", request="r2")
        assert (status, b"not-run" in body) == (503, True)
        assert float(headers["Retry-After"]) > 0
        assert fleet.call(entry, "GET", "/nowhere/", request="r3")[0] == 404
        (line,) = entry.events("configuration_row_rejected")
        assert (line["row"], line["table"]) == ("odd", "routes")
        metrics = entry.http_get(entry.metrics_port, "/metrics")[1].decode()
        assert "cassiahaven_rejected_rows 1.0" in metrics
        status_body = entry.http_get(entry.operator_port, "/v1/status")[1]
        assert json.loads(status_body)["configuration"]["rejected"][0]["row"] == "odd"


@pytest.mark.parametrize("keys", ["sesame", {"sesame": 1}, [31337], [["sesame"]], [""], 31337])
def test_unreadable_keys_work_in_part_or_are_reported(keys):
    # The letters of a text, for instance, would each be a key.
    plain = spec(route_row("a"))
    plain["tenants"] = {"columns": ACCOUNT_COLUMNS, "rows": [["ada", keys], ["bob", ["b-key"]]]}
    config = decode(plain)
    assert [account.name for account in config.accounts] == ["bob"]
    (rejected,) = config.rejected
    assert rejected.table is ConfigTable.ACCOUNTS
    assert "sesame" not in rejected.finding
    assert "31337" not in rejected.finding


def test_finding_on_an_account_quotes_a_key_in_another_cell():
    plain = spec(route_row("a"))
    plain["tenants"] = {
        "columns": [*ACCOUNT_COLUMNS, "priority"],
        "rows": [["ada", ["k"], ["sesame"]]],
    }
    (rejected,) = decode(plain).rejected
    assert "sesame" not in rejected.finding
    assert "priority" in rejected.finding
