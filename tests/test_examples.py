"""The example deployments are valid and complete."""

from collections import Counter
from pathlib import Path

import pytest
import yaml

from cassiahaven_core.declaration import KnownNames, read_declarations
from cassiahaven_core.settings_reader import read_settings
from cassiahaven_entry.http_vm_list import vm_from_plain

EXAMPLES = Path(__file__).parents[1] / "examples"
ENDPOINTS = {
    "koledar": {"feast-lookup": 13, "observance-intake": 6, "print-orders": 11},
    "swan-coast": {"inventory": 14, "ordering": 6, "refill-scheduling": 15},
}


@pytest.mark.parametrize("deployment", ENDPOINTS)
def test_example_deployment(deployment):
    folder = EXAMPLES / deployment
    settings = read_settings(folder / "entry-1.yaml")
    known = KnownNames(
        frozenset(settings.service_by_name),
        frozenset(settings.zone_by_name),
        frozenset(settings.partner_names),
    )
    declared = read_declarations(folder / "table", known)
    assert {item.service for item in declared} == set(ENDPOINTS[deployment])
    vms = [vm_from_plain(item) for item in yaml.safe_load((folder / "vms.yaml").read_text())]
    assert Counter(vm.service for vm in vms if vm.service) == ENDPOINTS[deployment]
    assert {vm.availability_zone for vm in vms} == set(settings.zone_by_name)
