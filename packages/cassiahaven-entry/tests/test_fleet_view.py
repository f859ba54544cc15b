"""An entry's replica of the fleet's state and the updates that it passes on."""

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cassiahaven_core.edge import FleetChange, FleetChanges, Topic
from cassiahaven_core.evacuation import Evacuation
from cassiahaven_core.membership import Fleet, Member
from cassiahaven_core.peer_message import (
    StateNews,
    StateRequest,
    WatcherReport,
    decode,
    encode,
)
from cassiahaven_core.registry import Registration
from cassiahaven_core.route import GatewayConfig, Route, RoutingTable, ServiceShare, ServiceSpec
from cassiahaven_core.store_outage import MIN_OUTAGE_MS, REREGISTRATION_MS
from cassiahaven_core.store_version import StoreVersion
from cassiahaven_core.table import Row, ServiceTable
from cassiahaven_entry.clock import now_ms
from cassiahaven_entry.fleet_links import LinkCallbacks, StateRequestPacer, WatcherLink
from cassiahaven_entry.fleet_view import FleetView

ENDPOINTS = Topic.ENDPOINTS.value


def registration(name):
    return Registration(name, "lookup", "10.0.0.1", 80, "a", 3, False, 1)


def removal(name, revision):
    return FleetChanges(revision, [FleetChange(name, None)], False)


@pytest.fixture
def make_view(clock):
    def make(name):
        fleet = Fleet(Member(name, f"{name}-1", name[0], f"{name}:1", f"{name}:2"))
        view = FleetView(
            fleet,
            RoutingTable(),
            on_config=lambda config: None,
            on_endpoints=lambda registrations: None,
            on_members=lambda: None,
            on_table=lambda table, source: None,
        )
        listed = [FleetChange(item, registration(item)) for item in ("e1", "e2")]
        view.apply_changes(Topic.ENDPOINTS, FleetChanges(1, listed, True))
        fleet.store.record_answer(now_ms())
        return view, fleet.store

    return make


def test_removed_endpoint_is_not_hidden_by_a_watcher_that_keeps_it_in_use(make_view, clock):
    (watcher, store), (follower, _) = make_view("a1"), make_view("a2")
    store.record_request(now_ms())
    clock.advance_ms(MIN_OUTAGE_MS)
    watcher.apply_changes(Topic.ENDPOINTS, removal("e1", 2))
    assert set(watcher.registry.registration_by_endpoint) == {"e1", "e2"}
    follower.apply_update(watcher.state_update(StateRequest(ENDPOINTS, 1)), "a1")
    assert set(follower.registry.registration_by_endpoint) == {"e2"}


def test_endpoint_stays_in_use_until_it_had_time_to_return_after_an_outage(make_view, clock):
    view, store = make_view("a1")
    store.record_request(now_ms())
    clock.advance_ms(5000.0)
    store.record_answer(now_ms())
    view.apply_changes(Topic.ENDPOINTS, removal("e1", 2))
    clock.advance_ms(REREGISTRATION_MS - 1)
    view.expire()
    assert set(view.registry.registration_by_endpoint) == {"e1", "e2"}
    clock.advance_ms(1)
    view.expire()
    assert set(view.registry.registration_by_endpoint) == {"e2"}


def test_endpoint_removed_while_this_entry_alone_lost_the_store_is_dropped_at_once(
    make_view, clock
):
    view, store = make_view("a1")
    for _ in range(10):
        store.record_request(now_ms())
        clock.advance_ms(500.0)
        store.record_answer(now_ms() - 100.0)
    view.apply_update(StateNews(ENDPOINTS, 2, False, {"e1": None}), "b1")
    assert set(view.registry.registration_by_endpoint) == {"e2"}


NAMES = ("e1", "e2", "e3")
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("list"), st.sets(st.sampled_from(NAMES))),
        st.tuples(st.just("store"), st.booleans()),
        st.tuples(st.just("wait"), st.sampled_from([100, 1000, 3000])),
        st.tuples(st.just("ask"), st.sampled_from([("a1", "a2"), ("a2", "a3"), ("a3", "a1")])),
    ),
    max_size=30,
)


