"""Protocol between entries and upstreams that is based on HTTP headers."""

from http import HTTPStatus

from cassiahaven_core.edge import CallRequest, ResponseSignals, UpstreamDialect
from cassiahaven_core.endpoint import LoadReport, ProbeFailed
from cassiahaven_core.rate_limit import parse_rate, read_rate_limit
from cassiahaven_entry import call_header

LOAD_HEADER = "upstream-load"
DRAINING_HEADER = "upstream-draining"
NOT_RUN_HEADER = "upstream-not-run"
RATE_LIMIT_HEADER = "upstream-rate-limit"  # calls a second from all entries together


class HeaderDialect(UpstreamDialect):
    """Read load, drain and refusals from answer headers, which saves separate probes."""

    def request_headers(
        self, request: CallRequest, call_id: str, partner: str, endpoint: str, left_ms: float
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers with the call's id, partner and remaining time."""
        return (
            (call_header.CALL_ID, call_id),
            (call_header.CALL_PARTNER, partner),
            (call_header.REQUEST_TIMEOUT_MS, str(int(left_ms))),
        )

    def read_head(
        self, status: int, headers: dict[str, str], request_id: str | None
    ) -> ResponseSignals:
        """Return the signals in the headers; a malformed load is ignored."""
        limit = headers.get(RATE_LIMIT_HEADER)
        return ResponseSignals(
            load=_load(headers),
            draining=DRAINING_HEADER in headers,
            not_run=NOT_RUN_HEADER in headers,
            rate_limit_per_s=read_rate_limit(status, limit),
            unreadable_rate_limit=(
                limit if limit is not None and parse_rate(limit) is None else None
            ),
        )

    def read_health(
        self, status: int, headers: dict[str, str], endpoint: str
    ) -> LoadReport | ProbeFailed:
        """Return the load; an endpoint that reports none counts as idle."""
        if status != HTTPStatus.OK:
            return ProbeFailed(f"status {status}")
        return _load(headers) or LoadReport(0)


def _load(headers: dict[str, str]) -> LoadReport | None:
    load = headers.get(LOAD_HEADER, "")
    return LoadReport(int(load)) if load.isdigit() else None
