"""Slopes of what one process does, measured without a fleet."""

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
from jackdawhead.node.list_codec import parse_vm_list
from jackdawhead.policy.homes import HomeMap
from jackdawhead.policy.loads import RoutingQuery
from jackdawhead.policy.member_loads import Member
from jackdawhead.policy.service_router import ServiceRouter
from jackdawhead.wire.messages import UpstreamStatus

_IP: Final = '127.0.0.1'
_FILE_ROUTES: Final = 100
_ROUNDS: Final = 5000
_US: Final = 1_000_000
_KB: Final = 1000
_USED_SERVICES: Final = 60
_SERVICE_UPSTREAMS: Final = 36
_HOME_UPSTREAMS: Final = 55
_ZONES: Final = 15
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
    files = [SourceFile('10-service.yaml', _SERVICE)]
    for start in range(0, routes, _FILE_ROUTES):
        text = 'routes:\n' + ''.join(lines[start : start + _FILE_ROUTES])
        files.append(SourceFile(f'20-{start:06d}.yaml', text))
    return tuple(files)


def measure_routes(routes: int) -> dict[str, float]:
    """Return the cost of a configuration with that many routes."""
    sources = _sources(routes)
    loader = ConfigLoader()
    start = time.perf_counter()
    loaded = loader.load(sources).unwrap()
    spent = time.perf_counter() - start
    _, size = _timed(lambda: load_sources(sources).unwrap().config)
    _, known_size = _timed(lambda: _loader_of(sources))
    last = sources[-1]
    moved = replace(last, text=last.text.replace('/p', '/q', 1))
    start = time.perf_counter()
    loader.load((*sources[:-1], moved)).unwrap()
    change_s = time.perf_counter() - start
    table = RouteTable(loaded.config.routes.values())
    start = time.perf_counter()
    for number in range(_ROUNDS):
        table.match('GET', f'/o5/p{number % routes}/x')
    match_us = (time.perf_counter() - start) / _ROUNDS * _US
    return {
        'routes': routes,
        'bytes': sum(len(each.text) for each in sources),
        'load_ms': spent * _KB,
        'change_ms': change_s * _KB,
        'known_kb': known_size,
        'kept_kb': size,
        'match_us': match_us,
    }


def _loader_of(sources: tuple[SourceFile, ...]) -> ConfigLoader:
    loader = ConfigLoader()
    loader.load(sources).unwrap()
    return loader


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


def measure_members(vms: int) -> dict[str, float]:
    """Return the cost of the subsets of 60 services out of that many VMs.

    Each service has 36 upstreams, as in the target.
    """
    service = load_sources(_sources(1)).unwrap().config.services['s']
    count = max(_USED_SERVICES, vms // _SERVICE_UPSTREAMS)
    zones = tuple(f'z{number}' for number in range(_ZONES))
    services = [
        replace(service, name=f's{number}', zones=zones)
        for number in range(count)
    ]
    vm_list = VmList(1, {f'vm-{each}': _vm(each, count) for each in range(vms)})
    members = ServiceMembers('vm-0', 'z0')
    start = time.perf_counter()
    members.replace(vm_list)
    group_ms = (time.perf_counter() - start) * _KB
    start = time.perf_counter()
    used = [members.used(each) for each in services[:_USED_SERVICES]]
    choose_ms = (time.perf_counter() - start) * _KB
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
    stream_port = 7000 if number % _HOME_UPSTREAMS == 0 else 0
    ports = {f's{number % services}': 8000}
    return Vm(name, f'z{number % _ZONES}', _IP, False, stream_port, ports)


__all__ = (
    'measure_list',
    'measure_members',
    'measure_router',
    'measure_routes',
)
