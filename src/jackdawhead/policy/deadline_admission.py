"""Admission by deadline: bounds queueing time and limits long work."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from ..config.model import WorkClass
from .active_set import RecentNames
from .admission import ADMISSIONS, START, WAIT, AdmissionRule
from .class_queue import ClassQueue
from .work import Admission, Verdict, Work

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service

_PERCENT: Final = 100
_MIN_RETRY_AFTER_MS: Final = 50
# Work may queue for this many of its expected run times, even beyond the
# configured bound.
_MAX_WAIT_RUNS: Final = 5
# An organisation counts as active for this long after its last request.
_ORGANISATION_ACTIVE_MS: Final = 1000
# Work is dropped when less than this share of its expected run time is left.
_MIN_RUN_SHARE: Final = 0.8
_BUSY: Final = Admission(Verdict.BUSY)


@ADMISSIONS.register('deadline')
class DeadlineAdmission(AdmissionRule):
    """Bounds the queueing time, and reserves slots for short work.

    Work is refused at once if its expected wait exceeds the time left until
    its deadline, or exceeds both the configured bound and a few of its run
    times. Short work overtakes long work, and long work leaves one slot
    free, until the long work has aged.
    """

    def __init__(self, service: Service, rng: Random) -> None:
        super().__init__(service, rng)
        self._long_slots = _long_slots_of(service)
        self._short = ClassQueue()
        self._long = ClassQueue()
        self._dropped: list[Work] = []
        self._active_organisations = RecentNames(_ORGANISATION_ACTIVE_MS)

    def replace_service(self, service: Service) -> None:
        super().replace_service(service)
        self._long_slots = _long_slots_of(service)

    @property
    def waiting(self) -> int:
        return len(self._short) + len(self._long) + len(self._dropped)

    def offer(self, work: Work, now_ms: float) -> Admission:
        self._active_organisations.add(work.organisation, now_ms)
        queue = self._queue_of(work)
        if not queue and self._may_start(work):
            self._start(work, now_ms)
            return START
        if not work.may_wait:
            return _BUSY
        wait_ms = self._expected_wait_of(work, queue)
        run_ms = self.run_times.expected_ms(work.operation)
        slack_ms = work.deadline_at_ms - now_ms - run_ms
        max_wait_ms = max(
            self._service.queue.max_wait_ms, _MAX_WAIT_RUNS * run_ms
        )
        if wait_ms > min(slack_ms, max_wait_ms):
            return Admission(Verdict.REFUSE, self._retry_after_ms(wait_ms))
        queue.append(work)
        return WAIT

    def start_next(self, now_ms: float) -> Work | None:
        while self._has_free_slot():
            queue = self._next_queue(now_ms)
            if queue is None:
                return None
            work = queue.pop()
            if not self._is_too_late(work, now_ms=now_ms):
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
        too_late = partial(self._is_too_late, now_ms=now_ms)
        dropped = tuple(self._dropped)
        self._dropped.clear()
        found = self._short.remove_if(too_late) + self._long.remove_if(too_late)
        return dropped + found

    def expected_wait_ms(self, now_ms: float) -> float:
        if self._has_free_slot():
            return 0
        short_ms = self._current_short_run_ms(now_ms)
        return (len(self._short) + 1) * short_ms / self._short_slots()

    def _is_too_late(self, work: Work, *, now_ms: float) -> bool:
        """Return whether too little time is left to complete the work."""
        run_ms = self.run_times.expected_ms(work.operation)
        return work.deadline_at_ms - now_ms < _MIN_RUN_SHARE * run_ms

    def _queue_of(self, work: Work) -> ClassQueue:
        return self._long if work.work_class is WorkClass.LONG else self._short

    def _may_start(self, work: Work) -> bool:
        if work.work_class is WorkClass.SHORT:
            return self.free > 0
        return self._may_start_long(is_aged=False)

    def _may_start_long(self, *, is_aged: bool) -> bool:
        """Return whether long work may start.

        Unless it has aged, it leaves one slot free, so that the next short
        work can start at once.
        """
        if self._running_long >= self._long_slots:
            return False
        reserved = 0 if is_aged or self._service.slots_per_upstream == 1 else 1
        return self.free > reserved

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

    def _expected_wait_of(self, work: Work, queue: ClassQueue) -> float:
        """Return the expected wait if every active organisation queues work.

        An active organisation without queued work may still submit some and
        take its turn before this work.
        """
        own = queue.depth_of(work.organisation) + 1
        active = self._active_organisations.count(work.arrived_at_ms)
        ahead = own * max(1, active)
        run_ms = self.run_times.expected_ms(work.operation)
        if work.work_class is WorkClass.LONG:
            return ahead * run_ms / self._long_slots
        run_ms = max(run_ms, self.mean_age_ms(work.arrived_at_ms))
        return ahead * run_ms / self._short_slots()

    def _short_slots(self) -> int:
        return max(1, self._service.slots_per_upstream - self._running_long)

    def _current_short_run_ms(self, now_ms: float) -> float:
        """Return an up-to-date estimate of the run time of short work.

        Work that is still running and exceeds the learned average shows, even
        before it ends, that the average is out of date.
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


__all__ = ('DeadlineAdmission',)
