"""Faults of nodes and of the paths to them."""

from __future__ import annotations

import signal
from typing import Final

import gevent

from .base import FAULTS, Fault

_DELAY_S: Final = 0.15


@FAULTS.register('node-killed')
class NodeKilled(Fault):
    """A node ends at once and is started anew."""

    def begin(self) -> None:
        self._world.fleet.kill_node(self._target)

    def end(self) -> None:
        self._world.start_again(self._target)


@FAULTS.register('node-stopped')
class NodeStopped(Fault):
    """A node is asked to stop and is started anew."""

    def begin(self) -> None:
        self._stop = gevent.spawn(self._world.stop, self._target)

    def end(self) -> None:
        self._stop.join()
        self._world.start_again(self._target)


@FAULTS.register('node-paused')
class NodePaused(Fault):
    """A node does nothing for a time."""

    def begin(self) -> None:
        self._world.signal(self._target, signal.SIGSTOP)

    def end(self) -> None:
        self._world.signal(self._target, signal.SIGCONT)


@FAULTS.register('path-cut-to')
class PathCutTo(Fault):
    """Nothing reaches a node from the others, though it sends."""

    def begin(self) -> None:
        self._world.relays[self._target].cut_forward()

    def end(self) -> None:
        self._world.relays[self._target].heal()


@FAULTS.register('path-cut-from')
class PathCutFrom(Fault):
    """Nothing comes back from a node on streams that others dialled."""

    def begin(self) -> None:
        self._world.relays[self._target].cut_backward()

    def end(self) -> None:
        self._world.relays[self._target].heal()


@FAULTS.register('path-slow')
class PathSlow(Fault):
    """Streams to a node are slow."""

    def begin(self) -> None:
        self._world.relays[self._target].delay_s = _DELAY_S

    def end(self) -> None:
        self._world.relays[self._target].heal()


@FAULTS.register('path-reset')
class PathReset(Fault):
    """All streams to a node are reset."""

    def begin(self) -> None:
        self._world.relays[self._target].reset()


__all__ = (
    'NodeKilled',
    'NodePaused',
    'NodeStopped',
    'PathCutFrom',
    'PathCutTo',
    'PathReset',
    'PathSlow',
)
