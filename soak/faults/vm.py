"""Faults of nodes and of the network paths to them."""

from __future__ import annotations

import signal
from typing import Final

import gevent

from .base import FAULTS, Fault

NODE_STOPPED: Final = 'node-stopped'
_PATH_DELAY_S: Final = 0.15


@FAULTS.register('node-killed')
class NodeKilled(Fault):
    """A node is killed, and later restarted."""

    def begin(self) -> None:
        self._testbed.fleet.kill_node(self._target)

    def end(self) -> None:
        self._testbed.restart_node(self._target)


@FAULTS.register(NODE_STOPPED)
class NodeStopped(Fault):
    """A node is stopped with SIGTERM, and later restarted."""

    is_planned = True

    def begin(self) -> None:
        self._stop = gevent.spawn(self._testbed.stop_node, self._target)

    def end(self) -> None:
        self._stop.join()
        self._testbed.restart_node(self._target)


@FAULTS.register('node-paused')
class NodePaused(Fault):
    """A node is suspended for some time."""

    def begin(self) -> None:
        self._testbed.send_signal(self._target, signal.SIGSTOP)

    def end(self) -> None:
        self._testbed.send_signal(self._target, signal.SIGCONT)


class _StopEvent(Fault):
    """Something that happens around a planned stop of a node."""

    is_planned = True
    accompanies_stop = True

    def _signal(self, number: signal.Signals) -> None:
        if self._target in self._testbed.stopping:
            self._testbed.send_signal(self._target, number)


@FAULTS.register('node-reloaded')
class NodeReloaded(_StopEvent):
    """A node gets SIGHUP before or during its stop."""

    def begin(self) -> None:
        if self._testbed.has_started(self._target):
            self._testbed.send_signal(self._target, signal.SIGHUP)


@FAULTS.register('node-signalled-again')
class NodeSignalledAgain(_StopEvent):
    """A stopping node gets SIGTERM once more."""

    def begin(self) -> None:
        self._signal(signal.SIGTERM)


@FAULTS.register('stop-paused')
class StopPaused(_StopEvent):
    """A stopping node is suspended for a moment."""

    def begin(self) -> None:
        self._signal(signal.SIGSTOP)

    def end(self) -> None:
        self._testbed.send_signal(self._target, signal.SIGCONT)


@FAULTS.register('path-cut-to')
class PathCutTo(Fault):
    """Other nodes' streams to a node lose the direction to it."""

    def begin(self) -> None:
        self._testbed.relays[self._target].cut_forward()

    def end(self) -> None:
        self._testbed.relays[self._target].heal()


@FAULTS.register('path-cut-from')
class PathCutFrom(Fault):
    """Other nodes' streams to a node lose the direction from it."""

    def begin(self) -> None:
        self._testbed.relays[self._target].cut_backward()

    def end(self) -> None:
        self._testbed.relays[self._target].heal()


@FAULTS.register('path-slow')
class PathSlow(Fault):
    """Other nodes' streams to a node are delayed."""

    def begin(self) -> None:
        self._testbed.relays[self._target].delay_s = _PATH_DELAY_S

    def end(self) -> None:
        self._testbed.relays[self._target].heal()


@FAULTS.register('path-reset')
class PathReset(Fault):
    """Other nodes' streams to a node are reset."""

    def begin(self) -> None:
        self._testbed.relays[self._target].reset()


__all__ = (
    'NODE_STOPPED',
    'NodeKilled',
    'NodePaused',
    'NodeReloaded',
    'NodeSignalledAgain',
    'NodeStopped',
    'PathCutFrom',
    'PathCutTo',
    'PathReset',
    'PathSlow',
    'StopPaused',
)