@settings(
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
    deadline=None,
)
@given(STEPS)
def test_lists_of_the_same_revision_are_the_same_at_every_entry(make_view, clock, steps):
    entry_by_name = {name: make_view(name) for name in ("a1", "a2", "a3")}
    view_by_name = {name: view for name, (view, _) in entry_by_name.items()}
    _, store = entry_by_name["a1"]
    listed_by_revision = {1: {"e1", "e2"}}
    for what, value in steps:
        if what == "list":
            revision = max(listed_by_revision) + 1
            before = listed_by_revision[revision - 1]
            changes = [
                FleetChange(name, registration(name) if name in value else None)
                for name in value ^ before
            ]
            listed_by_revision[revision] = value
            view_by_name["a1"].apply_changes(
                Topic.ENDPOINTS, FleetChanges(revision, changes, False)
            )
        elif what == "store":
            (store.record_answer if value else store.record_request)(now_ms())
        elif what == "wait":
            clock.advance_ms(value)
            for view in view_by_name.values():
                view.expire()
        else:
            asked, asking = value
            own = view_by_name[asking].versions()[ENDPOINTS]
            state_update = view_by_name[asked].state_update(StateRequest(ENDPOINTS, own))
            view_by_name[asking].apply_update(state_update, asked)
        for view in view_by_name.values():
            told = view.state_update(StateRequest(ENDPOINTS, 0))
            assert told.is_whole
            assert told.plain_by_name.keys() == listed_by_revision[told.version.revision]


def written(name, revision, **changes):
    item = replace(registration(name), **changes)
    return FleetChange(name, item, revision=revision)


def test_sign_of_life_of_an_endpoint_is_no_news_for_subscribers(make_view):
    """Guards against reports to all entries at each revision of the store."""
    view, _ = make_view("a1")
    cold = [written("e1", 2, cold_ms=9000.0)]
    view.apply_changes(Topic.ENDPOINTS, FleetChanges(3, cold, False))
    assert view.versions()[ENDPOINTS].revision == 2
    for revision, item in ((4, written("e1", 4, cold_ms=8500.0)), (5, written("e2", 5))):
        view.apply_changes(Topic.ENDPOINTS, FleetChanges(revision, [item], False))
    assert view.versions()[ENDPOINTS].revision == 2
    warm = [written("e1", 6, cold_ms=0.0)]
    view.apply_changes(Topic.ENDPOINTS, FleetChanges(7, warm, False))
    assert view.versions()[ENDPOINTS].revision == 6


def test_changes_of_the_store_tell_whether_any_item_changed(make_view):
    # Guards against a pause after a change, and against none after a sign of life.
    view, _ = make_view("a1")
    assert not view.apply_changes(Topic.ENDPOINTS, FleetChanges(5, [written("e1", 5)], False))
    changed = [written("e1", 6, slots=5)]
    assert view.apply_changes(Topic.ENDPOINTS, FleetChanges(6, changed, False))
    assert view.apply_changes(Topic.CONFIGURATION, store_config(config(3, 1.0)))
    assert not view.apply_changes(Topic.CONFIGURATION, store_config(config(3, 1.0)))


def test_two_watchers_name_a_change_alike_however_their_watches_return(make_view):
    """Guards against requests for changes that another watcher has told already."""
    (first, _), (second, _) = make_view("a1"), make_view("b1")
    changes = [written("e1", 4, slots=5), written("e2", 6, slots=5)]
    first.apply_changes(Topic.ENDPOINTS, FleetChanges(9, changes, False))
    for revision, change in zip((5, 8), changes, strict=True):
        second.apply_changes(Topic.ENDPOINTS, FleetChanges(revision, [change], False))
    listed = [*changes, written("e3", 0)]
    assert first.versions()[ENDPOINTS] == second.versions()[ENDPOINTS] == StoreVersion(0, 6)
    second.apply_changes(Topic.ENDPOINTS, FleetChanges(11, listed, True))
    assert second.versions()[ENDPOINTS].revision == 11


def test_item_changed_back_reaches_an_entry_that_another_watcher_told_the_first_change(
    make_view, clock
):
    """Guards against an endpoint that stays draining after the watcher that told so has died."""
    (watcher, _), (dead, _), (follower, _) = (make_view(name) for name in ("b1", "c1", "a1"))
    changed, back = written("e1", 4, is_draining=True), written("e1", 6)
    dead.apply_changes(Topic.ENDPOINTS, FleetChanges(5, [changed], False))
    follower.apply_update(dead.state_update(follower.state_request(ENDPOINTS)), "c1")
    watcher.apply_changes(Topic.ENDPOINTS, FleetChanges(7, [back], False))
    assert watcher.versions()[ENDPOINTS] < follower.versions()[ENDPOINTS]
    callbacks = LinkCallbacks(
        report=print,
        versions=follower.versions,
        state_request=follower.state_request,
        state_update=follower.state_update,
        on_state_update=follower.apply_update,
        on_crash=print,
        on_rate_limit=print,
    )
    link = WatcherLink(
        watcher._fleet.own, "k", follower._fleet, callbacks, StateRequestPacer(), lambda: True
    )
    link.send = lambda request: link._receive(watcher.state_update(request))
    for _ in range(5):
        link._receive(WatcherReport(["a1", "b1"], [], 0.0, watcher.versions(), 1))
        clock.advance_ms(500.0)
    assert not follower.registry.registration_by_endpoint["e1"].is_draining


