"""Requests that callers send before the first one is answered."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiahaven_core.pipeline import MAX_BODY_BYTES, MAX_REQUESTS, Pipeline


@pytest.fixture
def pipeline():
    return Pipeline()


def test_reads_ahead_within_a_bound(pipeline):
    numbers = []
    while pipeline.may_read(is_stopping=False):
        numbers.append(pipeline.add())
    assert len(numbers) == MAX_REQUESTS
    pipeline.finish(numbers[0], closes=False)
    assert pipeline.may_read(is_stopping=False)


def test_large_bodies_stop_the_reading_but_never_the_first_request(pipeline):
    first = pipeline.add()
    pipeline.record_body(first, 10 * MAX_BODY_BYTES)
    assert not pipeline.may_read(is_stopping=False)
    pipeline.finish(first, closes=False)
    assert pipeline.may_read(is_stopping=False)


def test_a_stopping_entry_answers_what_was_read_and_reads_nothing_further(pipeline):
    assert pipeline.may_read(is_stopping=True)
    first, second = pipeline.add(), pipeline.add()
    assert not pipeline.may_read(is_stopping=True)
    assert not pipeline.end_at(first)
    pipeline.finish(first, closes=False)
    assert not pipeline.is_closed
    assert pipeline.end_at(second)
    assert not pipeline.may_read(is_stopping=False)
    pipeline.finish(second, closes=True)
    assert pipeline.is_closed


def test_an_answer_that_closes_ends_the_requests_behind_it(pipeline):
    first, second, third = pipeline.add(), pipeline.add(), pipeline.add()
    assert [pipeline.is_first(number) for number in (first, second, third)] == [True, False, False]
    pipeline.finish(first, closes=False)
    assert pipeline.is_first(second)
    pipeline.finish(second, closes=True)
    assert pipeline.is_closed
    assert not pipeline.is_first(third)
    assert not pipeline.may_read(is_stopping=False)


def test_nothing_is_read_behind_a_request_that_asks_to_close(pipeline):
    first = pipeline.add(is_last=True)
    assert not pipeline.may_read(is_stopping=False)
    pipeline.finish(first, closes=False)
    assert pipeline.is_closed


@given(st.lists(st.sampled_from(["read", "answer", "close", "stop"]), max_size=60))
def test_answers_leave_in_the_order_of_the_requests(steps):
    pipeline = Pipeline()
    waiting: list[int] = []
    is_stopping = False
    for step in steps:
        if step == "stop":
            is_stopping = True
        elif step == "read" and pipeline.may_read(is_stopping=is_stopping):
            assert not pipeline.is_closed
            waiting.append(pipeline.add())
        elif step in ("answer", "close") and waiting:
            assert pipeline.is_first(waiting[0])
            assert not any(pipeline.is_first(number) for number in waiting[1:])
            number = waiting.pop(0)
            ends = step == "close" or (is_stopping and pipeline.end_at(number))
            pipeline.finish(number, closes=ends)
            if ends:
                waiting.clear()
        assert len(waiting) <= MAX_REQUESTS
        assert pipeline.is_closed or pipeline.is_empty == (not waiting)
