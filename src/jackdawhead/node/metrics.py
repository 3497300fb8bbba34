"""Prometheus metrics, read from the controllers at each scrape."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from ..clock import seconds
from ..policy.detection import Health
from .level_metrics import level_metrics
from .quota_metrics import quota_metrics
from .way_metrics import way_metrics

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.metrics_core import Metric

    from .entry.organisation_counts import OrganisationCounts
    from .runtime import Node


class NodeCollector(Collector):
    """Collects the metrics of a node.

    All labels have bounded cardinality: status classes, refusal reasons,
    services, health states, the upstreams of this home, and the largest
    organisations.

    :param node: the running node.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    def collect(self) -> Iterator[Metric]:
        """Yield the current values of all metrics."""
        yield from self._request_metrics()
        yield from self._fleet_metrics()
        yield from way_metrics(self._node.parts.routing.ways)
        yield from self._home_metrics()
        yield from quota_metrics(self._node.parts.quotas)
        yield from _process_metrics()

    def _request_metrics(self) -> Iterator[Metric]:
        node = self._node
        answers = CounterMetricFamily(
            'jackdawhead_requests',
            'Completed caller requests by status class or refusal reason.',
            labels=['answer'],
        )
        for answer, count in sorted(node.http.request_stats.by_result.items()):
            answers.add_metric([answer], count)
        yield answers
        yield _organisation_requests(node.http.request_stats.organisations)
        yield GaugeMetricFamily(
            'jackdawhead_requests_in_progress',
            'Caller requests in progress.',
            node.active_requests,
        )
        yield CounterMetricFamily(
            'jackdawhead_malformed_requests',
            'Caller requests refused as malformed or ambiguous.',
            node.malformed_requests,
        )
        yield from self._caller_metrics()
        yield CounterMetricFamily(
            'jackdawhead_late_answers',
            'Answers dropped because no attempt was waiting for them.',
            node.parts.attempts.late_answers,
        )

        yield CounterMetricFamily(
            'jackdawhead_callers_left',
            'Callers that disconnected before their answer was complete.',
            node.http.request_stats.caller_disconnects,
        )

    def _caller_metrics(self) -> Iterator[Metric]:
        gate = self._node.http.callers.gate
        yield GaugeMetricFamily(
            'jackdawhead_caller_connections',
            'Open connections of callers.',
            len(gate),
        )
        closed = CounterMetricFamily(
            'jackdawhead_callers_closed',
            'Connections of callers closed at a bound or as late, by reason.',
            labels=['reason'],
        )
        for reason, count in sorted(gate.closed.items()):
            closed.add_metric([reason], count)
        yield closed

    def _fleet_metrics(self) -> Iterator[Metric]:
        node = self._node
        yield GaugeMetricFamily(
            'jackdawhead_config_version',
            'Version of the active configuration.',
            node.parts.board.config.read().version,
        )
        yield GaugeMetricFamily(
            'jackdawhead_vm_list_generation',
            "Generation of the platform's data, 0 if unknown.",
            node.parts.board.vm_list.read().generation,
        )
        yield GaugeMetricFamily(
            'jackdawhead_upstreams_unproven',
            'Upstreams that only an older copy of that data names as ready.',
            node.parts.membership.unproven_count,
        )
        yield CounterMetricFamily(
            'jackdawhead_config_entries_refused',
            'Invalid entries skipped in accepted configurations.',
            node.parts.config.entries_refused,
        )
        yield GaugeMetricFamily(
            'jackdawhead_links',
            'Links to other nodes.',
            len(node.links()),
        )
        yield CounterMetricFamily(
            'jackdawhead_platform_reads',
            'Calls to the platform.',
            node.platform_calls,
        )
        yield CounterMetricFamily(
            'jackdawhead_stream_bytes',
            'Bytes sent and received on open links.',
            sum(link.traffic_bytes for link in node.links()),
        )
        yield GaugeMetricFamily(
            'jackdawhead_homes_excluded',
            'Homes left out of the subsets because they were unreachable.',
            len(node.parts.routing.excluded_homes),
        )
        yield self._upstream_health()

    def _upstream_health(self) -> Metric:
        family = GaugeMetricFamily(
            'jackdawhead_upstreams',
            'Upstreams of a service by health state, as seen by this node.',
            labels=['service', 'health'],
        )
        for router in self._node.parts.routing.routers():
            for health in Health:
                count = router.count_of(health)
                family.add_metric([router.service.name, health.value], count)
        return family

    def _home_metrics(self) -> Iterator[Metric]:
        running = GaugeMetricFamily(
            'jackdawhead_slots_in_use',
            'Slots in use at each upstream of this home.',
            labels=['upstream'],
        )
        waiting = GaugeMetricFamily(
            'jackdawhead_queue_length',
            'Requests queued for each upstream of this home.',
            labels=['upstream'],
        )
        unused = GaugeMetricFamily(
            'jackdawhead_upstream_unused_seconds',
            'Time since the last run started at each upstream of this home.',
            labels=['upstream'],
        )
        for upstream in self._node.parts.home.all():
            unused.add_metric([upstream.spec.name], seconds(upstream.unused_ms))
            running.add_metric([upstream.spec.name], upstream.running)
            waiting.add_metric([upstream.spec.name], upstream.waiting)
        yield running
        yield waiting
        yield unused
        yield from level_metrics(self._node.parts.home.all())


def registry_of(node: Node) -> CollectorRegistry:
    """Return a Prometheus registry with the metrics of one node.

    :param node: the running node.
    """
    registry = CollectorRegistry()
    registry.register(NodeCollector(node))
    registry.register(node.http.request_stats.latency)
    return registry


def _organisation_requests(counts: OrganisationCounts) -> Metric:
    family = CounterMetricFamily(
        'jackdawhead_organisation_requests',
        'Requests identified by a key, of the 20 organisations with the most;'
        ' those of all others have no name, and may decrease.',
        labels=['organisation', 'result'],
    )
    for count in counts.shown():
        family.add_metric([count.name, 'answered'], count.answered)
        family.add_metric([count.name, 'refused'], count.refused)
    return family


def _process_metrics() -> Iterator[Metric]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    yield CounterMetricFamily(
        'process_cpu_seconds',
        'CPU time used by the process, in seconds.',
        usage.ru_utime + usage.ru_stime,
    )
    yield GaugeMetricFamily(
        'process_resident_memory_bytes',
        'Resident memory of the process, in bytes.',
        resident_bytes(),
    )


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open('/proc/self/statm', encoding='ascii') as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize()


__all__ = ('registry_of', 'resident_bytes')
