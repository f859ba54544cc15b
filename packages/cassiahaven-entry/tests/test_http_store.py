"""Answers of the native deployment's store that end early."""

import socket
import threading

import pytest

from cassiahaven_core.edge import StoreUnavailable
from cassiahaven_entry.http_store import HttpObjectStore
from cassiahaven_entry.metrics import Metrics
from cassiahaven_standins.answer_framing import FRAMING_BY_NAME, INVALID_STATUS_LINES, send_cut

VALUE = b'{"rows": []}'


@pytest.fixture
def store_that_sends():
    """Return a function that makes a store whose answers are the given bytes, one a connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def start(answers):
            def serve():
                for answer in answers:
                    connection, _ = listener.accept()
                    connection.recv(65536)
                    send_cut(connection, answer, resets=False)

            threading.Thread(target=serve, daemon=True).start()
            return HttpObjectStore(f"http://127.0.0.1:{listener.getsockname()[1]}", Metrics())

        yield start


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_table_whose_answer_ends_early_is_not_read_as_an_empty_one(store_that_sends, framing):
    # A head that was cut before its length gave an empty table with a valid version.
    answer = FRAMING_BY_NAME[framing].encode("200 OK", {"Version": "7"}, VALUE)
    cuts = [answer.data[:size] for size in range(len(answer.data))]
    store = store_that_sends([*cuts, answer.data])
    for _ in cuts:
        with pytest.raises(StoreUnavailable):
            store.get("tables/lookup")
    assert store.get("tables/lookup").value == VALUE


@pytest.mark.parametrize("line", INVALID_STATUS_LINES)
def test_answer_of_the_store_with_an_invalid_status_is_no_answer(store_that_sends, line):
    # A table was read from an answer whose status was ``2_00``.
    answer = FRAMING_BY_NAME["length"].encode("200 OK", {"Version": "7"}, VALUE)
    store = store_that_sends([answer.with_status_line(line).data, answer.data])
    with pytest.raises(StoreUnavailable):
        store.get("tables/lookup")
    assert store.get("tables/lookup").value == VALUE
