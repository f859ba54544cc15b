"""Outcomes reported to callers for each way an attempt can end."""

from itertools import product

import pytest

from cassiahaven_core.answer import (
    MAX_BUFFERED_ANSWER_BYTES,
    MAX_BUFFERED_BYTES,
    AnswerMemory,
)
from cassiahaven_core.edge import (
    CallRequest,
    ResponseSignals,
    SendFailed,
    TransferBroken,
    UpstreamAnswer,
    UpstreamTransport,
)
from cassiahaven_core.endpoint import CallResult, LoadReport, ProbeFailed
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.outcome import NotRun, Ran, Unknown
from cassiahaven_core.quarantine import Quarantine
from cassiahaven_core.reason import RefusalReason
from cassiahaven_core.settings import ServiceSettings
from cassiahaven_entry import attempts as attempts_module
from cassiahaven_entry.attempts import AttemptRunner
from cassiahaven_entry.call import Call
from cassiahaven_entry.clock import now_ms
from cassiahaven_entry.header_dialect import HeaderDialect
from cassiahaven_entry.metrics import Metrics
from cassiahaven_entry.service_task import ServiceTask

SERVICE = ServiceSettings("lookup", idempotent_methods=("GET",))


def broken_body():
    yield b"part"
    raise TransferBroken("cut")


class Ending:
    """One way an attempt can end, and whether the upstream ran the call."""

    def __init__(self, name, may_have_run, make):
        self.name = name
        self.may_have_run = may_have_run
        self.make = make

    def __repr__(self):
        return self.name


def read_signal(headers):
    value_by_name = {name.lower(): value for name, value in headers}
    return HeaderDialect().read_head(200, value_by_name, None)


def answer(status, body=None, headers=()):
    return UpstreamAnswer(
        status, headers, body or iter([b"whole"]), lambda: None, read_signal(headers)
    )


ENDINGS = [
    Ending("answered", True, lambda: answer(200)),
    Ending("server error", True, lambda: answer(500)),
    Ending("truncated", True, lambda: answer(200, broken_body())),
    Ending("connection refused", False, lambda: SendFailed(CallResult.CONNECT_FAILED, "")),
    Ending("shed", False, lambda: SendFailed(CallResult.REFUSED, "")),
    Ending("reset", True, lambda: SendFailed(CallResult.CONNECTION_LOST, "")),
    Ending("timeout", True, lambda: SendFailed(CallResult.TIMEOUT, "")),
    Ending("unanswered", True, lambda: SendFailed(CallResult.UNANSWERED, "")),
]


class ScriptedTransport(UpstreamTransport):
    """End attempts in the given order and record whether each may have run the call."""

    def __init__(self, endings):
        self.endings = list(endings)
        self.may_have_run = []

    def send(self, address, request, timeout_ms, *, patience_ms=None):
        ending = self.endings.pop(0)
        self.may_have_run.append(ending.may_have_run)
        return ending.make()


@pytest.fixture
def run_call(clock):
    def run(transport, method, *, is_streamed=False, probes_per_s=0.0, check=lambda call: None):
        task = ServiceTask("lookup", "zone-a")
        task.health_path = "/health"
        task.policy.probes_per_s = probes_per_s
        run.tasks.append(task)
        task.set_endpoints(
            [EndpointAddress(f"e{number}", "1", "zone-a", "127.0.0.1", 1, 3) for number in range(4)]
        )
        runner = AttemptRunner(
            transport,
            HeaderDialect(),
            Quarantine(),
            metrics=Metrics(),
            on_drain=lambda notice: None,
            on_crash=lambda notice: None,
            on_rate_limit=lambda notice: None,
        )
        run.runners.append(runner)
        request = CallRequest(
            "lookup", method, "/x", (), b"", None, None, None, arrived_ms=now_ms()
        )
        call = Call.to_service(request, SERVICE, "parish", "call-1")
        finished = runner.run(call, task, check=check)
        in_flight = [item.in_flight for item in task.policy.pool.endpoint_by_id.values()]
        assert is_streamed or not any(in_flight)
        return finished

    run.runners = []
    run.tasks = []
    return run


