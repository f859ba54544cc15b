"""YAML documents with the line number of each value, for error messages."""

from pathlib import Path
from typing import Any, TypeAlias

import yaml
from jsonschema import Draft202012Validator
from yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from cassiahaven_core.finding import Finding, InvalidDocument

ValuePath: TypeAlias = tuple[str | int, ...]


class Document:
    """A YAML document with the line number of each value.

    Args:
        file: Name used in findings.
        text: YAML source.

    Raises:
        InvalidDocument: The text is not YAML, or a mapping repeats a key.
    """

    __slots__ = ("file", "value", "findings", "_line_by_path")

    def __init__(self, file: str, text: str) -> None:
        self.file = file
        self.findings: list[Finding] = []
        self._line_by_path: dict[ValuePath, int] = {(): 1}
        self.value = self._parse(text)

    @classmethod
    def read(cls, path: Path) -> "Document":
        """Read the document at ``path``.

        Raises:
            InvalidDocument: The file cannot be read or is not YAML.
        """
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise InvalidDocument([Finding(str(path), 1, "", f"cannot be read: {error}")]) from None
        return cls(str(path), text)

    def add_finding(self, path: ValuePath, message: str) -> None:
        """Record an error in the value at ``path``."""
        dotted = ".".join(str(part) for part in path)
        self.findings.append(Finding(self.file, self.line(path), dotted, message))

    def line(self, path: ValuePath) -> int:
        """Return the line of the value at ``path``, or of its nearest parent."""
        while path not in self._line_by_path:
            path = path[:-1]
        return self._line_by_path[path]

    def check_schema(self, schema: dict[str, Any]) -> None:
        """Record every violation of ``schema``."""
        for error in Draft202012Validator(schema).iter_errors(self.value):
            self.add_finding(tuple(error.absolute_path), error.message)

    def raise_findings(self) -> None:
        """Raise all recorded findings together, if any.

        Raises:
            InvalidDocument: At least one finding was recorded.
        """
        if self.findings:
            raise InvalidDocument(sorted(self.findings))

    def _parse(self, text: str) -> Any:
        try:
            node = yaml.compose(text, Loader=yaml.SafeLoader)
            if node is not None:
                self._index(node, ())
                self.raise_findings()
            return yaml.safe_load(text)
        except yaml.YAMLError as error:
            mark = getattr(error, "problem_mark", None)
            line = mark.line + 1 if mark else 1
            problem = getattr(error, "problem", None) or str(error)
            raise InvalidDocument([Finding(self.file, line, "", f"not YAML: {problem}")]) from None

    def _index(self, node: Node, path: ValuePath) -> None:
        self._line_by_path[path] = node.start_mark.line + 1
        if isinstance(node, SequenceNode):
            for position, child in enumerate(node.value):
                self._index(child, (*path, position))
        elif isinstance(node, MappingNode):
            self._index_mapping(node, path)

    def _index_mapping(self, node: MappingNode, path: ValuePath) -> None:
        for key, child in node.value:
            if not isinstance(key, ScalarNode):
                continue
            child_path = (*path, key.value)
            if child_path in self._line_by_path:
                line = key.start_mark.line + 1
                self.findings.append(Finding(self.file, line, key.value, "repeated key"))
            self._index(child, child_path)
