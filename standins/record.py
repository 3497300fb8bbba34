"""Records the traces that the features replay, from stand-ins.

The nodes run the baseline rules, so that all upstreams go on being used and
their behaviour is recorded throughout.
"""

from __future__ import annotations

import argparse
import gzip
from contextlib import ExitStack
from functools import partial
from itertools import pairwise
from pathlib import Path
from random import Random
from typing import Final

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from jackdawhead.bench.client import Call
from jackdawhead.bench.load import LoadPlan, run_load
from jackdawhead.config.settings import Address

from .fleet import Fleet, config_files
from .scenarios import (
    FLOWS,
    SCENARIOS,
    SICK,
    Flow,
    Recording,
    run_times,
)
from .sites import AMAKUSA, HELVETIA, Site

_OUT: Final = Path(__file__).resolve().parent.parent / 'features' / 'traces'
_IP: Final = '127.0.0.1'
_RULES: Final = """
services:
  {service}:
    balancer: random
    detection: {{detector: none}}
    queue: {{admission: fifo}}
"""
_LEAD_S: Final = 1.0
_POPULAR: Final = 40
_ORGANISATIONS: Final = 6


def record(site: Site, name: str, seed: int) -> None:
    """Record one scenario at one site."""
    with ExitStack() as stack:
        fleet = Fleet()
        stack.callback(fleet.close)
        recording = Recording(site, fleet, FLOWS[site.name], Random(seed))
        _start(recording)
        seconds = SCENARIOS[name](recording, SICK[site.name])
        traces = _load(recording, seconds)
        _OUT.mkdir(exist_ok=True)
        lines = sorted(
            line for trace in traces for line in trace.splitlines() if line
        )
        path = _OUT / f'{site.name}-{name}.jsonl.gz'
        with path.open('wb') as raw:
            with gzip.GzipFile('', 'wb', mtime=0, fileobj=raw) as out:
                out.write(b'\n'.join(lines))
        print(f'{path.name}: {len(lines)} records, {path.stat().st_size} bytes')


def _start(recording: Recording) -> None:
    fleet = recording.fleet
    site = recording.site
    fleet.start_platform()
    for service in site.services:
        behaviour = {'run_ms': run_times(recording.flows, service.name)}
        for zone in site.zones:
            spots = [each for each in site.spots(service) if each[1] == zone]
            process = fleet.start_upstreams(
                service.name, spots, service.slots, behaviour
            )
            fleet.by_zone.setdefault(zone, []).append(process)
    for zone in site.zones:
        fleet.start_node(f'node-{zone}', zone)
    fleet.publish_vms()
    files = config_files(site.folder)
    for service in site.services:
        files[f'90-{service.name}.yaml'] = _RULES.format(service=service.name)
    fleet.publish('config', files)
    fleet.await_ready()


def _load(recording: Recording, seconds: float) -> list[bytes]:
    taps = [
        gevent.spawn(_tap, node.admin_port, seconds + 2)
        for node in recording.fleet.nodes.values()
    ]
    gevent.sleep(_LEAD_S)
    flows = [
        gevent.spawn(_run_flow, recording, flow, seconds)
        for flow in recording.flows
    ]
    gevent.joinall([*flows, *recording.pending])
    gevent.joinall(taps)
    return [tap.value for tap in taps]


def _run_flow(recording: Recording, flow: Flow, seconds: float) -> None:
    """Send one flow, in pieces of constant rate."""
    pieces = recording.pieces.get(flow.prefix, [])
    edges = {edge for each in pieces for edge in (each.start_s, each.end_s)}
    marks = sorted({0, seconds} | {edge for edge in edges if edge < seconds})
    rng = Random(recording.rng.random())
    running = []
    for start, end in pairwise(marks):
        factor = next(
            (
                each.factor
                for each in pieces
                if each.start_s <= start < each.end_s
            ),
            1.0,
        )
        plan = LoadPlan(
            _addresses(recording),
            partial(_call_of, flow, rng),
            flow.rate_per_s * factor,
            end - start,
        )
        running.append(gevent.spawn(run_load, plan, rng))
        gevent.sleep(end - start)
    gevent.joinall(running)


def _addresses(recording: Recording) -> tuple[Address, ...]:
    return tuple(
        Address(_IP, node.caller_port)
        for node in recording.fleet.nodes.values()
    )


def _call_of(flow: Flow, rng: Random, _: int) -> Call:
    """Return a call; every second one is the first organisation's."""
    number = rng.randrange(_ORGANISATIONS) * rng.randrange(2)
    organisation = f'organisation-{number}'
    target = f'{flow.prefix}/{rng.randrange(_POPULAR)}'
    headers = {'X-Organisation': organisation}
    return Call(flow.method, target, b'', headers)


def _tap(admin_port: int, seconds: float) -> bytes:
    """Return the trace of a node, as far as the node lived to send it."""
    sock = socket.create_connection((_IP, admin_port))
    target = f'/trace?seconds={seconds}'
    sock.sendall(f'GET {target} HTTP/1.1\r\nHost: node\r\n\r\n'.encode())
    response = HTTPSocketResponse(sock)
    blocks: list[bytes] = []
    try:
        blocks.extend(response)
    except (OSError, HTTPParseError):
        blocks = _whole_lines(blocks)
    finally:
        sock.close()
    return b''.join(blocks)


def _whole_lines(blocks: list[bytes]) -> list[bytes]:
    return [b''.join(blocks).rpartition(b'\n')[0]]


def main() -> None:
    """Record the named scenarios, all by default."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--site', choices=('helvetia', 'amakusa'))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('names', nargs='*')
    options = parser.parse_args()
    for site in (HELVETIA, AMAKUSA):
        if options.site in {None, site.name}:
            for name in options.names or SCENARIOS:
                record(site, name, options.seed)


if __name__ == '__main__':
    main()
