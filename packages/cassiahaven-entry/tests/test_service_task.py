"""Waiting calls of a service while its endpoints change."""

import eventlet
import pytest

from cassiahaven_core.admission import WaitingCall
from cassiahaven_core.endpoint_address import EndpointAddress
from cassiahaven_core.service import Dispatch
from cassiahaven_entry.clock import now_ms
from cassiahaven_entry.service_task import ServiceTask


def address(name):
    return EndpointAddress(name, "1", "a", "10.0.0.1", 80, 1, warm_up_ms=0.0)


@pytest.fixture
def task():
    task = ServiceTask("lookup", "a")
    task.set_endpoints([address("e1")])
    return task


def submit(task, call_id):
    arrived_ms = now_ms()
    return task.submit(WaitingCall(call_id, "p", True, arrived_ms + 500.0, arrived_ms))


def test_waiting_call_is_not_dispatched_to_an_endpoint_listed_as_draining(task):
    first = submit(task, "c1")
    assert isinstance(first, Dispatch)
    waiting = eventlet.spawn(submit, task, "c2")
    eventlet.sleep(0.05)
    task.set_endpoints([address("e1"), address("e2")], draining=["e2"])
    assert not isinstance(waiting.wait(), Dispatch)
