"""Measures the slopes that docs/CAPACITY.md rests on."""

from __future__ import annotations

import argparse
import json
import time
import tracemalloc
from collections.abc import Callable
from contextlib import ExitStack
from random import Random
from typing import Any, Final

import gevent

from jackdawhead.bench.metrics_reader import NodeUsage, read_usage
from jackdawhead.blackboard import VmList
from jackdawhead.config.load import load_sources
from jackdawhead.config.settings import Address
from jackdawhead.config.sources import SourceFile
from jackdawhead.node.entry.routes import RouteTable
from jackdawhead.node.membership import parse_vm_list
from jackdawhead.policy.homes import HomeMap
from jackdawhead.policy.loads import RoutingQuery
from jackdawhead.policy.service_router import Member, ServiceRouter
from jackdawhead.wire.messages import UpstreamStatus

from .fleet import Fleet, read_json, wait_until
from .sites import HELVETIA

_IP: Final = '127.0.0.1'
_ROUNDS: Final = 5000
_US: Final = 1_000_000
_KB: Final = 1000
_IDLE_S: Final = 20.0
_SERVICE: Final = """
zones: {z1: {region: r1}}
services:
  s:
    zones: [z1]
    slots_per_upstream: 3
    connections_per_upstream: 330
    healthy_floor_percent: 60
    operations:
      get: {idempotent: true, work_class: short, deadline_ms: 2000}
"""
_ROUTE: Final = (
    '  r{number}: {{service: s, operation: get, method: GET, '
    'path_prefix: /o{group}/p{number}}}\n'
)


def _timed(action: Callable[[], object]) -> tuple[float, float]:
    """Return seconds and kilobytes that an action takes and leaves."""
    tracemalloc.start()
    start = time.perf_counter()
    kept = action()
    spent = time.perf_counter() - start
    size = tracemalloc.get_traced_memory()[0] / _KB
    tracemalloc.stop()
    del kept
    return spent, size


def _sources(routes: int) -> tuple[SourceFile, ...]:
    lines = [
        _ROUTE.format(number=number, group=number % 97)
        for number in range(routes)
    ]
    text = 'routes:\n' + ''.join(lines)
    return (
        SourceFile('10-service.yaml', _SERVICE),
        SourceFile('20-routes.yaml', text),
    )


def measure_routes(routes: int) -> dict[str, float]:
    """Return the cost of a configuration with that many routes."""
    sources = _sources(routes)
    start = time.perf_counter()
    loaded = load_sources(sources).unwrap()
    spent = time.perf_counter() - start
    _, size = _timed(lambda: load_sources(sources).unwrap().config)
    table = RouteTable(loaded.config.routes.values())
    start = time.perf_counter()
    for number in range(_ROUNDS):
        table.match('GET', f'/o5/p{number % routes}/x')
    match_us = (time.perf_counter() - start) / _ROUNDS * _US
    return {
        'routes': routes,
        'bytes': sum(len(each.text) for each in sources),
        'load_ms': spent * _KB,
        'kept_kb': size,
        'match_us': match_us,
    }


def measure_router(upstreams: int) -> dict[str, float]:
    """Return the cost of the decisions in a service of that size."""
    config = load_sources(_sources(1)).unwrap().config
    service = config.services['s']
    members = tuple(
        Member(f'vm-{number}/s', 'z1', f'vm-{number}')
        for number in range(upstreams)
    )
    router = ServiceRouter(service, 'z1', Random(1))
    spent, size = _timed(lambda: router.replace_members(members))
    rng = Random(2)
    start = time.perf_counter()
    for number in range(_ROUNDS):
        now_ms = float(number)
        load = router.choose('get', RoutingQuery(now_ms))
        assert load is not None
        load.note_sent()
        load.note_done()
        router.note_status(_status(load.upstream, rng), now_ms)
    decide_us = (time.perf_counter() - start) / _ROUNDS * _US
    for member in members:
        router.note_status(_status(member.name, rng), float(_ROUNDS))
    start = time.perf_counter()
    router.tick(float(_ROUNDS))
    tick_ms = (time.perf_counter() - start) * _KB
    return {
        'upstreams': upstreams,
        'decide_us': decide_us,
        'tick_ms': tick_ms,
        'list_ms': spent * _KB,
        'kept_kb': size,
    }


