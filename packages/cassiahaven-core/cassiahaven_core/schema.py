"""JSON schemas of the project's input documents."""

from functools import cache
from importlib.resources import files
from typing import Any

import yaml


@cache
def load_schema(name: str) -> dict[str, Any]:
    """Return the schema in the package's file ``{name}_schema.yaml``."""
    source = files("cassiahaven_core").joinpath(f"{name}_schema.yaml")
    return yaml.safe_load(source.read_text(encoding="utf-8"))
