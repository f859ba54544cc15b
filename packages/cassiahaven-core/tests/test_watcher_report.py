"""Watchers' reports as numbered changes, under loss, reordering and restarts."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahaven_core.membership import Fleet, Member
from cassiahaven_core.peer_message import (
    WatcherPulse,
    WatcherReport,
    WatcherReportChange,
    decode,
    encode,
)
from cassiahaven_core.store_version import StoreVersion
from cassiahaven_core.watcher_report import ReportPublisher, ReportReplica

NAMES = st.lists(st.sampled_from("abcdef"), unique=True)
REPORTS = st.builds(
    WatcherReport,
    live=NAMES,
    draining=NAMES,
    starting=NAMES,
    store_age_ms=st.just(0.0),
    version_by_topic=st.dictionaries(
        st.sampled_from(["endpoints", "tables"]),
        st.builds(StoreVersion, st.integers(0, 1), st.integers(1, 3)),
    ),
)
FATES = st.sampled_from(["arrives", "lost", "late", "watcher restarts"])


def content(report):
    names = (set(item) for item in (report.live, report.draining, report.starting))
    return *names, report.version_by_topic


@given(st.lists(st.tuples(REPORTS, FATES), min_size=1, max_size=12))
def test_replica_without_a_gap_equals_the_published_report(steps):
    """Guards against a lost, late or restarted stream of changes that leaves a wrong state."""
    publisher, replica, late = ReportPublisher(), ReportReplica(), []
    for report, fate in steps:
        if publisher.published is not None:
            # Topics are never removed from a report.
            versions = publisher.published.version_by_topic | report.version_by_topic
            report = replace(report, version_by_topic=versions)
        if fate == "watcher restarts":
            publisher = ReportPublisher()
            replica.reset()
            late.clear()
        message = decode(encode(publisher.advance(report)))
        if fate == "lost":
            continue
        if fate == "late":
            late.append(message)
            continue
        needs_full = replica.apply(message)
        for item in late:
            needs_full |= replica.apply(item)
        late.clear()
        if needs_full:
            replica.apply(publisher.full(0.0))
        assert content(replica.report) == content(publisher.published)


def test_heartbeat_reveals_a_lost_change():
    """Guards against a lost last change that stays unknown until the next one."""
    publisher, replica = ReportPublisher(), ReportReplica()
    report = WatcherReport(["a", "b"], [], 0.0, {})
    replica.apply(publisher.advance(report))
    assert isinstance(publisher.advance(replace(report, live=["a"])), WatcherReportChange)
    heartbeat = publisher.advance(replace(report, live=["a"]))
    assert isinstance(heartbeat, WatcherPulse)
    assert replica.apply(heartbeat)


@pytest.mark.parametrize("watcher", ["b1", "c1"])
def test_two_watchers_that_disagree_leave_the_newest_state_of_an_entry(watcher):
    """Guards against a draining mark that two watchers confirm to each other for ever."""
    names = ["a1", "a2", "b1", "c1"]
    members = [Member(name, f"{name}-1", name[0], f"{name}:1", f"{name}:2") for name in names]
    fleet = Fleet(members[0])
    fleet.set_members(members)

    def record(name, draining):
        fleet.record_watcher_report(
            name, live=["a2", name], draining=draining, store_age_ms=0.0, now_ms=0.0
        )

    record("b1", [])
    record("c1", [])
    record(watcher, ["a2"])
    assert fleet.draining == {"a2"}
    assert fleet.own_draining() == []
    other = {"b1": "c1", "c1": "b1"}[watcher]
    record(other, [])
    assert fleet.draining == {"a2"}
    record(watcher, [])
    assert fleet.draining == set()
