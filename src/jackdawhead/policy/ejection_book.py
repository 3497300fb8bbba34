"""Ejections of a service's upstreams, with their trials and the floor."""

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
    from .suspicion import Norm, Suspicion


class EjectionBook:
    """Who is ejected, on trial or well again, and what has changed.

    Equal severity is ranked by a hash, so that nodes with equal views agree
    without talking.

    :param policy: first and longest time of an ejection.
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
        """Follow another policy; ejections of gone operations end.

        :param operations: those that the service has now.
        """
        self._policy = policy
        for key, ejection in tuple(self._ejections.items()):
            ejection.policy = policy
            if key[1] != ALL_OPERATIONS and key[1] not in operations:
                self._drop(key)

    def keep_only(self, upstreams: frozenset[str]) -> None:
        """Forget all other upstreams.

        :param upstreams: those that are listed.
        """
        for key in tuple(self._ejections):
            if key[0] not in upstreams:
                self._drop(key)
        for gone in self._histories.keys() - upstreams:
            self._histories.pop(gone)

    def health(self, upstream: str, operation: str) -> Health:
        """Return the state of an operation on an upstream."""
        whole_upstream = self._ejections.get((upstream, ALL_OPERATIONS))
        if (
            whole_upstream is not None
            and whole_upstream.health is not Health.WELL
        ):
            return whole_upstream.health
        one_operation = self._ejections.get((upstream, operation))
        return Health.WELL if one_operation is None else one_operation.health

    def add_trial(self, scope: Scope, sample: Sample) -> None:
        """Take in an outcome, if the scope is on trial.

        :param scope: upstream and operation.
        """
        self._trials.add(scope, sample)

    def take_changes(self) -> tuple[HealthChange, ...]:
        """Return what has changed since the last call."""
        changes = tuple(self._changes)
        self._changes = []
        return changes

    def restore_all(self, failing: set[str], now_ms: float) -> None:
        """Let all serve operations that the whole service fails.

        :param failing: the operations.
        :param now_ms: monotonic time.
        """
        for key, ejection in self._ejections.items():
            is_concerned = key[1] in failing or key[1] == ALL_OPERATIONS
            if is_concerned and ejection.health is not Health.WELL:
                ejection.restore(now_ms)
                self._trials.drop(key)
                self._note(key, Health.WELL, 'the whole service fails')

    def begin_trials(self, now_ms: float) -> None:
        """Begin the trials that are due.

        :param now_ms: monotonic time.
        """
        for key, ejection in self._ejections.items():
            is_due = ejection.until_ms <= now_ms
            if ejection.health is Health.EJECTED and is_due:
                ejection.health = Health.TRIAL
                self._trials.begin(key)
                self._note(
                    key, Health.TRIAL, 'the time of the ejection is over'
                )

    def judge_trials(self, norms: dict[str, Norm], now_ms: float) -> None:
        """End the trials that have shown enough.

        :param norms: what is usual, by operation.
        :param now_ms: monotonic time.
        """
        verdicts = self._trials.take_verdicts(norms)
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

    def eject(
        self,
        suspects: Mapping[Scope, Suspicion],
        limit: int,
        now_ms: float,
    ) -> tuple[Scope, ...]:
        """Eject suspects, the worst first, as far as the floor allows.

        :param limit: upstreams that may be off at the same time.
        :param now_ms: monotonic time.
        :returns: the scopes ejected.
        """
        unhealthy = self._unhealthy()
        ejected = []
        for key, suspicion in sorted(suspects.items(), key=_rank):
            upstream, operation = key
            if self.health(upstream, operation) is not Health.WELL:
                continue
            if upstream not in unhealthy and len(unhealthy) >= limit:
                continue
            unhealthy.add(upstream)
            ejection = self._ejection_of(key)
            ejection.eject(now_ms, suspicion.severity, suspicion.cause)
            self._note(key, Health.EJECTED, suspicion.cause)
            ejected.append(key)
        return tuple(ejected)

    def keep_floor(self, limit: int, now_ms: float) -> None:
        """Restore the least severe while more are off than may be.

        :param limit: upstreams that may be off at the same time.
        :param now_ms: monotonic time.
        """
        if len(self._unhealthy()) <= limit:
            return
        restorable = sorted(
            (
                (key, ejection)
                for key, ejection in self._ejections.items()
                if ejection.health is not Health.WELL
            ),
            key=lambda pair: (pair[1].severity, _tie_break(pair[0])),
        )
        for key, ejection in restorable:
            if len(self._unhealthy()) <= limit:
                break
            ejection.restore(now_ms)
            self._trials.drop(key)
            self._note(key, Health.WELL, 'the floor of healthy capacity')

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

    def _drop(self, key: Scope) -> None:
        self._ejections.pop(key)
        self._trials.drop(key)

    def _unhealthy(self) -> set[str]:
        return {
            key[0]
            for key, ejection in self._ejections.items()
            if ejection.health is not Health.WELL
        }

    def _note(self, key: Scope, health: Health, cause: str) -> None:
        upstream, operation = key
        self._changes.append(HealthChange(upstream, operation, health, cause))


def _rank(suspect_pair: tuple[Scope, Suspicion]) -> tuple[float, int]:
    key, suspicion = suspect_pair
    return -suspicion.severity, _tie_break(key)


def _tie_break(key: Scope) -> int:
    return xxhash.xxh3_64_intdigest('|'.join(key).encode())


__all__ = ('EjectionBook',)
