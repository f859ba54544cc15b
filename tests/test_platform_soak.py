"""Short seeded runs of the fault soak; ``make soak SEED=...`` runs longer ones."""

import pytest

from cassiahaven_standins.platform_fleet import platform_fleet
from cassiahaven_standins.platform_soak import ENTRIES, SOAK_BOUNDS, Soak, SoakKind

# Seeds that have failed are kept as regression tests, each with the cause of its failure.
SEEDS = [
    (1, 8.0),  # watches hung on dead connections after the store was back, so a drain was missed
    (13, 8.0),  # same cause as seed 1
    (310, 12.0),  # an entry that had lost the store kept an endpoint whose registration was gone
    (2002, 10.0),  # answers that were cut within their head were passed on as empty ones
    (901, 10.0),  # endpoints got their usual calls although they had named a rate limit
    (4001, 10.0),  # endpoints that had said in answers that they leave got calls
]


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_invariants_hold_under_random_faults(tmp_path, seed, seconds):
    with platform_fleet(tmp_path, entries=ENTRIES, has_proxies=True) as fleet:
        findings = Soak(fleet, seed).run(seconds)
    assert findings.violations == []
    assert sum(item.status == 200 for item in findings.sent) > 100


def test_invariants_hold_with_accounts_cold_and_evacuated_zones_and_a_restored_store(tmp_path):
    # Guards against faults that show only when these are combined.
    kinds = frozenset(SoakKind)
    with platform_fleet(tmp_path, entries=ENTRIES, has_proxies=True, bounds=SOAK_BOUNDS) as fleet:
        findings = Soak(fleet, 4001, kinds=kinds).run(8.0)
    assert findings.violations == []
    statuses = [item.status for item in findings.sent]
    assert min(statuses.count(status) for status in (200, 401, 429)) > 50
