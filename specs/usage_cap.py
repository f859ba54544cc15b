"""Specification: entries that share a usage cap never admit more than it together.

Two entries use the real ``UsageCaps`` and exchange claims over a watcher. Calls that did not run
may be given back. Messages may be late;
they are lost while an entry is cut off. Entries may pause at any point, and be restarted. Time is
discrete, and all of it lies within one window. Assumed: the message by which an entry joins arrives
within ``JOIN_MS`` while both entries are in contact.
"""

import pickle
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from contextlib import AbstractContextManager
from dataclasses import dataclass, field, replace
from typing import Any
from unittest.mock import patch

from cassiahaven_core.account import ClientAccount
from cassiahaven_core.routed_settings import UsageCapBounds
from cassiahaven_core.usage_cap import (
    PRESSED_REPORT_MS,
    SLOT_MS,
    Admitted,
    CapState,
    Claims,
    UsageCaps,
    _confirmed,
)
from specs.explorer import Spec

STEP_MS = 1050.0  # longer than SILENT_MS; two steps are longer than CONTACT_MS
LATEST_STEP = 4  # the window is longer than this
QUOTA = 24.0
ACCOUNT = ClientAccount("account", (), None, 4.0, 4.0)
BOUNDS = UsageCapBounds(5000.0, 0.0, 0.0)
NAMES = ("a", "b")
BURST = 24
GIVEN_BACK = 6  # calls given back at once
_CONFIRMED = _confirmed


@dataclass(frozen=True, slots=True)
class World:
    """State of the whole system.

    Attributes:
        frozen: Comparable state of both entries, the watcher and the messages on their way.
        pickled: The same as objects.
        admitted: Calls that each entry admitted by its share.
        cut: Index of the entry that is cut off.
        paused: Index of the entry that is paused.
        lost: Whether messages of or to each entry were lost.
        left: Loads, cuts, pauses, restarts and returns that may still happen.
    """

    step: int
    frozen: Hashable
    pickled: bytes = field(compare=False)
    admitted: tuple[int, int]
    cut: int | None = None
    paused: int | None = None
    lost: tuple[bool, bool] = (False, False)
    left: tuple[int, int, int, int, int] = (0, 0, 0, 0, 0)

    @property
    def now_ms(self) -> float:
        """Return the current time."""
        return self.step * STEP_MS


