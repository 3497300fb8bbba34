"""Ejects upstreams whose work fails more or runs longer than their peers'."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from .detection import (
    ALL_OPERATIONS,
    DETECTORS,
    Detector,
    Health,
    HealthChange,
)
from .ejection_book import EjectionBook
from .floor import ejection_limit
from .outliers import Norm, Suspicion, is_slow_run, norm_of, suspect
from .trials import Scope

if TYPE_CHECKING:
    from ..config.model import Service
    from .evidence import Sample, Summary

_PERCENT: Final = 100
# Upstreams that need enough outcomes before an operation has a norm.
_MIN_PEERS: Final = 3


@dataclass(frozen=True, slots=True)
class _Report:
    """Summary sent by an upstream's home, with the time of its arrival."""

    summary: Summary
    at_ms: float


@DETECTORS.register('peers')
class PeerDetector(Detector):
    """Outlier detection against the medians of the service's upstreams.

    An operation that fails on an upstream is ejected there, and the upstream
    serves other operations. The whole upstream is ejected if all operations
    with evidence fail on it, provided that these are several or the service
    has only one. The floor limits the ejections; the worst upstreams go first.
    """

    def __init__(self, service: Service) -> None:
        super().__init__(service)
        self._policy = service.detection
        self._members: frozenset[str] = frozenset()
        self._reports: dict[str, dict[str, _Report]] = {
            name: {} for name in service.operations
        }
        self._ejections = EjectionBook(service.detection)
        self._norms: dict[str, Norm] = {}
        self._sparse_operations: set[str] = set()

    def replace_service(self, service: Service) -> None:
        super().replace_service(service)
        self._policy = service.detection
        self._reports = {
            name: self._reports.get(name, {}) for name in service.operations
        }
        self._ejections.replace_policy(service.detection, self._reports)

    def replace_members(self, upstreams: frozenset[str]) -> None:
        self._members = upstreams
        for reports in self._reports.values():
            for gone in reports.keys() - upstreams:
                reports.pop(gone)
        self._ejections.keep_only(upstreams)

    def report(
        self,
        upstream: str,
        operation: str,
        summary: Summary,
        now_ms: float,
    ) -> None:
        if upstream in self._members and operation in self._reports:
            self._reports[operation][upstream] = _Report(summary, now_ms)

    def observe_trial(
        self,
        upstream: str,
        operation: str,
        sample: Sample,
    ) -> None:
        norm = self._norms.get(operation, Norm(0, 0))
        is_slow = is_slow_run(sample.run_ms, norm, self._policy)
        judged = replace(sample, ok=sample.ok and not is_slow)
        for scope in (operation, ALL_OPERATIONS):
            self._ejections.add_trial((upstream, scope), judged)

    def health(self, upstream: str, operation: str) -> Health:
        return self._ejections.health(upstream, operation)

    def tick(self, now_ms: float) -> tuple[HealthChange, ...]:
        summaries = self._summarise(now_ms)
        self._norms = {
            name: norm_of(list(found.values()), self._policy.min_samples)
            for name, found in summaries.items()
        }
        self._sparse_operations = {
            name
            for name, found in summaries.items()
            if _count_judged(found, self._policy.min_samples) < _MIN_PEERS
        }
        self._restore_on_common_cause(summaries, now_ms)
        self._ejections.begin_trials(now_ms)
        self._ejections.judge_trials(self._norms, now_ms)
        limit = ejection_limit(
            len(self._members),
            self._service.healthy_floor_percent,
        )
        suspects = self._suspects(summaries)
        for scope in self._ejections.eject(suspects, limit, now_ms):
            self._forget_reports(scope)
        self._ejections.keep_floor(limit, now_ms)
        return self._ejections.take_changes()

    def _summarise(self, now_ms: float) -> dict[str, dict[str, Summary]]:
        oldest_ms = now_ms - self._policy.window_ms
        return {
            operation: {
                upstream: report.summary
                for upstream, report in reports.items()
                if report.at_ms >= oldest_ms
            }
            for operation, reports in self._reports.items()
        }

    def _restore_on_common_cause(
        self, summaries: dict[str, dict[str, Summary]], now_ms: float
    ) -> None:
        """Lift all ejections from operations that fail on the whole service.

        A failure that all peers share is not the fault of one upstream, even
        if some upstreams showed it a moment before the others. An operation
        with evidence from too few upstreams for a norm is assumed to fail too.
        """
        failing = {
            operation
            for operation, found in summaries.items()
            if self._has_common_cause(operation, found)
        }
        if not failing:
            return
        failing.update(self._sparse_operations)
        self._ejections.restore_all(failing, now_ms)

    def _has_common_cause(
        self, operation: str, found: dict[str, Summary]
    ) -> bool:
        """Return whether an operation fails on the upstreams in use.

        Late answers of ejected upstreams do not count: while few others are
        known, these would be the majority.
        """
        in_use = [
            summary
            for upstream, summary in found.items()
            if self._ejections.health(upstream, operation) is Health.HEALTHY
        ]
        norm = norm_of(in_use, self._policy.min_samples)
        return norm.error_share * _PERCENT >= self._policy.error_percent

    def _suspects(
        self,
        summaries: dict[str, dict[str, Summary]],
    ) -> dict[Scope, Suspicion]:
        found: dict[Scope, Suspicion] = {}
        for upstream in self._members:
            known = {
                operation: by_upstream[upstream]
                for operation, by_upstream in summaries.items()
                if upstream in by_upstream
            }
            found.update(self._suspect_scopes(upstream, known))
        return found

    def _suspect_scopes(
        self,
        upstream: str,
        known: dict[str, Summary],
    ) -> dict[Scope, Suspicion]:
        judged = {
            operation: suspect(summary, self._norms[operation], self._policy)
            for operation, summary in known.items()
        }
        failing = {
            operation: suspicion
            for operation, suspicion in judged.items()
            if suspicion.severity
        }
        if not failing:
            return {}
        for operation in known.keys() - failing.keys():
            if self._is_failing_too(operation, known[operation]):
                failing[operation] = next(iter(failing.values()))
        return self._by_scope(upstream, failing, known)

    def _is_failing_too(self, operation: str, summary: Summary) -> bool:
        """Judge an operation with few outcomes, when another one fails.

        It needs no minimum number of outcomes.
        """
        excess = summary.error_share - self._norms[operation].error_share
        return excess * _PERCENT >= self._policy.error_percent

    def _by_scope(
        self,
        upstream: str,
        failing: dict[str, Suspicion],
        known: dict[str, Summary],
    ) -> dict[Scope, Suspicion]:
        are_all_failing = len(failing) == len(known)
        are_enough = len(failing) > 1 or len(self._reports) == 1
        if are_all_failing and are_enough:
            worst = max(failing.values(), key=lambda each: each.severity)
            return {(upstream, ALL_OPERATIONS): worst}
        return {
            (upstream, operation): suspicion
            for operation, suspicion in failing.items()
        }

    def _forget_reports(self, scope: Scope) -> None:
        upstream, operation = scope
        for name, reports in self._reports.items():
            if operation in {ALL_OPERATIONS, name}:
                reports.pop(upstream, None)


def _count_judged(found: dict[str, Summary], min_samples: int) -> int:
    return sum(1 for each in found.values() if each.count >= min_samples)


__all__ = ('PeerDetector',)
