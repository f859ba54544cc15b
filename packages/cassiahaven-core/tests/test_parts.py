"""Rendezvous hashing, steering, lifecycle, quarantine, explanations and peer messages."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml

from cassiahaven_core.answer import Answer
from cassiahaven_core.explanation import (
    EXPLANATION_BYTES,
    Explanation,
    ExplanationMemory,
    ExplanationRing,
)
from cassiahaven_core.idempotency import Busy, Granted, GrantedElsewhere, Replay
from cassiahaven_core.lifecycle import EndpointEvent, EndpointStatus, chart_text, next_status
from cassiahaven_core.outcome import NotRun, Ran, Unknown, response_status
from cassiahaven_core.peer_message import (
    CrashNotice,
    DrainNotice,
    Heartbeat,
    Introduction,
    KeyQuestion,
    KeyReply,
    MalformedMessage,
    RateLimitNotice,
    RateLimitNotices,
    RevisionsRequest,
    TableRows,
    decode,
    encode,
    revision_digest,
)
from cassiahaven_core.quarantine import CRASH_MEMORY_MS, Quarantine, request_fingerprint
from cassiahaven_core.reason import RefusalReason, UnknownReason
from cassiahaven_core.rendezvous import rank
from cassiahaven_core.steering import EntryAddress, active_size, choose_entry_set
from cassiahaven_core.table import CellValue, Row


def entry(name: str, zone: str = "a", *, draining: bool = False) -> EntryAddress:
    return EntryAddress(name, f"{name}-1", zone, "127.0.0.1", 1, 2, f"{name}-1.0", draining)


def test_removed_node_moves_only_its_own_keys():
    nodes = tuple(f"n{number}" for number in range(19))
    keys = [f"service-{number}" for number in range(890)]
    before = {key: rank(key, nodes)[0] for key in keys}
    after = {key: rank(key, nodes[1:])[0] for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all(before[key] == "n0" for key in moved)
    assert 20 <= len(moved) <= 80


def test_entry_set_prefers_local_zone_and_excludes_draining_entries():
    entries = [entry("e1"), entry("e2", draining=True), entry("e3"), entry("e4", "b")]
    chosen = choose_entry_set("lookup", "a", entries, active=1)
    assert {item.name for item in chosen.active + chosen.standby} == {"e1", "e3", "e4"}
    assert chosen.standby[-1].name == "e4"
    assert choose_entry_set("lookup", "a", entries[3:], active=2).active[0].name == "e4"


def test_entry_set_grows_with_demand():
    sizes = [active_size(demand, entry_capacity_per_s=500.0) for demand in (0, 349, 351, 1800)]
    assert sizes == [1, 1, 2, 6]


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(list(EndpointEvent)), max_size=12))
def test_lifecycle_index_agrees_with_the_chart_interpreter(events):
    interpreter = Interpreter(import_from_yaml(chart_text()))
    interpreter.execute()
    status = EndpointStatus.COLD
    for event in events:
        interpreter.queue(event.value).execute()
        status = next_status(status, event)
        assert status.value in interpreter.configuration


def test_second_crash_of_another_incarnation_quarantines_request():
    quarantine = Quarantine()
    name = request_fingerprint("lookup", "parish", "GET", "/x", b"")
    assert quarantine.record(name, "e1/1", 0.0)
    assert not quarantine.record(name, "e1/1", 1.0)
    assert not quarantine.is_quarantined(name, 2.0)
    quarantine.record(name, "e2/1", 3.0)
    assert quarantine.is_quarantined(name, 4.0)
    assert not quarantine.is_quarantined(name, CRASH_MEMORY_MS + 4.0)
    assert name != request_fingerprint("lookup", "parish", "GET", "/y", b"")


def test_answer_clears_recorded_crashes_of_request():
    quarantine = Quarantine()
    quarantine.record("f", "e1/1", 0.0)
    quarantine.clear("f")
    quarantine.record("f", "e2/1", 1.0)
    assert not quarantine.is_quarantined("f", 2.0)


def test_explanation_ring_stays_within_its_byte_limit():
    ring = ExplanationRing(max_bytes=3 * EXPLANATION_BYTES)
    for number in range(10):
        ring.add(Explanation(str(number), "s", "p", "GET", "/", 0.0))
    assert [item.call_id for item in ring.newest(10)] == ["9", "8", "7"]
    assert ring.find("0") is None


def test_explanations_of_notable_calls_outlive_ordinary_ones():
    memory = ExplanationMemory()
    memory.add(Explanation("odd", "s", "p", "GET", "/", 0.0, "unknown; reason=connection-lost"))
    for number in range(20_000):
        memory.add(Explanation(str(number), "s", "p", "GET", "/", 0.0, "ran"))
    assert memory.find("odd") is not None
    assert memory.find("0") is None
    assert [item.call_id for item in memory.newest(2)] == ["odd", "19999"]


MESSAGES = [
    Introduction(entry("e1")),
    Heartbeat(revision_digest({"lookup": 3}), {"lookup": 3}, {"lookup": 1.5}),
    RevisionsRequest(),
    TableRows("lookup", 4, {"*/*": Row(4, "x", CellValue(weight=2.0)), "a/b": Row(2, "y", None)}),
    DrainNotice("lookup", "e1", "7", "VM list"),
    CrashNotice("f", "e1/7"),
    RateLimitNotices(
        [RateLimitNotice("lookup", "e1", "7", 1.5), RateLimitNotice("lookup", "e2", "7", None)]
    ),
    KeyQuestion(1, "e1-1", "parish", "lookup", "ch~e2-1~0~k", "f"),
    KeyReply(1, Granted()),
    KeyReply(2, Busy()),
    KeyReply(3, GrantedElsewhere("e3-1")),
    KeyReply(4, Replay(Ran(200, "e"), Answer(200, (("A", "b"),), b"x"))),
    KeyReply(5, Replay(NotRun(RefusalReason.QUEUE_FULL), None)),
    KeyReply(6, Replay(Unknown(UnknownReason.CONNECTION_LOST), None)),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_peer_messages_round_trip(message):
    assert decode(encode(message)) == message


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_garbage_is_a_malformed_message(data):
    with pytest.raises(MalformedMessage):
        decode(data)


def test_every_refusal_has_an_error_status():
    assert all(400 <= response_status(NotRun(reason)) < 600 for reason in RefusalReason)
