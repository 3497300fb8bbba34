"""Admission by target: keeps the queue short enough to meet target latencies.

Load pattern: a traffic peak or the loss of many upstreams, so that demand
exceeds the capacity of the slots for some seconds. A queue bounded only by the
deadline fills up to it and stays full: throughput is no higher, but every
answer is late. CoDel (Nichols and Jacobson, 2012) calls this a standing queue.
With the queue bounded by the target latency, as many requests are answered, and
in time; the others are refused at once with a time after which to retry.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING, Final

from .admission import ADMISSIONS, START, WAIT, AdmissionRule
from .work import Admission, Verdict, Work

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service

_BUSY: Final = Admission(Verdict.BUSY)
# Share of the target latency that queueing and running may use; the rest
# covers network time and runs that take longer than the average.
_USABLE_TARGET_SHARE: Final = 0.85
# Work may queue for this many of its run times, even beyond its target.
_MIN_WAIT_RUNS: Final = 0.5
_HALF: Final = 0.5
# Each step of lower priority places work in the queue as if it had arrived
# this much later.
_PRIORITY_STEP_MS: Final = 250.0
# Work is dropped when less than this share of its expected run time is left.
_MIN_RUN_SHARE: Final = 0.6
_MIN_RETRY_AFTER_MS: Final = 50.0


@ADMISSIONS.register('target')
class TargetAdmission(AdmissionRule):
    """One queue ordered by priority and arrival, bounded by target latency."""

    def __init__(self, service: Service, rng: Random) -> None:
        super().__init__(service, rng)
        self._priorities = _priorities_of(service)
        self._queue: list[Work] = []
        self._dropped: list[Work] = []

    @property
    def waiting(self) -> int:
        return len(self._queue) + len(self._dropped)

    def replace_service(self, service: Service) -> None:
        super().replace_service(service)
        self._priorities = _priorities_of(service)

    def offer(self, work: Work, now_ms: float) -> Admission:
        if not self._queue and self.free > 0:
            self._start(work, now_ms)
            return START
        if not work.may_wait:
            return _BUSY
        wait_ms = self._expected_wait_of(work, now_ms)
        max_wait_ms = self._max_wait_ms(work, now_ms)
        if wait_ms > max_wait_ms:
            return Admission(
                Verdict.REFUSE, self._retry_after_ms(wait_ms - max_wait_ms)
            )
        self._queue.append(work)
        self._queue.sort(key=self._order_ms)
        return WAIT

    def start_next(self, now_ms: float) -> Work | None:
        while self._queue and self._has_free_slot():
            work = self._queue.pop(0)
            if not self._is_too_late(work, now_ms):
                self._start(work, now_ms)
                return work
            self._dropped.append(work)
        return None

    def withdraw(self, work: Work) -> bool:
        if work not in self._queue:
            return False
        self._queue.remove(work)
        return True

    def withdraw_all(self) -> tuple[Work, ...]:
        found = (*self._dropped, *self._queue)
        self._dropped.clear()
        self._queue.clear()
        return found

    def expire(self, now_ms: float) -> tuple[Work, ...]:
        too_late = [
            work for work in self._queue if self._is_too_late(work, now_ms)
        ]
        for work in too_late:
            self._queue.remove(work)
        found = (*self._dropped, *too_late)
        self._dropped.clear()
        return found

    def expected_wait_ms(self, now_ms: float) -> float:
        if self._has_free_slot() and not self._queue:
            return 0
        return self._backlog_ms(self._queue)

    def short_run_ms(self) -> float:
        return self.run_times.learned_ms or super().short_run_ms()

    def _order_ms(self, work: Work) -> float:
        return work.arrived_at_ms + _PRIORITY_STEP_MS * self._priority_rank(
            work
        )

    def _priority_rank(self, work: Work) -> int:
        """Return how many distinct priorities of the service go first."""
        own = self._service.operations.get(work.operation)
        return 0 if own is None else bisect_left(self._priorities, own.priority)

    def _expected_wait_of(self, work: Work, now_ms: float) -> float:
        order_ms = self._order_ms(work)
        return self._backlog_ms(
            [each for each in self._queue if self._order_ms(each) <= order_ms]
        )

    def _backlog_ms(self, ahead: list[Work]) -> float:
        """Return the time until a slot is free once the work ahead is done.

        Running work is assumed to have half of its run time left.
        """
        queued_runs = [
            self.run_times.expected_ms(each.operation) for each in ahead
        ]
        remaining_runs = [
            _HALF * self.run_times.expected_ms(each.operation)
            for each in self._running.values()
        ]
        slots = max(1, self._service.slots_per_upstream)
        return (sum(queued_runs) + sum(remaining_runs)) / slots

    def _max_wait_ms(self, work: Work, now_ms: float) -> float:
        operation = self._service.operations.get(work.operation)
        run_ms = self.run_times.expected_ms(work.operation)
        left_ms = work.deadline_at_ms - now_ms - run_ms
        if operation is None or not operation.target_ms:
            return left_ms
        target_ms = _USABLE_TARGET_SHARE * operation.target_ms - run_ms
        return min(left_ms, max(_MIN_WAIT_RUNS * run_ms, target_ms))

    def _is_too_late(self, work: Work, now_ms: float) -> bool:
        run_ms = self.run_times.expected_ms(work.operation)
        return work.deadline_at_ms - now_ms < _MIN_RUN_SHARE * run_ms

    def _retry_after_ms(self, excess_ms: float) -> int:
        """Return a retry delay that outlasts the excess, with jitter.

        The jitter adds up to the same time again, so that refused callers
        don't all retry at once.

        :param excess_ms: expected wait beyond the admitted maximum.
        """
        base_ms = max(_MIN_RETRY_AFTER_MS, excess_ms)
        return int(base_ms * (1 + self._rng.random()))


def _priorities_of(service: Service) -> list[int]:
    """Return the distinct priorities of a service, the most urgent first."""
    return sorted({each.priority for each in service.operations.values()})


__all__ = ('TargetAdmission',)
