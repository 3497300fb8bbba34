"""Plays one seed: callers, faults and checkers together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import gevent

from .callers import Caller
from .checks import find_breaches
from .faults import FAULTS
from .plan import draw_plan
from .world import new_world

if TYPE_CHECKING:
    from pathlib import Path

    from .checks import Breach
    from .evidence import Evidence
    from .plan import Planned
    from .world import World

# After the last fault: restarts, links and ejections of 5 s are over by then.
_SETTLE_S: Final = 11.0
# Enough for some fifteen faults, of which two or three overlap.
DEFAULT_LENGTH_S: Final = 14.0


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What is played.

    :param length_s: time in which faults come.
    :param rate: requests a second of each caller.
    """

    seed: int
    length_s: float = DEFAULT_LENGTH_S
    nodes: int = 4
    callers: int = 10
    rate: float = 6.0


@dataclass(frozen=True, slots=True)
class Played:
    """Evidence of a seed, and what the checkers found in it."""

    plan: SoakPlan
    evidence: Evidence
    breaches: list[Breach]


def play(plan: SoakPlan, folder: Path) -> Played:
    """Play a seed.

    :param folder: where the logs of the nodes are kept.
    """
    world = new_world(plan.nodes)
    try:
        evidence = _play_in(world, plan)
        breaches = find_breaches(evidence)
        _keep_logs(world, folder)
    finally:
        world.close()
    return Played(plan, evidence, breaches)


def _play_in(world: World, plan: SoakPlan) -> Evidence:
    evidence = world.evidence
    faults = draw_plan(plan.seed, plan.length_s, world.vms, world.upstreams)
    evidence.faults = [
        (each.from_s, each.to_s, f'{each.kind} {each.target}'.strip())
        for each in faults
    ]
    evidence.ends_s = plan.length_s + _SETTLE_S
    world.watch()
    injected = [gevent.spawn(_inject, world, each) for each in faults]
    callers = [
        gevent.spawn(
            Caller(world, plan.seed, number, plan.rate).run, evidence.ends_s
        )
        for number in range(plan.callers)
    ]
    gevent.joinall(injected, raise_error=True)
    evidence.faults_end_s = world.now_s
    gevent.joinall(callers, raise_error=True)
    world.gather_runs()
    return evidence


def _inject(world: World, planned: Planned) -> None:
    fault = FAULTS.find(planned.kind).unwrap()(world, planned.target)
    gevent.sleep(max(0, planned.from_s - world.now_s))
    fault.begin()
    gevent.sleep(max(0, planned.to_s - world.now_s))
    fault.end()


def _keep_logs(world: World, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for vm in world.vms:
        log = world.node(vm).log
        (folder / log.name).write_bytes(log.read_bytes())


__all__ = ('DEFAULT_LENGTH_S', 'Played', 'SoakPlan', 'play')
