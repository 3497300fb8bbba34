"""Admission of work to the slots of one upstream."""

from __future__ import annotations

from abc import ABC, abstractmethod
from functools import partial
from typing import TYPE_CHECKING, Final

from ..config.model import WorkClass
from ..registry import Registry
from .active_set import ActiveSet
from .class_queue import ClassQueue
from .run_times import RunTimes
from .work import Admission, Verdict, Work

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service

_PERCENT: Final = 100
_MIN_RETRY_AFTER_MS: Final = 50
_WAIT_FACTOR: Final = 5
_ACTIVE_MS: Final = 1000
_HOPELESS_SHARE: Final = 0.8
_START: Final = Admission(Verdict.START)
_WAIT: Final = Admission(Verdict.WAIT)
_BUSY: Final = Admission(Verdict.BUSY)


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


@ADMISSIONS.register('deadline')
class DeadlineAdmission(AdmissionRule):
    """Bounds the queue by time, and keeps slots free of long work.

    Work whose expected wait exceeds its deadline is refused at once, and so
    is work that would wait longer than the bound and a few of its run times.
    Short work overtakes long work, and long work leaves a slot free, until
    it has aged.
    """

    def __init__(self, service: Service, rng: Random) -> None:
        super().__init__(service, rng)
        self._long_slots = _long_slots_of(service)
        self._short = ClassQueue()
        self._long = ClassQueue()
        self._dropped: list[Work] = []
        self._active = ActiveSet(_ACTIVE_MS)

    def replace_service(self, service: Service) -> None:
        super().replace_service(service)
        self._long_slots = _long_slots_of(service)

    @property
    def waiting(self) -> int:
        return len(self._short) + len(self._long) + len(self._dropped)

    def offer(self, work: Work, now_ms: float) -> Admission:
        self._active.note(work.organisation, now_ms)
        queue = self._queue_of(work)
        if not queue and self._may_start(work):
            self._start(work, now_ms)
            return _START
        if not work.may_wait:
            return _BUSY
        wait_ms = self._wait_of(work, queue)
        run_ms = self.run_times.expected_ms(work.operation)
        spare_ms = work.deadline_at_ms - now_ms - run_ms
        bound_ms = max(self._service.queue.max_wait_ms, _WAIT_FACTOR * run_ms)
        if wait_ms > min(spare_ms, bound_ms):
            return Admission(Verdict.REFUSE, self._retry_after_ms(wait_ms))
        queue.append(work)
        return _WAIT

    def start_next(self, now_ms: float) -> Work | None:
        while self._has_free_slot():
            queue = self._next_queue(now_ms)
            if queue is None:
                return None
            work = queue.pop()
            if not self._is_hopeless(work, now_ms=now_ms):
                self._start(work, now_ms)
                return work
            self._dropped.append(work)
        return None

    def withdraw(self, work: Work) -> bool:
        return self._queue_of(work).remove(work)

    def withdraw_all(self) -> tuple[Work, ...]:
        dropped = tuple(self._dropped)
        self._dropped.clear()
        return dropped + self._short.drain() + self._long.drain()

    def expire(self, now_ms: float) -> tuple[Work, ...]:
        hopeless = partial(self._is_hopeless, now_ms=now_ms)
        dropped = tuple(self._dropped)
        self._dropped.clear()
        found = self._short.remove_if(hopeless) + self._long.remove_if(hopeless)
        return dropped + found

    def expected_wait_ms(self, now_ms: float) -> float:
        if self._has_free_slot():
            return 0
        short_ms = self._typical_short_ms(now_ms)
        return (len(self._short) + 1) * short_ms / self._short_slots()

    def _is_hopeless(self, work: Work, *, now_ms: float) -> bool:
        """Return whether work can no longer be done in time."""
        run_ms = self.run_times.expected_ms(work.operation)
        return work.deadline_at_ms - now_ms < _HOPELESS_SHARE * run_ms

    def _queue_of(self, work: Work) -> ClassQueue:
        return self._long if work.work_class is WorkClass.LONG else self._short

    def _may_start(self, work: Work) -> bool:
        if work.work_class is WorkClass.SHORT:
            return self.free > 0
        return self._may_start_long(is_aged=False)

    def _may_start_long(self, *, is_aged: bool) -> bool:
        """Return whether long work may start.

        Unless it has aged it leaves a slot free, so that the next short
        work does not find all of them taken.
        """
        if self._running_long >= self._long_slots:
            return False
        spare = 0 if is_aged or self._service.slots_per_upstream == 1 else 1
        return self.free > spare

    def _next_queue(self, now_ms: float) -> ClassQueue | None:
        oldest = self._long.oldest()
        if oldest is None:
            return self._short or None
        waited_ms = now_ms - oldest.arrived_at_ms
        is_aged = waited_ms >= self._service.queue.aging_ms
        may_start = self._may_start_long(is_aged=is_aged)
        if may_start and (is_aged or not self._short):
            return self._long
        return self._short or None

    def _wait_of(self, work: Work, queue: ClassQueue) -> float:
        """Return the wait of new work when all active organisations queue.

        Those that are active but have nothing waiting now may still take
        their turns before it.
        """
        own = queue.depth_of(work.organisation) + 1
        rivals = self._active.count(work.arrived_at_ms)
        ahead = own * max(1, rivals)
        run_ms = self.run_times.expected_ms(work.operation)
        if work.work_class is WorkClass.LONG:
            return ahead * run_ms / self._long_slots
        run_ms = max(run_ms, self.mean_age_ms(work.arrived_at_ms))
        return ahead * run_ms / self._short_slots()

    def _short_slots(self) -> int:
        return max(1, self._service.slots_per_upstream - self._running_long)

    def _typical_short_ms(self, now_ms: float) -> float:
        """Return the run time of short work, as far as it can be known now.

        Work that has run for longer than it should shows that the average
        is out of date, before it ends.
        """
        shorts = [
            self.run_times.expected_ms(work.operation)
            for work in self._running.values()
            if work.work_class is WorkClass.SHORT
        ]
        if not shorts:
            return self.short_run_ms()
        return max(sum(shorts) / len(shorts), self.mean_age_ms(now_ms))

    def _retry_after_ms(self, wait_ms: float) -> int:
        base_ms = max(_MIN_RETRY_AFTER_MS, wait_ms)
        return int(base_ms * (1 + self._rng.random()))


