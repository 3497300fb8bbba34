"""Draws the faults of a run from its seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Final

from .faults import FAULTS, UPSTREAM, VM

# With the durations below, two or three faults overlap.
_FAULTS_PER_S: Final = 1.1
_MIN_FAULT_S: Final = 0.4
_MAX_FAULT_S: Final = 4.0
# An upstream may receive work for 3 s after it is listed as leaving, and a
# stopping node waits as long for its callers' idle connections; these faults
# last longer than that.
_LONG_FAULT_S: Final = 6.0
_LONG_KINDS: Final = frozenset(('upstream-leaves', 'node-stopped'))
_FIRST_FAULT_S: Final = 1.0
# Gap between faults of the same target, so that a planned stop ends before
# the next fault begins.
_MIN_GAP_S: Final = 1.0
_DRAW_ATTEMPTS: Final = 20


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One fault of the plan.

    :param from_s: seconds since the start of the run, as ``to_s``.
    :param target: VM or upstream, empty for the store.
    """

    kind: str
    target: str
    from_s: float
    to_s: float


def draw_faults(
    seed: int,
    length_s: float,
    vms: tuple[str, ...],
    upstreams: tuple[str, ...],
    kinds: tuple[str, ...] = (),
) -> tuple[PlannedFault, ...]:
    """Return the faults of a seed, sorted by start.

    Faults overlap, but not two of the same VM, upstream or store.

    :param length_s: time by which all faults have ended.
    :param kinds: kinds of faults to draw from; by default all but those that
        need a stop of the same node.
    """
    rng = Random(seed)
    kinds = kinds or _independent_kinds()
    plan: list[PlannedFault] = []
    for _ in range(int(length_s * _FAULTS_PER_S)):
        for _ in range(_DRAW_ATTEMPTS):
            drawn = _draw(rng, rng.choice(kinds), length_s, vms, upstreams)
            if not any(conflicts(drawn, each) for each in plan):
                plan.append(drawn)
                break
    return tuple(sorted(plan, key=lambda each: each.from_s))


def _independent_kinds() -> tuple[str, ...]:
    return tuple(
        name
        for name in FAULTS.names()
        if not FAULTS.find(name).unwrap().accompanies_stop
    )


def _draw(
    rng: Random,
    kind: str,
    length_s: float,
    vms: tuple[str, ...],
    upstreams: tuple[str, ...],
) -> PlannedFault:
    target_kind = FAULTS.find(kind).unwrap().target_kind
    target = ''
    if target_kind == VM:
        target = rng.choice(vms)
    elif target_kind == UPSTREAM:
        target = rng.choice(upstreams)
    duration_s = rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
    if kind in _LONG_KINDS:
        duration_s = _LONG_FAULT_S
    from_s = rng.uniform(
        _FIRST_FAULT_S, max(_FIRST_FAULT_S, length_s - duration_s)
    )
    return PlannedFault(
        kind, target, from_s, min(length_s, from_s + duration_s)
    )


def conflicts(one: PlannedFault, other: PlannedFault) -> bool:
    """Return whether two faults of one target are too close together."""
    if one.target != other.target:
        return False
    is_before = one.to_s + _MIN_GAP_S < other.from_s
    is_after = other.to_s + _MIN_GAP_S < one.from_s
    return not is_before and not is_after


__all__ = ('PlannedFault', 'conflicts', 'draw_faults')
