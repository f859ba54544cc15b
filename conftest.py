"""The clock that tests control, and hooks that deselect and print the tests of KNOWN-RED.txt."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

# CI gives the same verdict on each run; ``--hypothesis-profile=default`` draws anew.
settings.register_profile("seeded", derandomize=True, deadline=None)
settings.load_profile("seeded")

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
TEST_FIELD = "test:"


class PausedClock:
    """Clock that moves only when a test or a sleeping task advances it."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now_s

    def advance_ms(self, passed_ms: float) -> None:
        """Move the clock forward."""
        self.now_s += passed_ms / 1000


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[PausedClock]:
    """Replace the clock of eventlet's hub, and its sleep by advancing that clock."""
    import eventlet
    from eventlet.hubs import get_hub

    paused = PausedClock()
    monkeypatch.setattr(get_hub(), "clock", paused)
    monkeypatch.setattr(eventlet, "sleep", lambda seconds: paused.advance_ms(seconds * 1000))
    return paused


def known_red() -> list[str]:
    """Return the node ids of the listed tests."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line.removeprefix(TEST_FIELD).strip() for line in lines if line.startswith(TEST_FIELD)]


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option to run the listed tests too."""
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the listed tests."""
    if config.getoption("--known-red"):
        return
    listed = set(known_red())
    left_out = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=left_out)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the names of the listed tests."""
    for name in known_red():
        terminalreporter.write_line(f"KNOWN RED, not run: {name}")
