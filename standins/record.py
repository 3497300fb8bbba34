"""Records the traces that the features replay, with stand-in upstreams.

The nodes run the baseline rules without ejections, so that all upstreams stay
in use and their behaviour is recorded throughout.
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

from jackdawhead.bench.client import HttpRequest
from jackdawhead.bench.load import LoadPlan, run_load
from jackdawhead.config.settings import Address

from .fleet import Fleet, config_files
from .scenarios import (
    FAULTY_UPSTREAMS,
    FLOWS,
    SCENARIOS,
    Flow,
    Recording,
    run_times,
)
from .sites import AMAKUSA, HELVETIA, Site

_TRACE_FOLDER: Final = (
    Path(__file__).resolve().parent.parent / 'features' / 'traces'
)
_IP: Final = '127.0.0.1'
_BASELINE_RULES: Final = """
services:
  {service}:
    balancer: random
    detection: {{detector: none}}
    queue: {{admission: fifo}}
"""
_TRACE_LEAD_S: Final = 1.0
_TARGETS_PER_FLOW: Final = 40
_ORGANISATION_COUNT: Final = 6


def record(site: Site, name: str, seed: int) -> None:
    """Record one scenario at one site into ``features/traces``."""
    with ExitStack() as stack:
        fleet = Fleet()
        stack.callback(fleet.close)
        recording = Recording(site, fleet, FLOWS[site.name], Random(seed))
        _start(recording)
        seconds = SCENARIOS[name](recording, FAULTY_UPSTREAMS[site.name])
        traces = _record_load(recording, seconds)
        _TRACE_FOLDER.mkdir(exist_ok=True)
        lines = sorted(
            line for trace in traces for line in trace.splitlines() if line
        )
        path = _TRACE_FOLDER / f'{site.name}-{name}.jsonl.gz'
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
            placements = [
                each for each in site.placements(service) if each[1] == zone
            ]
            process = fleet.start_upstreams(
                service.name, placements, service.slots, behaviour
            )
            fleet.by_zone.setdefault(zone, []).append(process)
    for zone in site.zones:
        fleet.start_node(f'node-{zone}', zone)
    fleet.publish_vms()
    files = config_files(site.folder)
    for service in site.services:
        files[f'90-{service.name}.yaml'] = _BASELINE_RULES.format(
            service=service.name
        )
    fleet.publish('config', files)
    fleet.await_ready()


def _record_load(recording: Recording, seconds: float) -> list[bytes]:
    readers = [
        gevent.spawn(_read_trace, node.admin_port, seconds + 2)
        for node in recording.fleet.nodes.values()
    ]
    gevent.sleep(_TRACE_LEAD_S)
    flows = [
        gevent.spawn(_run_flow, recording, flow, seconds)
        for flow in recording.flows
    ]
    gevent.joinall([*flows, *recording.pending])
    gevent.joinall(readers)
    return [reader.value for reader in readers]


def _run_flow(recording: Recording, flow: Flow, seconds: float) -> None:
    """Send one flow, step by step at a constant rate."""
    rate_steps = recording.rate_steps.get(flow.prefix, [])
    edges = {edge for each in rate_steps for edge in (each.start_s, each.end_s)}
    boundaries = sorted(
        {0, seconds} | {edge for edge in edges if edge < seconds}
    )
    rng = Random(recording.rng.random())
    loads = []
    for start, end in pairwise(boundaries):
        factor = next(
            (
                each.factor
                for each in rate_steps
                if each.start_s <= start < each.end_s
            ),
            1.0,
        )
        plan = LoadPlan(
            _addresses(recording),
            partial(_random_call, flow, rng),
            flow.rate_per_s * factor,
            end - start,
        )
        loads.append(gevent.spawn(run_load, plan, rng))
        gevent.sleep(end - start)
    gevent.joinall(loads)


def _addresses(recording: Recording) -> tuple[Address, ...]:
    return tuple(
        Address(_IP, node.caller_port)
        for node in recording.fleet.nodes.values()
    )


def _random_call(flow: Flow, rng: Random, _: int) -> HttpRequest:
    """Draw a call; more than half are of the first organisation."""
    number = rng.randrange(_ORGANISATION_COUNT) * rng.randrange(2)
    organisation = f'organisation-{number}'
    target = f'{flow.prefix}/{rng.randrange(_TARGETS_PER_FLOW)}'
    headers = {'X-Organisation': organisation}
    return HttpRequest(flow.method, target, b'', headers)


def _read_trace(admin_port: int, seconds: float) -> bytes:
    """Return the trace of a node, up to its end if the node is killed."""
    sock = socket.create_connection((_IP, admin_port))
    target = f'/trace?seconds={seconds}'
    sock.sendall(f'GET {target} HTTP/1.1\r\nHost: node\r\n\r\n'.encode())
    response = HTTPSocketResponse(sock)
    blocks: list[bytes] = []
    try:
        blocks.extend(response)
    except (OSError, HTTPParseError):
        blocks = _complete_lines(blocks)
    finally:
        sock.close()
    return b''.join(blocks)


def _complete_lines(blocks: list[bytes]) -> list[bytes]:
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
