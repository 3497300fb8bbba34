"""State of an upstream at its home, and decisions on it, without any I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ..audit_kinds import AuditKind
from ..wire.messages import UpstreamStatus
from .admissions import ADMISSIONS
from .evidence import CUSUM_SCALE, Sample
from .evidence_store import EvidenceStore
from .member_loads import DRAIN_NOTICE_LIFE_MS
from .recovery_trials import RecoveryTrials
from .run_result import RunResult
from .spell_estimate import (
    LIKELY_FAILING_RISK,
    RISK_SCALE,
    SpellEstimate,
)
from .work import Verdict

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service
    from .work import Admission, Work

# Backoff after an unreachable upstream, which doubles between these bounds.
_FIRST_AVOID_MS: Final = 100
_MAX_AVOID_MS: Final = 3200
# Multiple of the average run time used if the median is unknown.
_NO_MEDIAN_FACTOR: Final = 2
# Ends of runs that count as outcomes in the estimate of the risk.
_SPELL_ENDINGS: Final = frozenset(
    (RunResult.SUCCEEDED, RunResult.FAILED, RunResult.CRASHED)
)
_ACCEPTING_VERDICTS: Final = frozenset((Verdict.START, Verdict.WAIT))

RecordChange = Callable[[AuditKind, str, str], None]


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """End of a run.

    :param operation: name of the operation.
    :param ending: how the run ended.
    :param run_ms: time that the upstream took, without waits for the caller.
    :param avoid_ms: time for which the upstream asked not to be sent work.
    """

    operation: str
    ending: RunResult
    run_ms: float
    avoid_ms: int = 0


class UpstreamState:
    """Slots, queue, evidence and reachability of one upstream.

    :param name: identity, ``vm/service``.
    :param service: policy.
    :param rng: source of randomness.
    :param record: writes a change to the audit trail.
    :param is_new: whether the upstream joined after this home started.

    The attribute ``has_risk_update`` is set when the risk of failure has
    changed so much that all entries should be notified at once. The sender of
    that update clears it.
    """

    def __init__(
        self,
        name: str,
        service: Service,
        rng: Random,
        record: RecordChange,
        *,
        is_new: bool = False,
    ) -> None:
        self.name = name
        rule = ADMISSIONS.find(service.queue.admission).unwrap()
        self.admission = rule(service, rng)
        self._evidence = EvidenceStore(service, is_new=is_new)
        self._spell = SpellEstimate()
        self._trials = RecoveryTrials()
        self.has_risk_update = False
        self._record = record
        self._avoid_until_ms: float = 0
        self._avoid_ms = 0
        self._draining_until_ms: float = 0
        self._listed_leaving = False
        self.has_left = False

    def replace_service(self, service: Service) -> None:
        """Apply a new policy; running and queued work and evidence are kept.

        :param service: policy with the same admission rule.
        """
        self.admission.replace_service(service)
        self._evidence.replace_service(service)

    def is_draining(self, now_ms: float) -> bool:
        """Return whether the upstream takes no new work.

        :param now_ms: monotonic time.
        """
        is_leaving = self.has_left or self._listed_leaving
        return is_leaving or self._draining_until_ms > now_ms

    def mark_leaving_in_vm_list(self, leaving: bool) -> bool:
        """Set whether the VM list has the upstream's VM as leaving.

        :param leaving: whether the VM is listed as leaving.
        :returns: whether this has changed.
        """
        if leaving == self._listed_leaving:
            return False
        self._listed_leaving = leaving
        if leaving:
            self._record(
                AuditKind.UPSTREAM_DRAINING, self.name, 'listed as leaving'
            )
        return True

    def accepts_risk(self, risk_limit: int, now_ms: float) -> bool:
        """Return whether work may run in spite of the risk of failure.

        If the upstream is more likely failing than not, only a trial at a time
        is accepted, but for work that accepts any risk.

        :param risk_limit: highest risk that the entry accepts, in thousandths.
        :param now_ms: monotonic time.
        """
        if self.exceeds_risk(risk_limit, now_ms):
            return False
        if risk_limit >= RISK_SCALE or self.risk(now_ms) <= LIKELY_FAILING_RISK:
            return True
        return self._trials.is_due(now_ms)

    def exceeds_risk(self, risk_limit: int, now_ms: float) -> bool:
        """Return whether the risk of failure is above a limit.

        :param risk_limit: highest risk that the entry accepts, in thousandths.
        :param now_ms: monotonic time.
        """
        return RISK_SCALE * self.risk(now_ms) > risk_limit

    def offer(self, work: Work, now_ms: float) -> Admission:
        """Start, queue or refuse work.

        :param now_ms: monotonic time.
        """
        admission = self.admission.offer(work, now_ms)
        if admission.verdict in _ACCEPTING_VERDICTS:
            self._trials.note_started(now_ms)
        return admission

    def finish(
        self, work: Work, run: FinishedRun | None, now_ms: float
    ) -> bool:
        """Free the slot of a run that ended, and learn from the run.

        :param work: work that ran.
        :param run: run that ended, None if it was aborted.
        :param now_ms: monotonic time.
        :returns: whether the upstream has started to drain.
        """
        is_success = run is not None and run.ending is RunResult.SUCCEEDED
        self.admission.finish(work, run.run_ms if run and is_success else None)
        return False if run is None else self._learn(run, now_ms)

    def cancel_running(self, work: Work, ran_ms: float, now_ms: float) -> None:
        """Free the slot of a run that was aborted.

        If the run had already taken longer than the median, its time so far
        counts as a run time. The time of a shorter run shows nothing.

        :param work: work that was aborted.
        :param ran_ms: time for which it had run, 0 if the upstream may not be
            the cause of the delay, for example if the connection may be silent.
        :param now_ms: monotonic time.
        """
        typical_ms = self._evidence.summary(work.operation, now_ms).run_ms
        if not typical_ms:
            run_times = self.admission.run_times
            typical_ms = _NO_MEDIAN_FACTOR * run_times.expected_ms(
                work.operation
            )
        is_slow = ran_ms >= typical_ms
        self.admission.finish(work, ran_ms if is_slow else None)
        if is_slow:
            self._evidence.add(work.operation, Sample(now_ms, True, ran_ms))

    def status(
        self, operation: str, now_ms: float, refusing_ms: float = 0
    ) -> UpstreamStatus:
        """Return the status message for entries, with load and evidence.

        :param operation: name of the operation whose evidence is included.
        :param now_ms: monotonic time.
        :param refusing_ms: time for which the home refuses all work.
        """
        summary = self._evidence.summary(operation, now_ms)
        return UpstreamStatus(
            upstream=self.name,
            operation=operation,
            wait_ms=int(self.admission.expected_wait_ms(now_ms)),
            free=self.admission.free,
            run_ms=int(self.admission.short_run_ms()),
            count=summary.count,
            failures=round(summary.error_share * summary.count),
            median_ms=int(summary.run_ms),
            least_ms=int(summary.least_ms),
            cusum=int(summary.cusum * CUSUM_SCALE),
            avoid_ms=int(max(refusing_ms, self._avoid_until_ms - now_ms)),
            draining=self.is_draining(now_ms),
            risk=int(RISK_SCALE * self.risk(now_ms)),
            refused_from=self.admission.refused_from(now_ms),
        )

    def risk(self, now_ms: float) -> float:
        """Return the probability of a spell of failing, 0 to 1.

        :param now_ms: monotonic time.
        """
        return self._spell.risk(now_ms)

    def evidence_age_ms(self, now_ms: float) -> float:
        """Return the time since the last outcome, infinite if there is none.

        :param now_ms: monotonic time.
        """
        return self._spell.evidence_age_ms(now_ms)

    def _learn(self, run: FinishedRun, now_ms: float) -> bool:
        if run.ending in _SPELL_ENDINGS:
            is_ok = run.ending is RunResult.SUCCEEDED
            self._trials.note_outcome(now_ms, ok=is_ok)
            was_suspect = self._spell.is_suspect
            self.has_risk_update |= self._spell.observe(now_ms, ok=is_ok)
            if self._spell.is_suspect is not was_suspect:
                self._record_spell(now_ms)
        match run.ending:
            case RunResult.SUCCEEDED | RunResult.FAILED:
                is_ok = run.ending is RunResult.SUCCEEDED
                sample = Sample(now_ms, is_ok, run.run_ms)
                self._evidence.add(run.operation, sample)
                self._note_reachable()
            case RunResult.CRASHED | RunResult.UNREACHABLE:
                self._note_unreachable(run.ending, now_ms)
            case RunResult.SHED:
                self._avoid_until_ms = now_ms + run.avoid_ms
            case RunResult.DRAINING:
                return self._note_draining(now_ms)
        return False

    def _record_spell(self, now_ms: float) -> None:
        is_suspect = self._spell.is_suspect
        kind = AuditKind.SPELL_BEGUN if is_suspect else AuditKind.SPELL_OVER
        self._record(
            kind, self.name, f'risk of failure {self.risk(now_ms):.2f}'
        )

    def _note_reachable(self) -> None:
        if not self._avoid_ms:
            return
        self._avoid_ms = 0
        self._avoid_until_ms = 0
        self._evidence.restart()
        self._record(AuditKind.UPSTREAM_RESTARTED, self.name, 'answers again')

    def _note_unreachable(self, ending: RunResult, now_ms: float) -> None:
        if not self._avoid_ms:
            self._record(
                AuditKind.UPSTREAM_UNREACHABLE,
                self.name,
                f'a request ended as {ending.value}',
            )
        if now_ms < self._avoid_until_ms:
            return
        doubled_ms = max(_FIRST_AVOID_MS, 2 * self._avoid_ms)
        self._avoid_ms = min(_MAX_AVOID_MS, doubled_ms)
        self._avoid_until_ms = now_ms + self._avoid_ms

    def _note_draining(self, now_ms: float) -> bool:
        was_draining = self.is_draining(now_ms)
        self._draining_until_ms = now_ms + DRAIN_NOTICE_LIFE_MS
        if not was_draining:
            self._record(
                AuditKind.UPSTREAM_DRAINING, self.name, 'announced in an answer'
            )
        return not was_draining


__all__ = ('FinishedRun', 'RecordChange', 'UpstreamState')
