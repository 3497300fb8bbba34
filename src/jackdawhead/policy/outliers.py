"""Compares the outcomes of an upstream with those of its peers."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ..config.model import DetectionPolicy
    from .evidence import Summary

_PERCENT: Final = 100
# A run time less than this above the norm is never slow.
_MIN_EXCESS_MS: Final = 10.0
# An upstream whose CUSUM exceeds that of its peers by this much is failing.
_CUSUM_LIMIT: Final = 9.5


@dataclass(frozen=True, slots=True)
class Norm:
    """Medians over all upstreams of a service, for one operation.

    :param error_share: median share of failures, 0 to 1.
    :param run_ms: median run time, 0 if unknown.
    :param cusum: median of the cumulative sums of failures.
    """

    error_share: float
    run_ms: float
    cusum: float = 0


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Deviation of an upstream from the norm.

    :param severity: 0 for a normal upstream; higher is worse.
    :param cause: figures for the audit trail.
    """

    severity: float
    cause: str


_NORMAL: Final = Suspicion(0, '')


def norm_of(summaries: list[Summary], min_samples: int) -> Norm:
    """Return the medians over all upstreams with enough outcomes.

    A minority of failing upstreams doesn't move a median, and a fault that all
    upstreams share makes none of them suspect.

    :param summaries: one summary for each upstream.
    :param min_samples: outcomes that an upstream needs to be included.
    """
    known = [each for each in summaries if each.count >= min_samples]
    if not known:
        return Norm(0, 0)
    runs = [each.run_ms for each in known if each.run_ms > 0]
    return Norm(
        median(each.error_share for each in known),
        median(runs) if runs else 0,
        median(each.cusum for each in known),
    )


def suspect(
    summary: Summary,
    norm: Norm,
    policy: DetectionPolicy,
) -> Suspicion:
    """Compare an upstream with its peers and return its deviation.

    :param summary: outcomes of the upstream.
    :param norm: medians of its peers.
    :param policy: thresholds.
    """
    if summary.count >= policy.min_samples:
        excess = summary.error_share - norm.error_share
        # An accumulated CUSUM alone doesn't show that the upstream still fails.
        is_failing = excess > 0
        has_changed = summary.cusum - norm.cusum >= _CUSUM_LIMIT
        if (
            is_failing and has_changed
        ) or excess * _PERCENT >= policy.error_percent:
            return Suspicion(1 + excess, _error_cause(summary, norm))
    slowest_ms = max(summary.run_ms, summary.least_ms)
    if is_slow_run(slowest_ms, norm, policy):
        return Suspicion(
            1 - norm.run_ms / slowest_ms,
            f'run time {slowest_ms:.0f} ms, peers {norm.run_ms:.0f} ms',
        )
    return _NORMAL


def _error_cause(summary: Summary, norm: Norm) -> str:
    return (
        f'errors {summary.error_share:.0%} of {summary.count}, '
        f'peers {norm.error_share:.0%}'
    )


def is_slow_run(run_ms: float, norm: Norm, policy: DetectionPolicy) -> bool:
    """Return whether a run time is far above that of the peers.

    :param run_ms: a run time, or a median of run times.
    :param norm: medians of the peers; False is returned if their run time is
        unknown.
    :param policy: thresholds.
    """
    if not norm.run_ms:
        return False
    factor_ms = norm.run_ms * policy.slow_factor
    return run_ms > max(factor_ms, norm.run_ms + _MIN_EXCESS_MS)


__all__ = ('Norm', 'Suspicion', 'is_slow_run', 'norm_of', 'suspect')
