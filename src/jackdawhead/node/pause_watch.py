"""Detects pauses of this process before it acts on stale state."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

import gevent
from gevent.event import Event

from ..audit import AuditKind
from ..clock import boot_ms, seconds
from .links import PEER_TIMEOUT_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..audit import AuditTrail

_TICK_INTERVAL_MS: Final = 200
_MIN_PAUSE_MS: Final = 1500
_REFRESH_TIMEOUT_MS: Final = 1500


class PauseWatch:
    """Compares the time between ticks with the tick interval.

    After a pause longer than the peer timeout, other nodes have given this
    one up. The watch then drops all links together with their queued
    messages, and new requests of callers wait a bounded time until this
    node has caught up with its peers.

    :param vm: name of this node's VM.
    :param audit: audit trail.
    """

    def __init__(self, vm: str, audit: AuditTrail) -> None:
        self.close_all_links: Callable[[str], None] | None = None
        self.refresh: Callable[[], None] | None = None
        self._vm = vm
        self._audit = audit
        self._last_tick_ms = inf
        self._synced = Event()
        self._synced.set()

    def run(self) -> None:
        """Check for pauses on every tick, forever."""
        self._last_tick_ms = boot_ms()
        while True:
            gevent.sleep(seconds(_TICK_INTERVAL_MS))
            self.notice(boot_ms())
            self._last_tick_ms = boot_ms()

    def notice(self, now_ms: float) -> bool:
        """Check whether this process has just been paused.

        Code that handles external input calls this first, since after a
        pause it may run before the next tick.

        :param now_ms: time since boot in milliseconds, suspend included.
        :returns: whether the links were dropped because of a pause.
        """
        pause_ms = now_ms - self._last_tick_ms - _TICK_INTERVAL_MS
        if pause_ms < _MIN_PAUSE_MS:
            return False
        self._last_tick_ms = now_ms
        self._audit.record(
            AuditKind.PAUSE_NOTICED,
            self._vm,
            f'did not run for {pause_ms:.0f} ms',
        )
        if pause_ms < PEER_TIMEOUT_MS:
            return False
        if self.close_all_links is not None:
            self.close_all_links('this node was paused')
        self._synced.clear()
        gevent.spawn(self._refresh)
        return True

    def wait_until_synced(self) -> None:
        """Wait until this node has caught up after a pause, if any."""
        self.notice(boot_ms())
        if not self._synced.is_set():
            self._synced.wait(seconds(_REFRESH_TIMEOUT_MS))

    def _refresh(self) -> None:
        with gevent.Timeout(seconds(_REFRESH_TIMEOUT_MS), False):
            if self.refresh is not None:
                self.refresh()
        self._synced.set()


__all__ = ('PauseWatch',)
