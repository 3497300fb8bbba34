"""One upstream at its home: slots, queue, connections and evidence."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import gevent

from ...audit import AuditKind
from ...clock import monotonic_ms
from ...outcome import Outcome
from ...policy.admission import ADMISSIONS
from ...policy.evidence import Sample
from ...policy.work import Verdict
from ...reasons import Reason
from ...wire.messages import Standing
from .connections import ConnectionPool
from .evidence_book import EvidenceBook
from .execution import Ended, Ending, Execution, Target

if TYPE_CHECKING:
    from random import Random

    from ...audit import AuditTrail
    from ...config.model import HeaderNames, Service
    from ...config.settings import Address
    from .job import Job

_FIRST_AVOID_MS: Final = 100
_MAX_AVOID_MS: Final = 3200
_DRAIN_FORGOTTEN_MS: Final = 5000


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """What an upstream is.

    :param name: identity, ``vm/service``.
    """

    name: str
    address: Address
    service: Service
    headers: HeaderNames


@dataclass(frozen=True, slots=True)
class HomeEvents:
    """What an upstream tells its home.

    :param on_drain: called when it begins or ends to drain.
    :param on_waiting: called when a request has to wait.
    """

    on_drain: Callable[[str, bool], None]
    on_waiting: Callable[[], None]


class HomeUpstream:
    """Admits work to one upstream and runs it.

    :param spec: identity, address and policy.
    :param audit: trail of changes.
    :param rng: source of randomness.
    :param events: called when something changes.
    """

    def __init__(
        self,
        spec: UpstreamSpec,
        audit: AuditTrail,
        rng: Random,
        events: HomeEvents,
    ) -> None:
        self.spec = spec
        service = spec.service
        rule = ADMISSIONS.find(service.queue.admission).unwrap()
        self._admission = rule(service, rng)
        self._pool = ConnectionPool(
            spec.address,
            service.connections_per_upstream,
        )
        self._book = EvidenceBook(
            service.operations,
            service.detection.window_ms,
        )
        self._audit = audit
        self._events = events
        self._waiting: dict[int, Job] = {}
        self._avoid_until_ms: float = 0
        self._avoid_ms = 0
        self._draining_until_ms: float = 0
        self._listed_leaving = False

    @property
    def draining(self) -> bool:
        """Whether the upstream takes no new work."""
        return self._listed_leaving or self._draining_until_ms > monotonic_ms()

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._admission.running

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    def submit(self, job: Job) -> None:
        """Start, queue or refuse a request.

        :param job: the request.
        """
        if self.draining:
            job.refuse(Reason.DRAINING)
            return
        now_ms = monotonic_ms()
        admission = self._admission.offer(job.work, now_ms)
        if admission.verdict is Verdict.START:
            self._start(job)
        elif admission.verdict is Verdict.WAIT:
            self._waiting[job.work.work_id] = job
            self._events.on_waiting()
        else:
            job.refuse(Reason.OVERLOADED, admission.retry_after_ms)

    def cancel(self, job: Job) -> None:
        """Withdraw a request, or break off its run.

        :param job: the request.
        """
        if self._admission.withdraw(job.work):
            self._waiting.pop(job.work.work_id, None)
            job.refuse(Reason.CANCELLED)
        elif job.running and job.greenlet is not None:
            job.greenlet.kill(block=False)
        else:
            job.cancelled = True

    def expire(self) -> None:
        """Refuse waiting requests whose deadline has passed."""
        if not self._waiting:
            return
        for work in self._admission.expire(monotonic_ms()):
            job = self._waiting.pop(work.work_id)
            job.refuse(Reason.DEADLINE)

    def mark_listed_leaving(self, leaving: bool) -> None:
        """Take over what the platform's list says.

        :param leaving: whether the VM is listed as leaving.
        """
        if leaving == self._listed_leaving:
            return
        self._listed_leaving = leaving
        self._drain_changed('listed as leaving' if leaving else 'listed again')

    def standing(self, operation: str) -> Standing:
        """Return load and evidence, as told to entries.

        :param operation: operation whose evidence is asked for.
        """
        now_ms = monotonic_ms()
        summary = self._book.summary(operation, now_ms)
        return Standing(
            upstream=self.spec.name,
            operation=operation,
            wait_ms=int(self._admission.expected_wait_ms(now_ms)),
            run_ms=int(self._admission.short_run_ms()),
            count=summary.count,
            failures=round(summary.error_share * summary.count),
            median_ms=int(summary.run_ms),
            avoid_ms=max(0, int(self._avoid_until_ms - now_ms)),
            draining=self.draining,
        )

    def close(self) -> None:
        """Refuse what waits and close idle connections."""
        self._withdraw_waiting(Reason.DRAINING)
        self._pool.close()

    def _start(self, job: Job) -> None:
        job.greenlet = gevent.spawn(self._run, job)

    def _run(self, job: Job) -> None:
        operation = self.spec.service.operations[job.submit.operation]
        target = Target(
            self.spec.address,
            self._pool,
            operation,
            self.spec.headers,
            self._admission.run_times.expected_ms(operation.name),
        )
        if job.cancelled:
            self._admission.finish(job.work, None)
            job.refuse(Reason.CANCELLED)
            self._start_waiting()
            return
        job.running = True
        ended: Ended | None = None
        try:
            ended = Execution(job, target).run()
        finally:
            self._finish(job, ended)

    def _finish(self, job: Job, ended: Ended | None) -> None:
        """Free the slot, then deliver the end with the latest evidence."""
        if ended is None:
            self._admission.finish(job.work, None)
            job.deliver(job.refusal(Outcome.UNKNOWN, Reason.CANCELLED))
        else:
            is_success = ended.ending is Ending.SUCCEEDED
            run_ms = ended.run_ms if is_success else None
            self._admission.finish(job.work, run_ms)
            self._note(job.submit.operation, ended)
            job.deliver(ended.final)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while True:
            work = self._admission.start_next(monotonic_ms())
            if work is None:
                return
            self._start(self._waiting.pop(work.work_id))

    def _note(self, operation: str, ended: Ended) -> None:
        if ended.condemned:
            self._audit.record(
                AuditKind.CONNECTION_CONDEMNED,
                self.spec.name,
                'a pooled connection went silent while a new one answered',
            )
        ending = ended.ending
        if ending in {Ending.SUCCEEDED, Ending.FAILED}:
            is_ok = ending is Ending.SUCCEEDED
            sample = Sample(monotonic_ms(), is_ok, ended.run_ms)
            self._book.add(operation, sample)
            self._note_reachable()
        elif ending in {Ending.CRASHED, Ending.UNREACHABLE}:
            self._note_unreachable(ending)
        elif ending is Ending.SHED:
            self._avoid_until_ms = monotonic_ms() + ended.avoid_ms
        elif ending is Ending.DRAINING:
            self._note_draining()

    def _note_reachable(self) -> None:
        if not self._avoid_ms:
            return
        self._avoid_ms = 0
        self._avoid_until_ms = 0
        self._book.restart()
        self._audit.record(
            AuditKind.UPSTREAM_RESTARTED,
            self.spec.name,
            'accepts connections again',
        )

    def _note_unreachable(self, ending: Ending) -> None:
        now_ms = monotonic_ms()
        if not self._avoid_ms:
            self._audit.record(
                AuditKind.UPSTREAM_UNREACHABLE,
                self.spec.name,
                f'a request ended as {ending.name.lower()}',
            )
        if now_ms < self._avoid_until_ms:
            return
        doubled_ms = max(_FIRST_AVOID_MS, 2 * self._avoid_ms)
        self._avoid_ms = min(_MAX_AVOID_MS, doubled_ms)
        self._avoid_until_ms = now_ms + self._avoid_ms

    def _note_draining(self) -> None:
        was_draining = self.draining
        self._draining_until_ms = monotonic_ms() + _DRAIN_FORGOTTEN_MS
        if not was_draining:
            self._drain_changed('its own answer says so')

    def _drain_changed(self, cause: str) -> None:
        draining = self.draining
        if draining:
            self._audit.record(
                AuditKind.UPSTREAM_DRAINING,
                self.spec.name,
                cause,
            )
            self._withdraw_waiting(Reason.DRAINING)
        self._events.on_drain(self.spec.name, draining)

    def _withdraw_waiting(self, reason: Reason) -> None:
        for work in self._admission.withdraw_all():
            self._waiting.pop(work.work_id).refuse(reason)


__all__ = ('HomeUpstream', 'UpstreamSpec')