def test_restarted_watcher_sends_nothing_to_subscribers_that_have_its_items(make_view):
    """Guards against full lists to all entries when a watcher reads the store anew."""
    (follower, _), (watcher, _) = make_view("a1"), make_view("b1")
    follower.apply_changes(Topic.ENDPOINTS, FleetChanges(4, [written("e1", 4, slots=5)], False))
    listed = [written("e1", 4, slots=5), written("e2", 1)]
    restarted = FleetView(
        watcher._fleet,
        RoutingTable(),
        on_config=print,
        on_endpoints=lambda registrations: None,
        on_members=print,
        on_table=print,
    )
    restarted.apply_changes(Topic.ENDPOINTS, FleetChanges(8, listed, True))
    told = restarted.state_update(follower.state_request(ENDPOINTS))
    assert (told.is_whole, told.plain_by_name) == (False, {})
    follower.apply_update(told, "b1")
    assert follower.versions()[ENDPOINTS].revision == 8
    assert restarted.state_update(StateRequest(ENDPOINTS, 3)).is_whole


def config(version, *targets):
    routes = tuple(
        Route(f"r{n}", "h", f"/{n}/", (ServiceShare("s", 1.0),), True, 1000.0, target, 1)
        for n, target in enumerate(targets)
    )
    return GatewayConfig(version, routes, {"s": ServiceSpec("s", "/health", 8)})


def store_config(value):
    return FleetChanges(value.version, [FleetChange("main", value)], False)


@pytest.mark.parametrize("after", [(1.0, 5.0, 3.0), (1.0, 3.0), (), (9.0, 1.0, 2.0, 3.0)])
def test_configuration_is_passed_on_as_the_rows_that_differ(make_view, after):
    """Guards against a configuration that differs from the operators' after a change of rows."""
    (watcher, _), (follower, _) = make_view("a1"), make_view("a2")
    topic = Topic.CONFIGURATION
    for view in (watcher, follower):
        view.apply_changes(topic, store_config(config(3, 1.0, 2.0, 3.0)))
    watcher.apply_changes(topic, store_config(config(7, *after)))
    news = watcher.state_update(follower.state_request(topic.value))
    assert not news.is_whole
    follower.apply_update(decode(encode(news)), "a1")
    assert follower._routing.config == config(7, *after)


def test_configuration_with_another_base_is_requested_whole(make_view):
    """Guards against rows applied to other contents, or to an older version that was missed."""
    (watcher, _), (follower, _), (late, _) = (make_view(name) for name in ("a1", "a2", "a3"))
    topic = Topic.CONFIGURATION
    watcher.apply_changes(topic, store_config(config(3, 1.0, 2.0)))
    follower.apply_changes(topic, store_config(config(3, 4.0, 2.0)))
    late.apply_changes(topic, store_config(config(2, 4.0)))
    watcher.apply_changes(topic, store_config(config(7, 1.0, 5.0)))
    news = watcher.state_update(follower.state_request(topic.value))
    for view in (follower, late):
        view.apply_update(news, "a1")
        assert view._routing.version < 7
        view.apply_update(watcher.state_update(view.state_request(topic.value)), "a1")
        assert view._routing.config == config(7, 1.0, 5.0)


EVACUATIONS = Topic.EVACUATIONS.value


@pytest.fixture
def make_evacuation_view(clock):
    def make(name):
        told = []
        view = FleetView(
            Fleet(Member(name, f"{name}-1", name[0], f"{name}:1", f"{name}:2")),
            RoutingTable(),
            on_config=lambda config: None,
            on_endpoints=lambda registrations: None,
            on_members=lambda: None,
            on_table=lambda table, source: None,
            on_evacuations=told.append,
        )
        return view, told

    return make


def test_evacuations_reach_followers_through_a_watcher(make_evacuation_view):
    # Guards against entries that take an empty list for an unknown one and ask for it forever.
    (watcher, _), (follower, told) = make_evacuation_view("a1"), make_evacuation_view("a2")
    watcher.apply_changes(Topic.EVACUATIONS, FleetChanges(5, [], True))
    assert watcher.has_evacuations and not follower.has_evacuations
    follower.apply_update(watcher.state_update(StateRequest(EVACUATIONS, 0)), "a1")
    assert follower.versions()[EVACUATIONS] == StoreVersion(0, 5)
    begun = FleetChanges(6, [FleetChange("b", Evacuation("b"))], False)
    watcher.apply_changes(Topic.EVACUATIONS, begun)
    follower.apply_update(watcher.state_update(StateRequest(EVACUATIONS, 5)), "a1")
    watcher.apply_changes(Topic.EVACUATIONS, removal("b", 7))
    follower.apply_update(watcher.state_update(StateRequest(EVACUATIONS, 6)), "a1")
    assert told == [frozenset(), frozenset({"b"}), frozenset()]


