"""Parts of a body are joined in their order, however they arrive."""

from hypothesis import given
from hypothesis import strategies as st

from cassiahaven_core.request_memory import LARGEST_SMALL_BODY_BYTES
from cassiahaven_entry.body_buffer import BodyBuffer


@given(
    sizes=st.lists(st.integers(1, LARGEST_SMALL_BODY_BYTES), max_size=12),
    is_declared=st.booleans(),
)
def test_body_is_what_was_received(sizes, is_declared):
    parts = [bytes([number % 251]) * size for number, size in enumerate(sizes)]
    buffer = BodyBuffer(sum(sizes) if is_declared else 0)
    for part in parts:
        buffer.append(part)
    assert buffer.size == sum(sizes)
    assert bytes(buffer.body()) == b"".join(parts)
