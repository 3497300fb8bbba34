"""One upstream at its home: slots, queue, connections and health."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ...audit_kinds import AuditKind
from ...clock import monotonic_ms
from ...outcome import Outcome
from ...policy.retries import HomeResendBudget
from ...policy.upstream_state import FinishedRun, UpstreamState
from ...policy.work import Verdict, Work
from ...reasons import Reason
from ..decision_log import log_admission, log_cancel, log_run, log_use
from .connections import ConnectionPool
from .execution import Execution, ExecutionResult
from .offers import refusal_reason
from .target import Target

if TYPE_CHECKING:
    from random import Random

    from ...audit import AuditTrail
    from ...policy.home_stop import HomeStop
    from ...wire.messages import UpstreamStatus
    from .job import Job
    from .upstream_spec import HomeEvents, UpstreamSpec

_LEAVING_RETRY_AFTER_MS: Final = 200  # another home may run the work
_DISPLACED: Final = 'displaced'


class HomeUpstream:
    """Admits work to one upstream and runs it.

    :param spec: identity, address and policy.
    :param audit: audit trail that records changes.
    :param rng: random number generator.
    :param events: callbacks.
    :param stop: whether work can be finished before the node stops.
    :param is_new: whether the upstream joined after this home started.

    The attribute ``admission`` is its slots and queue.
    """

    def __init__(
        self,
        spec: UpstreamSpec,
        audit: AuditTrail,
        rng: Random,
        events: HomeEvents,
        stop: HomeStop,
        *,
        is_new: bool = False,
    ) -> None:
        self.spec = spec
        self._state = UpstreamState(
            spec.name, spec.service, rng, audit.record, is_new=is_new
        )
        self.admission = self._state.admission
        self.admission.handled_until_ms = events.handled_until_ms
        self._pool = ConnectionPool(
            spec.address, spec.service.connections_per_upstream
        )
        self._resends = HomeResendBudget(spec.service.retry)
        self._audit = audit
        self._events = events
        self._stop = stop
        self._waiting: dict[int, Job] = {}
        self._used_at_ms = monotonic_ms()

    @property
    def unused_ms(self) -> float:
        """Time since the last run began, or since the start, in ms."""
        return monotonic_ms() - self._used_at_ms

    @property
    def draining(self) -> bool:
        """Whether the upstream accepts no new work."""
        return self._state.is_draining(monotonic_ms())

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._state.admission.running

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    def submit(self, job: Job) -> None:
        """Start, queue or refuse a request.

        :param job: the request.
        """
        job.caller_id = job.header(self.spec.headers.request_id) or ''
        reason = refusal_reason(job, self._state, self._stop)
        if reason is not None:
            log_admission(job, self._state, reason.value, self._stop)
            is_leaving = reason is Reason.NODE_LEAVING
            job.refuse(reason, _LEAVING_RETRY_AFTER_MS if is_leaving else 0)
            return
        admission = self._state.offer(job.work, monotonic_ms())
        log_admission(job, self._state, admission.verdict.value, self._stop)
        for each in self._state.admission.take_displaced():
            displaced = self._waiting.pop(each.work.work_id)
            log_admission(displaced, self._state, _DISPLACED, self._stop)
            displaced.refuse(Reason.OVERLOADED, each.retry_after_ms)
        if admission.verdict is Verdict.START:
            self._start(job)
        elif admission.verdict is Verdict.WAIT:
            self._waiting[job.work.work_id] = job
            self._events.on_queued()
        elif admission.verdict is Verdict.BUSY:
            job.refuse(Reason.BUSY)
        else:
            job.refuse(Reason.OVERLOADED, admission.retry_after_ms)

    def cancel(self, job: Job) -> None:
        """Remove a request from the queue, or abort its run.

        :param job: the request.
        """
        log_cancel(job, self._state)
        if self._state.admission.withdraw(job.work):
            self._waiting.pop(job.work.work_id, None)
            job.refuse(Reason.CANCELLED)
        elif job.running and job.greenlet is not None:
            job.greenlet.kill(block=False)
        else:
            job.cancelled = True

    def expire(self) -> None:
        """Refuse queued requests that can't be finished in time."""
        if not self._waiting:
            return
        for work in self._state.admission.expire(monotonic_ms()):
            job = self._waiting.pop(work.work_id)
            job.refuse(Reason.DEADLINE)
        self._withdraw(self._unfinishable(), Reason.NODE_LEAVING)

    def can_apply(self, spec: UpstreamSpec) -> bool:
        """Return whether a new spec can be applied without a new object.

        Another address means another process, and another admission rule
        needs a queue of its own.

        :param spec: identity, address and policy.
        """
        rule = self.spec.service.queue.admission
        is_same_rule = spec.service.queue.admission == rule
        return spec.address == self.spec.address and is_same_rule

    def apply(self, spec: UpstreamSpec) -> None:
        """Apply a changed policy.

        :param spec: new spec that :meth:`can_apply` allows.
        """
        self.spec = spec
        self._state.replace_service(spec.service)
        self._pool.set_limit(spec.service.connections_per_upstream)
        self._start_waiting()

    def mark_leaving_in_vm_list(self, leaving: bool) -> None:
        """Apply the leaving mark of the platform's VM list.

        :param leaving: whether the VM or upstream is listed as leaving.
        """
        if self._state.mark_leaving_in_vm_list(leaving):
            self._on_drain_change()

    def status(self, operation: str) -> UpstreamStatus:
        """Return the load and health report for entries.

        :param operation: operation whose recent runs the report covers.
        """
        now_ms = monotonic_ms()
        refusing_ms = self._stop.refusing_ms(now_ms)
        return self._state.status(operation, now_ms, refusing_ms)

    def close(self) -> None:
        """Refuse queued requests and close idle connections."""
        self._state.has_left = True
        self._withdraw_waiting(Reason.DRAINING)
        self._pool.close()

    def _start(self, job: Job) -> None:
        job.greenlet = gevent.spawn(self._run, job)

    def _run(self, job: Job) -> None:
        if job.cancelled:
            self._state.finish(job.work, None, monotonic_ms())
            job.refuse(Reason.CANCELLED)
            self._start_waiting()
            return
        job.running = True
        log_use(self.spec.name, self.unused_ms, self._state)
        self._used_at_ms = monotonic_ms()
        self._resends.note_run()
        job.started_ms = monotonic_ms()
        result: ExecutionResult | None = None
        with self._events.runs.track(job):
            try:
                result = Execution(job, self._target(job)).run()
            finally:
                self._finish(job, result)

    def _target(self, job: Job) -> Target:
        return Target(
            self.spec.address,
            self._pool,
            job.operation,
            self.spec.headers,
            self.spec.instance,
            self._state.admission.run_times.expected_ms(job.operation.name),
            self._resends,
            lambda: self.draining,
        )

    def _finish(self, job: Job, result: ExecutionResult | None) -> None:
        """Free the slot, then deliver the last message with a fresh report."""
        if result is None:
            now_ms = monotonic_ms()
            ran_ms = now_ms - job.started_ms if job.is_connection_live else 0
            self._state.cancel_running(job.work, ran_ms, now_ms)
            job.deliver(job.refusal(Outcome.UNKNOWN, Reason.CANCELLED))
        else:
            self._record_end(job, result)
            job.deliver(result.final)
        self._start_waiting()

    def _record_end(self, job: Job, result: ExecutionResult) -> None:
        if result.found_silent:
            self._audit.record(
                AuditKind.CONNECTION_CONDEMNED,
                self.spec.name,
                'pooled connection silent while a new connection answered',
            )
        run = FinishedRun(
            job.submit.operation, result.ending, result.run_ms, result.avoid_ms
        )
        self._events.on_run_end(self.spec.name, job.submit.fingerprint, run)
        if self._state.finish(job.work, run, monotonic_ms()):
            self._on_drain_change()
        log_run(job, result, self._state)
        if self._state.has_risk_update:
            self._state.has_risk_update = False
            self._events.on_status(self.status(run.operation))
            self._refuse_risky()

    def _start_waiting(self) -> None:
        self._withdraw(self._unfinishable(), Reason.NODE_LEAVING)
        while True:
            work = self._state.admission.start_next(monotonic_ms())
            if work is None:
                return
            self._start(self._waiting.pop(work.work_id))

    def _on_drain_change(self) -> None:
        draining = self.draining
        if draining:
            self._withdraw_waiting(Reason.DRAINING)
        self._events.on_drain(self.spec.name, draining)

    def _refuse_risky(self) -> None:
        """Refuse queued requests whose risk limit is now exceeded."""
        now_ms = monotonic_ms()
        risky = [
            job.work
            for job in self._waiting.values()
            if self._state.exceeds_risk(job.submit.risk_limit, now_ms)
        ]
        self._withdraw(risky, Reason.RISKY)

    def _withdraw(self, works: list[Work], reason: Reason) -> None:
        for work in works:
            if self._state.admission.withdraw(work):
                job = self._waiting.pop(work.work_id)
                log_admission(job, self._state, reason.value, self._stop)
                job.refuse(reason)

    def _unfinishable(self) -> list[Work]:
        """Return queued work that doesn't fit before the node ends."""
        queued = (job.work for job in self._waiting.values())
        return self._stop.unfinishable(
            self._state.admission, queued, monotonic_ms()
        )

    def _withdraw_waiting(self, reason: Reason) -> None:
        for work in self._state.admission.withdraw_all():
            self._waiting.pop(work.work_id).refuse(reason)


__all__ = ('HomeUpstream',)
