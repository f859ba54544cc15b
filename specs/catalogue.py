"""All specifications: small bounds for the tests, full bounds for ``make model``."""

from specs.at_most_once import AtMostOnce
from specs.explorer import Spec
from specs.probe_lease import ProbeLease
from specs.restored_store import RestoredStore
from specs.table_versions import TableVersions
from specs.usage_cap import UsageCap

SMALL_SPECS: list[Spec] = [
    AtMostOnce(keys=1, sends=3, total_sends=3),
    AtMostOnce(keys=1, sends=2, total_sends=2, crashes=0, has_epochs=True),
    TableVersions(edits=3),
    ProbeLease(),
    RestoredStore(),
    UsageCap(loads=2, cuts=0, pauses=0, restarts=1, returns=1, last_step=3),
]
FULL_SPECS: list[Spec] = [
    *SMALL_SPECS,
    UsageCap(loads=2, cuts=0, pauses=0, restarts=1),
    UsageCap(loads=2, cuts=1, pauses=0, restarts=0),
    UsageCap(loads=2, cuts=0, pauses=1, restarts=0),
    TableVersions(edits=4),
    RestoredStore(writes=2),
    AtMostOnce(keys=2, sends=3, total_sends=3),
    AtMostOnce(keys=1, sends=2, total_sends=2, crashes=1, has_epochs=True),
]
