"""Fixtures that run deployments with every component in its own process."""

import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import pytest

from cassiahaven_standins.fleet import HOST, OPERATOR_KEY, Fleet, ServicePlan, running_fleet

LOOKUP = ServicePlan("lookup", endpoints=3)
ORDERS = ServicePlan("orders", endpoints=2, public=False)


@pytest.fixture
def start_fleet(tmp_path) -> Iterator[Callable[..., Fleet]]:
    with ExitStack() as stack:

        def start(services=(LOOKUP, ORDERS), **options) -> Fleet:
            return stack.enter_context(running_fleet(tmp_path, list(services), **options))

        yield start


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory) -> Iterator[Fleet]:
    """Deployment shared by the tests of a module, which must not change its state."""
    with running_fleet(tmp_path_factory.mktemp("fleet"), [LOOKUP, ORDERS]) as fleet:
        yield fleet


@pytest.fixture
def run_command() -> Callable[..., subprocess.CompletedProcess]:
    def run(fleet: Fleet, *arguments: str, key: str = OPERATOR_KEY) -> subprocess.CompletedProcess:
        addresses = [f"{HOST}:{item.operator_port}" for item in fleet.entry_by_name.values()]
        environ = {
            **os.environ,
            "CASSIAHAVEN_ENTRIES": ",".join(addresses),
            "CASSIAHAVEN_OPERATOR_KEY": key,
        }
        return subprocess.run(
            [sys.executable, "-m", "cassiahaven_cli.main", *arguments],
            env=environ,
            capture_output=True,
            text=True,
            check=False,
        )

    return run
