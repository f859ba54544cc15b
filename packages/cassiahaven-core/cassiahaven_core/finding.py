"""Validation errors with their position in the input."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One error in an input document."""

    file: str
    line: int
    path: str
    message: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}"
        if not self.path:
            return f"{location}: {self.message}"
        return f"{location}: {self.path}: {self.message}"


class InvalidDocument(Exception):
    """Validation failed; carries every finding.

    Args:
        findings: At least one finding, in the order of the document.
    """

    __slots__ = ("findings",)

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
