"""Notices that this process was paused, before it acts on old knowledge."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

import gevent
from gevent.event import Event

from ..audit import AuditKind
from ..clock import boot_ms, seconds
from .links import SILENCE_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..audit import AuditTrail

_TICK_MS: Final = 200
_PAUSE_MS: Final = 1500
_REFRESH_MS: Final = 1500


class PauseWatch:
    """Compares the time between ticks with what it should be.

    After a pause in which other nodes have given this one up, links are
    dropped with all that waits in them, and callers' requests wait until
    this node has asked what has changed, but not for long.

    :param vm: name of this node's VM.
    :param audit: trail of changes.
    """

    def __init__(self, vm: str, audit: AuditTrail) -> None:
        self.drop_links: Callable[[str], None] | None = None
        self.refresh: Callable[[], None] | None = None
        self._vm = vm
        self._audit = audit
        self._last_ms = inf
        self._fresh = Event()
        self._fresh.set()

    def run(self) -> None:
        """Watch for ever."""
        self._last_ms = boot_ms()
        while True:
            gevent.sleep(seconds(_TICK_MS))
            self.notice(boot_ms())
            self._last_ms = boot_ms()

    def notice(self, now_ms: float) -> bool:
        """Find out whether this process has just been paused for long.

        Whoever acts on what came from outside asks first, since it may run
        before the next tick.

        :param now_ms: monotonic time.
        :returns: whether links were dropped for it.
        """
        gap_ms = now_ms - self._last_ms - _TICK_MS
        if gap_ms < _PAUSE_MS:
            return False
        self._last_ms = now_ms
        self._audit.record(
            AuditKind.PAUSE_NOTICED,
            self._vm,
            f'did not run for {gap_ms:.0f} ms',
        )
        if gap_ms < SILENCE_MS:
            return False
        if self.drop_links is not None:
            self.drop_links('this node was paused')
        self._fresh.clear()
        gevent.spawn(self._refresh)
        return True

    def await_fresh(self) -> None:
        """Wait until this node knows what happened in a pause, if any."""
        self.notice(boot_ms())
        if not self._fresh.is_set():
            self._fresh.wait(seconds(_REFRESH_MS))

    def _refresh(self) -> None:
        with gevent.Timeout(seconds(_REFRESH_MS), False):
            if self.refresh is not None:
                self.refresh()
        self._fresh.set()


__all__ = ('PauseWatch',)
