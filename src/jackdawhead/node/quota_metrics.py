"""Metrics of quotas: the organisations with the largest use, and all others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from ..clock import seconds

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

    from .quota_controller import QuotaController

_MAX_NAMED: Final = 20
_OTHER: Final = 'other'


def quota_metrics(quotas: QuotaController) -> Iterator[Metric]:
    """Yield the metrics of quotas; none while this node knows no use.

    :param quotas: enforces the quotas at this node.
    """
    yield from _use_metrics(quotas)
    refusals = CounterMetricFamily(
        'jackdawhead_quota_refusals',
        'Requests refused by this node as beyond a quota.',
        labels=['organisation'],
    )
    named = quotas.refused.most_common(_MAX_NAMED)
    for organisation, count in named:
        refusals.add_metric([organisation], count)
    rest = quotas.refused.total() - sum(each[1] for each in named)
    if rest:
        refusals.add_metric([_OTHER], rest)
    if named:
        yield refusals


def _use_metrics(quotas: QuotaController) -> Iterator[Metric]:
    uses = sorted(quotas.uses(), key=lambda each: each.used, reverse=True)
    if not uses:
        return
    used = GaugeMetricFamily(
        'jackdawhead_quota_used',
        'Requests granted in the last window, as far as this node knows.',
        labels=['organisation'],
    )
    limit = GaugeMetricFamily(
        'jackdawhead_quota_limit',
        'Requests that the quota allows in a window.',
        labels=['organisation'],
    )
    age = GaugeMetricFamily(
        'jackdawhead_quota_age_seconds',
        'Age of the count, 0 where it is made.',
        labels=['organisation'],
    )
    for use in uses[:_MAX_NAMED]:
        used.add_metric([use.organisation], use.used)
        limit.add_metric([use.organisation], use.quota)
        age.add_metric([use.organisation], seconds(use.age_ms))
    rest = uses[_MAX_NAMED:]
    if rest:
        used.add_metric([_OTHER], sum(each.used for each in rest))
        limit.add_metric([_OTHER], sum(each.quota for each in rest))
    yield from (used, limit, age)


__all__ = ('quota_metrics',)
