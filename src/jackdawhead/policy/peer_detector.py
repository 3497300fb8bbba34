"""Ejects upstreams whose real work fails or slows against their peers."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

import xxhash

from .detection import (
    ALL_OPERATIONS,
    DETECTORS,
    Detector,
    Health,
    HealthChange,
)
from .ejection import Ejection, EjectionHistory
from .floor import ejection_limit
from .suspicion import Norm, Suspicion, exceeds, norm_of, suspect
from .trials import Scope, Trials

if TYPE_CHECKING:
    from ..config.model import Service
    from .evidence import Sample, Summary

_PERCENT: Final = 100
_MIN_PEERS: Final = 3


@dataclass(frozen=True, slots=True)
class _Report:
    """Evidence of a home, with the time of its arrival."""

    summary: Summary
    at_ms: float


@DETECTORS.register('peers')
class PeerDetector(Detector):
    """Outlier detection against the medians of the service's upstreams.

    One operation that fails is ejected alone; an upstream whose judged
    operations all fail is ejected whole. The floor caps all ejections, the
    worst first; equal severity is ranked by a hash, so that nodes with
    equal views agree without talking.
    """

    def __init__(self, service: Service) -> None:
        super().__init__(service)
        self._policy = service.detection
        self._members: frozenset[str] = frozenset()
        self._reports: dict[str, dict[str, _Report]] = {
            name: {} for name in service.operations
        }
        self._trials = Trials()
        self._ejections: dict[Scope, Ejection] = {}
        self._histories: dict[str, EjectionHistory] = {}
        self._norms: dict[str, Norm] = {}
        self._barely_known: set[str] = set()
        self._changes: list[HealthChange] = []

    def replace_service(self, service: Service) -> None:
        super().replace_service(service)
        self._policy = service.detection
        self._reports = {
            name: self._reports.get(name, {}) for name in service.operations
        }
        for key, ejection in tuple(self._ejections.items()):
            ejection.policy = service.detection
            if key[1] != ALL_OPERATIONS and key[1] not in self._reports:
                self._drop(key)

    def replace_members(self, upstreams: frozenset[str]) -> None:
        self._members = upstreams
        for reports in self._reports.values():
            for gone in reports.keys() - upstreams:
                reports.pop(gone)
        for key in tuple(self._ejections):
            if key[0] not in upstreams:
                self._drop(key)
        for gone in self._histories.keys() - upstreams:
            self._histories.pop(gone)

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
        is_slow = exceeds(sample.run_ms, norm, self._policy)
        judged = replace(sample, ok=sample.ok and not is_slow)
        for scope in (operation, ALL_OPERATIONS):
            self._trials.add((upstream, scope), judged)

    def health(self, upstream: str, operation: str) -> Health:
        whole = self._ejections.get((upstream, ALL_OPERATIONS))
        if whole is not None and whole.health is not Health.WELL:
            return whole.health
        single = self._ejections.get((upstream, operation))
        return Health.WELL if single is None else single.health

    def tick(self, now_ms: float) -> tuple[HealthChange, ...]:
        self._changes = []
        summaries = self._summarise(now_ms)
        self._norms = {
            name: norm_of(list(found.values()), self._policy.min_samples)
            for name, found in summaries.items()
        }
        self._barely_known = {
            name
            for name, found in summaries.items()
            if _count_judged(found, self._policy.min_samples) < _MIN_PEERS
        }
        self._end_common_cause(now_ms)
        self._begin_trials(now_ms)
        self._judge_trials(now_ms)
        self._eject(self._suspects(summaries), now_ms)
        self._keep_floor(now_ms)
        return tuple(self._changes)

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

    def _end_common_cause(self, now_ms: float) -> None:
        """Let all serve while the whole service fails an operation.

        What the peers share is no fault of one upstream, though some were
        seen to fail a moment before the others. An operation that is seen
        on too few upstreams to have a norm is taken to fail with the rest.
        """
        failing = {
            operation
            for operation, norm in self._norms.items()
            if norm.error_share * _PERCENT >= self._policy.error_percent
        }
        if not failing:
            return
        failing.update(self._barely_known)
        for key, ejection in self._ejections.items():
            is_concerned = key[1] in failing or key[1] == ALL_OPERATIONS
            if is_concerned and ejection.health is not Health.WELL:
                ejection.restore(now_ms)
                self._trials.drop(key)
                self._note(key, Health.WELL, 'the whole service fails')

    def _begin_trials(self, now_ms: float) -> None:
        for key, ejection in self._ejections.items():
            is_due = ejection.until_ms <= now_ms
            if ejection.health is Health.EJECTED and is_due:
                ejection.health = Health.TRIAL
                self._trials.begin(key)
                self._note(
                    key, Health.TRIAL, 'the time of the ejection is over'
                )

    def _judge_trials(self, now_ms: float) -> None:
        verdicts = self._trials.take_verdicts(self._norms)
        for key, verdict in verdicts.items():
            ejection = self._ejections[key]
            if verdict.severity:
                ejection.eject(now_ms, verdict.severity, verdict.cause)
                self._note(
                    key, Health.EJECTED, f'trial failed: {verdict.cause}'
                )
            else:
                ejection.restore(now_ms)
                self._note(key, Health.WELL, 'trial passed')

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
            found.update(self._suspects_of(upstream, known))
        return found

    def _suspects_of(
        self,
        upstream: str,
        known: dict[str, Summary],
    ) -> dict[Scope, Suspicion]:
        judged = {
            operation: suspect(summary, self._norms[operation], self._policy)
            for operation, summary in known.items()
        }
        sick = {
            operation: suspicion
            for operation, suspicion in judged.items()
            if suspicion.severity
        }
        if not sick:
            return {}
        for operation in known.keys() - sick.keys():
            if self._fails_too(operation, known[operation]):
                sick[operation] = next(iter(sick.values()))
        return self._by_scope(upstream, sick, known)

    def _fails_too(self, operation: str, summary: Summary) -> bool:
        """Judge an operation with little evidence beside one that fails."""
        excess = summary.error_share - self._norms[operation].error_share
        return excess * _PERCENT >= self._policy.error_percent

    def _by_scope(
        self,
        upstream: str,
        sick: dict[str, Suspicion],
        known: dict[str, Summary],
    ) -> dict[Scope, Suspicion]:
        is_all_known = len(sick) == len(known)
        is_enough = len(sick) > 1 or len(self._reports) == 1
        if is_all_known and is_enough:
            worst = max(sick.values(), key=lambda each: each.severity)
            return {(upstream, ALL_OPERATIONS): worst}
        return {
            (upstream, operation): suspicion
            for operation, suspicion in sick.items()
        }

    def _eject(self, suspects: dict[Scope, Suspicion], now_ms: float) -> None:
        limit = ejection_limit(
            len(self._members),
            self._service.healthy_floor_percent,
        )
        off = self._off()
        for key, suspicion in sorted(suspects.items(), key=_rank):
            upstream, operation = key
            if self.health(upstream, operation) is not Health.WELL:
                continue
            if upstream not in off and len(off) >= limit:
                continue
            off.add(upstream)
            ejection = self._ejection_of(key)
            ejection.eject(now_ms, suspicion.severity, suspicion.cause)
            self._forget_reports(key)
            self._note(key, Health.EJECTED, suspicion.cause)

    def _ejection_of(self, key: Scope) -> Ejection:
        """Return the state of a key; that of a whole upstream replaces all."""
        upstream, operation = key
        if operation == ALL_OPERATIONS:
            for other in tuple(self._ejections):
                if other[0] == upstream and other != key:
                    self._drop(other)
        if key not in self._ejections:
            history = self._histories.setdefault(upstream, EjectionHistory())
            self._ejections[key] = Ejection(self._policy, history)
        return self._ejections[key]

    def _keep_floor(self, now_ms: float) -> None:
        limit = ejection_limit(
            len(self._members),
            self._service.healthy_floor_percent,
        )
        off = self._off()
        if len(off) <= limit:
            return
        held = sorted(
            (
                (key, ejection)
                for key, ejection in self._ejections.items()
                if ejection.health is not Health.WELL
            ),
            key=lambda pair: (pair[1].severity, _hash(pair[0])),
        )
        for key, ejection in held:
            if len(self._off()) <= limit:
                break
            ejection.restore(now_ms)
            self._trials.drop(key)
            self._note(key, Health.WELL, 'the floor of healthy capacity')

    def _drop(self, key: Scope) -> None:
        self._ejections.pop(key)
        self._trials.drop(key)

    def _off(self) -> set[str]:
        return {
            key[0]
            for key, ejection in self._ejections.items()
            if ejection.health is not Health.WELL
        }

    def _forget_reports(self, key: Scope) -> None:
        upstream, operation = key
        for name, reports in self._reports.items():
            if operation in {ALL_OPERATIONS, name}:
                reports.pop(upstream, None)

    def _note(self, key: Scope, health: Health, cause: str) -> None:
        upstream, operation = key
        self._changes.append(HealthChange(upstream, operation, health, cause))


def _count_judged(found: dict[str, Summary], min_samples: int) -> int:
    return sum(1 for each in found.values() if each.count >= min_samples)


def _rank(suspect_pair: tuple[Scope, Suspicion]) -> tuple[float, int]:
    key, suspicion = suspect_pair
    return -suspicion.severity, _hash(key)


def _hash(key: Scope) -> int:
    return xxhash.xxh3_64_intdigest('|'.join(key).encode())


__all__ = ('PeerDetector',)
