"""Event queue in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

Action = Callable[[], None]


class Timeline:
    """Runs scheduled actions in order of time, ties in order of scheduling."""

    def __init__(self) -> None:
        self.now_ms: float = 0
        self._sequence = count()
        self._queue: list[tuple[float, int, Action]] = []

    def schedule_at(self, time_ms: float, action: Action) -> None:
        """Schedule an action.

        :param time_ms: virtual time; a time in the past means now.
        :param action: called without arguments.
        """
        entry = (max(time_ms, self.now_ms), next(self._sequence), action)
        heapq.heappush(self._queue, entry)

    def schedule_after(self, delay_ms: float, action: Action) -> None:
        """Schedule an action after a delay.

        :param delay_ms: delay in milliseconds, not negative.
        :param action: called without arguments.
        """
        self.schedule_at(self.now_ms + delay_ms, action)

    def run(self) -> None:
        """Run all actions, including those scheduled meanwhile."""
        while self._queue:
            time_ms, _, action = heapq.heappop(self._queue)
            self.now_ms = time_ms
            action()


__all__ = ('Timeline',)
