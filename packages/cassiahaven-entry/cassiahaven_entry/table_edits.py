"""Validation and application of operators' edits to a service's table."""

import json
from http import HTTPStatus
from typing import Any

from jsonschema import Draft202012Validator

from cassiahaven_core.declaration import KnownNames
from cassiahaven_core.schema import load_schema
from cassiahaven_core.table import DRAIN_ROW_PREFIX, WILDCARD, Accepted, CellKey, Conflict, Edit
from cassiahaven_core.table_codec import row_to_plain, value_from_plain
from cassiahaven_entry.operator_api_base import BadRequest, Reply, error_reply, json_reply
from cassiahaven_entry.tables import EditUndecided, Tables


def edit_table(tables: Tables, service: str, plain: Any, known: KnownNames) -> Reply:
    """Validate and apply the edit in ``plain`` and return the response.

    Raises:
        BadRequest: The edit is invalid; all faults of a cell are reported together.
    """
    match tables.edit(service, _read_edit(service, plain, known)):
        case Accepted(version=version):
            return json_reply({"accepted": True, "version": version})
        case Conflict(current=current, seen_version=seen):
            body = {"accepted": False, "seen_version": seen, "current": row_to_plain(current)}
            return Reply(HTTPStatus.CONFLICT, json.dumps(body).encode())
        case EditUndecided(detail=detail):
            return error_reply(
                HTTPStatus.SERVICE_UNAVAILABLE,
                f"the object store did not confirm the edit, repeat it to settle it: {detail}",
            )


def _read_edit(service: str, plain: Any, known: KnownNames) -> Edit:
    if not isinstance(plain, dict) or set(plain) != {"edit", "row", "seen_version", "value"}:
        raise BadRequest("an edit has the fields edit, row, seen_version and value")
    row = plain["row"]
    is_text = isinstance(row, str) and isinstance(plain["edit"], str)
    if not is_text or not isinstance(plain["seen_version"], int):
        raise BadRequest("edit and row are texts, seen_version is an integer")
    if row.startswith(DRAIN_ROW_PREFIX):
        if not isinstance(plain["value"], bool):
            raise BadRequest("the value of an endpoint row is true or false")
    else:
        _check_cell(service, row, plain["value"], known)
    return Edit(plain["edit"], row, plain["seen_version"], value_from_plain(plain["value"]))


def _check_cell(service: str, row: str, value: Any, known: KnownNames) -> None:
    try:
        key = CellKey.parse(row)
    except ValueError as error:
        raise BadRequest(str(error)) from None
    findings = []
    if key.availability_zone not in {WILDCARD, *known.availability_zones}:
        findings.append(f"unknown availability zone {key.availability_zone}")
    if key.partner not in {WILDCARD, *known.partners}:
        findings.append(f"unknown partner {key.partner}")
    if value is not None:
        document = {"service": service, "cells": {row: value}}
        for error in Draft202012Validator(load_schema("table")).iter_errors(document):
            path = ".".join(str(part) for part in list(error.absolute_path)[2:])
            findings.append(f"{path}: {error.message}" if path else error.message)
    if findings:
        raise BadRequest("; ".join(findings))
