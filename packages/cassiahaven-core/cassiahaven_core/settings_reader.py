"""Reader of an entry's settings file, with schema and cross-reference checks."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

from cassiahaven_core.document import Document
from cassiahaven_core.schema import load_schema
from cassiahaven_core.settings import (
    DEFAULT_IDEMPOTENT_METHODS,
    PUBLIC_PARTNER,
    EntrySettings,
    KeySettings,
    PartnerSettings,
    PlatformSettings,
    ServiceSettings,
    Settings,
    ZoneSettings,
)


def read_settings(path: Path) -> Settings:
    """Read and check the settings file at ``path``.

    Raises:
        InvalidDocument: The file is invalid; all errors are reported together.
    """
    document = Document.read(path)
    document.check_schema(load_schema("settings"))
    document.raise_findings()
    _check_references(document)
    document.raise_findings()
    return _build(document.value)


def _check_references(document: Document) -> None:
    value = document.value
    zones = [zone["name"] for zone in value["availability_zones"]]
    if value["entry"]["availability_zone"] not in zones:
        document.add_finding(("entry", "availability_zone"), "is not among availability_zones")
    _check_unique(document, "availability_zones", "name", zones)
    services = [service["name"] for service in value["services"]]
    _check_unique(document, "services", "name", services)
    _check_unique(document, "partners", "name", [item["name"] for item in value["partners"]])
    digests = [item["token_sha256"] for item in value["partners"]]
    _check_unique(document, "partners", "token_sha256", digests)
    for index, item in enumerate(value["partners"]):
        if item["name"] == PUBLIC_PARTNER:
            document.add_finding(("partners", index, "name"), "is reserved")
    ports = ("caller_port", "operator_port", "peer_port")
    seen: set[int] = set()
    for name in ports:
        port = value["entry"][name]
        if port in seen:
            document.add_finding(("entry", name), f"port {port} is used twice")
        seen.add(port)


def _check_unique(document: Document, section: str, field: str, values: Iterable[str]) -> None:
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value in seen:
            document.add_finding((section, index, field), f"{value} is repeated")
        seen.add(value)


def _build(value: dict[str, Any]) -> Settings:
    services = [
        ServiceSettings(
            **{
                **item,
                "idempotent_methods": tuple(
                    item.get("idempotent_methods", DEFAULT_IDEMPOTENT_METHODS)
                ),
            }
        )
        for item in value["services"]
    ]
    return Settings(
        cluster=value["cluster"],
        entry=EntrySettings(**value["entry"]),
        platform=PlatformSettings(**value["platform"]),
        keys=KeySettings(**value["keys"]),
        zone_by_name={item["name"]: ZoneSettings(**item) for item in value["availability_zones"]},
        service_by_name={item.name: item for item in services},
        partner_by_digest={
            item["token_sha256"]: PartnerSettings(**item) for item in value["partners"]
        },
    )
