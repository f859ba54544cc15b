"""Tests of endpoint registrations, fleet members and the state replicated between entries."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahaven_core.fleet_state import KEPT_CHANGES, TopicState, item_to_plain, plain_to_item
from cassiahaven_core.membership import REPORT_TIMEOUT_MS, Fleet, Member
from cassiahaven_core.registry import EndpointRegistry, Registration
from cassiahaven_core.store_version import NO_VERSION


def registration(name, *, born_ms=1, draining=False):
    return Registration(name, "lookup", "10.0.0.1", 80, "a", 3, draining, born_ms)


def make_registrations(*names):
    return {name: registration(name) for name in names}


def member(name, zone, cores=0.86):
    return Member(name, f"{name}-1", zone, f"{name}:1", f"{name}:2", cores)


@pytest.fixture
def registry():
    registry = EndpointRegistry()
    registry.replace(make_registrations("e1", "e2"), may_have_expired=False)
    return registry


@pytest.fixture
def fleet():
    fleet = Fleet(member("a1", "a"))
    names = [(f"{zone}{number}", zone) for zone in "abc" for number in range(1, 6)]
    fleet.set_members([member(name, zone) for name, zone in names])
    return fleet


def test_removal_takes_effect_at_once_while_the_store_answers(registry):
    registry.replace(make_registrations("e2"), may_have_expired=False)
    assert set(registry.registration_by_endpoint) == {"e2"}
    assert not registry.kept_endpoints


def test_endpoints_that_lapsed_in_an_outage_are_kept_until_they_can_register_again(registry):
    registry.replace(make_registrations("e2"), may_have_expired=True)
    assert set(registry.registration_by_endpoint) == {"e1", "e2"}
    assert registry.kept_endpoints == {"e1"}
    registry.replace(make_registrations("e1", "e2"), may_have_expired=True)
    assert not registry.drop_expired()
    assert set(registry.registration_by_endpoint) == {"e1", "e2"}


def test_an_endpoint_still_missing_after_that_time_is_dropped(registry):
    registry.replace(make_registrations("e2"), may_have_expired=True)
    assert registry.drop_expired()
    assert set(registry.registration_by_endpoint) == {"e2"}
    assert not registry.drop_expired()


def test_an_endpoint_still_missing_from_a_later_list_is_dropped(registry):
    registry.replace(make_registrations("e2"), may_have_expired=True)
    registry.replace(make_registrations("e2", "e3"), may_have_expired=False)
    assert set(registry.registration_by_endpoint) == {"e2", "e3"}


def test_every_entry_computes_the_same_watchers_one_per_zone(fleet):
    watchers = [item.name for item in fleet.watchers()]
    assert len({name[0] for name in watchers}) == 3
    for name, zone in (("b2", "b"), ("c5", "c")):
        other = Fleet(member(name, zone))
        other.set_members(fleet.member_by_name.values())
        assert [item.name for item in other.watchers()] == watchers


def test_next_in_rank_replaces_an_unreachable_watcher(fleet):
    first = fleet.watchers()
    lost = first[0]
    second = fleet.watchers(frozenset({lost.name}))
    assert lost not in second
    assert {item.availability_zone for item in second} == {"a", "b", "c"}
    assert second[1:] == first[1:]


def test_an_entry_is_live_while_any_watcher_reports_it(fleet):
    fleet.record_watcher_report("b1", live=["b1", "c1"], draining=[], store_age_ms=0.0, now_ms=0.0)
    fleet.record_watcher_report("c2", live=["c2"], draining=[], store_age_ms=0.0, now_ms=0.0)
    assert fleet.live_names(1.0) == {"a1", "b1", "c1", "c2"}
    fleet.record_watcher_report("b1", live=["b1"], draining=[], store_age_ms=0.0, now_ms=2.0)
    assert fleet.live_names(3.0) == {"a1", "b1", "c2"}
    fleet.record_watcher_heartbeat("b1", store_age_ms=0.0, now_ms=REPORT_TIMEOUT_MS)
    assert fleet.live_names(REPORT_TIMEOUT_MS + 1) == {"a1", "b1"}


def test_callers_get_the_largest_entries_of_their_zone_until_cores_suffice():
    fleet = Fleet(member("a1", "a", 0.43))
    cores_by_name = {"a1": 0.43, "a2": 0.43, "a3": 2.15, "b1": 2.15}
    fleet.set_members([member(name, name[0], cores) for name, cores in cores_by_name.items()])
    fleet.record_watcher_report("b1", live=cores_by_name, draining=[], store_age_ms=0.0, now_ms=0.0)
    assert [item.name for item in fleet.serving_entries("a", 0.8, 1.0)] == ["a3"]
    fleet.record_watcher_report(
        "b1", live=["a1", "a2", "b1"], draining=[], store_age_ms=0.0, now_ms=2.0
    )
    assert {item.name for item in fleet.serving_entries("a", 0.8, 3.0)} == {"a1", "a2"}
    assert [item.name for item in fleet.serving_entries("c", 0.8, 3.0)] == ["b1"]


def test_a_draining_entry_gets_no_callers_until_it_restarts(fleet):
    live = [f"a{number}" for number in range(1, 6)]
    fleet.record_watcher_report("a2", live=live, draining=[], store_age_ms=0.0, now_ms=0.0)
    [serving_entry] = fleet.serving_entries("a", 0.8, 1.0)
    fleet.record_watcher_report(
        "a2", live=live, draining=[serving_entry.name], store_age_ms=0.0, now_ms=1.0
    )
    if serving_entry.name != "a1":
        assert fleet.serving_entries("a", 0.8, 2.0) != [serving_entry]
    fleet.record_watcher_report("a2", live=live, draining=[], store_age_ms=0.0, now_ms=2.0)
    assert fleet.serving_entries("a", 0.8, 3.0) == [serving_entry]


def test_store_view_is_fresh_while_one_watcher_gets_answers(fleet):
    assert not fleet.has_fresh_store_view(0.0)
    fleet.record_watcher_report("b1", live=[], draining=[], store_age_ms=5000.0, now_ms=0.0)
    assert not fleet.has_fresh_store_view(1.0)
    fleet.record_watcher_report("c1", live=[], draining=[], store_age_ms=100.0, now_ms=0.0)
    assert fleet.has_fresh_store_view(1.0)


@given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.booleans(), st.integers(1, 3)),
        max_size=3 * KEPT_CHANGES // 100,
    ),
    st.data(),
)
def test_changes_since_any_revision_lead_to_the_same_state(steps, data):
    source, copy = TopicState(), TopicState()
    source.replace({}, 1)
    copy.replace({}, 1)
    revision = 1
    for name, is_there, step in steps:
        revision += step
        item = registration(name, born_ms=revision) if is_there else None
        source.change({name: item}, revision)
        if data.draw(st.booleans()):
            changed = source.changed_since(copy.version)
            copy.change(changed, source.version)
            assert copy.item_by_name == source.item_by_name


def test_an_update_with_an_older_revision_is_ignored():
    state = TopicState()
    state.replace({"e": registration("e")}, 5)
    assert not state.change({"e": None}, 4)
    assert not state.replace({}, 4)
    assert set(state.item_by_name) == {"e"}


def test_changes_that_are_no_longer_kept_are_reported_as_none():
    state = TopicState()
    state.replace({}, 1)
    for revision in range(2, KEPT_CHANGES + 10):
        state.change({f"e{revision}": registration(f"e{revision}")}, revision)
    assert state.changed_since(1) is None
    assert len(state.changed_since(KEPT_CHANGES)) == 9


@pytest.mark.parametrize("item", [registration("e", draining=True), member("a1", "a")])
def test_items_round_trip_through_their_plain_form(item):
    assert plain_to_item(type(item), item_to_plain(item)) == item
    assert replace(item) == item


def test_directory_names_entries_that_have_a_configuration(fleet):
    """Guards against lookups without an answer, or with entries that cannot serve yet."""
    versions = {"configuration": NO_VERSION}
    fleet.record_report("a2", is_draining=False, now_ms=0.0, version_by_topic=versions)
    assert fleet.own_starting(1.0) == ["a2"]
    fleet.record_watcher_report(
        "b1", live=["b1", "a2", "a3"], draining=[], store_age_ms=0.0, now_ms=0.0, starting=["a3"]
    )
    # The watcher has heard of the configuration of a2 first.
    assert fleet.starting(1.0) == {"a3"}
    named = fleet.serving_entries("a", 0.8, 1.0, unusable={"a1", *fleet.starting(1.0)})
    assert [item.name for item in named] == ["a2"]
    fleet.record_report("a2", is_draining=True, now_ms=1.0)
    fleet.record_report("b1", is_draining=True, now_ms=1.0)
    named = fleet.serving_entries("a", 0.8, 1.0, unusable={"a1", *fleet.starting(1.0)})
    assert [item.name for item in named] == ["a2"]


def test_exactly_one_watcher_that_has_the_store_is_the_first(fleet):
    # Guards against a change that all watchers miss for a long wait, and against short waits
    watchers = [item.name for item in fleet.watchers()]
    options = {"live": watchers, "draining": []}

    def leaders(age_ms_by_name):
        found = []
        for name in age_ms_by_name:
            entry = Fleet(fleet.member_by_name[name])
            entry.set_members(fleet.member_by_name.values())
            for other, age_ms in age_ms_by_name.items():
                if other != name:
                    entry.record_watcher_report(other, store_age_ms=age_ms, now_ms=0.0, **options)
            found += [name] if entry.leads_watchers(100.0) else []
        return found

    assert leaders(dict.fromkeys(watchers, 0.0)) == watchers[:1]
    assert leaders(dict.fromkeys(watchers, 1300.0)) == watchers[:1]  # the store is slow
    assert leaders(dict.fromkeys(watchers[1:], 0.0)) == watchers[1:2]  # the first one is gone
    # The first one is cut off from the store: the next one takes its place.
    assert leaders({**dict.fromkeys(watchers, 0.0), watchers[0]: 5000.0}) == watchers[:2]
