"""Simulates the homes: admission, runs, deadlines and crashes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ..outcome import Outcome
from ..policy.home_stop import HomeStop
from ..policy.run_result import RunResult, ending_at_deadline
from ..policy.upstream_state import FinishedRun, UpstreamState
from ..policy.work import Verdict, Work
from ..reasons import Reason
from .behaviour import Run
from .home_answers import HomeAnswer, HomeJob, answer_of
from .result import StartedRun

if TYPE_CHECKING:
    from ..config.model import Service
    from ..wire.messages import UpstreamStatus
    from .context import ReplayContext
    from .views import EntryView

# How often queued requests are checked for their deadline.
_EXPIRY_INTERVAL_MS: Final = 20
# How long an upstream is unreachable after a crash.
_CRASH_RESTART_MS: Final = 500


@dataclass(slots=True)
class _Running:
    """A run in progress; a crash ends all runs of the upstream.

    :param is_over: whether it has ended or was cancelled.
    """

    job: HomeJob
    started_ms: float
    is_over: bool = field(default=False)


class ReplayUpstream:
    """An upstream with the same state as at its live home.

    :param name: identity of the upstream.
    :param service: configuration of its service.
    :param context: state shared by the whole replay.
    :param is_new: whether it joins during the replay.
    """

    def __init__(
        self,
        name: str,
        service: Service,
        context: ReplayContext,
        *,
        is_new: bool,
    ) -> None:
        self.state = UpstreamState(
            name, service, context.rng, _ignore_change, is_new=is_new
        )
        self.stop = HomeStop()
        self.is_home_down = False
        self._name = name
        self._service = service
        self._context = context
        self._waiting: dict[int, HomeJob] = {}
        self._running: dict[int, _Running] = {}
        self._down_until_ms: float = 0
        self._is_expiry_scheduled = False

    def submit(self, job: HomeJob) -> None:
        """Start, queue or refuse a request that arrives from an entry.

        :param job: the request.
        """
        now_ms = self._context.timeline.now_ms
        if self.is_home_down:
            job.answer(HomeAnswer(Outcome.UNKNOWN, Reason.PEER_LOST))
            return
        rule = self.state.admission
        if not self.stop.accepts(rule, job.work, now_ms):
            job.answer(HomeAnswer(Outcome.NOT_RUN, Reason.NODE_LEAVING))
            return
        if self.state.is_draining(now_ms):
            job.answer(HomeAnswer(Outcome.NOT_RUN, Reason.DRAINING))
            return
        if not self.state.accepts_risk(job.risk_limit, now_ms):
            job.answer(HomeAnswer(Outcome.NOT_RUN, Reason.RISKY))
            return
        admission = self.state.offer(job.work, now_ms)
        self._refuse_displaced()
        if admission.verdict is Verdict.START:
            self._start(job)
        elif admission.verdict is Verdict.WAIT:
            self._waiting[job.work.work_id] = job
            self._schedule_expiry()
        elif admission.verdict is Verdict.BUSY:
            job.answer(HomeAnswer(Outcome.NOT_RUN, Reason.BUSY))
        else:
            job.answer(
                HomeAnswer(
                    Outcome.NOT_RUN,
                    Reason.OVERLOADED,
                    retry_after_ms=admission.retry_after_ms,
                )
            )

    def cancel(self, job: HomeJob) -> None:
        """Remove a request from the queue, or cancel its run.

        :param job: the request; it gets no answer.
        """
        if self._waiting.pop(job.work.work_id, None) is not None:
            self.state.admission.withdraw(job.work)
            return
        running = self._running.pop(job.work.work_id, None)
        if running is None:
            return
        running.is_over = True
        now_ms = self._context.timeline.now_ms
        ran_ms = now_ms - running.started_ms
        self.state.cancel_running(job.work, ran_ms, now_ms)
        self._start_waiting()

    def start_draining(self) -> None:
        """Drain: accept no new work and refuse all queued requests."""
        self.state.mark_leaving_in_vm_list(True)
        self._withdraw_waiting()

    @property
    def active_requests(self) -> int:
        """Number of running and queued requests."""
        return len(self._running) + len(self._waiting)

    def finish_running(self) -> bool:
        """Refuse all work but that which runs.

        :returns: whether this has changed.
        """
        if not self.stop.finish():
            return False
        self._refuse_unfinishable()
        return True

    def report_to(self, view: EntryView) -> None:
        """Send a status to an entry.

        :param view: routing state of the entry.
        """
        status = self.status(next(iter(self._service.operations)))
        view.on_status(self._service.name, status)

    def status(self, operation: str) -> UpstreamStatus:
        """Return the load and health report for entries.

        :param operation: operation whose recent runs the report covers.
        """
        now_ms = self._context.timeline.now_ms
        refusing_ms = self.stop.refusing_ms(now_ms)
        return self.state.status(operation, now_ms, refusing_ms)

    def stop_home(self) -> None:
        """End the home: running work is cut off, queued work is refused."""
        self.is_home_down = True
        self._withdraw_waiting()
        for running in self._running.values():
            running.is_over = True
            running.job.answer(HomeAnswer(Outcome.UNKNOWN, Reason.PEER_LOST))
        self._running.clear()

    def start_home(self) -> None:
        """Start a new home, which knows nothing of the upstream yet."""
        self.is_home_down = False
        self.stop = HomeStop()
        self.state = UpstreamState(
            self._name, self._service, self._context.rng, _ignore_change
        )

    def _refuse_unfinishable(self) -> None:
        rule = self.state.admission
        queued = [job.work for job in self._waiting.values()]
        now_ms = self._context.timeline.now_ms
        for work in self.stop.unfinishable(rule, queued, now_ms):
            if rule.withdraw(work):
                job = self._waiting.pop(work.work_id)
                job.answer(HomeAnswer(Outcome.NOT_RUN, Reason.NODE_LEAVING))

    def _refuse_displaced(self) -> None:
        for each in self.state.admission.take_displaced():
            self._waiting.pop(each.work.work_id).answer(
                HomeAnswer(
                    Outcome.NOT_RUN,
                    Reason.OVERLOADED,
                    retry_after_ms=each.retry_after_ms,
                )
            )

    def _withdraw_waiting(self) -> None:
        for work in self.state.admission.withdraw_all():
            job = self._waiting.pop(work.work_id)
            job.answer(HomeAnswer(Outcome.NOT_RUN, Reason.DRAINING))

    def _start(self, job: HomeJob) -> None:
        timeline = self._context.timeline
        run = self._run_of(job)
        running = _Running(job, timeline.now_ms)
        self._running[job.work.work_id] = running
        self._context.result.started.append(
            StartedRun(
                timeline.now_ms,
                self._name,
                job.work.operation,
                job.fingerprint,
                job.is_retry,
                run.ending is RunResult.CRASHED,
                run.ending is not RunResult.SUCCEEDED,
            )
        )
        left_ms = max(0, job.work.deadline_at_ms - timeline.now_ms)
        if run.run_ms > left_ms:
            run = Run(self._deadline_ending(job.work, left_ms), left_ms)
        timeline.schedule_after(run.run_ms, lambda: self._end(running, run))

    def _run_of(self, job: HomeJob) -> Run:
        now_ms = self._context.timeline.now_ms
        if now_ms < self._down_until_ms:
            return Run(RunResult.UNREACHABLE, 1)
        return self._context.behaviour.run(
            self._name,
            job.work.operation,
            job.fingerprint,
            self._context.trace_start_ms + now_ms,
            self._context.rng,
        )

    def _deadline_ending(self, work: Work, left_ms: float) -> RunResult:
        expected_ms = self.state.admission.run_times.expected_ms(work.operation)
        return ending_at_deadline(left_ms, expected_ms)

    def _end(self, running: _Running, run: Run) -> None:
        if running.is_over:
            return
        running.is_over = True
        work = running.job.work
        self._running.pop(work.work_id)
        now_ms = self._context.timeline.now_ms
        finished = FinishedRun(work.operation, run.ending, run.run_ms)
        self.state.finish(work, finished, now_ms)
        if self.state.has_risk_update:
            self.state.has_risk_update = False
            status = self.state.status(work.operation, now_ms)
            self._context.on_status(self._service, status)
        if run.ending is RunResult.CRASHED:
            self._crash(now_ms)
        is_late = now_ms >= work.deadline_at_ms
        running.job.answer(answer_of(run, is_late=is_late))
        self._start_waiting()

    def _crash(self, now_ms: float) -> None:
        self._down_until_ms = now_ms + _CRASH_RESTART_MS
        for other in tuple(self._running.values()):
            self._end(other, Run(RunResult.CRASHED, 1))

    def _start_waiting(self) -> None:
        self._refuse_unfinishable()
        while True:
            work = self.state.admission.start_next(
                self._context.timeline.now_ms
            )
            if work is None:
                return
            self._start(self._waiting.pop(work.work_id))

    def _schedule_expiry(self) -> None:
        if not self._is_expiry_scheduled:
            self._is_expiry_scheduled = True
            self._context.timeline.schedule_after(
                _EXPIRY_INTERVAL_MS, self._expire
            )

    def _expire(self) -> None:
        self._is_expiry_scheduled = False
        now_ms = self._context.timeline.now_ms
        for work in self.state.admission.expire(now_ms):
            job = self._waiting.pop(work.work_id)
            job.answer(HomeAnswer(Outcome.NOT_RUN, Reason.DEADLINE))
        self._refuse_unfinishable()
        if self._waiting:
            self._schedule_expiry()


def _ignore_change(*_: object) -> None:
    """Ignore a state change that only the audit trail of live nodes needs."""


__all__ = ('ReplayUpstream',)
