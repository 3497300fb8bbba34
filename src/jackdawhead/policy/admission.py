"""Admission of work to the slots of one upstream."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from ..config.model import WorkClass
from ..registry import Registry
from .run_times import RunTimes
from .work import Admission, Verdict, Work

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service

START: Final = Admission(Verdict.START)
WAIT: Final = Admission(Verdict.WAIT)


class AdmissionRule(ABC):
    """Owns the slots of one upstream and the queue in front of them.

    :param service: limits and operations.
    :param rng: spreads the times at which refused callers come back.
    """

    def __init__(self, service: Service, rng: Random) -> None:
        self._service = service
        self._rng = rng
        self._running: dict[int, Work] = {}
        self._started_ms: dict[int, float] = {}
        self._running_long = 0
        self.run_times = RunTimes(service.operations)

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return len(self._running)

    @property
    def free(self) -> int:
        """Number of slots that are free."""
        return self._service.slots_per_upstream - len(self._running)

    @property
    @abstractmethod
    def waiting(self) -> int:
        """Number of pieces of work that wait."""

    def replace_service(self, service: Service) -> None:
        """Follow other limits; what runs and what waits stays.

        :param service: limits and operations, of the same service.
        """
        self._service = service
        self.run_times.replace_operations(service.operations)

    @abstractmethod
    def offer(self, work: Work, now_ms: float) -> Admission:
        """Start, queue or refuse work.

        :param work: new work.
        :param now_ms: monotonic time.
        """

    @abstractmethod
    def start_next(self, now_ms: float) -> Work | None:
        """Give a free slot to waiting work, if there are both.

        :param now_ms: monotonic time.
        """

    @abstractmethod
    def withdraw(self, work: Work) -> bool:
        """Remove waiting work.

        :returns: whether it was waiting, hence has not run.
        """

    @abstractmethod
    def withdraw_all(self) -> tuple[Work, ...]:
        """Remove and return all waiting work."""

    @abstractmethod
    def expire(self, now_ms: float) -> tuple[Work, ...]:
        """Remove and return waiting work that can no longer be done in time.

        :param now_ms: monotonic time.
        """

    @abstractmethod
    def expected_wait_ms(self, now_ms: float) -> float:
        """Return the expected wait of short work that arrives now.

        :param now_ms: monotonic time.
        """

    def finish(self, work: Work, run_ms: float | None) -> None:
        """Free the slot of work that ended.

        :param run_ms: its run time, or nothing if it says nothing about
            the operation, for example after a cancellation.
        """
        if self._running.pop(work.work_id, None) is None:
            return
        self._started_ms.pop(work.work_id)
        if work.work_class is WorkClass.LONG:
            self._running_long -= 1
        if run_ms is not None:
            self.run_times.observe(work.operation, run_ms)

    def short_run_ms(self) -> float:
        """Return the least expected run time of the short operations."""
        operations = self._service.operations.values()
        return min(
            (
                self.run_times.expected_ms(each.name)
                for each in operations
                if each.work_class is WorkClass.SHORT
            ),
            default=1,
        )

    def mean_age_ms(self, now_ms: float) -> float:
        """Return how long running short work has run so far, on average.

        :param now_ms: monotonic time.
        """
        ages = [
            now_ms - self._started_ms[work.work_id]
            for work in self._running.values()
            if work.work_class is WorkClass.SHORT
        ]
        return sum(ages) / len(ages) if ages else 0

    def _start(self, work: Work, now_ms: float) -> None:
        self._running[work.work_id] = work
        self._started_ms[work.work_id] = now_ms
        if work.work_class is WorkClass.LONG:
            self._running_long += 1

    def _has_free_slot(self) -> bool:
        return self.free > 0


ADMISSIONS: Final[Registry[AdmissionRule]] = Registry('admission rule')

__all__ = ('ADMISSIONS', 'START', 'WAIT', 'AdmissionRule')
