"""Projected starts of queued work on the slots of an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify, heapreplace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from .work import Work


@dataclass(frozen=True, slots=True)
class Need:
    """What work needs from the slots.

    :param order_ms: place in the queue, the earliest first.
    :param due_ms: monotonic time at which it should be done.
    :param run_ms: expected run time.
    :param likely_ms: run time that most runs don't exceed.
    """

    work: Work
    order_ms: float
    due_ms: float
    run_ms: float
    likely_ms: float


class SlotSchedule:
    """Projects which work would be late on the slots of an upstream.

    :param slot_times_ms: monotonic times at which the slots get free.
    :param queued: queued work; what of it is late in any case is no reason to
        leave out other work.
    """

    def __init__(
        self, slot_times_ms: Sequence[float], queued: Sequence[Need]
    ) -> None:
        self._slot_times_ms = slot_times_ms
        self._late = {
            need.work.work_id
            for need, is_late in self._project(queued)
            if is_late
        }

    def up_to_first_late(self, needs: Sequence[Need]) -> list[Need]:
        """Return the work up to the first that would be late, none if none is.

        :param needs: work in any order.
        """
        found: list[Need] = []
        for need, is_late in self._project(needs):
            found.append(need)
            if is_late and need.work.work_id not in self._late:
                return found
        return []

    def start_ms(self, needs: Sequence[Need], own: Need) -> float:
        """Return the expected start of one of the queued works.

        :param needs: work in any order.
        :param own: one of them.
        """
        return next(
            start_ms for need, start_ms in self._starts(needs) if need is own
        )

    def _starts(self, needs: Sequence[Need]) -> Iterator[tuple[Need, float]]:
        slots_ms = list(self._slot_times_ms)
        heapify(slots_ms)
        for need in sorted(needs, key=queue_order):
            start_ms = slots_ms[0]
            heapreplace(slots_ms, start_ms + need.run_ms)
            yield need, start_ms

    def _project(self, needs: Sequence[Need]) -> Iterator[tuple[Need, bool]]:
        for need, start_ms in self._starts(needs):
            yield need, start_ms + need.likely_ms > need.due_ms


def queue_order(need: Need) -> tuple[float, int]:
    """Return the sort key of work in the queue.

    :param need: queued work.
    """
    return need.order_ms, need.work.work_id


__all__ = ('Need', 'SlotSchedule', 'queue_order')
