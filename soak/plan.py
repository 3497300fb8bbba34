"""Draws the faults of a soak from one seed."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Final

from .faults import FAULTS, UPSTREAM, VM

# Faults a second; with their lengths, two or three overlap.
_RATE: Final = 1.1
_SHORTEST_S: Final = 0.4
_LONGEST_S: Final = 4.0
# Work may still reach an upstream that leaves for 3 s, so it leaves longer; a
# node that stops waits as long for its callers' unused connections.
_LONG_S: Final = 6.0
_LONG_KINDS: Final = frozenset(('upstream-leaves', 'node-stopped'))
_FIRST_S: Final = 1.0
# Between two faults of one VM, so that a planned stop ends before the next.
_APART_S: Final = 1.0
_TRIES: Final = 20


@dataclass(frozen=True, slots=True)
class Planned:
    """One fault.

    :param from_s: time since the start of the soak.
    :param target: VM or upstream, empty for the store.
    """

    kind: str
    target: str
    from_s: float
    to_s: float


def draw_plan(
    seed: int,
    length_s: float,
    vms: tuple[str, ...],
    upstreams: tuple[str, ...],
) -> tuple[Planned, ...]:
    """Return the faults of a seed, by their start.

    Faults overlap, but not two of the same VM, upstream or store.

    :param length_s: all faults are over by then.
    """
    rng = Random(seed)
    kinds = FAULTS.names()
    plan: list[Planned] = []
    for _ in range(int(length_s * _RATE)):
        for _ in range(_TRIES):
            drawn = _draw(rng, rng.choice(kinds), length_s, vms, upstreams)
            if not any(_collide(drawn, each) for each in plan):
                plan.append(drawn)
                break
    return tuple(sorted(plan, key=lambda each: each.from_s))


def _draw(
    rng: Random,
    kind: str,
    length_s: float,
    vms: tuple[str, ...],
    upstreams: tuple[str, ...],
) -> Planned:
    concerns = FAULTS.find(kind).unwrap().concerns
    target = ''
    if concerns == VM:
        target = rng.choice(vms)
    elif concerns == UPSTREAM:
        target = rng.choice(upstreams)
    for_s = rng.uniform(_SHORTEST_S, _LONGEST_S)
    if kind in _LONG_KINDS:
        for_s = _LONG_S
    from_s = rng.uniform(_FIRST_S, max(_FIRST_S, length_s - for_s))
    return Planned(kind, target, from_s, min(length_s, from_s + for_s))


def _collide(one: Planned, other: Planned) -> bool:
    if one.target != other.target:
        return False
    is_before = one.to_s + _APART_S < other.from_s
    is_after = other.to_s + _APART_S < one.from_s
    return not is_before and not is_after


__all__ = ('Planned', 'draw_plan')
