"""Check all specifications; exit with 1 if a property fails or a mutant survives."""

import sys

from specs.catalogue import FULL_SPECS, SMALL_SPECS
from specs.explorer import Spec, explore


def report(spec: Spec, *, with_mutants: bool) -> bool:
    """Print the result of ``spec``; return whether it holds and every mutant is caught."""
    found = explore(spec)
    mutants = spec.mutants() if with_mutants else {}
    survivors = []
    for name, mutate in mutants.items():
        with mutate():
            if not explore(spec, stop_at_violation=True).violated:
                survivors.append(name)
    caught = len(mutants) - len(survivors)
    verdict = "holds" if not found.violated else f"VIOLATED {sorted(found.violated)}"
    print(
        f"{spec.title}: {found.states} states, {found.transitions} transitions, "
        f"{len(spec.properties())} properties {verdict}, {caught}/{len(mutants)} mutants caught",
        flush=True,
    )
    for name in survivors:
        print(f"  SURVIVED: {name}")
    if found.trace:
        print(f"  trace: {' > '.join(found.trace)}")
    return not found.violated and not survivors


def main() -> None:
    """Check every specification; only the small ones also run their mutants."""
    results = [report(spec, with_mutants=spec in SMALL_SPECS) for spec in FULL_SPECS]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
