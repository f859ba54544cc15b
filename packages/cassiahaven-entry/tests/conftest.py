"""An in-memory object store."""

import pytest

from cassiahaven_standins.memory_store import MemoryStore


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()
