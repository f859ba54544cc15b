"""The checks of cold endpoints and evacuated zones, on records with known faults."""

import pytest

from cassiahaven_standins.cold_check import cold_violations
from cassiahaven_standins.evacuation_check import EvacuatedPeriod, late_arrivals
from cassiahaven_standins.platform_store import StoreState
from cassiahaven_standins.store_restores import StoreRestores


@pytest.mark.parametrize(
    ("arrivals_s", "found"),
    [
        ([10.0 + n * 0.09 for n in range(11)], 0),
        ([10.0 + n * 0.09 for n in range(12)], 1),
        ([9.8 + n * 0.09 for n in range(12)], 0),  # some came before it was cold
        ([10.0 + n * 0.2 for n in range(12)], 0),
    ],
)
def test_too_many_calls_in_a_second_to_a_cold_endpoint_are_found(arrivals_s, found):
    # Guards against a soak that passes although a cold endpoint gets more than 11.75 calls.
    assert len(cold_violations((10.0, 13.0), arrivals_s, cold_per_s=2.5)) == found


@pytest.mark.parametrize(
    ("at_s", "outages_s", "restores_s", "found"),
    [
        (14.9, [], [], 0),
        (15.1, [], [], 1),
        (31.0, [], [], 0),  # after its end
        (15.1, [(9.0, 11.0)], [], 0),  # the store could not be read at first
        (16.1, [(9.0, 11.0)], [], 1),
        (17.5, [(9.0, 11.0), (13.0, 14.0)], [], 0),  # nor later
        (15.1, [(12.6, 14.0)], [], 1),  # known before the outage
        (20.5, [], [(20.0, 21.0)], 0),  # the evacuation was forgotten
        (26.1, [], [(20.0, 21.0)], 1),
    ],
)
def test_calls_to_an_evacuated_zone_are_found(at_s, outages_s, restores_s, found):
    # Guards against a soak that passes although calls go to an evacuated zone.
    late = late_arrivals(
        EvacuatedPeriod("a", 10.0, 30.0),
        [(at_s, "r")],
        outages_s=outages_s,
        restores_s=restores_s,
    )
    assert len(late) == found


def test_operators_write_again_what_a_restore_lost_and_nothing_else():
    # Guards against a soak that undoes later writes, or keeps leases that the store has forgotten.
    state = StoreState()
    restores = StoreRestores(state, None, record_fault=lambda: None)
    state.put("servers", "removed", {})
    copy = state.copy()
    state.delete("servers", "removed")
    state.put("servers", "lost", {"n": 1})
    state.put("servers", "changed", {"n": 1})
    state.put("servers", "withdrawn", {})
    state.put("leases", "lease", {})
    lost = state.restore(copy)
    state.put("servers", "changed", {"n": 2})
    state.delete("servers", "withdrawn")  # the store has lost it, so this changes nothing
    restores._write_again(copy, lost)
    assert {key: item["spec"] for key, item in state.object_by_key.items()} == {
        ("servers", "lost"): {"n": 1},
        ("servers", "changed"): {"n": 2},
    }
    assert state.era == 1
