"""Measures costs in fleets of real processes."""

from __future__ import annotations

import time
from contextlib import ExitStack
from random import Random
from typing import Final

import gevent

from jackdawhead.bench.client import HttpRequest
from jackdawhead.bench.load import LoadPlan, run_load
from jackdawhead.bench.metrics_reader import NodeUsage, read_usage
from jackdawhead.config.settings import Address

from .fleet import Fleet, config_files, read_json, wait_until
from .sites import HELVETIA

_IP: Final = '127.0.0.1'
_IDLE_PERIOD_S: Final = 20.0
_LINKED_NODE_COUNT: Final = 24
_LOAD_RATE_PER_S: Final = 400.0
_LOAD_S: Final = 10.0


def measure_links(subset_size: int) -> dict[str, float]:
    """Measure what links to the upstreams in use cost each of 24 nodes.

    :param subset_size: upstreams that each node uses.
    """
    with ExitStack() as stack:
        fleet = Fleet()
        stack.callback(fleet.close)
        fleet.start_platform()
        placements = [
            (f'node-{number}', HELVETIA.zones[number % len(HELVETIA.zones)])
            for number in range(_LINKED_NODE_COUNT)
        ]
        fleet.start_upstreams('registry-desk', placements, 3, {})
        for vm, zone in placements:
            fleet.start_node(vm, zone)
        fleet.publish_vms()
        _publish_subset(fleet, subset_size)
        fleet.await_ready()
        _send_load(fleet)
        before = _node_usages(fleet)
        gevent.sleep(_IDLE_PERIOD_S)
        after = _node_usages(fleet)
        links = [
            read_json(node.admin_port, '/status')['dialled_links']
            for node in fleet.nodes.values()
        ]
    count = len(after)
    return {
        'subset_size': subset_size,
        'dialled_links': sum(links) / count,
        'bytes_per_s': _sent_per_s(before, after),
        'resident_mb': sum(each.resident_bytes for each in after) / count / 1e6,
    }


def _publish_subset(fleet: Fleet, subset_size: int) -> None:
    files = config_files(HELVETIA.folder)
    files['90-subset.yaml'] = (
        f'services: {{registry-desk: {{subset_size: {subset_size}}}}}'
    )
    fleet.publish('config', files)


def _send_load(fleet: Fleet) -> None:
    addresses = tuple(
        Address(_IP, node.caller_port) for node in fleet.nodes.values()
    )
    plan = LoadPlan(addresses, _lookup, _LOAD_RATE_PER_S, _LOAD_S)
    run_load(plan, Random(1), record_exchanges=False)


def _lookup(number: int) -> HttpRequest:
    return HttpRequest('GET', f'/cultivars/{number}')


def measure_fleet(nodes: int) -> dict[str, float]:
    """Measure the idle cost per node, and how fast a change reaches all.

    :param nodes: size of the fleet.
    """
    with ExitStack() as stack:
        fleet = Fleet()
        stack.callback(fleet.close)
        fleet.start_platform()
        for number in range(nodes):
            zone = HELVETIA.zones[number % 3]
            fleet.start_node(f'node-{number}', zone)
        fleet.publish_vms()
        fleet.publish_config(HELVETIA.folder)
        fleet.await_ready()
        gevent.sleep(3)
        before = _node_usages(fleet)
        reads = _platform_reads(fleet)
        gevent.sleep(_IDLE_PERIOD_S)
        after = _node_usages(fleet)
        reads_per_min = (_platform_reads(fleet) - reads) / _IDLE_PERIOD_S * 60
        reads = _platform_reads(fleet)
        spread_s = _measure_rollout_s(fleet)
        change_reads = _platform_reads(fleet) - reads
    cpu = [
        new.cpu_s - old.cpu_s for old, new in zip(before, after, strict=True)
    ]
    return {
        'nodes': nodes,
        'core_percent': sum(cpu) / nodes / _IDLE_PERIOD_S * 100,
        'bytes_per_s': _sent_per_s(before, after),
        'resident_mb': max(each.resident_bytes for each in after) / 1e6,
        'reads_per_min': reads_per_min,
        'reads_per_change': change_reads,
        'spread_s': spread_s,
    }


def _node_usages(fleet: Fleet) -> list[NodeUsage]:
    return [
        read_usage(Address(_IP, node.admin_port))
        for node in fleet.nodes.values()
    ]


def _sent_per_s(before: list[NodeUsage], after: list[NodeUsage]) -> float:
    """Return the bytes that a node sent per second of the idle period."""
    sent = sum(each.stream_bytes for each in after)
    sent -= sum(each.stream_bytes for each in before)
    return sent / len(after) / _IDLE_PERIOD_S


def _platform_reads(fleet: Fleet) -> int:
    found = read_json(fleet.platform_port, '/_control/reads')
    return sum(found.values())


def _measure_rollout_s(fleet: Fleet) -> float:
    """Return the seconds until a new configuration is active at all nodes."""
    start = time.monotonic()
    fleet.publish_config(HELVETIA.folder)
    wait_until(lambda: all(_have_version(fleet, 2)), 'version 2')
    return time.monotonic() - start


def _have_version(fleet: Fleet, version: int) -> list[bool]:
    return [
        read_json(node.admin_port, '/status')['config_version'] == version
        for node in fleet.nodes.values()
    ]


__all__ = ('measure_fleet', 'measure_links')
