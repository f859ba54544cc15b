"""Checks what endpoints saw of client accounts, and how many calls of an account ran."""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

REVOCATION_BOUND_S = 2.5
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20.0


@dataclass(frozen=True, slots=True)
class KeyRun:
    """A run of a call that was sent with a key."""

    at_s: float
    request: str
    entry: str
    key: str


def _canonical(name: str) -> str:
    return name.strip().lower().replace("_", "-")


def header_violations(
    received: Iterable[tuple[str, list[tuple[str, str]]]],
    account_by_request: Mapping[str, str],
    *,
    key_prefix: str,
) -> list[str]:
    """Return the requests with a key, or with another account than that of the caller's key.

    Args:
        received: Id and headers of each request that endpoints got.
        account_by_request: The caller's account by request, empty for an anonymous call.
        key_prefix: What all keys contain.
    """
    found = []
    for request, headers in received:
        if any(
            key_prefix in value or _canonical(name) == "authorization" for name, value in headers
        ):
            found.append(f"{request} reached an endpoint with a key: {headers}")
        expected = account_by_request.get(request)
        seen = [value for name, value in headers if _canonical(name) == "tenant-id"]
        if expected is not None and seen != ([expected] if expected else []):
            found.append(f"{request} of account {expected!r} reached an endpoint as {seen}")
    return found


def late_runs(
    runs: Iterable[KeyRun],
    revoked_s_by_key: Mapping[str, float],
    *,
    is_known: Callable[[str], bool],
    settled_s: Callable[[str, float], float],
) -> list[str]:
    """Return the runs with a key that was revoked some time before, or that never existed.

    Args:
        runs: The first run of each call with a key.
        revoked_s_by_key: When each revocation was acknowledged.
        is_known: Whether a key belongs or belonged to an account.
        settled_s: Returns, for an entry and a time, since when no fault disturbs the entry.
    """
    found = []
    for item in runs:
        if not is_known(item.key):
            found.append(f"{item.request} ran with an unknown key, sent by {item.entry}")
        revoked_s = revoked_s_by_key.get(item.key, float("inf"))
        if item.at_s > max(revoked_s, settled_s(item.entry, item.at_s)) + REVOCATION_BOUND_S:
            late_s = item.at_s - revoked_s
            found.append(
                f"{item.request} ran {late_s:.1f} s after its key was revoked, sent by {item.entry}"
            )
    return found


def quota_violations(runs_s: Iterable[float], *, rate_per_s: float, burst: float) -> list[str]:
    """Return the windows in which more calls of an account ran than its quota allows."""
    allowed = (rate_per_s * QUOTA_WINDOW_S + burst) * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
    ordered = sorted(runs_s)
    found = []
    for position, at_s in enumerate(ordered):
        count = position + 1 - bisect_left(ordered, at_s - QUOTA_WINDOW_S)
        if count > allowed:
            found.append(f"{count} calls ran in {QUOTA_WINDOW_S:.0f} s; allowed {allowed:.0f}")
    return found
