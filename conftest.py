"""Pytest hooks that deselect the tests listed in KNOWN-RED.txt and print them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
TEST_FIELD = "test:"


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
