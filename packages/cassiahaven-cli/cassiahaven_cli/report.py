"""Text output for operators."""

from typing import Any


def columns(header: list[str], rows: list[list[Any]]) -> str:
    """Format ``rows`` as aligned columns below ``header``."""
    texts = [header, *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[index]) for row in texts) for index in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in texts
    ]
    return "\n".join(lines)


def value_text(value: Any) -> str:
    """Format the value of a row on one line."""
    if value is None:
        return "(removed)"
    if isinstance(value, bool):
        return "drained" if value else "serving"
    return " ".join(f"{name}={item}" for name, item in value.items())


def table_report(plain: dict[str, Any]) -> str:
    """Format a service's rows and at how many entries each is in force."""
    rows = _rollout_rows(plain["rows"])
    title = f"{plain['service']} at revision {plain['revision']}"
    return f"{title}\n{columns(['row', 'set to', 'version', 'in force', 'missing at'], rows)}"


def configuration_report(rows: dict[str, Any]) -> str:
    """Format rows of the configuration and at how many entries each is in force."""
    if not rows:
        return "the configuration has no such rows"
    header = ["row", "set to", "version", "in force", "missing at"]
    return columns(header, _rollout_rows(rows))


def effective_report(zone: str, partner: str, plain: dict[str, Any]) -> str:
    """Format the fields in force for a zone and partner, each with its source row."""
    rows = [[name, item["value"], item["row"]] for name, item in plain.items()]
    return f"{zone}/{partner}\n{columns(['field', 'in force', 'from row'], rows)}"


def status_report(plain: dict[str, Any]) -> str:
    """Format the status of all entries and endpoints."""
    store = "available" if plain["store_available"] else "unavailable"
    entries = [
        [
            item["name"],
            item["availability_zone"],
            f"{item['host']}:{item['caller_port']}",
            "draining" if item["draining"] else "serving",
        ]
        for item in plain["entries"]
    ]
    entries += [[name, "-", "-", "unreachable"] for name in plain["unreachable"]]
    parts = [
        f"as seen by {plain['entry']}; object store {store}",
        columns(["entry", "availability zone", "address", "status"], entries),
    ]
    if "configuration" in plain:
        parts.append(_configuration_report(plain["configuration"]))
    if plain.get("evacuated"):
        parts.append(f"evacuated availability zones: {', '.join(plain['evacuated'])}")
    if plain.get("usage_caps"):
        parts.append(_usage_caps_report(plain["usage_caps"]))
    for service, item in plain["services"].items():
        parts.append(_service_report(service, item))
    return "\n\n".join(parts)


def explanation_report(plain: dict[str, Any]) -> str:
    """Format the outcome and the steps of a call."""
    head = (
        f"{plain['call_id']}: {plain['method']} {plain['path']} of {plain['service']} "
        f"for {plain['partner']}: {plain['outcome']}"
    )
    steps = [[f"{step['at_ms']:.1f}", step["what"], step["detail"]] for step in plain["steps"]]
    return f"{head}\n{columns(['ms', 'what', 'detail'], steps)}"


def where_report(plain: dict[str, Any]) -> str:
    """Format where a call would go, and why."""
    serving = ", ".join(item["name"] for item in plain["serving"]) or "none"
    lines = [
        f"{plain['method']} {plain['host']}{plain['path']}, asked of {plain['entry']}",
        f"route: {_route_text(plain['route'])}, configuration {plain['version']}",
        f"account: {_account_text(plain['account'])}",
        *_quota_lines(plain["quota"]),
        f"entries for callers in {plain['zone']}: {serving}",
        f"call: {_verdict_text(plain)}",
        f"age of the view of the store: {_ms(plain['ages_ms']['store'])}",
        f"age of the last message: {_ages_text(plain['ages_ms'])}",
    ]
    if not plain["endpoints"]:
        return "\n".join(lines)
    header = ["", "endpoint", "zone", "why", "in flight", "cost", "slowness", "report", "status"]
    rows = [
        [
            item["position"] or "-",
            item["endpoint"],
            item["availability_zone"],
            item["reason"],
            f"{item['in_flight']}/{item['limit']}",
            f"{item['cost']:.2f}",
            f"{item['slowness']:.2f}",
            _ms(item["report_age_ms"]),
            _ms(item["status_age_ms"]),
        ]
        for item in plain["endpoints"]
    ]
    return "\n".join(lines) + f"\n\n{columns(header, rows)}"


