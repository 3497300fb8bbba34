"""State of one judged operation on one upstream: ejected, on trial, well."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from .detection import Health

if TYPE_CHECKING:
    from ..config.model import DetectionPolicy

_MAX_DOUBLINGS: Final = 20
_RELAPSE_RESET_FACTOR: Final = 10


@dataclass(slots=True)
class EjectionHistory:
    """Earlier ejections of an upstream, whichever operations they concerned.

    :param relapses: ejections that were not forgiven.
    :param returned_at_ms: monotonic time of the last return.
    """

    relapses: int = 0
    returned_at_ms: float = 0


@dataclass(slots=True)
class Ejection:
    """Times of an ejection; each relapse doubles the next one.

    :param policy: first and longest time of an ejection.
    :param history: of the upstream, shared by its ejections.
    :param until_ms: monotonic time at which the trial begins.
    :param severity: how far off the norm it was, to rank by.
    """

    policy: DetectionPolicy
    history: EjectionHistory
    health: Health = Health.WELL
    until_ms: float = 0
    severity: float = 0
    cause: str = ''

    def eject(self, now_ms: float, severity: float, cause: str) -> None:
        """Begin an ejection.

        :param now_ms: monotonic time.
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
        """Return how long an ejection that begins now would last."""
        doublings = min(self.history.relapses, _MAX_DOUBLINGS)
        doubled = self.policy.ejection_ms << doublings
        return min(doubled, self.policy.max_ejection_ms)

    def restore(self, now_ms: float) -> None:
        """End the ejection after a trial, or because the floor asks for it.

        :param now_ms: monotonic time.
        """
        self.health = Health.WELL
        self.history.returned_at_ms = now_ms

    def _may_reset_relapses(self, now_ms: float, duration_ms: int) -> bool:
        if self.health is not Health.WELL or not self.history.relapses:
            return False
        return (
            now_ms - self.history.returned_at_ms
            > _RELAPSE_RESET_FACTOR * duration_ms
        )


__all__ = ('Ejection', 'EjectionHistory')