@pytest.mark.parametrize("sent", [0, 1])
def test_call_whose_key_is_revoked_is_not_sent_again(run_call, sent):
    # The key may be revoked while the call waits for a slot, is probed for, or is retried.
    refusals = iter([None] * sent + [RefusalReason.UNAUTHENTICATED])
    transport = ScriptedTransport([ENDINGS[3], ENDINGS[0]])
    finished = run_call(transport, "GET", check=lambda call: next(refusals))
    assert finished.outcome == NotRun(RefusalReason.UNAUTHENTICATED)
    assert len(transport.may_have_run) == sent


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("endings", list(product(ENDINGS, repeat=2)), ids=str)
def test_outcome_matches_what_ran_for_every_pair_of_attempts(run_call, method, endings):
    transport = ScriptedTransport([*endings, ENDINGS[3], ENDINGS[3]])
    finished = run_call(transport, method)
    match finished.outcome:
        case NotRun():
            assert not any(transport.may_have_run)
        case Unknown():
            assert any(transport.may_have_run)
            assert finished.answer is None
        case Ran():
            assert finished.answer.body == b"whole"
    if method == "POST":
        assert sum(transport.may_have_run) <= 1


def test_draining_answer_and_load_are_read(run_call, monkeypatch):
    notices = []
    monkeypatch.setattr(attempts_module, "DrainNotice", lambda *fields: notices.append(fields))
    headers = (("Upstream-Draining", "1"), ("Upstream-Load", "many"))
    transport = ScriptedTransport([Ending("x", True, lambda: answer(200, headers=headers))])
    assert run_call(transport, "GET").outcome.status == 200
    assert notices[0][0] == "lookup"


class CountedBody:
    """Body in parts of 64 KB that counts how many were read and may break off."""

    def __init__(self, parts, *, breaks=False):
        self.left = parts
        self.breaks = breaks
        self.read = 0

    def __iter__(self):
        while self.left:
            self.left -= 1
            self.read += 1
            yield b"x" * 65_536
        if self.breaks:
            raise TransferBroken("cut")


def large(body):
    return Ending(
        "large", True, lambda: UpstreamAnswer(200, (), iter(body), lambda: None, ResponseSignals())
    )


def test_large_answer_is_read_whole_and_frees_its_endpoint_before_the_caller_reads(run_call):
    body = CountedBody(8)
    finished = run_call(ScriptedTransport([large(body)]), "GET")  # checks that nothing is in flight
    assert body.read == 8
    assert sum(len(part) for part in finished.stream) == 8 * 65_536


def test_large_answer_that_breaks_off_before_its_first_byte_left_is_asked_for_elsewhere(run_call):
    whole = CountedBody(4)
    transport = ScriptedTransport([large(CountedBody(3, breaks=True)), large(whole)])
    finished = run_call(transport, "GET")
    assert sum(len(part) for part in finished.stream) == 4 * 65_536
    finished.stream.close()


def test_large_answer_of_a_call_that_must_not_run_twice_is_unknown_if_it_breaks_off(run_call):
    transport = ScriptedTransport([large(CountedBody(3, breaks=True)), large(CountedBody(1))])
    assert isinstance(run_call(transport, "POST").outcome, Unknown)


def test_memory_of_large_answers_is_bounded_for_each_and_in_all():
    memory = AnswerMemory()
    assert not memory.reserve(held=MAX_BUFFERED_ANSWER_BYTES, more=1)
    answers = 0
    while memory.reserve(held=0, more=MAX_BUFFERED_ANSWER_BYTES):
        answers += 1
    assert answers * MAX_BUFFERED_ANSWER_BYTES == MAX_BUFFERED_BYTES
    memory.release(MAX_BUFFERED_ANSWER_BYTES)
    assert memory.reserve(held=0, more=MAX_BUFFERED_ANSWER_BYTES)


def test_answer_beyond_the_memory_is_streamed_as_its_caller_reads(run_call):
    body = CountedBody(40)
    finished = run_call(ScriptedTransport([large(body)]), "GET", is_streamed=True)
    assert body.read < 20
    assert sum(len(part) for part in finished.stream) == 40 * 65_536
    assert body.read == 40


def test_memory_is_free_again_after_answers_were_sent_dropped_or_broken(run_call):
    for body, read in ((CountedBody(8), True), (CountedBody(8), False), (CountedBody(40), True)):
        finished = run_call(ScriptedTransport([large(body)]), "GET", is_streamed=True)
        if read:
            list(finished.stream)
        finished.stream.close()
        assert run_call.runners[-1]._memory.held_bytes == 0
    ends = [large(CountedBody(8, breaks=True)) for _ in range(4)]
    run_call(ScriptedTransport(ends), "GET")
    assert run_call.runners[-1]._memory.held_bytes == 0


