"""The specifications hold for the core's code, and each mutant of it violates them."""

import pytest

from specs.catalogue import SMALL_SPECS
from specs.explorer import explore

MUTANTS = [(spec, name) for spec in SMALL_SPECS for name in spec.mutants()]


@pytest.mark.parametrize("spec", SMALL_SPECS, ids=lambda spec: spec.title)
def test_specification_holds(spec):
    found = explore(spec)
    assert (found.violated, found.trace) == (set(), [])


@pytest.mark.parametrize(("spec", "name"), MUTANTS, ids=lambda value: str(value))
def test_mutant_is_caught(spec, name):
    with spec.mutants()[name]():
        assert explore(spec, stop_at_violation=True).violated
