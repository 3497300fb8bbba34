"""What a stopping node's home still accepts, and when the node ends.

Load pattern: a release restarts many nodes at a time. Only the node beside an
upstream can reach it, so that a home that refuses all work from the stop signal
on leaves its upstream idle for as long as its node still serves callers.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .admission import AdmissionRule
    from .stopping import StopPlan
    from .work import Work

# An entry has ended once no request has been in progress for this long.
_QUIET_MS: Final = 300
# Time for requests on connections that were accepted just before the listener
# was closed.
_CLOSED_MS: Final = 100
# Time after the end of the node in which entries notice the closed links.
_LINK_END_MS: Final = 500


class StopPhase(Enum):
    """Phase of a stop after the time in which callers may connect.

    While ``SERVING``, the entry has requests in progress, and the home accepts
    work as well. While ``FINISHING``, the home only finishes what it runs, and
    tells entries so before the links close; the listener is open, since the
    upstream may call through this node. While ``CLOSED``, the entry finishes
    what has come meanwhile.
    """

    SERVING = auto()
    FINISHING = auto()
    CLOSED = auto()
    ENDED = auto()


class StopProgress:
    """Decides how a stop proceeds once callers no longer connect.

    Work that the home accepts for other entries must not lengthen the stop, so
    only requests that the own entry had before do.

    :param plan: schedule of the stop.
    """

    def __init__(self, plan: StopPlan) -> None:
        self._plan = plan
        self._is_serving = True
        self._active_at_ms = plan.closes_at_ms
        self._closed_at_ms: float | None = None

    def step(
        self,
        now_ms: float,
        *,
        older_active: bool,
        entry_active: bool,
        home_active: bool,
    ) -> StopPhase:
        """Return the phase of the stop.

        :param now_ms: monotonic time.
        :param older_active: whether the entry has requests in progress that
            came while callers could connect.
        :param entry_active: whether the entry has any requests in progress.
        :param home_active: whether the home has running or queued work.
        """
        if not self._plan.remaining_ms(now_ms):
            return StopPhase.ENDED
        self._is_serving = self._is_serving and older_active
        if self._is_serving:
            self._active_at_ms = now_ms
            is_accepting = now_ms < self._plan.refuses_from_ms
            return StopPhase.SERVING if is_accepting else StopPhase.FINISHING
        if entry_active:
            self._active_at_ms = now_ms
        if home_active:
            return StopPhase.FINISHING
        if self._closed_at_ms is None:
            self._closed_at_ms = now_ms
        is_quiet = (
            now_ms - self._active_at_ms > _QUIET_MS
            and now_ms - self._closed_at_ms > _CLOSED_MS
        )
        return StopPhase.ENDED if is_quiet else StopPhase.CLOSED


class HomeStop:
    """Decides which work a home accepts while its node stops.

    Until callers no longer connect, the estimated run time decides, since at
    least the rest of the stop is left for a run that takes longer. From then on
    work must reach its deadline before the node ends. That always holds for
    work whose body is still arriving.
    """

    def __init__(self) -> None:
        self._plan: StopPlan | None = None
        self._is_finishing = False

    def begin(self, plan: StopPlan | None) -> None:
        """Replace the schedule of the stop.

        :param plan: schedule, none while no stop is requested.
        """
        self._plan = plan

    def finish(self) -> bool:
        """Accept no more work.

        :returns: whether this has changed.
        """
        was_finishing = self._is_finishing
        self._is_finishing = True
        return not was_finishing

    def accepts(
        self, admission: AdmissionRule, work: Work, now_ms: float
    ) -> bool:
        """Return whether new work can be finished before the node ends.

        :param admission: slots and queue of the upstream.
        :param work: new work.
        :param now_ms: monotonic time.
        """
        if self._plan is None:
            return True
        wait_ms = admission.expected_wait_ms(now_ms)
        return self._fits(self._plan, admission, work, now_ms + wait_ms)

    def unfinishable(
        self, admission: AdmissionRule, queued: Iterable[Work], now_ms: float
    ) -> list[Work]:
        """Return the queued work that can't be finished if it starts now.

        :param admission: slots and queue of the upstream.
        :param queued: work in the queue.
        :param now_ms: monotonic time.
        """
        plan = self._plan
        if plan is None:
            return []
        return [
            work
            for work in queued
            if not self._fits(plan, admission, work, now_ms)
        ]

    def ends_in_ms(self, now_ms: float) -> float | None:
        """Return the time until the node ends, none while it does not stop.

        :param now_ms: monotonic time.
        """
        return self._plan.remaining_ms(now_ms) if self._plan else None

    def refusing_ms(self, now_ms: float) -> float:
        """Return how long all work is refused, 0 if some is accepted.

        :param now_ms: monotonic time.
        """
        if self._plan is None or not self._is_finishing:
            return 0
        return self._plan.remaining_ms(now_ms) + _LINK_END_MS

    def _fits(
        self,
        plan: StopPlan,
        admission: AdmissionRule,
        work: Work,
        start_ms: float,
    ) -> bool:
        if self._is_finishing:
            return False
        run_ms = admission.run_times.high_ms(work.operation)
        if not plan.has_time_for(run_ms, start_ms):
            return False
        # Rare runs take far longer than estimated. A cut one can't be repeated
        # if it isn't idempotent, or if part of its answer has gone out.
        if work.is_whole and start_ms < plan.closes_at_ms:
            return True
        left_ms = work.deadline_at_ms - start_ms
        return plan.has_time_for(left_ms, start_ms)


__all__ = ('HomeStop', 'StopPhase', 'StopProgress')
