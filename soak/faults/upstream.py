"""Faults of upstreams whose health checks keep passing."""

from __future__ import annotations

from typing import ClassVar, Final

from standins.fleet import send_poison_request

from .base import FAULTS, UPSTREAM, Fault

_GRAY_FAIL_SHARE: Final = 0.85
_SLOW_FACTOR: Final = 8


class _BehaviourFault(Fault):
    """A change of an upstream's behaviour settings."""

    target_kind = UPSTREAM
    faulty: ClassVar[dict[str, object]] = {}
    healthy: ClassVar[dict[str, object]] = {}

    def begin(self) -> None:
        self._testbed.fleet.set_behaviour(self._target, **self.faulty)

    def end(self) -> None:
        self._testbed.fleet.set_behaviour(self._target, **self.healthy)


@FAULTS.register('upstream-gray')
class UpstreamGray(_BehaviourFault):
    """An upstream fails most of its work while its health check passes."""

    faulty = {'fail_share': _GRAY_FAIL_SHARE}
    healthy = {'fail_share': 0}


@FAULTS.register('upstream-slow')
class UpstreamSlow(_BehaviourFault):
    """An upstream is slow."""

    faulty = {'slow_factor': _SLOW_FACTOR}
    healthy = {'slow_factor': 1}


@FAULTS.register('upstream-silent')
class UpstreamSilent(_BehaviourFault):
    """Connections over which an upstream has worked go silent."""

    faulty = {'silent': True}
    healthy = {'silent': False}


@FAULTS.register('upstream-sheds')
class UpstreamSheds(_BehaviourFault):
    """An upstream refuses all work."""

    faulty = {'shed': True}
    healthy = {'shed': False}


@FAULTS.register('upstream-crashed')
class UpstreamCrashed(Fault):
    """An upstream crashes and restarts by itself."""

    target_kind = UPSTREAM

    def begin(self) -> None:
        send_poison_request(self._testbed.fleet.upstreams[self._target].port)


@FAULTS.register('upstream-leaves')
class UpstreamLeaves(Fault):
    """An upstream is listed as leaving, then as staying again."""

    target_kind = UPSTREAM
    is_planned = True

    def begin(self) -> None:
        self._from_s = self._testbed.now_s
        self._testbed.set_leaving(self._target, leaving=True)

    def end(self) -> None:
        self._testbed.record_leaving(self._target, self._from_s)
        self._testbed.set_leaving(self._target, leaving=False)


__all__ = (
    'UpstreamCrashed',
    'UpstreamGray',
    'UpstreamLeaves',
    'UpstreamSheds',
    'UpstreamSilent',
    'UpstreamSlow',
)
