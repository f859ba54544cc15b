"""Pytest deselects exactly the tests listed in KNOWN-RED.txt."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
TESTS = "def test_listed():\n    assert False\n\n\ndef test_other():\n    assert False\n"


@pytest.fixture
def run_pytest(tmp_path):
    shutil.copy(ROOT / "conftest.py", tmp_path)
    (tmp_path / "test_some.py").write_text(TESTS)
    (tmp_path / "KNOWN-RED.txt").write_text("test: test_some.py::test_listed\nissue: 1\n")

    def run(*options):
        command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *options]
        done = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=False)
        return done.stdout

    return run


def test_listed_test_is_deselected_and_printed(run_pytest):
    printed = run_pytest()
    assert "1 failed, 1 deselected" in printed
    assert "KNOWN RED, not run: test_some.py::test_listed" in printed


def test_listed_test_can_be_run(run_pytest):
    assert "2 failed" in run_pytest("--known-red")
