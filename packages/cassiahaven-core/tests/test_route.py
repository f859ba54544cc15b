"""Route matching, traffic splits and configuration versions."""

from collections import Counter

import pytest

from cassiahaven_core.account import ClientAccount, key_digest
from cassiahaven_core.fleet_state import config_from_plain, config_to_plain
from cassiahaven_core.route import (
    GatewayConfig,
    NoRouteReason,
    Route,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
)


def route(name, prefix, *shares, host="a.example"):
    listed = tuple(ServiceShare(service, weight) for service, weight in shares)
    return Route(name, host, prefix, listed, True, 1000.0, 300.0, 2)


def config(version, *routes):
    return GatewayConfig(version, routes, {"one": ServiceSpec("one", "/health", 10)})


@pytest.fixture
def table():
    table = RoutingTable()
    table.activate(
        config(
            3,
            route("short", "/a/", ("one", 1)),
            route("long", "/a/b/", ("one", 1)),
            route("split", "/s/", ("one", 90), ("two", 10)),
        )
    )
    return table


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/a/x", "short"),
        ("a.example", "/a/b/x", "long"),
        ("a.example", "/a/bx", "short"),
        ("a.example", "/a", None),
        ("a.example", "/", None),
        ("b.example", "/a/x", None),
    ],
)
def test_longest_prefix_of_the_host_wins(table, host, path, name):
    found = table.match(host, path)
    assert found is NoRouteReason.NO_ROUTE if name is None else found.name == name


def test_match_without_configuration_reports_no_configuration():
    assert RoutingTable().match("a.example", "/a/") is NoRouteReason.NO_CONFIGURATION


def test_older_version_never_replaces_newer_one(table):
    assert not table.activate(config(2))
    assert not table.activate(config(3))
    assert table.match("a.example", "/a/x").name == "short"
    assert table.activate(config(7))
    assert table.match("a.example", "/a/x") is NoRouteReason.NO_ROUTE


def test_split_keeps_its_weights_in_every_hundred_calls(table):
    split = table.match("a.example", "/s/")
    served = [table.choose_service(split) for _ in range(1000)]
    for start in range(0, 1000, 100):
        assert Counter(served[start : start + 100]) == {"one": 90, "two": 10}


def test_split_follows_new_weights_and_services_at_once(table):
    split = table.match("a.example", "/s/")
    for _ in range(7):
        table.choose_service(split)
    table.activate(config(4, route("split", "/s/", ("two", 1), ("three", 1))))
    split = table.match("a.example", "/s/")
    served = Counter(table.choose_service(split) for _ in range(100))
    assert abs(served["two"] - served["three"]) <= 2


def test_configuration_round_trips_through_plain_form(table):
    assert config_from_plain(config_to_plain(table.config)) == table.config


def test_accounts_survive_the_link_between_entries():
    account = ClientAccount("mosque", (key_digest("k1"), key_digest("k2")), 1, 92.0, 92.0)
    sent = GatewayConfig(7, (), {}, accounts=(account,))
    table = RoutingTable()
    assert table.activate(config_from_plain(config_to_plain(sent)))
    assert table.config == sent
    assert table.account_for_key("k2") == account
    assert table.account_for_key("k3") is None


def test_no_key_works_after_the_configuration_that_withdrew_it():
    held = ClientAccount("mosque", (key_digest("k1"),))
    table = RoutingTable()
    table.activate(GatewayConfig(7, (), {}, accounts=(held,)))
    table.activate(GatewayConfig(9, (), {}, accounts=(ClientAccount("mosque", ()),)))
    assert not table.activate(GatewayConfig(8, (), {}, accounts=(held,)))
    assert table.account_for_key("k1") is None
