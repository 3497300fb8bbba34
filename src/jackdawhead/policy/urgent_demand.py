"""Slot time that more urgent work asks for.

Load pattern: urgent work that leaves room for only a part of the other. Less
urgent work that is queued as if no urgent work were to come is displaced after
it has waited.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .work import Work

_MEMORY_MS: Final = 1000.0
# Some of the slots always count as left.
_MAX_SHARE: Final = 0.9
_MAX_PRIORITIES: Final = 64


class UrgentDemand:
    """Moving averages of the slot time that arrives, by priority."""

    def __init__(self) -> None:
        self._arrived_ms: dict[int, float] = {}
        self._updated_ms: float = 0

    def note_offered(self, work: Work, run_ms: float, now_ms: float) -> None:
        """Add offered work.

        :param run_ms: slot time that it needs.
        :param now_ms: monotonic time.
        """
        self._decay(now_ms)
        if len(self._arrived_ms) >= _MAX_PRIORITIES:
            self._arrived_ms.clear()
        before_ms = self._arrived_ms.get(work.priority, 0)
        self._arrived_ms[work.priority] = before_ms + run_ms

    def share_before(self, priority: int, slots: int, now_ms: float) -> float:
        """Return the share of the slots that more urgent work asks for.

        :param priority: priority of the work that comes after it.
        :param slots: slots of the upstream.
        :param now_ms: monotonic time.
        """
        self._decay(now_ms)
        arrived_ms = sum(
            ms for urgent, ms in self._arrived_ms.items() if urgent < priority
        )
        return min(_MAX_SHARE, arrived_ms / _MEMORY_MS / slots)

    def _decay(self, now_ms: float) -> None:
        factor = exp((self._updated_ms - now_ms) / _MEMORY_MS)
        self._updated_ms = now_ms
        for priority in self._arrived_ms:
            self._arrived_ms[priority] *= factor


__all__ = ('UrgentDemand',)
