"""State of one judged operation on one upstream: ejected, on trial, well."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from .detection import Health

if TYPE_CHECKING:
    from ..config.model import DetectionPolicy

_MAX_DOUBLINGS: Final = 20
_FORGIVEN_AFTER: Final = 10


@dataclass(slots=True)
class Ejection:
    """Times of an ejection; each relapse doubles the next one.

    :param policy: first and longest time of an ejection.
    :param until_ms: monotonic time at which the trial begins.
    :param relapses: ejections before this one that were not forgiven.
    :param returned_at_ms: monotonic time of the last return.
    :param severity: how far off the norm it was, to rank by.
    """

    policy: DetectionPolicy
    health: Health = Health.WELL
    until_ms: float = 0
    relapses: int = 0
    returned_at_ms: float = 0
    severity: float = 0
    cause: str = ''

    def eject(self, now_ms: float, severity: float, cause: str) -> None:
        """Begin an ejection.

        :param now_ms: monotonic time.
        """
        duration_ms = self.duration_ms()
        if self._is_forgiven(now_ms, duration_ms):
            self.relapses = 0
            duration_ms = self.duration_ms()
        self.health = Health.EJECTED
        self.until_ms = now_ms + duration_ms
        self.relapses += 1
        self.severity = severity
        self.cause = cause

    def duration_ms(self) -> int:
        """Return how long an ejection that begins now would last."""
        doubled = self.policy.ejection_ms << min(self.relapses, _MAX_DOUBLINGS)
        return min(doubled, self.policy.max_ejection_ms)

    def restore(self, now_ms: float) -> None:
        """End the ejection after a trial, or because the floor asks for it.

        :param now_ms: monotonic time.
        """
        self.health = Health.WELL
        self.returned_at_ms = now_ms

    def _is_forgiven(self, now_ms: float, duration_ms: int) -> bool:
        if self.health is not Health.WELL or not self.relapses:
            return False
        return now_ms - self.returned_at_ms > _FORGIVEN_AFTER * duration_ms


__all__ = ('Ejection',)
