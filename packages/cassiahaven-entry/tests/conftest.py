"""An in-memory object store and a clock that tests control."""

from collections.abc import Iterator

import pytest

from cassiahaven_standins.memory_store import MemoryStore


class PausedClock:
    """Clock that moves only when a test or a sleeping task advances it."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s

    def advance_ms(self, passed_ms: float) -> None:
        self.now_s += passed_ms / 1000


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


@pytest.fixture
def clock(monkeypatch) -> Iterator[PausedClock]:
    import eventlet
    from eventlet.hubs import get_hub

    paused = PausedClock()
    monkeypatch.setattr(get_hub(), "clock", paused)
    monkeypatch.setattr(eventlet, "sleep", lambda seconds: paused.advance_ms(seconds * 1000))
    return paused
