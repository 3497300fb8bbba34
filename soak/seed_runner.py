"""Runs one seed: callers, faults and checkers together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import gevent

from .callers import Caller
from .checks import find_violations
from .faults import FAULTS
from .plan import draw_faults
from .stop_plan import draw_stops
from .world import start_testbed

if TYPE_CHECKING:
    from pathlib import Path

    from .checks import Violation
    from .evidence import Evidence
    from .plan import PlannedFault
    from .world import Testbed

# Time after the last fault for restarts, new links and 5 s ejections to end.
_SETTLE_S: Final = 11.0
# More than a caller uses during a stop.
_SPARE_CONNECTIONS: Final = 10
# Long enough for about fifteen faults, two or three of them at a time.
DEFAULT_LENGTH_S: Final = 14.0
_CALLERS: Final = 10
# Two thirds of the slots are in use while all nodes run.
_CALLERS_PER_NODE: Final = 3


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Parameters of one run.

    :param length_s: period during which faults are injected.
    :param rate_per_s: requests per second of each caller.
    :param stops_only: whether planned stops, and what happens during them,
        are the only faults; the callers then keep spare connections open and
        ask for work with a long tail.
    """

    seed: int
    length_s: float = DEFAULT_LENGTH_S
    nodes: int = 4
    rate_per_s: float = 6.0
    stops_only: bool = False

    @property
    def callers(self) -> int:
        """Number of callers, each with one request at a time."""
        return self.nodes * _CALLERS_PER_NODE if self.stops_only else _CALLERS


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Evidence of a run, and the violations found in it."""

    plan: SoakPlan
    evidence: Evidence
    violations: list[Violation]


def run_seed(plan: SoakPlan, folder: Path) -> SoakResult:
    """Run one seed and check the evidence.

    :param folder: where the logs of the nodes are saved.
    """
    testbed = start_testbed(plan.nodes, has_short_stops=plan.stops_only)
    try:
        evidence = _run_in(testbed, plan)
        violations = find_violations(evidence)
        _save_logs(testbed, folder)
    finally:
        testbed.close()
    return SoakResult(plan, evidence, violations)


def _run_in(testbed: Testbed, plan: SoakPlan) -> Evidence:
    evidence = testbed.evidence
    draw = draw_stops if plan.stops_only else draw_faults
    faults = draw(plan.seed, plan.length_s, testbed.vms, testbed.upstreams)
    evidence.faults = [
        (each.from_s, each.to_s, f'{each.kind} {each.target}'.strip())
        for each in faults
    ]
    evidence.ends_s = plan.length_s + _SETTLE_S
    testbed.start_sampling()
    injected = [gevent.spawn(_inject, testbed, each) for each in faults]
    callers = [
        gevent.spawn(
            Caller(
                testbed,
                plan.seed,
                number,
                plan.rate_per_s,
                _SPARE_CONNECTIONS if plan.stops_only else 0,
            ).run,
            evidence.ends_s,
        )
        for number in range(plan.callers)
    ]
    gevent.joinall(injected, raise_error=True)
    evidence.faults_end_s = testbed.now_s
    gevent.joinall(callers, raise_error=True)
    testbed.collect_runs()
    return evidence


def _inject(testbed: Testbed, planned: PlannedFault) -> None:
    fault = FAULTS.find(planned.kind).unwrap()(testbed, planned.target)
    gevent.sleep(max(0, planned.from_s - testbed.now_s))
    fault.begin()
    gevent.sleep(max(0, planned.to_s - testbed.now_s))
    fault.end()


def _save_logs(testbed: Testbed, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for vm in testbed.vms:
        log = testbed.node(vm).log
        (folder / log.name).write_bytes(log.read_bytes())


__all__ = ('DEFAULT_LENGTH_S', 'SoakPlan', 'SoakResult', 'run_seed')