class UsageCap(Spec[World]):
    """Explore late and lost messages, cuts, pauses and restarts.

    Args:
        loads: Number of loads; each asks an entry for several calls at once.
        cuts: Number of cuts.
        pauses: Number of pauses.
        restarts: Number of restarts.
        returns: Number of times that an entry gives back several of its latest calls.
        last_step: Step after which no time passes.
    """

    name = "usage-cap"

    def __init__(
        self,
        *,
        loads: int,
        cuts: int,
        pauses: int,
        restarts: int,
        returns: int = 0,
        last_step: int = LATEST_STEP,
    ) -> None:
        self._last_step = last_step
        self._left = (loads, cuts, pauses, restarts, returns)
        self.bound = (
            f"2 entries, {loads} loads, {cuts} cuts, {pauses} pauses, {restarts} restarts, "
            f"{returns} returns, {last_step} steps"
        )

    def initial(self) -> World:
        """Return the state in which both entries have joined, at the same rate."""
        caps = [_started(name, 0) for name in NAMES]
        watcher = _started("w", 0)
        pending: list[Claims | None] = [None, None]
        for round_ms in (0.0, STEP_MS - PRESSED_REPORT_MS):
            for index, item in enumerate(caps):
                item.admit(ACCOUNT.name, round_ms)
                _report(caps, watcher, pending, index, round_ms, is_lost=False, is_new=True)
            for index, item in enumerate(caps):
                _deliver(item, pending, index, round_ms)
        world = World(1, None, b"", (1, 1), left=self._left)
        _see_fleet(world, caps)
        return _put(world, caps, watcher, pending)

    def properties(self) -> dict[str, Callable[[World], bool]]:
        """Return the invariant that the calls and what may still be admitted fit into the cap."""
        return {"within_cap": _is_within_cap}

    def mutants(self) -> dict[str, Callable[[], AbstractContextManager[None]]]:
        """Return mutants of the caps."""
        return {
            "counts calls as confirmed once they are reported": lambda: patch(
                "cassiahaven_core.usage_cap._confirmed", _confirmed_at_once
            ),
            "takes over the share of a silent entry at once": lambda: patch.object(
                UsageCaps, "_reserve", lambda self, account, usage, peer: 0.0
            ),
            "joins before a watcher has told it of the others": lambda: patch.object(
                UsageCaps, "known_claims", lambda self, now_ms: []
            ),
            "counts a higher rate before it is confirmed": lambda: patch(
                "cassiahaven_core.usage_cap._confirmed", _confirmed_with_any_rate
            ),
        }

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield every possible next step; a paused entry takes none."""
        loads, cuts, pauses, restarts, returns = world.left
        caps, watcher, pending = pickle.loads(world.pickled)
        if world.step < self._last_step and not _has_late_join(world, pending):
            yield "time passes", _pass_time(world, caps, watcher, pending)
        if cuts and world.cut is None:
            # The entries are alike, so it suffices to cut off or pause the first one.
            yield "cut a", replace(world, cut=0, left=(loads, cuts - 1, pauses, restarts, returns))
        if world.cut is not None:
            yield "heal", replace(world, cut=None)
        if pauses and world.paused is None:
            yield "pause a", replace(
                world, paused=0, left=(loads, cuts, pauses - 1, restarts, returns)
            )
        if world.paused is not None:
            yield "resume", replace(world, paused=None)
        for index, name in enumerate(NAMES):
            if index == world.paused:
                continue
            if loads:
                yield f"load {name}", _load(world, index)
            if pending[index] is not None:
                yield f"deliver to {name}", _receive(world, index)
            if restarts:
                yield f"restart {name}", _restart(world, index)
            if returns and world.admitted[index] > GIVEN_BACK:
                yield f"give back at {name}", _give_back(world, index)


def _load(world: World, index: int) -> World:
    caps, watcher, pending = pickle.loads(world.pickled)
    admitted = 0
    for _ in range(BURST):
        decision = caps[index].admit(ACCOUNT.name, world.now_ms)
        admitted += isinstance(decision, Admitted) and decision.state is CapState.SHARE
    counts = list(world.admitted)
    counts[index] += admitted
    loads, *others = world.left
    after = replace(world, admitted=tuple(counts), left=(loads - 1, *others))
    return _put(after, caps, watcher, pending)


def _give_back(world: World, index: int) -> World:
    caps, watcher, pending = pickle.loads(world.pickled)
    usage = caps[index]._usage_by_account.get(ACCOUNT.name)
    slots = usage.admitted._slots if usage is not None else ()
    newest = [end_ms - SLOT_MS for end_ms, calls in reversed(slots) for _ in range(int(calls))]
    given_back = newest[:GIVEN_BACK]
    for at_ms in given_back:
        caps[index].give_back(ACCOUNT.name, Admitted(CapState.SHARE, at_ms))
    counts = list(world.admitted)
    counts[index] -= len(given_back)
    *others, returns = world.left
    after = replace(world, admitted=tuple(counts), left=(*others, returns - 1))
    return _put(after, caps, watcher, pending)


def _receive(world: World, index: int) -> World:
    caps, watcher, pending = pickle.loads(world.pickled)
    lost = list(world.lost)
    if world.cut == index:
        pending[index] = None
        lost[index] = True
    else:
        _deliver(caps[index], pending, index, world.now_ms)
    return _put(replace(world, lost=tuple(lost)), caps, watcher, pending)


def _restart(world: World, index: int) -> World:
    caps, watcher, pending = pickle.loads(world.pickled)
    caps[index] = _started(NAMES[index], world.step)
    pending[index] = None
    *others, restarts, returns = world.left
    lost = list(world.lost)
    lost[index] = True
    after = replace(world, lost=tuple(lost), left=(*others, restarts - 1, returns))
    _see_fleet(after, caps)
    return _put(after, caps, watcher, pending)


def _pass_time(
    world: World, caps: list[UsageCaps], watcher: UsageCaps, pending: list[Claims | None]
) -> World:
    """Move to the next step, at whose start each entry sends its claims."""
    after = replace(world, step=world.step + 1)
    _see_fleet(after, caps)
    lost = list(world.lost)
    for index, item in enumerate(caps):
        if index == world.paused:
            continue
        is_lost = world.cut == index
        is_new = world.lost[index] and not is_lost
        if is_new:
            item.report_all()
        if _report(caps, watcher, pending, index, after.now_ms, is_lost=is_lost, is_new=is_new):
            lost[index] = is_lost
    return _put(replace(after, lost=tuple(lost)), caps, watcher, pending)


def _see_fleet(world: World, caps: list[UsageCaps]) -> None:
    for index, item in enumerate(caps):
        if index not in (world.cut, world.paused):
            item.set_contact(heard_ms=world.now_ms, has_majority=True, now_ms=world.now_ms)


def _has_late_join(world: World, pending: list[Claims | None]) -> bool:
    return any(
        claims is not None and claims.is_joining and index not in (world.cut, world.paused)
        for index, claims in enumerate(pending)
    )


def _report(
    caps: list[UsageCaps],
    watcher: UsageCaps,
    pending: list[Claims | None],
    index: int,
    now_ms: float,
    *,
    is_lost: bool,
    is_new: bool,
) -> bool:
    """Send the claims that are due to the watcher, and return whether there were any."""
    claims = caps[index].own_claims(now_ms)
    if claims is None or is_lost:
        return claims is not None
    watcher.receive_claims(claims, now_ms)
    if is_new or claims.is_joining:
        for known in watcher.known_claims(now_ms):
            caps[index].apply_claims(known, now_ms)
        caps[index].confirm_join(claims.number, now_ms)
    before = pending[1 - index]
    if before is not None and before.process == claims.process:
        merged = before.claim_by_account | claims.claim_by_account
        is_joining = before.is_joining or claims.is_joining
        claims = replace(claims, is_joining=is_joining, claim_by_account=merged)
    pending[1 - index] = claims
    return True


def _deliver(caps: UsageCaps, pending: list[Claims | None], index: int, now_ms: float) -> None:
    claims, pending[index] = pending[index], None
    if claims is not None:
        caps.apply_claims(claims, now_ms)


def _is_within_cap(world: World) -> bool:
    caps, _, _ = pickle.loads(world.pickled)
    total = 0.0
    for index, item in enumerate(caps):
        total += world.admitted[index]
        usage = item._usage_by_account.get(ACCOUNT.name)
        if usage is not None and item.is_in_contact(world.now_ms):
            room = item._room(ACCOUNT.name, usage, world.now_ms)
            total += max(0.0, room.share * room.left - room.unconfirmed)
    # Each entry rounds up to a whole call.
    return total <= QUOTA + len(NAMES)


def _confirmed_at_once(usage: Any, number: float, rate_per_s: float) -> tuple[int, float]:
    return usage.reports[-1].total if usage.reports else 0, rate_per_s


def _confirmed_with_any_rate(usage: Any, number: float, rate_per_s: float) -> tuple[int, float]:
    total, _ = _CONFIRMED(usage, number, rate_per_s)
    return total, rate_per_s


def _started(name: str, step: int) -> UsageCaps:
    caps = UsageCaps(name, f"{name}-{step}", BOUNDS)
    caps.set_accounts([ACCOUNT])
    caps.set_named(NAMES)
    caps.set_contact(heard_ms=0.0, has_majority=True, now_ms=0.0)
    return caps


def _put(
    world: World, caps: list[UsageCaps], watcher: UsageCaps, pending: list[Claims | None]
) -> World:
    parts = (caps, watcher, pending)
    return replace(world, frozen=_frozen(parts), pickled=pickle.dumps(parts))


def _frozen(value: Any) -> Hashable:
    """Return a comparable copy of nested objects."""
    if isinstance(value, list | tuple | deque):
        return tuple(_frozen(item) for item in value)
    if isinstance(value, dict):
        return tuple((key, _frozen(item)) for key, item in sorted(value.items()))
    slots = getattr(type(value), "__slots__", None)
    if slots:
        return tuple(_frozen(getattr(value, name)) for name in slots)
    return value
