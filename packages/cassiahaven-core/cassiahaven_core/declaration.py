"""Declared tables: one YAML file per service, kept in version control."""

from dataclasses import dataclass
from pathlib import Path

from cassiahaven_core.document import Document
from cassiahaven_core.finding import Finding, InvalidDocument
from cassiahaven_core.schema import load_schema
from cassiahaven_core.table import WILDCARD, CellKey, CellValue


@dataclass(frozen=True, slots=True)
class KnownNames:
    """The names that cells may refer to."""

    services: frozenset[str]
    availability_zones: frozenset[str]
    partners: frozenset[str]


@dataclass(frozen=True, slots=True)
class Declaration:
    """The declared cells of one service, by ``availability_zone/partner``."""

    service: str
    cell_by_row: dict[str, CellValue]


def read_declarations(folder: Path, known: KnownNames) -> list[Declaration]:
    """Read every ``*.yaml`` file in ``folder``.

    Raises:
        InvalidDocument: A file is invalid; the errors of all files are reported together.
    """
    findings: list[Finding] = []
    declarations: list[Declaration] = []
    paths = sorted(folder.glob("*.yaml"))
    if not paths:
        raise InvalidDocument([Finding(str(folder), 1, "", "contains no *.yaml file")])
    file_by_service: dict[str, str] = {}
    for path in paths:
        try:
            declaration = read_declaration(Document.read(path), known)
        except InvalidDocument as error:
            findings.extend(error.findings)
            continue
        other = file_by_service.setdefault(declaration.service, str(path))
        if other != str(path):
            findings.append(Finding(str(path), 1, "service", f"is declared in {other} as well"))
        declarations.append(declaration)
    if findings:
        raise InvalidDocument(findings)
    return declarations


def read_declaration(document: Document, known: KnownNames) -> Declaration:
    """Validate ``document`` and return its declaration.

    Raises:
        InvalidDocument: The document is invalid; all errors are reported together.
    """
    document.check_schema(load_schema("table"))
    document.raise_findings()
    if document.value["service"] not in known.services:
        document.add_finding(("service",), f"unknown service {document.value['service']}")
    for row in document.value["cells"]:
        check_cell_key(document, CellKey.parse(row), known)
    document.raise_findings()
    cells = {row: CellValue(**cell) for row, cell in document.value["cells"].items()}
    return Declaration(document.value["service"], cells)


def check_cell_key(document: Document, key: CellKey, known: KnownNames) -> None:
    """Record a finding for each unknown name in ``key``."""
    path = ("cells", str(key))
    if key.availability_zone not in known.availability_zones | {WILDCARD}:
        document.add_finding(path, f"unknown availability zone {key.availability_zone}")
    if key.partner not in known.partners | {WILDCARD}:
        document.add_finding(path, f"unknown partner {key.partner}")
