"""Admission by target: keeps the queue short enough to answer in time.

Load pattern: a crest or the loss of many upstreams, with more work than the
slots can do for some seconds. A queue bounded by the deadline alone fills up
to it and stays full, so that all answers are late though no more of them are
given; CoDel (Nichols and Jacobson, 2012) calls it a standing queue. Bounded by
the time in which callers want the answer, the same number is answered, in
time, and the rest is told at once when to come back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .admission import ADMISSIONS, START, WAIT, AdmissionRule
from .work import Admission, Verdict, Work

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service

_BUSY: Final = Admission(Verdict.BUSY)
# Of the target, for the way and for runs longer than the average.
_SPARE_SHARE: Final = 0.85
# A queue of this many runs is always allowed, whatever the target.
_LEAST_WAIT_RUNS: Final = 0.5
_HALF: Final = 0.5
# Less urgent work lets that of the next rank pass which comes this much later.
_RANK_MS: Final = 250.0
# Work with less time left than this share of a run is not begun.
_HOPELESS_SHARE: Final = 0.6
_MIN_RETRY_AFTER_MS: Final = 50.0


@ADMISSIONS.register('target')
class TargetAdmission(AdmissionRule):
    """One queue by urgency and arrival, bounded by the targets of its work."""

    def __init__(self, service: Service, rng: Random) -> None:
        super().__init__(service, rng)
        self._queue: list[Work] = []
        self._dropped: list[Work] = []

    @property
    def waiting(self) -> int:
        return len(self._queue) + len(self._dropped)

    def offer(self, work: Work, now_ms: float) -> Admission:
        if not self._queue and self.free > 0:
            self._start(work, now_ms)
            return START
        if not work.may_wait:
            return _BUSY
        wait_ms = self._wait_of(work, now_ms)
        limit_ms = self._limit_ms(work, now_ms)
        if wait_ms > limit_ms:
            return Admission(
                Verdict.REFUSE, self._retry_after_ms(wait_ms - limit_ms)
            )
        self._queue.append(work)
        self._queue.sort(key=self._turn)
        return WAIT

    def start_next(self, now_ms: float) -> Work | None:
        while self._queue and self._has_free_slot():
            work = self._queue.pop(0)
            if not self._is_hopeless(work, now_ms):
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
        hopeless = [
            work for work in self._queue if self._is_hopeless(work, now_ms)
        ]
        for work in hopeless:
            self._queue.remove(work)
        found = (*self._dropped, *hopeless)
        self._dropped.clear()
        return found

    def expected_wait_ms(self, now_ms: float) -> float:
        if self._has_free_slot() and not self._queue:
            return 0
        return self._backlog_ms(self._queue)

    def short_run_ms(self) -> float:
        return self.run_times.learned_ms or super().short_run_ms()

    def _turn(self, work: Work) -> float:
        return work.arrived_at_ms + _RANK_MS * self._rank(work)

    def _rank(self, work: Work) -> int:
        """Return how many kinds of urgency of this service go before."""
        operations = self._service.operations
        own = operations.get(work.operation)
        if own is None:
            return 0
        return len(
            {
                each.priority
                for each in operations.values()
                if each.priority < own.priority
            }
        )

    def _wait_of(self, work: Work, now_ms: float) -> float:
        turn = self._turn(work)
        return self._backlog_ms(
            [each for each in self._queue if self._turn(each) <= turn]
        )

    def _backlog_ms(self, ahead: list[Work]) -> float:
        """Return the time until a slot is free after the work ahead."""
        runs = [self.run_times.expected_ms(each.operation) for each in ahead]
        halves = [
            _HALF * self.run_times.expected_ms(each.operation)
            for each in self._running.values()
        ]
        slots = max(1, self._service.slots_per_upstream)
        return (sum(runs) + sum(halves)) / slots

    def _limit_ms(self, work: Work, now_ms: float) -> float:
        operation = self._service.operations.get(work.operation)
        run_ms = self.run_times.expected_ms(work.operation)
        left_ms = work.deadline_at_ms - now_ms - run_ms
        if operation is None or not operation.target_ms:
            return left_ms
        target_ms = _SPARE_SHARE * operation.target_ms - run_ms
        return min(left_ms, max(_LEAST_WAIT_RUNS * run_ms, target_ms))

    def _is_hopeless(self, work: Work, now_ms: float) -> bool:
        run_ms = self.run_times.expected_ms(work.operation)
        return work.deadline_at_ms - now_ms < _HOPELESS_SHARE * run_ms

    def _retry_after_ms(self, excess_ms: float) -> int:
        """Return when the queue will have room, spread over as long again."""
        base_ms = max(_MIN_RETRY_AFTER_MS, excess_ms)
        return int(base_ms * (1 + self._rng.random()))


__all__ = ('TargetAdmission',)
