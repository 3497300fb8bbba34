"""Notices that this process was paused, so that old knowledge is dropped."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ..audit import AuditKind
from ..clock import monotonic_ms, seconds

if TYPE_CHECKING:
    from .parts import NodeParts

_TICK_MS: Final = 200
_PAUSE_MS: Final = 1500


class PauseWatch:
    """Compares the time between ticks with what it should be.

    :param parts: controllers of this node.
    """

    def __init__(self, parts: NodeParts) -> None:
        self._parts = parts
        self._last_ms = monotonic_ms()

    def run(self) -> None:
        """Watch for ever."""
        while True:
            gevent.sleep(seconds(_TICK_MS))
            self.tick(monotonic_ms())

    def tick(self, now_ms: float) -> bool:
        """Compare once.

        :param now_ms: monotonic time.
        :returns: whether the process was paused.
        """
        gap_ms = now_ms - self._last_ms - _TICK_MS
        self._last_ms = now_ms
        if gap_ms < _PAUSE_MS:
            return False
        self._parts.audit.record(
            AuditKind.PAUSE_NOTICED,
            self._parts.identity.vm,
            f'did not run for {gap_ms:.0f} ms',
        )
        return True


__all__ = ('PauseWatch',)
