"""What a stopping node's home still accepts, and when the node ends."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .stopping import StopPlan

# A node ends once no request has been in progress for this long.
_QUIET_MS: Final = 300


class StopPhase(Enum):
    """Phase of a stop after the listener for callers is closed."""

    SERVING = auto()
    ENDED = auto()


class StopProgress:
    """Decides how a stop proceeds once the listener for callers is closed.

    :param plan: schedule of the stop.
    :param closed_at_ms: monotonic time at which the listener was closed.
    """

    def __init__(self, plan: StopPlan, closed_at_ms: float) -> None:
        self._plan = plan
        self._active_at_ms = closed_at_ms

    def step(
        self, now_ms: float, *, entry_active: bool, home_active: bool
    ) -> StopPhase:
        """Return the phase of the stop.

        :param now_ms: monotonic time.
        :param entry_active: whether the entry has requests in progress.
        :param home_active: whether the home has running or queued work.
        """
        if not self._plan.remaining_ms(now_ms):
            return StopPhase.ENDED
        if entry_active or home_active:
            self._active_at_ms = now_ms
        is_quiet = now_ms - self._active_at_ms > _QUIET_MS
        return StopPhase.ENDED if is_quiet else StopPhase.SERVING


class HomeStop:
    """Whether a home accepts new work, by its node's planned stop."""

    def __init__(self) -> None:
        self._plan: StopPlan | None = None

    def begin(self, plan: StopPlan) -> None:
        """Note that the stop has begun.

        :param plan: schedule of the stop.
        """
        self._plan = plan

    def accepts(self) -> bool:
        """Return whether the home accepts new work."""
        return self._plan is None


__all__ = ('HomeStop', 'StopPhase', 'StopProgress')
