"""Measures costs inside a single process, without a fleet."""

from __future__ import annotations

import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Final

from jackdawhead.blackboard import Vm, VmList
from jackdawhead.config.load import ConfigLoader, load_sources
from jackdawhead.config.sources import SourceFile
from jackdawhead.node.entry.members import ServiceMembers
from jackdawhead.node.entry.routes import RouteTable
from jackdawhead.node.vm_list_codec import parse_vm_list
from jackdawhead.policy.homes import HomeMap
from jackdawhead.policy.loads import RoutingQuery
from jackdawhead.policy.member_loads import Member
from jackdawhead.policy.service_router import ServiceRouter
from jackdawhead.wire.messages import UpstreamStatus

_IP: Final = '127.0.0.1'
_ROUTES_PER_FILE: Final = 100
_ITERATIONS: Final = 5000
_US_PER_S: Final = 1_000_000
_THOUSAND: Final = 1000
_USED_SERVICES: Final = 60
_UPSTREAMS_PER_SERVICE: Final = 36
_VMS_PER_NODE: Final = 55
_ZONE_COUNT: Final = 15
_SERVICE_CONFIG: Final = """
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
_ROUTE_CONFIG: Final = (
    '  r{number}: {{service: s, operation: get, method: GET, '
    'path_prefix: /o{group}/p{number}}}\n'
)


def _measure(action: Callable[[], object]) -> tuple[float, float]:
    """Return an action's run time in seconds and its result's size in KB."""
    tracemalloc.start()
    start = time.perf_counter()
    kept = action()
    elapsed_s = time.perf_counter() - start
    size_kb = tracemalloc.get_traced_memory()[0] / _THOUSAND
    tracemalloc.stop()
    del kept
    return elapsed_s, size_kb


def _sources(routes: int) -> tuple[SourceFile, ...]:
    lines = [
        _ROUTE_CONFIG.format(number=number, group=number % 97)
        for number in range(routes)
    ]
    files = [SourceFile('10-service.yaml', _SERVICE_CONFIG)]
    for start in range(0, routes, _ROUTES_PER_FILE):
        text = 'routes:\n' + ''.join(lines[start : start + _ROUTES_PER_FILE])
        files.append(SourceFile(f'20-{start:06d}.yaml', text))
    return tuple(files)


def measure_routes(routes: int) -> dict[str, float]:
    """Measure loading, changing and matching a number of routes."""
    sources = _sources(routes)
    loader = ConfigLoader()
    start = time.perf_counter()
    loaded = loader.load(sources).unwrap()
    elapsed_s = time.perf_counter() - start
    _, size_kb = _measure(lambda: load_sources(sources).unwrap().config)
    _, loader_kb = _measure(lambda: _filled_loader(sources))
    last = sources[-1]
    edited = replace(last, text=last.text.replace('/p', '/q', 1))
    start = time.perf_counter()
    loader.load((*sources[:-1], edited)).unwrap()
    change_s = time.perf_counter() - start
    table = RouteTable(loaded.config.routes.values())
    start = time.perf_counter()
    for number in range(_ITERATIONS):
        table.match('GET', f'/o5/p{number % routes}/x')
    match_us = (time.perf_counter() - start) / _ITERATIONS * _US_PER_S
    return {
        'routes': routes,
        'bytes': sum(len(each.text) for each in sources),
        'load_ms': elapsed_s * _THOUSAND,
        'change_ms': change_s * _THOUSAND,
        'known_kb': loader_kb,
        'kept_kb': size_kb,
        'match_us': match_us,
    }


def _filled_loader(sources: tuple[SourceFile, ...]) -> ConfigLoader:
    loader = ConfigLoader()
    loader.load(sources).unwrap()
    return loader


def measure_router(upstreams: int) -> dict[str, float]:
    """Measure routing decisions in a service.

    :param upstreams: size of the service.
    """
    config = load_sources(_sources(1)).unwrap().config
    service = config.services['s']
    members = tuple(
        Member(f'vm-{number}/s', 'z1', f'vm-{number}')
        for number in range(upstreams)
    )
    router = ServiceRouter(service, 'z1', Random(1))
    elapsed_s, size_kb = _measure(lambda: router.replace_members(members))
    rng = Random(2)
    start = time.perf_counter()
    for number in range(_ITERATIONS):
        now_ms = float(number)
        load = router.choose('get', RoutingQuery(now_ms))
        assert load is not None
        load.note_sent()
        load.note_done()
        router.note_status(_status(load.upstream, rng), now_ms)
    decide_us = (time.perf_counter() - start) / _ITERATIONS * _US_PER_S
    for member in members:
        router.note_status(_status(member.name, rng), float(_ITERATIONS))
    start = time.perf_counter()
    router.tick(float(_ITERATIONS))
    tick_ms = (time.perf_counter() - start) * _THOUSAND
    return {
        'upstreams': upstreams,
        'decide_us': decide_us,
        'tick_ms': tick_ms,
        'list_ms': elapsed_s * _THOUSAND,
        'kept_kb': size_kb,
    }


def _status(upstream: str, rng: Random) -> UpstreamStatus:
    run_ms = 20 + rng.randrange(5)
    return UpstreamStatus(
        upstream, 'get', 0, 2, run_ms, 32, 0, run_ms, run_ms, 0, 0, False
    )


def measure_list(vms: int) -> dict[str, float]:
    """Measure parsing a VM list and assigning homes.

    :param vms: length of the list.
    """
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
    parse_ms = (time.perf_counter() - start) * _THOUSAND
    start = time.perf_counter()
    homes = HomeMap(vm_list)
    owned = len(list(homes.upstreams_of('vm-0')))
    homes_ms = (time.perf_counter() - start) * _THOUSAND
    _, size_kb = _measure(lambda: parse_vm_list(1, text).unwrap())
    return {
        'vms': vms,
        'bytes': len(text),
        'parse_ms': parse_ms,
        'homes_ms': homes_ms,
        'owned': owned,
        'kept_kb': size_kb,
    }


def measure_members(vms: int) -> dict[str, float]:
    """Measure choosing the subsets of 60 services.

    Each service has 36 upstreams, as in the target size.

    :param vms: length of the VM list.
    """
    service = load_sources(_sources(1)).unwrap().config.services['s']
    count = max(_USED_SERVICES, vms // _UPSTREAMS_PER_SERVICE)
    zones = tuple(f'z{number}' for number in range(_ZONE_COUNT))
    services = [
        replace(service, name=f's{number}', zones=zones)
        for number in range(count)
    ]
    vm_list = VmList(1, {f'vm-{each}': _vm(each, count) for each in range(vms)})
    members = ServiceMembers('vm-0', 'z0')
    start = time.perf_counter()
    members.replace(vm_list)
    group_ms = (time.perf_counter() - start) * _THOUSAND
    start = time.perf_counter()
    used = [members.used(each) for each in services[:_USED_SERVICES]]
    choose_ms = (time.perf_counter() - start) * _THOUSAND
    return {
        'vms': vms,
        'services': count,
        'group_ms': group_ms,
        'choose_ms': choose_ms,
        'upstreams_used': sum(len(each) for each in used),
        'homes_used': len({one.home for each in used for one in each}),
    }


def _vm(number: int, services: int) -> Vm:
    """Return a VM with one upstream; one in 55 runs a node."""
    name = f'vm-{number}'
    stream_port = 7000 if number % _VMS_PER_NODE == 0 else 0
    ports = {f's{number % services}': 8000}
    return Vm(name, f'z{number % _ZONE_COUNT}', _IP, False, stream_port, ports)


__all__ = (
    'measure_list',
    'measure_members',
    'measure_router',
    'measure_routes',
)
