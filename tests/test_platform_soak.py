"""A short seeded run of the fault soak; longer ones are ``make soak SEED=...``."""

import pytest

from cassiahaven_standins.platform_fleet import platform_fleet
from cassiahaven_standins.platform_soak import ENTRIES, Soak

# Seeds that ever failed stay here, each with a line on its cause.
SEEDS = [
    (1, 8.0),  # watches waited on dead connections after the store was back, so a drain was missed
    (13, 8.0),  # the same
    (310, 12.0),  # an entry that once lost the store kept an endpoint whose registration was gone
]


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_promises_hold_under_random_faults(tmp_path, seed, seconds):
    with platform_fleet(tmp_path, entries=ENTRIES, has_proxies=True) as fleet:
        findings = Soak(fleet, seed).run(seconds)
    assert findings.broken == []
    assert sum(item.status == 200 for item in findings.sent) > 100
