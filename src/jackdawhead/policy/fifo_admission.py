"""Admission in the order of arrival, as a baseline for comparisons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .admission import ADMISSIONS, START, WAIT, AdmissionRule

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service
    from .work import Admission, Work


@ADMISSIONS.register('fifo')
class FifoAdmission(AdmissionRule):
    """Baseline: one unbounded first-in, first-out queue."""

    def __init__(self, service: Service, rng: Random) -> None:
        super().__init__(service, rng)
        self._queue: dict[int, Work] = {}

    @property
    def waiting(self) -> int:
        return len(self._queue)

    def offer(self, work: Work, now_ms: float) -> Admission:
        if self._has_free_slot() and not self._queue:
            self._start(work, now_ms)
            return START
        self._queue[work.work_id] = work
        return WAIT

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


__all__ = ('FifoAdmission',)