def _long_slots_of(service: Service) -> int:
    slots = service.slots_per_upstream
    share = service.queue.long_slots_percent / _PERCENT
    return max(1, min(int(slots * share), slots - 1))


@ADMISSIONS.register('fifo')
class FifoAdmission(AdmissionRule):
    """Baseline: one unbounded queue, first in, first out."""

    def __init__(self, service: Service, rng: Random) -> None:
        super().__init__(service, rng)
        self._queue: dict[int, Work] = {}

    @property
    def waiting(self) -> int:
        return len(self._queue)

    def offer(self, work: Work, now_ms: float) -> Admission:
        if self._has_free_slot() and not self._queue:
            self._start(work, now_ms)
            return _START
        self._queue[work.work_id] = work
        return _WAIT

    def start_next(self, now_ms: float) -> Work | None:
        if not self._queue or not self._has_free_slot():
            return None
        work = self._queue.pop(next(iter(self._queue)))
        self._start(work, now_ms)
        return work

    def withdraw(self, work: Work) -> bool:
        return self._queue.pop(work.work_id, None) is not None

    def withdraw_all(self) -> tuple[Work, ...]:
        waiting = tuple(self._queue.values())
        self._queue.clear()
        return waiting

    def expire(self, now_ms: float) -> tuple[Work, ...]:
        expired = tuple(
            work
            for work in self._queue.values()
            if work.deadline_at_ms <= now_ms
        )
        for work in expired:
            self.withdraw(work)
        return expired

    def expected_wait_ms(self, now_ms: float) -> float:
        slots = self._service.slots_per_upstream
        busy_ms = sum(
            self.run_times.expected_ms(work.operation)
            for work in self._queue.values()
        )
        return busy_ms / slots


__all__ = ('ADMISSIONS', 'AdmissionRule', 'DeadlineAdmission')
