"""The operators' commands against a running deployment."""

import json
import os
import subprocess
import sys

import pytest

from cassiahaven_standins.fleet import wait_until

DECLARATIONS = """service: lookup
cells:
  "*/*": {weight: 1.0, queue_limit: 50}
  "zone-a/printer": {weight: 0.5, concurrency: 4}
"""


def in_force_everywhere(fleet, run_command):
    shown = run_command(fleet, "table", "get", "lookup", "--json")
    rows = json.loads(shown.stdout)["rows"].values()
    return all(row["in_force"] == row["entries"] == 3 for row in rows)


def test_declarations_are_applied_once(start_fleet, run_command, tmp_path):
    fleet = start_fleet()
    folder = tmp_path / "declared"
    folder.mkdir()
    (folder / "lookup.yaml").write_text(DECLARATIONS)
    run_command(fleet, "table", "set", "lookup", "*/parish", "--weight", "3")
    run_command(fleet, "drain", "lookup", "lookup-1")
    planned = run_command(fleet, "table", "plan", str(folder))
    assert len(planned.stdout.splitlines()) == 4
    assert run_command(fleet, "table", "apply", str(folder)).returncode == 0
    assert run_command(fleet, "table", "apply", str(folder)).stdout == "nothing to change\n"
    wait_until(
        lambda: in_force_everywhere(fleet, run_command),
        "the declarations are in force at every entry",
    )
    rows = json.loads(run_command(fleet, "table", "get", "lookup", "--json").stdout)["rows"]
    assert rows["*/parish"]["value"] is None
    assert rows["endpoint:lookup-1"]["value"] is True
    assert rows["zone-a/printer"]["value"] == {"weight": 0.5, "concurrency": 4}
    (folder / "bad.yaml").write_text('service: nowhere\ncells:\n  "*/nobody": {weight: -1}\n')
    refused = run_command(fleet, "table", "apply", str(folder))
    assert refused.returncode == 2
    assert f"{folder / 'bad.yaml'}:3" in refused.stderr


def test_fields_are_changed_one_by_one(start_fleet, run_command):
    fleet = start_fleet()
    run_command(fleet, "table", "set", "lookup", "*/printer", "--weight", "2")
    run_command(fleet, "table", "set", "lookup", "*/printer", "--queue_limit", "9")
    run_command(fleet, "table", "set", "lookup", "*/printer", "--weight", "none")
    rows = json.loads(run_command(fleet, "table", "get", "lookup", "--json").stdout)["rows"]
    assert rows["*/printer"]["value"] == {"queue_limit": 9}
    assert "version" in run_command(fleet, "table", "history", "lookup").stdout
    assert run_command(fleet, "table", "unset", "lookup", "*/printer").returncode == 0
    assert "not set" in run_command(fleet, "table", "unset", "lookup", "*/printer").stdout


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["table", "get", "nowhere"], 2),
        (["table", "set", "lookup", "*/printer"], 2),
        (["table", "set", "lookup", "*/printer", "--colour", "1"], 2),
        (["table", "set", "lookup", "*/printer", "--weight", "heavy"], 2),
        (["table", "set", "lookup", "printer", "--weight", "1"], 2),
        (["table", "plan", "/nonexistent"], 2),
        (["why", "nothing"], 6),
        (["addresses", "nowhere"], 2),
    ],
)
def test_bad_input_has_an_exit_code_and_no_traceback(shared_fleet, run_command, arguments, code):
    done = run_command(shared_fleet, *arguments)
    assert (done.returncode, done.stdout) == (code, "")
    assert done.stderr.startswith("cassiahaven: ")
    assert "Traceback" not in done.stderr


def test_wrong_operator_key_is_rejected(shared_fleet, run_command):
    done = run_command(shared_fleet, "status", key="wrong-key-wrong-key")
    assert (done.returncode, "operator key" in done.stderr) == (1, True)


def test_status_and_addresses_show_roles(shared_fleet, run_command):
    shown = json.loads(run_command(shared_fleet, "addresses", "lookup", "--json").stdout)
    assert sorted(item["role"] for item in shown) == ["active", "standby", "standby"]
    assert "active" in run_command(shared_fleet, "status").stdout


def run_without_variables(*arguments):
    environ = {name: value for name, value in os.environ.items() if "CASSIAHAVEN" not in name}
    command = [sys.executable, "-m", "cassiahaven_cli.main", *arguments]
    return subprocess.run(command, env=environ, capture_output=True, text=True, check=False)


@pytest.mark.parametrize("arguments", [[], ["table"], ["table", "get"]])
def test_help_needs_no_variables(arguments):
    # Help failed with "set CASSIAHAVEN_ENTRIES and ...", and whoever needs help has not set them.
    done = run_without_variables(*arguments, "--help")
    assert done.returncode == 0
    assert "cassiahaven" in done.stdout + done.stderr


def test_command_without_variables_names_them():
    done = run_without_variables("status")
    assert done.returncode == 2
    assert done.stderr == "cassiahaven: set CASSIAHAVEN_ENTRIES and CASSIAHAVEN_OPERATOR_KEY\n"
