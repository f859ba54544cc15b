"""Tests of the validation of settings and declared tables."""

import pytest
import yaml

from cassiahaven_core.declaration import KnownNames, read_declarations
from cassiahaven_core.finding import InvalidDocument
from cassiahaven_core.settings_reader import read_settings

VALID = {
    "cluster": "koledar",
    "entry": {
        "name": "entry-1",
        "availability_zone": "zone-a",
        "host": "127.0.0.1",
        "caller_port": 1001,
        "operator_port": 1002,
        "peer_port": 1003,
    },
    "platform": {"store": "http://127.0.0.1:1", "vm_list": "http://127.0.0.1:2"},
    "keys": {"peer": "x" * 16, "operator": "y" * 16},
    "availability_zones": [{"name": "zone-a", "distance_ms": 1.5}],
    "services": [{"name": "lookup"}],
    "partners": [{"name": "parish", "token_sha256": "0" * 64}],
}
KNOWN = KnownNames(frozenset({"lookup"}), frozenset({"zone-a"}), frozenset({"parish"}))


def findings_of(path) -> list[str]:
    with pytest.raises(InvalidDocument) as caught:
        read_settings(path)
    return [str(finding) for finding in caught.value.findings]


def test_valid_settings_are_read(tmp_path):
    path = tmp_path / "entry.yaml"
    path.write_text(yaml.safe_dump(VALID))
    settings = read_settings(path)
    assert settings.service_by_name["lookup"].idempotent_methods == ("GET", "HEAD")
    assert settings.partner_names == {"parish", "public"}


def test_all_findings_are_reported_together_with_their_lines(tmp_path):
    path = tmp_path / "entry.yaml"
    path.write_text(
        yaml.safe_dump({**VALID, "colour": "red", "entry": {**VALID["entry"], "caller_port": -1}})
    )
    lines = path.read_text().splitlines()
    port_line = 1 + next(n for n, line in enumerate(lines) if "caller_port" in line)
    found = findings_of(path)
    assert len(found) == 2
    assert any(f"{path}:{port_line}: entry.caller_port" in text for text in found)
    assert any("colour" in text for text in found)


def test_cross_references_are_checked(tmp_path):
    path = tmp_path / "entry.yaml"
    broken = {
        **VALID,
        "entry": {**VALID["entry"], "availability_zone": "nowhere", "peer_port": 1001},
        "services": [{"name": "lookup"}, {"name": "lookup"}],
        "partners": [{"name": "public", "token_sha256": "0" * 64}],
    }
    path.write_text(yaml.safe_dump(broken))
    assert len(findings_of(path)) == 4


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("a: [", "not YAML"),
        ("cluster: a\ncluster: b", "repeated key"),
        ("", "not of type 'object'"),
        ("- 1", "not of type 'object'"),
    ],
)
def test_malformed_files_are_reported_as_findings(tmp_path, text, message):
    path = tmp_path / "entry.yaml"
    path.write_text(text)
    assert message in findings_of(path)[0]


def test_missing_file_is_reported_as_a_finding(tmp_path):
    assert "cannot be read" in findings_of(tmp_path / "none.yaml")[0]


def test_declarations_of_all_files_are_checked_together(tmp_path):
    (tmp_path / "a.yaml").write_text('service: lookup\ncells:\n  "*/nobody": {weight: 1}\n')
    (tmp_path / "b.yaml").write_text('service: other\ncells:\n  "zone-a/parish": {weight: 1}\n')
    (tmp_path / "c.yaml").write_text('service: lookup\ncells:\n  "*/*": {weight: -1}\n')
    with pytest.raises(InvalidDocument) as caught:
        read_declarations(tmp_path, KNOWN)
    found = [str(finding) for finding in caught.value.findings]
    assert len(found) == 3
    assert f"{tmp_path / 'a.yaml'}:3: cells.*/nobody: unknown partner nobody" in found


def test_declared_service_must_be_unique(tmp_path):
    for name in ("a", "b"):
        (tmp_path / f"{name}.yaml").write_text('service: lookup\ncells:\n  "*/*": {weight: 1}\n')
    with pytest.raises(InvalidDocument, match="is declared in"):
        read_declarations(tmp_path, KNOWN)
