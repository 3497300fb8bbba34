"""Time up to which this process has handled the events of its sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ..blackboard import Pause
from ..clock import monotonic_ms

if TYPE_CHECKING:
    from contextlib import ExitStack

    from ..blackboard import Blackboard

# Timers wake the event loop more often than this.
_MIN_PAUSE_MS: Final = 400


def follow_event_loop(board: Blackboard, stack: ExitStack) -> None:
    """Write the time each time the event loop has no more events to handle.

    While the process is not scheduled, answers wait in its sockets. What has
    not arrived is known to be missing only up to the written time.

    :param board: receives the time.
    :param stack: stops it on exit.
    """
    watcher = gevent.get_hub().loop.prepare(ref=False)
    watcher.start(_note_iteration, board)
    stack.callback(watcher.close)
    stack.callback(watcher.stop)


def _note_iteration(board: Blackboard) -> None:
    """Write the time, and the pause before it if there was one."""
    now_ms = monotonic_ms()
    before_ms = board.handled_until_ms.read()
    if now_ms - before_ms > _MIN_PAUSE_MS:
        board.last_pause.write(Pause(before_ms, now_ms))
    board.handled_until_ms.write(now_ms)


__all__ = ('follow_event_loop',)
