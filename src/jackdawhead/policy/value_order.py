"""Compares work by what it costs callers to turn it away."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .slot_schedule import Need

# Work of the same priority gives way to work that needs so much less slot time.
_WORK_RATIO: Final = 4.0


@dataclass(frozen=True, slots=True)
class Worth:
    """What it costs to turn work away, to compare it with other work.

    :param priority: rank under overload, 0 being the most important.
    :param used_ms: recent slot time of its organisation.
    :param held_share: share of its time to the target that it has waited.
    """

    need: Need
    priority: int
    used_ms: float
    held_share: float = 0

    @property
    def per_slot_ms(self) -> float:
        """Cost of turning it away for each millisecond of slot time.

        A caller that was held for long loses the time, too.
        """
        return (1 + self.held_share) / max(1, self.need.run_ms)

    def gives_way_to(self, other: Worth) -> bool:
        """Return whether this work is displaced by other work.

        Within a priority, the organisation that has used more slot time gives
        way, if it stays ahead even without this work.

        :param other: work that has just arrived.
        """
        if self.priority != other.priority:
            return self.priority > other.priority
        lead_ms = self.used_ms - other.used_ms
        if lead_ms >= self.need.run_ms + other.need.run_ms:
            return True
        if lead_ms <= -(self.need.run_ms + other.need.run_ms):
            return False
        return other.per_slot_ms > _WORK_RATIO * self.per_slot_ms


def least_worth(worths: Sequence[Worth]) -> Worth:
    """Return the work that costs least to turn away.

    :param worths: work to compare, at least one.
    """
    return max(worths, key=_order)


def _order(worth: Worth) -> tuple[int, float, float]:
    return worth.priority, worth.used_ms, -worth.per_slot_ms


__all__ = ('Worth', 'least_worth')
