"""Admission control for the slots of one upstream."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from math import inf
from typing import TYPE_CHECKING, Final

from ..config.model import WorkClass
from ..registry import Registry
from ..wire.messages import ALL_PRIORITIES
from .run_times import RunTimes
from .work import Admission, Displaced, Verdict, Work

if TYPE_CHECKING:
    from random import Random

    from ..clock import Clock
    from ..config.model import Service

START: Final = Admission(Verdict.START)
WAIT: Final = Admission(Verdict.WAIT)


class AdmissionRule(ABC):
    """Base class of the rules that manage an upstream's slots and queue.

    :param service: limits and operations.
    :param rng: randomizes the time after which refused callers retry.

    The attribute ``handled_until_ms`` returns the monotonic time up to which
    ends of runs are known: those of later ones may not have been read yet.
    ``displaced_counts`` counts the work that gave way, by priority.
    """

    def __init__(self, service: Service, rng: Random) -> None:
        self._service = service
        self._rng = rng
        self._running: dict[int, Work] = {}
        self._started_ms: dict[int, float] = {}
        self._running_long = 0
        self.handled_until_ms: Clock = lambda: inf
        self.run_times = RunTimes(service.operations)
        self.displaced_counts: Counter[int] = Counter()

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return len(self._running)

    @property
    def free(self) -> int:
        """Number of free slots, 0 or less if all are in use."""
        return self._service.slots_per_upstream - len(self._running)

    @property
    @abstractmethod
    def waiting(self) -> int:
        """Number of queued requests."""

    def replace_service(self, service: Service) -> None:
        """Apply new limits; running and queued work is kept.

        :param service: new limits and operations of the same service.
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
        """Start the next queued work if a slot is free.

        :param now_ms: monotonic time.
        :returns: the work that was started, None if there is none.
        """

    @abstractmethod
    def withdraw(self, work: Work) -> bool:
        """Remove work from the queue.

        :returns: whether it was queued, which proves that it has not run.
        """

    @abstractmethod
    def withdraw_all(self) -> tuple[Work, ...]:
        """Remove and return all queued work."""

    @abstractmethod
    def expire(self, now_ms: float) -> tuple[Work, ...]:
        """Remove and return queued work that would miss its deadline.

        :param now_ms: monotonic time.
        """

    @abstractmethod
    def expected_wait_ms(self, now_ms: float) -> float:
        """Return the expected queueing time of short work that arrives now.

        :param now_ms: monotonic time.
        """

    def take_displaced(self) -> tuple[Displaced, ...]:
        """Remove and return the work that gave way to what was offered."""
        return ()

    def refused_from(self, now_ms: float) -> int:
        """Return the most urgent priority that gets no place in the queue.

        :param now_ms: monotonic time.
        :returns: ``ALL_PRIORITIES`` if work of all priorities is taken.
        """
        return ALL_PRIORITIES

    def finish(self, work: Work, run_ms: float | None) -> None:
        """Free the slot of finished work and learn from its run time.

        :param run_ms: run time, or None if it is not representative of the
            operation, for example after a cancellation.
        """
        if self._running.pop(work.work_id, None) is None:
            return
        self._started_ms.pop(work.work_id)
        if work.work_class is WorkClass.LONG:
            self._running_long -= 1
        if run_ms is not None:
            self.run_times.observe(work.operation, run_ms)

    def short_run_ms(self) -> float:
        """Return the shortest expected run time of all short operations."""
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
        """Return the mean time for which the short work is known to have run.

        Load pattern: more busy processes than cores. After the home was not
        scheduled for some time, requests and answers of that time are read in
        any order, so work that still counts as running may have ended.

        :param now_ms: monotonic time.
        """
        known_ms = min(now_ms, self.handled_until_ms())
        ages = [
            max(0, known_ms - self._started_ms[work.work_id])
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