def _status(upstream: str, rng: Random) -> UpstreamStatus:
    run_ms = 20 + rng.randrange(5)
    return UpstreamStatus(
        upstream, 'get', 0, 2, run_ms, 32, 0, run_ms, run_ms, 0, 0, False
    )


def measure_list(vms: int) -> dict[str, float]:
    """Return the cost of a list of that many VMs."""
    text = json.dumps(
        [
            {
                'name': f'vm-{number}',
                'zone': f'z{number % 15}',
                'ip': '10.0.0.1',
                'stream_port': 7000 if number % 55 == 0 else 0,
                'upstream_ports': {'s': 8000},
            }
            for number in range(vms)
        ]
    )
    start = time.perf_counter()
    vm_list: VmList = parse_vm_list(1, text).unwrap()
    parse_ms = (time.perf_counter() - start) * _KB
    start = time.perf_counter()
    homes = HomeMap(vm_list)
    owned = len(list(homes.upstreams_of('vm-0')))
    homes_ms = (time.perf_counter() - start) * _KB
    _, size = _timed(lambda: parse_vm_list(1, text).unwrap())
    return {
        'vms': vms,
        'bytes': len(text),
        'parse_ms': parse_ms,
        'homes_ms': homes_ms,
        'owned': owned,
        'kept_kb': size,
    }


def measure_fleet(nodes: int) -> dict[str, float]:
    """Return what an idle fleet of that many nodes costs a node."""
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
        before = _usages(fleet)
        reads = _reads(fleet)
        gevent.sleep(_IDLE_S)
        after = _usages(fleet)
        reads_per_min = (_reads(fleet) - reads) / _IDLE_S * 60
        reads = _reads(fleet)
        spread_s = _spread(fleet)
        change_reads = _reads(fleet) - reads
    cpu = [
        new.cpu_s - old.cpu_s for old, new in zip(before, after, strict=True)
    ]
    sent = [
        new.stream_bytes - old.stream_bytes
        for old, new in zip(before, after, strict=True)
    ]
    return {
        'nodes': nodes,
        'core_percent': sum(cpu) / nodes / _IDLE_S * 100,
        'bytes_per_s': sum(sent) / nodes / _IDLE_S,
        'resident_mb': max(each.resident_bytes for each in after) / 1e6,
        'reads_per_min': reads_per_min,
        'reads_per_change': change_reads,
        'spread_s': spread_s,
    }


def _usages(fleet: Fleet) -> list[NodeUsage]:
    return [
        read_usage(Address(_IP, node.admin_port))
        for node in fleet.nodes.values()
    ]


def _reads(fleet: Fleet) -> int:
    found = read_json(fleet.platform_port, '/_control/reads')
    return sum(found.values())


def _spread(fleet: Fleet) -> float:
    """Return the time until a change is in force at all nodes."""
    start = time.monotonic()
    fleet.publish_config(HELVETIA.folder)
    wait_until(lambda: all(_follows(fleet, 2)), 'version 2')
    return time.monotonic() - start


def _follows(fleet: Fleet, version: int) -> list[bool]:
    return [
        read_json(node.admin_port, '/status')['config_version'] == version
        for node in fleet.nodes.values()
    ]


def main() -> None:
    """Run all measurements and print one line of JSON for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, nargs='*', default=[4, 8, 16, 32])
    options = parser.parse_args()
    runs: list[tuple[str, Callable[[int], dict[str, Any]], list[int]]] = [
        ('router', measure_router, [6, 60, 600, 2000]),
        ('routes', measure_routes, [100, 1000, 5000]),
        ('list', measure_list, [1000, 4000, 16000]),
        ('fleet', measure_fleet, options.nodes),
    ]
    for name, measure, sizes in runs:
        for size in sizes:
            found = measure(size)
            rounded = {key: round(figure, 2) for key, figure in found.items()}
            print(name, json.dumps(rounded), flush=True)


if __name__ == '__main__':
    main()