class ProbedTransport(UpstreamTransport):
    """Answer calls and probes, and record the endpoints that calls were sent to.

    Args:
        answer_probe: Returns the answer to a probe of an endpoint.
    """

    def __init__(self, answer_probe):
        self.answer_probe = answer_probe
        self.sent = []
        self.probed = []

    def send(self, address, request, timeout_ms, *, patience_ms=None):
        self.sent.append(address.endpoint)
        return answer(200)

    def probe(self, address, path, timeout_ms):
        self.probed.append(address.endpoint)
        return self.answer_probe(address)


def leaving_starts(run_call):
    return set(run_call.tasks[-1].policy.pool.leaving.leaving_by_start)


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(
    "report", [LoadReport(0, is_leaving=True), ProbeFailed("status 503", is_leaving=True)]
)
def test_call_is_sent_to_the_endpoint_whose_health_check_said_that_it_leaves(
    run_call, method, report
):
    transport = ProbedTransport(
        lambda address: report if len(transport.probed) == 1 else LoadReport(0)
    )
    finished = run_call(transport, method, probes_per_s=1000.0)
    assert finished.outcome.status == 200
    assert transport.probed[0] not in transport.sent
    assert leaving_starts(run_call) == {(transport.probed[0], "1")}


def test_call_is_sent_to_an_endpoint_that_said_during_its_probe_that_it_leaves(run_call):
    # Another call's answer arrives while this one waits for its probe.
    def answer_probe(address):
        if len(transport.probed) == 1:
            run_call.tasks[-1].record_leaving(address, "answer")
        return LoadReport(0)

    transport = ProbedTransport(answer_probe)
    finished = run_call(transport, "POST", probes_per_s=1000.0)
    assert finished.outcome.status == 200
    assert transport.probed[0] not in transport.sent


@pytest.mark.parametrize(
    ("result", "is_misdirected", "instance", "count"),
    [
        (CallResult.REFUSED, False, None, 1),
        (CallResult.CONNECTION_LOST, False, None, 1),
        (CallResult.REPLACED, True, "e9", 0),
        (CallResult.REPLACED, True, None, 0),
    ],
)
def test_failed_attempt_tells_who_leaves(run_call, result, is_misdirected, instance, count):
    signal = ResponseSignals(draining=True, is_misdirected=is_misdirected, instance=instance)
    failed = Ending("failed", False, lambda: SendFailed(result, "", signal))
    run_call(ScriptedTransport([failed, ENDINGS[0]]), "GET")
    assert len(leaving_starts(run_call)) == count


def test_streamed_answer_tells_that_its_endpoint_leaves_before_its_end(run_call):
    def streamed():
        signal = ResponseSignals(draining=True)
        return UpstreamAnswer(200, (), iter(CountedBody(40)), lambda: None, signal)

    finished = run_call(
        ScriptedTransport([Ending("large", True, streamed)]), "GET", is_streamed=True
    )
    assert len(leaving_starts(run_call)) == 1
    finished.stream.close()


def test_call_is_sent_to_the_endpoint_whose_health_check_said_that_it_wants_none(run_call):
    closed = ProbeFailed("status 503", closed_for_ms=5000.0)
    transport = ProbedTransport(
        lambda address: closed if len(transport.probed) == 1 else LoadReport(0)
    )
    assert run_call(transport, "POST", probes_per_s=1000.0).outcome.status == 200
    assert transport.probed[0] not in transport.sent
    pool = run_call.tasks[-1].policy.pool
    assert pool.endpoint_by_id[transport.probed[0]].gate.closed_for_ms(now_ms()) > 4000.0


@pytest.mark.parametrize(
    ("signal", "handling"),
    [
        (ResponseSignals(closed_for_ms=1e9), "shortened"),
        (ResponseSignals(unreadable_closure="soon"), "ignored"),
    ],
)
def test_unusable_closures_are_not_counted(run_call, signal, handling):
    refused = Ending("refused", False, lambda: SendFailed(CallResult.REFUSED, "", signal))
    assert run_call(ScriptedTransport([refused, ENDINGS[0]]), "GET").outcome.status == 200
    text = run_call.runners[-1]._metrics.text().decode()
    name = "cassiahaven_unusable_closures_total"
    assert f'{name}{{handling="{handling}",service="lookup"}} 1.0' in text
