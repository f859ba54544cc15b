"""Answers on kept connections: late, repeated, cut off and without a body."""

from hashlib import sha256

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cassiahaven_entry.repeated_answer import ends_within_head
from cassiahaven_standins.answer_framing import (
    FRAMING_BY_NAME,
    INVALID_STATUS_LINES,
    FramedAnswer,
)
from cassiahaven_standins.answer_scripts import (
    SIGNATURE,
    End,
    Reading,
    ScriptedAnswer,
    new_script,
    script_runner,
)

PAUSE_S = 0.05


@pytest.fixture(scope="module")
def runner():
    with script_runner() as runner:
        yield runner


def headers_for(call_id):
    return {"Request-Id": call_id, "Response-Signature": SIGNATURE}


def exchange(call_id, *pieces, method="GET", is_probe=False, end=End.KEEP, pause_s=0.0):
    """Return a call, and the pieces that are sent for it: bytes, or pauses in seconds."""
    call = {
        "id": call_id,
        "is_probe": is_probe,
        "method": method,
        "is_idempotent": True,
        "body_bytes": 0,
        "pause_s": pause_s,
        "timeout_ms": 2000.0,
    }
    scripted = ScriptedAnswer(call_id, call, "", FramedAnswer(b"", 0), b"", 0, end=end)
    before_s = 0.0
    for piece in pieces:
        if isinstance(piece, bytes):
            scripted.pieces.append((before_s, piece))
            before_s = 0.0
        else:
            before_s += piece
    return scripted


def encode(call_id, body, *, status="200 OK", framing="length", headers=None):
    if headers is None:
        headers = headers_for(call_id)
    return FRAMING_BY_NAME[framing].encode(status, headers, body).data


def handed_out(status, body):
    return [status, len(body), sha256(body).hexdigest()]


@pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
@pytest.mark.parametrize("has_chunks", [True, False])
def test_chunks_behind_a_head_without_a_body_are_not_a_body(runner, status, has_chunks):
    # A body was passed on behind a head that has none; without chunks the call timed out.
    answer = encode("b0", b"abc" if has_chunks else b"", status=status, framing="chunks")
    if not has_chunks:
        answer = answer.removesuffix(b"0\r\n\r\n")
    results = runner.results([[exchange("b0", answer)]])
    assert results == [[handed_out(int(status[:3]), b"")]]


@pytest.mark.parametrize("late_framing", ["length", "connection"])
@pytest.mark.parametrize("framing", ["length", "chunks", "connection"])
def test_late_answer_cut_in_its_head_does_not_run_into_the_next_one(runner, late_framing, framing):
    # One head was read from two: the status of the late answer with the body of the next one.
    end = End.CLOSE if framing == "connection" else End.KEEP
    failure = "500 Internal Server Error"
    scripts = []
    for size in range(len(encode("m000.0", b"", framing=late_framing))):
        first, second = f"m{size:03}.0", f"m{size:03}.1"
        late = encode(first, b"late", framing=late_framing)[:size]
        own = encode(second, b"failure", status=failure, framing=framing)
        scripts.append(
            [
                exchange(first, encode(first, b"late")),
                exchange(second, late, 0.005, own, end=end),
            ]
        )
    own_result = handed_out(500, b"failure")
    for _, result in runner.results(scripts):
        assert result in (None, own_result)


def test_probe_does_not_take_a_late_answer_for_its_own(runner):
    # The probe found the endpoint idle, and its own answer went to the call that came next.
    health = encode("p.1", b"", headers={"Server-Load": "9,0,1"})
    missing = encode("p.1", b"no", status="404 Not Found", headers={})
    script = [
        exchange("p.0", encode("p.0", b"first")),
        exchange("p.1", encode("p.0", b"first"), PAUSE_S, missing, is_probe=True),
        exchange("p.2", encode("p.2", b"second")),
        exchange("p.3", health, is_probe=True),
    ]
    results = runner.results([script])
    assert results == [[handed_out(200, b"first"), None, handed_out(200, b"second"), 9]]


def test_connection_with_bytes_behind_an_answer_is_not_used_again(runner):
    # The start of the second answer was dropped, and its rest was read as the head of the next one.
    repeated = encode("x.0", b"first")
    script = [
        exchange("x.0", repeated + repeated[:10], PAUSE_S, repeated[10:]),
        exchange("x.1", encode("x.1", b"second")),
    ]
    assert runner.results([script]) == [[handed_out(200, b"first"), handed_out(200, b"second")]]


def test_success_that_names_no_request_is_not_passed_on(runner):
    # A late answer without an id would pass for the answer to whichever call came next.
    late = encode("n.0", b"first", headers={"Response-Signature": SIGNATURE})
    script = [
        exchange("n.0", encode("n.0", b"first")),
        exchange("n.1", late, encode("n.1", b"second")),
    ]
    assert runner.results([script]) == [[handed_out(200, b"first"), None]]


def test_success_that_names_two_requests_is_not_passed_on(runner):
    # Of two headers of one name the last one counted, so the answer passed for either request's.
    two_ids = encode("t.0", b"late").replace(b"t.0", b"other\r\nRequest-Id: t.0")
    assert runner.results([[exchange("t.0", two_ids)]]) == [[None]]


