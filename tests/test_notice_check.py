"""The checks of what endpoints said of themselves, on records with known faults."""

import pytest

from cassiahaven_standins.notice_check import Arrival, late_requests, requests_while_closed

DRAIN_S = 2.0


def arrival(at_s, *, sent_s=None, entry="a"):
    return Arrival(at_s, entry, at_s if sent_s is None else sent_s, f"r{at_s}")


@pytest.mark.parametrize(
    ("arrivals", "late"),
    [
        ([arrival(1.0)], 0),  # before it said so
        ([arrival(11.9)], 0),
        ([arrival(12.1)], 1),
        ([arrival(12.1, entry="b")], 0),  # another entry, which was not told
        ([arrival(13.0, sent_s=11.5)], 0),  # sent before, and waited at the entry
        ([arrival(13.0), arrival(14.0)], 2),
    ],
)
def test_requests_after_the_answer_that_its_endpoint_leaves_are_found(arrivals, late):
    told = [(10.0, "a"), (11.0, "a")]
    assert len(late_requests(told, arrivals, drain_s=DRAIN_S)) == late


def test_interrupted_entry_is_bound_again_by_the_next_answer():
    def is_excused(entry, from_s, to_s):
        return from_s <= 20.0 <= to_s

    told = [(10.0, "a"), (25.0, "a")]
    check = {"drain_s": DRAIN_S, "is_excused": is_excused}
    assert late_requests(told, [arrival(24.0)], **check) == []
    assert late_requests(told, [arrival(26.0)], **check) == []
    assert len(late_requests(told, [arrival(27.5)], **check)) == 1
    assert len(late_requests(told, [arrival(15.0)], **check)) == 1


@pytest.mark.parametrize(
    ("arrivals_s", "found"),
    [
        ([10.1, 10.2, 10.3, 10.4], 0),  # under way when it closed itself
        ([11.0, 12.0], 0),
        ([11.0, 12.0, 13.0], 1),
        ([14.1, 14.2, 14.3], 0),  # after the end
    ],
)
def test_requests_in_the_time_of_a_retry_after_are_found(arrivals_s, found):
    closings = [(10.0, "a", 4.0)]
    arrivals = [(at_s, "a") for at_s in arrivals_s]
    assert len(requests_while_closed(closings, arrivals)) == found
    assert requests_while_closed(closings, [(at_s, "b") for at_s in arrivals_s]) == []
    assert requests_while_closed(closings, arrivals, is_excused=lambda *_: True) == []


def test_last_value_of_a_retry_after_holds():
    arrivals = [(at_s, "a") for at_s in (13.0, 13.2, 13.4)]
    assert requests_while_closed([(10.0, "a", 60.0), (10.2, "a", 1.0)], arrivals) == []
    assert len(requests_while_closed([(10.0, "a", 1.0), (10.2, "a", 60.0)], arrivals)) == 1


def test_time_of_a_retry_after_counts_through_later_ones_with_a_later_end():
    closings = [(10.0 + n, "a", 4.0) for n in range(4)]
    found = requests_while_closed(closings, [(at_s, "a") for at_s, _, _ in closings])
    assert len(found) == 1
    assert requests_while_closed(closings[:2], [(at_s, "a") for at_s, _, _ in closings[:2]]) == []
