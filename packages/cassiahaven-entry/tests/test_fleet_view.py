"""What an entry makes of the fleet's state, and what it passes on."""

import pytest

from cassiahaven_core.edge import FleetChange, FleetChanges, Topic
from cassiahaven_core.membership import Fleet, Member
from cassiahaven_core.peer_message import StateRequest
from cassiahaven_core.registry import Registration
from cassiahaven_core.route import RoutingTable
from cassiahaven_entry.fleet_view import FleetView

ENDPOINTS = Topic.ENDPOINTS.value


def registration(name):
    return Registration(name, "lookup", "10.0.0.1", 80, "a", 3, False, 1)


def removal(name, revision):
    return FleetChanges(revision, [FleetChange(name, None)], False)


@pytest.fixture
def make_view(clock):
    def make(name):
        view = FleetView(
            Fleet(Member(name, f"{name}-1", name[0], f"{name}:1", f"{name}:2")),
            RoutingTable(),
            on_config=lambda config: None,
            on_endpoints=lambda registrations: None,
            on_members=lambda: None,
            on_table=lambda table, source: None,
        )
        listed = [FleetChange(item, registration(item)) for item in ("e1", "e2")]
        view.take_changes(Topic.ENDPOINTS, FleetChanges(1, listed, True))
        return view

    return make


def test_removed_endpoint_is_not_hidden_by_a_watcher_that_keeps_it_in_use(make_view):
    watcher, follower = make_view("a1"), make_view("a2")
    watcher.note_store(False)
    watcher.take_changes(Topic.ENDPOINTS, removal("e1", 2))
    assert set(watcher.registry.registration_by_endpoint) == {"e1", "e2"}
    follower.take_news(watcher.news(StateRequest(ENDPOINTS, 1)), "a1")
    assert set(follower.registry.registration_by_endpoint) == {"e2"}
