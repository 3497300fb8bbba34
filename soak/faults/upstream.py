"""Faults of upstreams, whose health checks stay good."""

from __future__ import annotations

from typing import ClassVar, Final

from standins.fleet import crash_upstream

from .base import FAULTS, UPSTREAM, Fault

_GRAY_SHARE: Final = 0.85
_SLOW_FACTOR: Final = 8


class _Behaviour(Fault):
    """An upstream behaves in another way for a time."""

    concerns = UPSTREAM
    sick: ClassVar[dict[str, object]] = {}
    well: ClassVar[dict[str, object]] = {}

    def begin(self) -> None:
        self._world.fleet.control(self._target, **self.sick)

    def end(self) -> None:
        self._world.fleet.control(self._target, **self.well)


@FAULTS.register('upstream-gray')
class UpstreamGray(_Behaviour):
    """An upstream fails most of its work, its health check being good."""

    sick = {'fail_share': _GRAY_SHARE}
    well = {'fail_share': 0}


@FAULTS.register('upstream-slow')
class UpstreamSlow(_Behaviour):
    """An upstream is slow."""

    sick = {'slow_factor': _SLOW_FACTOR}
    well = {'slow_factor': 1}


@FAULTS.register('upstream-silent')
class UpstreamSilent(_Behaviour):
    """Connections that an upstream has used go silent."""

    sick = {'silent': True}
    well = {'silent': False}


@FAULTS.register('upstream-sheds')
class UpstreamSheds(_Behaviour):
    """An upstream refuses all work."""

    sick = {'shed': True}
    well = {'shed': False}


@FAULTS.register('upstream-crashed')
class UpstreamCrashed(Fault):
    """An upstream crashes and starts anew by itself."""

    concerns = UPSTREAM

    def begin(self) -> None:
        crash_upstream(self._world.fleet.upstreams[self._target].port)


@FAULTS.register('upstream-leaves')
class UpstreamLeaves(Fault):
    """An upstream is listed as leaving, then as before."""

    concerns = UPSTREAM

    def begin(self) -> None:
        self._from_s = self._world.now_s
        self._world.set_leaving(self._target, leaving=True)

    def end(self) -> None:
        self._world.note_left(self._target, self._from_s)
        self._world.set_leaving(self._target, leaving=False)


__all__ = (
    'UpstreamCrashed',
    'UpstreamGray',
    'UpstreamLeaves',
    'UpstreamSheds',
    'UpstreamSilent',
    'UpstreamSlow',
)
