"""The checks of client accounts, on records with known faults."""

import pytest

from cassiahaven_standins.account_check import (
    KeyRun,
    header_violations,
    late_runs,
    quota_violations,
)


@pytest.mark.parametrize(
    ("headers", "found"),
    [
        ([("Tenant-Id", "ada")], 0),
        ([], 1),  # no account
        ([("Tenant-Id", "bo")], 1),
        ([("Tenant-Id", "ada"), ("tenant_id", "bo")], 1),  # forged beside the right one
        ([("Tenant-Id", "ada"), ("Authorization", "Bearer other")], 1),
        ([("Tenant-Id", "ada"), ("X-Copy", "key-of-ada-0")], 1),  # the key in another header
    ],
)
def test_keys_and_wrong_accounts_at_endpoints_are_found(headers, found):
    # Guards against a soak that passes although an endpoint saw a key or another account.
    check = {"key_prefix": "key-of-"}
    assert len(header_violations([("r", headers)], {"r": "ada"}, **check)) == found
    assert len(header_violations([("r", [("Tenant-Id", "bo")])], {"r": ""}, **check)) == 1
    assert header_violations([("r", [])], {"r": ""}, **check) == []


@pytest.mark.parametrize(
    ("at_s", "key", "settled_s", "found"),
    [
        (12.4, "old", 0.0, 0),
        (12.6, "old", 0.0, 1),
        (12.6, "old", 11.0, 0),  # the entry was disturbed
        (13.6, "old", 11.0, 1),
        (99.0, "new", 0.0, 0),
        (1.0, "never", 99.0, 1),
    ],
)
def test_runs_with_revoked_and_unknown_keys_are_found(at_s, key, settled_s, found):
    # Guards against a soak that passes although a revoked key still works.
    late = late_runs(
        [KeyRun(at_s, "r", "a", key)],
        {"old": 10.0},
        is_known={"old", "new"}.__contains__,
        settled_s=lambda entry, at_s: settled_s,
    )
    assert len(late) == found


def test_windows_above_the_quota_are_found():
    # Guards against a soak that passes although an account exceeds its quota: 75 in 5 s here.
    quota = {"rate_per_s": 8.0, "burst": 10.0}
    runs_s = [n * 0.01 for n in range(75)]
    assert quota_violations(runs_s, **quota) == []
    assert quota_violations([*runs_s, 6.0], **quota) == []
    assert len(quota_violations([*runs_s, 4.9], **quota)) == 1
