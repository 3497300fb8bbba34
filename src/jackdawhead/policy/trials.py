"""Trials of ejected upstreams with a few real requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .evidence import EvidenceRing
from .outliers import Norm, Suspicion

if TYPE_CHECKING:
    from .evidence import Sample

_SAMPLES_TO_PASS: Final = 8
# Failures allowed in a trial, in addition to the peers' share of failures.
_ALLOWED_FAILURES: Final = 1

Scope = tuple[str, str]


class Trials:
    """Outcomes of the trials in progress, by upstream and operation."""

    def __init__(self) -> None:
        self._rings: dict[Scope, EvidenceRing] = {}

    def begin(self, scope: Scope) -> None:
        """Start a trial.

        :param scope: upstream and operation.
        """
        self._rings[scope] = EvidenceRing()

    def drop(self, scope: Scope) -> None:
        """Discard the trial of a scope, if there is one.

        :param scope: upstream and operation.
        """
        self._rings.pop(scope, None)

    def add(self, scope: Scope, sample: Sample) -> None:
        """Add an outcome to the trial of a scope, if there is one.

        :param scope: upstream and operation.
        :param sample: outcome of a request.
        """
        ring = self._rings.get(scope)
        if ring is not None:
            ring.add(sample)

    def take_verdicts(
        self,
        norms: dict[str, Norm],
    ) -> dict[Scope, Suspicion]:
        """End the trials that have a result, and return the results.

        :param norms: medians of the peers, by operation.
        :returns: results by scope, with a severity of 0 for trials that passed.
        """
        verdicts = {}
        for scope, ring in self._rings.items():
            verdict = _verdict(scope[1], ring, norms)
            if verdict is not None:
                verdicts[scope] = verdict
        for scope in verdicts:
            self._rings.pop(scope)
        return verdicts


def _verdict(
    operation: str,
    ring: EvidenceRing,
    norms: dict[str, Norm],
) -> Suspicion | None:
    summary = ring.summary(0)
    shares = [each.error_share for each in norms.values()]
    norm = norms.get(operation, Norm(max(shares, default=0), 0))
    allowed = _ALLOWED_FAILURES + norm.error_share * summary.count
    if round(summary.error_share * summary.count) > allowed:
        return Suspicion(1, f'errors or delays {summary.error_share:.0%}')
    return Suspicion(0, '') if summary.count >= _SAMPLES_TO_PASS else None


__all__ = ('Scope', 'Trials')
