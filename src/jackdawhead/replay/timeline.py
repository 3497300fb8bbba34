"""Virtual time: events in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

Action = Callable[[], None]


class Timeline:
    """Runs actions at their times; equal times in the order of planning."""

    def __init__(self) -> None:
        self.now_ms: float = 0
        self._numbers = count()
        self._planned: list[tuple[float, int, Action]] = []

    def at(self, time_ms: float, action: Action) -> None:
        """Plan an action.

        :param time_ms: virtual time, not before now.
        """
        entry = (max(time_ms, self.now_ms), next(self._numbers), action)
        heapq.heappush(self._planned, entry)

    def after(self, delay_ms: float, action: Action) -> None:
        """Plan an action after a delay.

        :param delay_ms: not negative.
        """
        self.at(self.now_ms + delay_ms, action)

    def run(self) -> None:
        """Run all actions, those that they plan included."""
        while self._planned:
            time_ms, _, action = heapq.heappop(self._planned)
            self.now_ms = time_ms
            action()


__all__ = ('Timeline',)
