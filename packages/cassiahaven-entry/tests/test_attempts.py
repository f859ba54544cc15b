"""Outcomes reported to callers for each way an attempt can end."""

from itertools import product

import pytest

from cassiahaven_core.edge import (
    CallRequest,
    SendFailed,
    TransferBroken,
    UpstreamAnswer,
    UpstreamTransport,
)
from cassiahaven_core.outcome import NotRun, Ran, Unknown
from cassiahaven_core.pool import CallResult, EndpointAddress
from cassiahaven_core.quarantine import Quarantine
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
    def run(transport, method):
        task = ServiceTask("lookup", "zone-a")
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
        )
        request = CallRequest(
            "lookup", method, "/x", (), b"", None, None, None, arrived_ms=now_ms()
        )
        finished = runner.run(Call.to_service(request, SERVICE, "parish", "call-1"), task)
        assert all(not item.in_flight for item in task.policy.pool.endpoint_by_id.values())
        return finished

    return run


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