def _route_text(plain: dict[str, Any] | None) -> str:
    if plain is None:
        return "none"
    kind = "may be repeated" if plain["is_idempotent"] else "is sent once"
    return f"{plain['name']}, service {plain['service']}, priority {plain['priority']}, {kind}"


def _account_text(plain: dict[str, Any] | None) -> str:
    if plain is None:
        return "none"
    quota = f"{plain['rate_per_s']:g} a second" if plain["rate_per_s"] else "no quota"
    own = plain["priority"]
    priority = "of the route" if own is None else f"{own}"
    return f"{plain['name']}, priority {priority}, {quota}, burst {plain['burst']:g}"


def _quota_lines(plain: dict[str, Any] | None) -> list[str]:
    if plain is None:
        return []
    shares = ", ".join(f"{name} {share:.2f}" for name, share in plain["share_by_entry"].items())
    ages = ", ".join(f"{name} {_ms(age)}" for name, age in plain["claim_age_ms_by_entry"].items())
    return [
        f"quota: {plain['used']} of {plain['quota']:g} calls used, {plain['own_used']} here, "
        f"share of this entry {plain['share']:.2f} ({plain['decision']})",
        f"claimed shares: {shares or 'none'}; age of claims: {ages or 'none'}; "
        f"age of contact: {_ms(plain['contact_age_ms'])}",
    ]


def _ages_text(ages_ms: dict[str, float | None]) -> str:
    watchers = [f"{name} {_ms(age)}" for name, age in ages_ms.items() if name != "store"]
    return ", ".join(watchers) or "none, this entry is a watcher or hears none"


def _verdict_text(plain: dict[str, Any]) -> str:
    match plain["verdict"]:
        case "sent":
            left = f", leaves the zone: {plain['left_zone']}" if plain["left_zone"] else ""
            return f"sent to {plain['endpoint']} at once{left}"
        case "waits":
            return f"waits about {_ms(plain['wait_ms'])} behind {plain['waiting']} calls"
    retry_after_ms = plain["retry_after_ms"]
    until = "" if retry_after_ms is None else f", callers return after {_ms(retry_after_ms)}"
    return f"refused: {plain['reason']}{until}"


def _ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.0f} ms"


def _rollout_rows(rows: dict[str, Any]) -> list[list[Any]]:
    return [
        [
            name,
            value_text(row["value"]),
            row["version"],
            f"{row['in_force']}/{row['entries']}",
            ",".join(row["missing"]) or "-",
        ]
        for name, row in rows.items()
    ]


def _configuration_report(plain: dict[str, Any]) -> str:
    rejected = [[item["table"], item["row"], item["finding"]] for item in plain["rejected"]]
    head = f"configuration {plain['version']}: {len(rejected)} rows rejected"
    return f"{head}\n{columns(['table', 'row', 'why'], rejected)}" if rejected else head


def _reason_text(endpoint: dict[str, Any]) -> str:
    cold_ms = endpoint.get("cold_ms", 0)
    reason = endpoint["reason"]
    return f"{reason}; cold for {cold_ms / 1000:.1f} s more" if cold_ms else reason


def _usage_caps_report(plain: dict[str, Any]) -> str:
    rows = [
        [
            name,
            item["rate_per_s"],
            item["burst"],
            f"{item['used']}/{item['quota']:g}",
            " ".join(f"{entry}={share}" for entry, share in item["share_by_entry"].items()),
        ]
        for name, item in plain.items()
    ]
    return columns(["account", "calls a second", "burst", "used of quota", "shares"], rows)


def _service_report(service: str, item: dict[str, Any]) -> str:
    revisions = " ".join(
        f"{entry}={revision}" for entry, revision in sorted(item["revision_by_entry"].items())
    )
    rows = [
        [
            name,
            endpoint["status"],
            _reason_text(endpoint),
            f"{endpoint['in_flight']}/{endpoint['slots']}",
            endpoint["slowness"],
            endpoint["failures"],
        ]
        for name, endpoint in item["endpoints"].items()
    ]
    head = (
        f"{service}: active {','.join(item['active'])}; standby {','.join(item['standby'])}; "
        f"revision in force {revisions}"
    )
    lost = ", ".join(item.get("lost_rows", []))
    if lost:
        head += f"\nrows lost in a restore of the store, to be written again: {lost}"
    header = ["endpoint", "status", "why", "in flight", "slowness", "failures"]
    return f"{head}\n{columns(header, rows)}"
