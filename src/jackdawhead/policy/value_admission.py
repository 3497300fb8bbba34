"""Admission by value: what costs callers least gives way.

Load pattern: more work than slots for some seconds, of operations and
organisations that differ in priority, target latency and slot time. A queue in
order of arrival is full of less urgent work when urgent work comes. Here work
that has just arrived displaces queued work that costs callers less, which is
refused at once and has not run.

The queue is ordered by the time at which work is due. As in the algorithm of
Moore and Hodgson, the least worthy of the work up to the first that would be
late is left out; see docs/design/giving-way.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..wire.messages import ALL_PRIORITIES
from .admission import ADMISSIONS, START, WAIT, AdmissionRule
from .return_times import ReturnTimes
from .served_shares import ServedShares
from .slot_schedule import SlotSchedule, queue_order
from .urgent_demand import UrgentDemand
from .value_needs import ValueNeeds
from .value_order import Worth, least_worth
from .work import Admission, Displaced, Verdict, Work

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service
    from .slot_schedule import Need

VALUE_ADMISSION: Final = 'value'
_BUSY: Final = Admission(Verdict.BUSY)
# Rank of queued work of a kind or an organisation that would starve.
_PROTECTED: Final = -1
# A run that exceeds its expected time has at least this share of it left.
_MIN_REMAINING_SHARE: Final = 0.25
# The level is computed anew only after this time.
_LEVEL_LIFE_MS: Final = 20.0
# Work is dropped when less than this share of its expected run time is left.
_MIN_RUN_SHARE: Final = 0.6


@ADMISSIONS.register(VALUE_ADMISSION)
class ValueAdmission(AdmissionRule):
    """Queue bounded by targets, from which the least worthy work gives way."""

    def __init__(self, service: Service, rng: Random) -> None:
        super().__init__(service, rng)
        self._needs = ValueNeeds(service, self.run_times)
        self._queue: list[Work] = []
        self._dropped: list[Work] = []
        self._displaced: list[Displaced] = []
        self._protected: set[int] = set()
        self._level = ALL_PRIORITIES
        self._level_until_ms: float = 0
        self._shares = ServedShares()
        self._demand = UrgentDemand()
        self._returns = ReturnTimes(rng)

    @property
    def waiting(self) -> int:
        return len(self._queue) + len(self._dropped)

    def replace_service(self, service: Service) -> None:
        super().replace_service(service)
        self._needs.replace_service(service)

    def offer(self, work: Work, now_ms: float) -> Admission:
        has_slot = self.free > 0 and not self._queue
        if not has_slot and not work.may_wait:
            return _BUSY
        self._shares.note_offered(work, now_ms)
        run_ms = self.run_times.expected_ms(work.operation)
        self._demand.note_offered(work, run_ms, now_ms)
        if has_slot:
            self._accept(work, now_ms)
            self._start(work, now_ms)
            return START
        if self._shares.is_below_floor(work, now_ms):
            self._protect(work)
        giving_way = self._giving_way(work, now_ms)
        if giving_way is None:
            self._protected.discard(work.work_id)
            retry_after_ms = self._retry_after_ms(work, now_ms)
            return Admission(Verdict.REFUSE, retry_after_ms)
        for each in giving_way:
            self._displace(each, now_ms)
        self._accept(work, now_ms)
        self._queue.append(work)
        return WAIT

    def start_next(self, now_ms: float) -> Work | None:
        while self._queue and self._has_free_slot():
            needs = [self._needs.need(each, now_ms) for each in self._queue]
            first = min(needs, key=queue_order).work
            self._queue.remove(first)
            if not self._is_too_late(first, now_ms):
                self._start(first, now_ms)
                return first
            self._dropped.append(first)
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

    def take_displaced(self) -> tuple[Displaced, ...]:
        found = tuple(self._displaced)
        self._displaced.clear()
        return found

    def expected_wait_ms(self, now_ms: float) -> float:
        if self._has_free_slot() and not self._queue:
            return 0
        return self._backlog_ms(self._queue, now_ms)

    def refused_from(self, now_ms: float) -> int:
        if not self._queue:
            return ALL_PRIORITIES
        if now_ms >= self._level_until_ms:
            self._level = self._current_level(now_ms)
            self._level_until_ms = now_ms + _LEVEL_LIFE_MS
        return self._level

    def short_run_ms(self) -> float:
        return self.run_times.learned_ms or super().short_run_ms()

    def _current_level(self, now_ms: float) -> int:
        for work in self._needs.samples(now_ms):
            if self._giving_way(work, now_ms) is None:
                return work.priority
        return ALL_PRIORITIES

    def _protect(self, work: Work) -> None:
        self._protected &= {each.work_id for each in self._queue}
        self._protected.add(work.work_id)

    def _accept(self, work: Work, now_ms: float) -> None:
        run_ms = self.run_times.expected_ms(work.operation)
        self._shares.note_accepted(work, run_ms, now_ms)

    def _displace(self, work: Work, now_ms: float) -> None:
        self._queue.remove(work)
        self.displaced_counts[work.priority] += 1
        run_ms = self.run_times.expected_ms(work.operation)
        self._shares.note_displaced(work, run_ms, now_ms)
        retry_after_ms = self._retry_after_ms(work, now_ms)
        self._displaced.append(Displaced(work, retry_after_ms))

    def _giving_way(self, work: Work, now_ms: float) -> list[Work] | None:
        """Return the queued work that makes room, None if there is no room.

        :param work: work that has just arrived.
        """
        queued = [self._needs.need(each, now_ms) for each in self._queue]
        schedule = SlotSchedule(self._slot_times_ms(now_ms), queued)
        own = self._worth(self._needs.need(work, now_ms), now_ms)
        left = [*queued, own.need]
        crowd = schedule.up_to_first_late(left)
        while crowd:
            least = least_worth([self._worth(each, now_ms) for each in crowd])
            if not least.gives_way_to(own):
                return None
            left.remove(least.need)
            crowd = schedule.up_to_first_late(left)
        if self._is_overtaken(own.need, schedule.start_ms(left, own.need)):
            return None
        return [each.work for each in queued if each not in left]

    def _is_overtaken(self, need: Need, start_ms: float) -> bool:
        """Return whether urgent work that is still to come makes work late.

        :param need: work that has just arrived.
        :param start_ms: its expected start if no more work came.
        """
        arrived_ms = need.work.arrived_at_ms
        slots = max(1, self._service.slots_per_upstream)
        if need.work.work_id in self._protected:
            return False
        urgent_share = self._demand.share_before(
            need.work.priority, slots, arrived_ms
        )
        wait_ms = (start_ms - arrived_ms) / (1 - urgent_share)
        return arrived_ms + wait_ms + need.likely_ms > need.due_ms

    def _worth(self, need: Need, now_ms: float) -> Worth:
        work = need.work
        due_in_ms = max(1, need.due_ms - work.arrived_at_ms)
        return Worth(
            need,
            _PROTECTED if work.work_id in self._protected else work.priority,
            self._shares.used_ms(work, now_ms),
            (now_ms - work.arrived_at_ms) / due_in_ms,
        )

    def _slot_times_ms(self, now_ms: float) -> list[float]:
        running = [
            now_ms + self._remaining_ms(each, now_ms)
            for each in self._running.values()
        ]
        slots = max(1, self._service.slots_per_upstream)
        free = [now_ms for _ in range(slots - len(running))]
        return sorted(free + running)[-slots:]

    def _remaining_ms(self, work: Work, now_ms: float) -> float:
        run_ms = self.run_times.expected_ms(work.operation)
        ran_ms = now_ms - self._started_ms[work.work_id]
        return max(_MIN_REMAINING_SHARE * run_ms, run_ms - ran_ms)

    def _backlog_ms(self, queued: list[Work], now_ms: float) -> float:
        """Return the time until a slot is free once the queued work is done."""
        runs_ms = sum(
            self.run_times.expected_ms(each.operation) for each in queued
        )
        remaining_ms = sum(
            self._remaining_ms(each, now_ms) for each in self._running.values()
        )
        slots = max(1, self._service.slots_per_upstream)
        return (runs_ms + remaining_ms) / slots

    def _is_too_late(self, work: Work, now_ms: float) -> bool:
        run_ms = self.run_times.expected_ms(work.operation)
        return work.deadline_at_ms - now_ms < _MIN_RUN_SHARE * run_ms

    def _retry_after_ms(self, work: Work, now_ms: float) -> int:
        """Return the time after which the queue has room for such work."""
        order_ms = self._needs.need(work, now_ms).order_ms
        ahead = [
            each
            for each in self._queue
            if self._needs.need(each, now_ms).order_ms <= order_ms
        ]
        likely_ms = self.run_times.likely_ms(work.operation)
        due_in_ms = self._needs.due_ms(work) - work.arrived_at_ms
        room_in_ms = self._backlog_ms(ahead, now_ms) + likely_ms - due_in_ms
        slots = max(1, self._service.slots_per_upstream)
        gap_ms = self.run_times.expected_ms(work.operation) / slots
        return self._returns.retry_after_ms(work, room_in_ms, gap_ms, now_ms)


__all__ = ('VALUE_ADMISSION', 'ValueAdmission')