@pytest.mark.parametrize("place", ["call", "stream", "upload", "behind an interim answer"])
def test_response_with_an_invalid_status_is_not_passed_on(runner, place):
    # Callers got 600 and 999 as whole answers, and ``2_00`` as 200.
    size = 200_000 if place == "stream" else 3
    method = "POST" if place == "upload" else "GET"
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" if place.startswith("behind") else b""
    scripts = []
    for number, line in enumerate(INVALID_STATUS_LINES):
        calls = [f"v{number}.{position}" for position in range(2)]
        answer = FRAMING_BY_NAME["length"].encode(
            "200 OK", headers_for(calls[0]), b"b" * size, interim=interim
        )
        spoiled = exchange(calls[0], answer.with_status_line(line).data, method=method)
        if place == "upload":
            spoiled.call["body_bytes"] = 20_000
            spoiled.reading = Reading.AFTER
        scripts.append([spoiled, exchange(calls[1], encode(calls[1], b"own"))])
    assert runner.results(scripts) == [[None, handed_out(200, b"own")]] * len(scripts)


def test_interim_answer_with_an_invalid_status_is_not_skipped(runner):
    # ``1_00`` was skipped as an interim answer, and what followed passed for the answer.
    scripts = []
    for status in ("1_00", "+100", "0100", "099"):
        interim = f"HTTP/1.1 {status} Continue\r\n\r\n".encode()
        scripts.append([exchange(f"w{status}.0", interim + encode(f"w{status}.0", b"body"))])
    assert runner.results(scripts) == [[None]] * len(scripts)


def test_answer_cut_in_a_chunk_does_not_end_within_the_one_behind_it(runner):
    # The chunk took the start of the second head, whose length of 0 was read as the last chunk.
    body = b"abcdefghij" * 40
    scripts = []
    for number in range(120):
        call_id = f"k{number:03}.0"
        answer = encode(call_id, body, framing="chunks")
        cut = len(answer) - number - len(b"0\r\n\r\n")
        scripts.append([exchange(call_id, answer[:cut], encode(call_id, b""), end=End.CLOSE)])
    assert runner.results(scripts) == [[None]] * len(scripts)


@settings(
    derandomize=True,
    max_examples=25,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
@given(st.lists(st.randoms(use_true_random=False), min_size=1, max_size=25))
def test_what_is_handed_out_is_what_the_endpoint_means_for_that_request(runner, randoms):
    # Late, repeated, cut and reset answers in any order were mixed with those that were due.
    scripts = [new_script(rng, f"s{number}") for number, rng in enumerate(randoms)]
    assert runner.play(scripts) == []


@pytest.mark.parametrize("cut", [10, 65_530, 65_536, 199_985, 199_999])
@pytest.mark.parametrize("call_id", ["g.0", "e"])
def test_streamed_answer_cut_in_its_body_is_not_filled_up_with_the_one_behind_it(
    runner, call_id, cut
):
    # A long body is passed on in parts, and the second head may lie in two of them or behind them.
    body = b"abcdefghij" * 20_000
    answer = encode(call_id, body)
    first = answer[: len(answer) - len(body) + cut]
    results = runner.results([[exchange(call_id, first + answer, end=End.CLOSE)]])
    assert results == [[None]]


@pytest.mark.parametrize("call_id", ["h.0", "e"])
def test_body_that_quotes_an_answer_is_passed_on(runner, call_id):
    # The body of another request's answer, and a part of one to this request, end no answer early.
    quoted = encode("other", b"x") + b"GET / HTTP/1.1\r\nRequest-Id: " + call_id.encode()
    answer = encode(call_id, quoted)
    results = runner.results([[exchange(call_id, answer + answer, end=End.CLOSE)]])
    assert results == [[handed_out(200, quoted)]]


@pytest.mark.parametrize("framing", ["length", "length, closes", "length, HTTP/1.0"])
def test_body_that_a_second_head_fills_to_its_end_is_not_passed_on(runner, framing):
    # The first body was complete before the second head's id arrived, which alone shows it.
    body = b"abcdefghij" * 10
    scripts = []
    for missing in range(1, len(body) + 1):
        call_id = f"z{missing:03}.0"
        answer = encode(call_id, body, framing=framing)
        first = answer[:-missing] + answer[:missing]
        scripts.append([exchange(call_id, first, PAUSE_S, answer[missing:], end=End.CLOSE)])
    assert runner.results(scripts) == [[None]] * len(scripts)


def test_streamed_body_that_a_second_head_fills_to_its_end_is_not_passed_on(runner):
    # The second head lay in the last part of a long body and behind it.
    body = b"abcdefghij" * 20_000
    scripts = []
    for missing in (1, 8, 40, 90):
        call_id = f"y{missing:03}.0"
        answer = encode(call_id, body)
        first = answer[:-missing] + answer[:missing]
        scripts.append([exchange(call_id, first, PAUSE_S, answer[missing:], end=End.CLOSE)])
    assert runner.results(scripts) == [[None]] * len(scripts)


HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 4\r\n\r\n"


@pytest.mark.parametrize("end", [End.KEEP, End.CLOSE, End.SILENCE])
def test_body_that_ends_like_the_start_of_a_head_is_passed_on(runner, end):
    # Such a body waits for the rest of the head, and none arrives, or that of another request.
    scripts = []
    for size in range(1, len(HEAD) + 1):
        call_id = f"q{size:03}.0"
        body = b"quotes " + HEAD[:size]
        late = encode("other", b"late") if end is End.KEEP else b""
        scripts.append([exchange(call_id, encode(call_id, body), late, end=end)])
    expected = [[handed_out(200, b"quotes " + HEAD[: size + 1])] for size in range(len(HEAD))]
    assert runner.results(scripts) == expected


@pytest.mark.parametrize(
    "body", [b"", b'{"a": 1}', b"end\n", b"HTTP/1.1 is old", HEAD, HEAD + b"{}"]
)
def test_body_that_ends_unlike_a_head_does_not_wait(body):
    # Waiting behind each body would delay every success.
    assert not ends_within_head(body)
    assert ends_within_head(body + HEAD[:-1])
