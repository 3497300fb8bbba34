"""Metrics of what gives way at the upstreams of this home."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from ..clock import monotonic_ms

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from prometheus_client.metrics_core import Metric

    from .home.upstream import HomeUpstream

# Less urgent priorities are counted together.
_MAX_PRIORITIES: Final = 8
_OTHERS: Final = 'others'


def level_metrics(upstreams: Iterable[HomeUpstream]) -> Iterator[Metric]:
    """Yield level and displaced work of the upstreams.

    :param upstreams: upstreams of this home.
    """
    levels = GaugeMetricFamily(
        'jackdawhead_refused_from_priority',
        'Most urgent priority that the queue of an upstream refuses.',
        labels=['upstream'],
    )
    displaced = CounterMetricFamily(
        'jackdawhead_displaced_requests',
        'Queued requests that gave way to others, by priority.',
        labels=['priority'],
    )
    counts: Counter[int] = Counter()
    for upstream in upstreams:
        level = upstream.admission.refused_from(monotonic_ms())
        levels.add_metric([upstream.spec.name], level)
        counts.update(upstream.admission.displaced_counts)
    for priority, count in _bounded(counts).items():
        displaced.add_metric([priority], count)
    yield levels
    yield displaced


def _bounded(counts: Counter[int]) -> dict[str, int]:
    urgent = sorted(counts)
    found = {str(each): counts[each] for each in urgent[:_MAX_PRIORITIES]}
    if urgent[_MAX_PRIORITIES:]:
        found[_OTHERS] = sum(counts[each] for each in urgent[_MAX_PRIORITIES:])
    return found


__all__ = ('level_metrics',)
