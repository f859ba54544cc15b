"""Memory that the bodies of requests may take together."""

from hypothesis import given
from hypothesis import strategies as st

from cassiahaven_core.request_memory import (
    BYTES_PER_MB,
    DEFAULT_PROCESS_BYTES,
    LARGEST_SMALL_BODY_BYTES,
    RequestMemory,
)

BODIES = 6
LARGEST_BODY_BYTES = 64 * BYTES_PER_MB


@given(
    steps=st.lists(
        st.tuples(
            st.integers(0, BODIES - 1),
            st.one_of(
                st.none(), st.integers(0, LARGEST_SMALL_BODY_BYTES), st.integers(0, 3_000_000)
            ),
        ),
        max_size=60,
    )
)
def test_bodies_never_exceed_their_memory_and_small_ones_keep_their_part(steps):
    # Uploads within the limit of a body together outgrew the memory of the process.
    memory = RequestMemory(10_000_000)
    reservations = [memory.new_reservation() for _ in range(BODIES)]
    for number, size in steps:
        reservation = reservations[number]
        before = reservation.size
        if size is None:
            reservation.release()
            assert reservation.size == 0
        else:
            size = max(size, before)
            small_bytes = sum(
                item.size
                for item in reservations
                if item is not reservation and item.size <= LARGEST_SMALL_BODY_BYTES
            )
            has_room = small_bytes + size <= memory.limit_bytes - memory.large_limit_bytes
            is_reserved = reservation.grow(size)
            assert reservation.size == (size if is_reserved else before)
            assert is_reserved or not (size <= LARGEST_SMALL_BODY_BYTES and has_room)
        assert memory.held_bytes == sum(item.size for item in reservations)
        assert memory.held_bytes <= memory.limit_bytes
        large_bytes = sum(
            item.size for item in reservations if item.size > LARGEST_SMALL_BODY_BYTES
        )
        assert large_bytes <= memory.large_limit_bytes
    for reservation in reservations:
        reservation.release()
        reservation.release()
    assert memory.held_bytes == 0


def test_largest_body_fits_into_the_smallest_process():
    for process_bytes in (200 * BYTES_PER_MB, DEFAULT_PROCESS_BYTES):
        assert RequestMemory(process_bytes).new_reservation().grow(LARGEST_BODY_BYTES)
