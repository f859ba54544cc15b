"""The check of rate limits finds what breaks them, and nothing else."""

import pytest

from cassiahaven_standins.rate_limit_check import (
    limited_periods,
    rate_limit_violations,
    told_limits,
)

CONTACT_S = 3.0


@pytest.fixture
def check():
    def run(arrivals, *, limits=((8.0, "1.1"),), told=((8.1, "e-1"),), **options):
        [period] = limited_periods(limits)
        return rate_limit_violations(period, told, arrivals, contact_s=CONTACT_S, **options)

    return run


def every(gap_s, start_s, end_s, entry="e-1"):
    return [(start_s + n * gap_s, entry) for n in range(int((end_s - start_s) / gap_s))]


def test_entry_that_goes_on_as_before_breaks_the_limit(check):
    assert "allowed 12" in check(every(0.2, 0.0, 14.0))[0]


def test_requests_within_the_limit_its_overage_and_slack_are_allowed(check):
    assert not check([*every(0.4, 0.0, 8.6), *every(1 / 1.6, 8.6, 30.0)])


def test_requests_sent_before_the_entry_was_told_count(check):
    assert check([*every(0.08, 0.0, 8.2), (11.1, "e-1")])
    assert not check([*every(0.08, 0.0, 8.2), (12.2, "e-1")])


def test_requests_of_entries_that_were_not_told_do_not_count(check):
    assert not check(every(0.2, 0.0, 14.0, entry="e-2"))


def test_requests_of_all_told_entries_count_together(check):
    told = ((8.1, "e-1"), (8.2, "e-2"), (8.3, "e-3"))
    arrivals = [item for entry in ("e-1", "e-2", "e-3") for item in every(0.7, 9.0, 20.0, entry)]
    assert check(arrivals, told=told)
    assert not check(arrivals, told=told[:1])


def test_limit_ends_when_the_endpoint_names_none(check):
    limits = ((8.0, "1.1"), (9.0, ""))
    assert not check(every(0.2, 0.0, 14.0), limits=limits)


def test_higher_limit_allows_more(check):
    arrivals = every(0.25, 9.0, 20.0)
    assert check(arrivals, limits=((8.0, "1"),))
    assert not check(arrivals, limits=((8.0, "1"), (8.5, "2.5")))


def test_fault_of_an_entry_excuses_it(check):
    assert not check(every(0.2, 0.0, 14.0), is_excused=lambda entry, from_s, to_s: True)


def test_value_that_cannot_be_read_is_no_limit():
    assert limited_periods([(1.0, "soon"), (2.0, "-1"), (3.0, "")]) == []


def test_limit_that_no_answer_carried_does_not_count():
    # Seed 3007 of the soak: an endpoint named 0.5 for half a second without a request.
    named = [(8.0, "5.2"), (10.0, "0.5"), (10.5, "nan"), (14.6, "")]
    told_s = [8.1, 9.9, 10.6, 12.0]
    assert told_limits(named, told_s) == [(8.0, "5.2"), (10.5, "nan"), (14.6, "")]
    assert told_limits(named, [*told_s, 10.2]) == named
    assert told_limits([(8.0, "1.1")], [8.1]) == [(8.0, "1.1")]
