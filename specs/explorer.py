"""Breadth-first state exploration, and CTL model checking of the resulting Kripke structure."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from pyModelChecking import CTL, Kripke

State = TypeVar("State", bound=Hashable)
MAX_STATES = 1_500_000


class Spec(ABC, Generic[State]):
    """A system described by its initial state, its transitions and its invariants."""

    name: str
    bound: str

    @property
    def title(self) -> str:
        """Return the name with the bounds of the exploration."""
        return f"{self.name} ({self.bound})"

    def __str__(self) -> str:
        return self.title

    @abstractmethod
    def initial(self) -> State:
        """Return the initial state."""

    @abstractmethod
    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the label and the target of each transition out of ``state``."""

    @abstractmethod
    def properties(self) -> dict[str, Callable[[State], bool]]:
        """Return the predicates that must hold in every reachable state, by name."""

    def mutants(self) -> dict[str, Callable[[], AbstractContextManager[None]]]:
        """Return patches that put a fault into the core; each must violate a property."""
        return {}


@dataclass(slots=True)
class Exploration(Generic[State]):
    """Result of an exploration.

    Attributes:
        violated: Names of the properties that fail in a reachable state.
        trace: Labels of a shortest path to a violation; empty if there is none.
    """

    states: int = 0
    transitions: int = 0
    violated: set[str] = field(default_factory=set)
    trace: list[str] = field(default_factory=list)


def explore(spec: Spec[State], *, stop_at_violation: bool = False) -> Exploration[State]:
    """Enumerate all reachable states and check the properties with a CTL model checker.

    Args:
        spec: Specification to explore.
        stop_at_violation: Return at the first state that violates a property.

    Raises:
        RuntimeError: More than ``MAX_STATES`` states are reachable.
    """
    first = spec.initial()
    number_by_state: dict[State, int] = {first: 0}
    parents: dict[State, tuple[State, str]] = {}
    edges: list[tuple[int, int]] = []
    labels: dict[int, set[str]] = {}
    properties = spec.properties()
    found: Exploration[State] = Exploration()
    queue = deque([first])
    while queue:
        state = queue.popleft()
        number = number_by_state[state]
        labels[number] = {name for name, holds in properties.items() if holds(state)}
        broken = set(properties) - labels[number]
        if broken and not found.trace:
            found.trace = _trace(state, parents)
        if broken and stop_at_violation:
            found.violated = broken
            found.states = len(number_by_state)
            found.transitions = len(edges)
            return found
        successor_count = 0
        for label, successor in spec.successors(state):
            successor_count += 1
            if successor not in number_by_state:
                if len(number_by_state) >= MAX_STATES:
                    raise RuntimeError(f"{spec.name}: more than {MAX_STATES} reachable states")
                number_by_state[successor] = len(number_by_state)
                parents[successor] = (state, label)
                queue.append(successor)
            edges.append((number, number_by_state[successor]))
        if not successor_count:
            # A Kripke structure needs a successor for every state.
            edges.append((number, number))
    found.states = len(number_by_state)
    found.transitions = len(edges)
    found.violated = _check(range(found.states), edges, labels, set(properties))
    return found


def _check(
    states: range, edges: list[tuple[int, int]], labels: dict[int, set[str]], names: set[str]
) -> set[str]:
    structure = Kripke(S=states, S0={0}, R=edges, L=labels)
    violated = set()
    for name in names:
        formula = CTL.A(CTL.G(CTL.AtomicProposition(name)))
        if 0 not in CTL.modelcheck(structure, formula):
            violated.add(name)
    return violated


def _trace(state: State, parents: dict[State, tuple[State, str]]) -> list[str]:
    labels = []
    while state in parents:
        state, label = parents[state]
        labels.append(label)
    return labels[::-1]
