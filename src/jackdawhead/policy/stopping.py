"""Planned stop of a node: how long it still accepts and finishes work."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Schedule of a planned stop, in monotonic milliseconds.

    :param began_at_ms: arrival of the stop signal.
    :param closes_at_ms: close of the listener for callers.
    :param ends_at_ms: end of the process; requests still in progress then
        are cut off.
    """

    began_at_ms: float
    closes_at_ms: float
    ends_at_ms: float

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until requests in progress are cut off.

        :param now_ms: monotonic time.
        """
        return max(0, self.ends_at_ms - now_ms)


__all__ = ('StopPlan',)
