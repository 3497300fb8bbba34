"""Ejection state of one operation on one upstream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from .detection import Health

if TYPE_CHECKING:
    from ..config.model import DetectionPolicy

_MAX_DOUBLINGS: Final = 20
# Relapses are reset after an upstream was healthy for this many times the
# length of its next ejection.
_RELAPSE_RESET_FACTOR: Final = 10


@dataclass(slots=True)
class EjectionHistory:
    """Earlier ejections of an upstream, for any of its operations.

    :param relapses: ejections since the count was last reset.
    :param returned_at_ms: monotonic time at which the last ejection ended.
    """

    relapses: int = 0
    returned_at_ms: float = 0


@dataclass(slots=True)
class Ejection:
    """Health and timing of an ejection; each relapse doubles its length.

    :param policy: first and longest duration of an ejection.
    :param history: history of the upstream, shared by all its ejections.
    :param health: current health.
    :param until_ms: monotonic time at which the trial starts.
    :param severity: deviation from the norm, for ranking.
    :param cause: figures for the audit trail.
    """

    policy: DetectionPolicy
    history: EjectionHistory
    health: Health = Health.HEALTHY
    until_ms: float = 0
    severity: float = 0
    cause: str = ''

    def eject(self, now_ms: float, severity: float, cause: str) -> None:
        """Start an ejection.

        :param now_ms: monotonic time.
        :param severity: deviation from the norm.
        :param cause: figures for the audit trail.
        """
        duration_ms = self.duration_ms()
        if self._may_reset_relapses(now_ms, duration_ms):
            self.history.relapses = 0
            duration_ms = self.duration_ms()
        self.health = Health.EJECTED
        self.until_ms = now_ms + duration_ms
        self.history.relapses += 1
        self.severity = severity
        self.cause = cause

    def duration_ms(self) -> int:
        """Return the length of an ejection that would start now."""
        doublings = min(self.history.relapses, _MAX_DOUBLINGS)
        doubled = self.policy.ejection_ms << doublings
        return min(doubled, self.policy.max_ejection_ms)

    def restore(self, now_ms: float) -> None:
        """End the ejection, for example after a trial that passed.

        :param now_ms: monotonic time.
        """
        self.health = Health.HEALTHY
        self.history.returned_at_ms = now_ms

    def _may_reset_relapses(self, now_ms: float, duration_ms: int) -> bool:
        if self.health is not Health.HEALTHY or not self.history.relapses:
            return False
        return (
            now_ms - self.history.returned_at_ms
            > _RELAPSE_RESET_FACTOR * duration_ms
        )


__all__ = ('Ejection', 'EjectionHistory')
