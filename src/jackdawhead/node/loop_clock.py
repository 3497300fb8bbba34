"""Time up to which this process has handled the events of its sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ..clock import monotonic_ms

if TYPE_CHECKING:
    from contextlib import ExitStack

    from ..blackboard import Blackboard


def follow_event_loop(board: Blackboard, stack: ExitStack) -> None:
    """Write the time each time the event loop has no more events to handle.

    While the process is not scheduled, answers wait in its sockets. What has
    not arrived is known to be missing only up to the written time.

    :param board: receives the time.
    :param stack: stops it on exit.
    """
    watcher = gevent.get_hub().loop.prepare(ref=False)
    watcher.start(lambda: board.handled_until_ms.write(monotonic_ms()))
    stack.callback(watcher.close)
    stack.callback(watcher.stop)


__all__ = ('follow_event_loop',)