def test_deployments_without_evacuations_do_not_mention_the_topic(make_view):
    # Guards against requests between entries for a topic that one of them does not follow.
    view, _ = make_view("a1")
    assert EVACUATIONS not in view.versions()


def test_restored_list_replaces_a_newer_one_and_its_revisions_count_anew(make_view):
    """Guards against a restored store whose lower revisions are taken for old news."""
    (view, _), (follower, _) = make_view("a1"), make_view("a2")
    view.apply_changes(Topic.ENDPOINTS, FleetChanges(9, [written("e3", 9)], False))
    follower.apply_update(view.state_update(follower.state_request(ENDPOINTS)), "a1")
    # A change of the new era cannot continue a list of the one before.
    partial = StateNews(ENDPOINTS, StoreVersion(1, 10), False, {"e2": None})
    follower.apply_update(partial, "b1")
    assert follower.versions()[ENDPOINTS] == StoreVersion(0, 9)
    view.apply_changes(Topic.ENDPOINTS, FleetChanges(4, [written("e1", 1)], True, 1))
    follower.apply_update(view.state_update(follower.state_request(ENDPOINTS)), "a1")
    late = StateNews(ENDPOINTS, StoreVersion(0, 12), False, {"e1": None})
    for told in (view, follower):
        told.apply_update(late, "b1")
        assert told.versions()[ENDPOINTS] == StoreVersion(1, 4)
        assert told.state_update(StateRequest(ENDPOINTS, 0)).plain_by_name.keys() == {"e1"}


def test_answer_to_an_earlier_request_is_not_applied_to_other_items(make_view):
    """Guards against forgotten items that an answer without changes marks as the newest."""
    (follower, _), (restored, _) = make_view("a1"), make_view("b1")
    request = follower.state_request(ENDPOINTS)
    listed = [FleetChange(name, registration(name)) for name in ("e1", "e2")]
    restored.apply_changes(Topic.ENDPOINTS, FleetChanges(1, listed, True, 1))
    answer = restored.state_update(request)
    assert answer.plain_by_name == {}
    follower.apply_changes(Topic.ENDPOINTS, FleetChanges(9, [written("e3", 9)], False))
    follower.apply_update(answer, "b1")
    assert follower.versions()[ENDPOINTS] == StoreVersion(0, 9)
    follower.apply_update(restored.state_update(follower.state_request(ENDPOINTS)), "b1")
    assert follower.versions()[ENDPOINTS] == StoreVersion(1, 1)
    told = follower.state_update(StateRequest(ENDPOINTS, 0))
    assert told.plain_by_name.keys() == {"e1", "e2"}


def test_endpoints_have_time_to_register_again_after_a_restore(make_view, clock):
    """Guards against calls to an earlier start of an endpoint, and against none to live ones."""
    view, _ = make_view("a1")
    newer = [written("e1", 5, born_ms=2), written("e2", 6, is_draining=True), written("e3", 7)]
    view.apply_changes(Topic.ENDPOINTS, FleetChanges(7, newer, False))
    older = [FleetChange(name, registration(name)) for name in ("e1", "e2")]
    view.apply_changes(Topic.ENDPOINTS, FleetChanges(2, older, True, 1))
    in_use = view.registry.registration_by_endpoint
    assert in_use == {change.name: change.item for change in newer}
    clock.advance_ms(REREGISTRATION_MS)
    view.expire()
    assert view.registry.registration_by_endpoint == {item.name: item.item for item in older}


def test_older_configuration_of_a_restored_store_does_not_come_into_force(make_view):
    """Guards against routes that operators replaced, until they write a higher version."""
    view, _ = make_view("a1")
    for value, era in ((config(6, 1.0), 0), (config(5, 2.0), 1)):
        change = FleetChange("main", value)
        view.apply_changes(Topic.CONFIGURATION, FleetChanges(9, [change], True, era))
        assert view._routing.config == config(6, 1.0)
    again = FleetChanges(2, [FleetChange("main", config(7, 3.0))], False, 1)
    view.apply_changes(Topic.CONFIGURATION, again)
    assert view._routing.version == 7


def test_tables_of_a_restored_store_are_told_even_if_equal_or_gone(make_view):
    """Guards against rows of a forgotten table that stay in force."""
    view, _ = make_view("a1")
    told = []
    view._on_table = lambda table, source: told.append((table.service, table.revision, table.era))
    view._on_restored = lambda era, source: told.append(era)
    row = {"*/*": Row(3, "x", None)}
    tables = [FleetChange(name, ServiceTable(name, 3, row)) for name in ("one", "two")]
    view.apply_changes(Topic.TABLES, FleetChanges(8, tables, True))
    view.apply_changes(Topic.TABLES, FleetChanges(4, tables[:1], True, 1))
    assert told == [("one", 3, 0), ("two", 3, 0), ("one", 3, 1), 1]
