"""Answers on their way when an entry is killed."""

import signal
import socket

from cassiahaven_standins.answer_reader import AnswerReader
from cassiahaven_standins.pipelining_caller import PipelinedRequest
from cassiahaven_standins.platform_fleet import platform_fleet
from cassiahaven_standins.platform_mixed_endpoint import MixedEndpoint, mixed_target

ANSWER_BYTES = 20_000_000  # more than the buffers of both sockets hold


def test_answer_of_a_killed_entry_does_not_look_whole(tmp_path):
    # The system ended the connection of an HTTP/1.0 caller in an orderly way, which is how an
    # answer without a length ends.
    with platform_fleet(tmp_path, entries=1) as fleet:
        endpoint = MixedEndpoint("i-1", "one", seed="1", spoils=[], share=0.0)
        fleet.endpoint_by_name["i-1"] = endpoint
        fleet.store.state.put("servers", "i-1", endpoint.registration())
        fleet.configure({"x": "one"}, timeout_ms=10_000)
        fleet.start()
        [entry] = fleet.entries
        seen = []
        for n in range(6):
            target = mixed_target("safe", "x", f"n{n}", ANSWER_BYTES, 0)
            item = PipelinedRequest("GET", target, f"r{n}", version="HTTP/1.0")
            with socket.create_connection(("127.0.0.1", entry.front_port), 10) as caller:
                caller.sendall(item.encode(deadline_ms=10_000))
                assert caller.recv(1, socket.MSG_PEEK)
                entry.signal(signal.SIGKILL)
                entry.process.wait()
                answer = AnswerReader(caller).read()
            seen.append((answer.framing, len(answer.body) == ANSWER_BYTES, answer.is_whole))
            fleet.start()
    assert ("connection", False, True) not in seen, seen
    assert any(framing == "connection" for framing, _, _ in seen)
