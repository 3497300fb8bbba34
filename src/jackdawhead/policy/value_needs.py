"""What work needs from the slots: its due time, run time and place."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING, Final

from .slot_schedule import Need
from .work import Work

if TYPE_CHECKING:
    from ..config.model import Operation, Service
    from .run_times import RunTimes

# Share of the target latency up to which queueing and running should be over;
# the rest covers network time.
_USABLE_TARGET_SHARE: Final = 0.9
# Work may queue for this many of its run times, even beyond its target.
_MIN_WAIT_RUNS: Final = 0.5
# Each step of lower priority places work in the queue as if it were due this
# much later.
_PRIORITY_STEP_MS: Final = 250.0


class ValueNeeds:
    """Derives needs from targets, deadlines and learned run times.

    :param service: operations with their targets and priorities.
    :param run_times: run times of these operations.
    """

    def __init__(self, service: Service, run_times: RunTimes) -> None:
        self._run_times = run_times
        self._service = service
        self.priorities = _priorities_of(service)

    def replace_service(self, service: Service) -> None:
        """Apply other operations.

        :param service: new operations of the same service.
        """
        self._service = service
        self.priorities = _priorities_of(service)

    def need(self, work: Work, now_ms: float) -> Need:
        """Return what work needs.

        :param now_ms: monotonic time.
        """
        run_ms = self._run_times.expected_ms(work.operation)
        due_ms = self.due_ms(work)
        if now_ms + run_ms > due_ms:
            # Too late for its target: a further delay costs less.
            due_ms = work.deadline_at_ms
        rank = bisect_left(self.priorities, work.priority)
        return Need(
            work,
            due_ms + _PRIORITY_STEP_MS * rank,
            due_ms,
            run_ms,
            self._run_times.likely_ms(work.operation),
        )

    def due_ms(self, work: Work) -> float:
        """Return the monotonic time at which work should be done."""
        operation = self._service.operations.get(work.operation)
        if operation is None or not operation.target_ms:
            return work.deadline_at_ms
        target_ms = _USABLE_TARGET_SHARE * operation.target_ms
        likely_ms = self._run_times.likely_ms(work.operation)
        least_ms = (1 + _MIN_WAIT_RUNS) * likely_ms
        due_ms = work.arrived_at_ms + max(target_ms, least_ms)
        return min(work.deadline_at_ms, due_ms)

    def samples(self, now_ms: float) -> list[Work]:
        """Return work of each priority with the shortest run, urgent first.

        :param now_ms: monotonic time of its arrival.
        """
        operations = sorted(
            self._service.operations.values(),
            key=self._likely_ms_of,
            reverse=True,
        )
        shortest = {each.priority: each for each in operations}
        return [
            _work_like(shortest[priority], now_ms)
            for priority in self.priorities
        ]

    def _likely_ms_of(self, operation: Operation) -> float:
        return self._run_times.likely_ms(operation.name)


def _priorities_of(service: Service) -> list[int]:
    """Return the distinct priorities of a service, the most urgent first."""
    return sorted({each.priority for each in service.operations.values()})


def _work_like(operation: Operation, now_ms: float) -> Work:
    return Work(
        0,
        operation.name,
        operation.work_class,
        '',
        now_ms,
        now_ms + operation.deadline_ms,
        priority=operation.priority,
    )


__all__ = ('ValueNeeds',)
