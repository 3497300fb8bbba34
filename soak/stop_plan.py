"""Draws series of planned stops, and what else happens during each."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Final

from .faults.vm import NODE_STOPPED
from .plan import PlannedFault, conflicts

_FIRST_STOP_S: Final = 1.0
# The process has ended by then, and is started again.
_STOP_S: Final = 6.0
_RESTART_S: Final = 2.0
_MAX_STOPPING_SHARE: Final = 0.5
_TOGETHER_SHARE: Final = 0.4
_GAP_S: Final = (0.2, 1.5)
_BETWEEN_SERIES_S: Final = (1.0, 4.0)
_OFTEN: Final = 0.5
_SELDOM: Final = 0.25


@dataclass(frozen=True, slots=True)
class _Companion:
    """An event that may accompany a stop.

    :param share: of the stops that it accompanies.
    :param after_s: earliest and latest start, after the stop signal.
    :param lasts_s: shortest and longest duration.
    """

    kind: str
    share: float
    after_s: tuple[float, float]
    lasts_s: tuple[float, float] = (0, 0)


_COMPANIONS: Final = (
    _Companion('node-reloaded', _OFTEN, (-0.8, 4.5)),
    _Companion('node-signalled-again', _OFTEN, (0.2, 4.5)),
    _Companion('stop-paused', _OFTEN, (0.5, 3.8), (0.1, 0.5)),
    _Companion('config-changed', _SELDOM, (-0.5, 4.5)),
    _Companion('upstream-leaves', _SELDOM, (-1.0, 3.0), (_STOP_S, _STOP_S)),
)


class _StopPlanner:
    """Draws stops of a run; at most half of the nodes stop at a time."""

    def __init__(
        self,
        rng: Random,
        length_s: float,
        vms: tuple[str, ...],
        upstreams: tuple[str, ...],
    ) -> None:
        self._rng = rng
        self._length_s = length_s
        self._vms = vms
        self._upstreams = upstreams
        self._free_from_s = dict.fromkeys(vms, _FIRST_STOP_S)
        self._max_stopping = max(1, int(_MAX_STOPPING_SHARE * len(vms)))
        self.plan: list[PlannedFault] = []

    def add_series(self, from_s: float) -> None:
        """Add stops of several nodes, together or one after the other."""
        free = [vm for vm in self._vms if self._free_from_s[vm] <= from_s]
        stopping = len(self._vms) - len(free)
        room = min(len(free), self._max_stopping - stopping)
        if room <= 0:
            return
        gap_s = self._rng.uniform(*_GAP_S)
        if self._rng.random() < _TOGETHER_SHARE:
            gap_s = 0
        chosen = self._rng.sample(free, self._rng.randint(1, room))
        for number, vm in enumerate(chosen):
            self._add_stop(vm, from_s + number * gap_s)

    def _add_stop(self, vm: str, from_s: float) -> None:
        to_s = from_s + _STOP_S
        if to_s > self._length_s:
            return
        self._free_from_s[vm] = to_s + _RESTART_S
        self.plan.append(PlannedFault(NODE_STOPPED, vm, from_s, to_s))
        for companion in _COMPANIONS:
            if self._rng.random() < companion.share:
                self._add_companion(companion, vm, from_s)

    def _add_companion(
        self, companion: _Companion, vm: str, stop_s: float
    ) -> None:
        from_s = max(0, stop_s + self._rng.uniform(*companion.after_s))
        to_s = from_s + self._rng.uniform(*companion.lasts_s)
        drawn = PlannedFault(
            companion.kind,
            self._target(companion.kind, vm),
            from_s,
            min(self._length_s, to_s),
        )
        same_kind = (one for one in self.plan if one.kind == drawn.kind)
        if not any(conflicts(drawn, one) for one in same_kind):
            self.plan.append(drawn)

    def _target(self, kind: str, vm: str) -> str:
        if kind == 'config-changed':
            return ''
        if kind != 'upstream-leaves':
            return vm
        own = [name for name in self._upstreams if name.startswith(f'{vm}/')]
        return self._rng.choice((*own, self._rng.choice(self._upstreams)))


def draw_stops(
    seed: int,
    length_s: float,
    vms: tuple[str, ...],
    upstreams: tuple[str, ...],
) -> tuple[PlannedFault, ...]:
    """Return the planned stops of a seed and their companions, by start.

    :param length_s: time by which all of them have ended.
    """
    rng = Random(f'stops-{seed}')
    planner = _StopPlanner(rng, length_s, vms, upstreams)
    from_s = _FIRST_STOP_S + rng.random()
    while from_s + _STOP_S <= length_s:
        planner.add_series(from_s)
        from_s += rng.uniform(*_BETWEEN_SERIES_S)
    return tuple(sorted(planner.plan, key=lambda each: each.from_s))


__all__ = ('draw_stops',)
