"""Prometheus metrics of the ways that requests and answers took."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from prometheus_client.core import CounterMetricFamily

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

    from ..policy.way_traffic import WayLabel
    from ..policy.ways import Ways

_LABELS: Final = ('service', 'operation', 'way')


def way_metrics(ways: Ways) -> Iterator[Metric]:
    """Yield the traffic of this entry by kind of way.

    :param ways: ways from this node to the zones.
    """
    traffic = ways.traffic
    yield _counter(
        'jackdawhead_attempts',
        'Attempts sent by this entry, by the way to their upstream.',
        traffic.attempts,
    )
    yield _counter(
        'jackdawhead_answer_bytes',
        'Bytes of answers to this entry, by the way from their upstream.',
        traffic.answer_bytes,
    )


def _counter(name: str, text: str, counts: Counter[WayLabel]) -> Metric:
    family = CounterMetricFamily(name, text, labels=_LABELS)
    for label, count in counts.items():
        family.add_metric(
            [label.service, label.operation, label.way.value], count
        )
    return family


__all__ = ('way_metrics',)
