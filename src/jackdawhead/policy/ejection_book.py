"""Ejections of a service's upstreams, limited by the floor, with trials."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from .detection import ALL_OPERATIONS, Health, HealthChange
from .ejection import Ejection, EjectionHistory
from .trials import Scope, Trials

if TYPE_CHECKING:
    from collections.abc import Container, Mapping

    from ..config.model import DetectionPolicy
    from .evidence import Sample
    from .outliers import Norm, Suspicion


class EjectionBook:
    """Health of a service's upstreams, and its changes.

    Equal severities are ranked by a hash, so that nodes with the same evidence
    eject the same upstreams without communicating.

    :param policy: first and longest duration of an ejection.
    """

    def __init__(self, policy: DetectionPolicy) -> None:
        self._policy = policy
        self._trials = Trials()
        self._ejections: dict[Scope, Ejection] = {}
        self._histories: dict[str, EjectionHistory] = {}
        self._changes: list[HealthChange] = []

    def replace_policy(
        self,
        policy: DetectionPolicy,
        operations: Container[str],
    ) -> None:
        """Apply a new policy; ejections of removed operations end.

        :param policy: first and longest duration of an ejection.
        :param operations: names of the operations that the service has now.
        """
        self._policy = policy
        for scope, ejection in tuple(self._ejections.items()):
            ejection.policy = policy
            if scope[1] != ALL_OPERATIONS and scope[1] not in operations:
                self._drop(scope)

    def keep_only(self, upstreams: frozenset[str]) -> None:
        """Discard the state of all other upstreams.

        :param upstreams: names of the listed upstreams.
        """
        for scope in tuple(self._ejections):
            if scope[0] not in upstreams:
                self._drop(scope)
        for gone in self._histories.keys() - upstreams:
            self._histories.pop(gone)

    def health(self, upstream: str, operation: str) -> Health:
        """Return the health of an operation on an upstream."""
        whole_upstream = self._ejections.get((upstream, ALL_OPERATIONS))
        if (
            whole_upstream is not None
            and whole_upstream.health is not Health.HEALTHY
        ):
            return whole_upstream.health
        one_operation = self._ejections.get((upstream, operation))
        return Health.HEALTHY if one_operation is None else one_operation.health

    def add_trial(self, scope: Scope, sample: Sample) -> None:
        """Add an outcome to the trial of a scope, if there is one.

        :param scope: upstream and operation.
        :param sample: outcome of a request.
        """
        self._trials.add(scope, sample)

    def take_changes(self) -> tuple[HealthChange, ...]:
        """Return the changes of health since the last call."""
        changes = tuple(self._changes)
        self._changes = []
        return changes

    def restore_all(self, failing: set[str], now_ms: float) -> None:
        """Lift all ejections from operations that fail on the whole service.

        :param failing: names of the operations.
        :param now_ms: monotonic time.
        """
        for scope, ejection in self._ejections.items():
            is_concerned = scope[1] in failing or scope[1] == ALL_OPERATIONS
            if is_concerned and ejection.health is not Health.HEALTHY:
                ejection.restore(now_ms)
                self._trials.drop(scope)
                self._note(scope, Health.HEALTHY, 'the whole service fails')

    def begin_trials(self, now_ms: float) -> None:
        """Start a trial for each ejection whose time has passed.

        :param now_ms: monotonic time.
        """
        for scope, ejection in self._ejections.items():
            is_due = ejection.until_ms <= now_ms
            if ejection.health is Health.EJECTED and is_due:
                ejection.health = Health.TRIAL
                self._trials.begin(scope)
                self._note(scope, Health.TRIAL, 'the ejection time has passed')

    def judge_trials(self, norms: dict[str, Norm], now_ms: float) -> None:
        """End the trials that have a result: restore or eject again.

        :param norms: medians of the peers, by operation.
        :param now_ms: monotonic time.
        """
        verdicts = self._trials.take_verdicts(norms)
        for scope, verdict in verdicts.items():
            ejection = self._ejections[scope]
            if verdict.severity:
                ejection.eject(now_ms, verdict.severity, verdict.cause)
                self._note(
                    scope, Health.EJECTED, f'trial failed: {verdict.cause}'
                )
            else:
                ejection.restore(now_ms)
                self._note(scope, Health.HEALTHY, 'trial passed')

    def eject(
        self,
        suspects: Mapping[Scope, Suspicion],
        limit: int,
        now_ms: float,
    ) -> tuple[Scope, ...]:
        """Eject suspects, the worst first, as far as the floor allows.

        :param suspects: deviations from the norm, by scope.
        :param limit: upstreams that may be unhealthy at the same time.
        :param now_ms: monotonic time.
        :returns: scopes that were ejected.
        """
        unhealthy = self._unhealthy()
        ejected = []
        for scope, suspicion in sorted(suspects.items(), key=_rank):
            upstream, operation = scope
            if self.health(upstream, operation) is not Health.HEALTHY:
                continue
            if upstream not in unhealthy and len(unhealthy) >= limit:
                continue
            unhealthy.add(upstream)
            ejection = self._ejection_of(scope)
            ejection.eject(now_ms, suspicion.severity, suspicion.cause)
            self._note(scope, Health.EJECTED, suspicion.cause)
            ejected.append(scope)
        return tuple(ejected)

    def keep_floor(self, limit: int, now_ms: float) -> None:
        """Restore the least severe while the floor is not met.

        :param limit: upstreams that may be unhealthy at the same time.
        :param now_ms: monotonic time.
        """
        if len(self._unhealthy()) <= limit:
            return
        restorable = sorted(
            (
                (scope, ejection)
                for scope, ejection in self._ejections.items()
                if ejection.health is not Health.HEALTHY
            ),
            key=lambda pair: (pair[1].severity, _tie_break(pair[0])),
        )
        for scope, ejection in restorable:
            if len(self._unhealthy()) <= limit:
                break
            ejection.restore(now_ms)
            self._trials.drop(scope)
            self._note(
                scope, Health.HEALTHY, 'healthy capacity below the floor'
            )

    def _ejection_of(self, scope: Scope) -> Ejection:
        """Return the ejection of a scope, which is created if it is missing.

        The ejection of a whole upstream replaces those of its operations.
        """
        upstream, operation = scope
        if operation == ALL_OPERATIONS:
            for other in tuple(self._ejections):
                if other[0] == upstream and other != scope:
                    self._drop(other)
        if scope not in self._ejections:
            history = self._histories.setdefault(upstream, EjectionHistory())
            self._ejections[scope] = Ejection(self._policy, history)
        return self._ejections[scope]

    def _drop(self, scope: Scope) -> None:
        self._ejections.pop(scope)
        self._trials.drop(scope)

    def _unhealthy(self) -> set[str]:
        return {
            scope[0]
            for scope, ejection in self._ejections.items()
            if ejection.health is not Health.HEALTHY
        }

    def _note(self, scope: Scope, health: Health, cause: str) -> None:
        upstream, operation = scope
        self._changes.append(HealthChange(upstream, operation, health, cause))


def _rank(suspect_pair: tuple[Scope, Suspicion]) -> tuple[float, int]:
    scope, suspicion = suspect_pair
    return -suspicion.severity, _tie_break(scope)


def _tie_break(scope: Scope) -> int:
    return xxhash.xxh3_64_intdigest('|'.join(scope).encode())


__all__ = ('EjectionBook',)
