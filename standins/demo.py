"""Demo: a site under load while one upstream has a gray failure."""

from __future__ import annotations

import argparse
import contextlib
from random import Random
from typing import Any, Final

import gevent

from jackdawhead.bench.client import HttpRequest
from jackdawhead.bench.load import LoadPlan, LoadResult, run_load
from jackdawhead.config.settings import Address

from .fleet import Fleet, read_json, wait_until
from .sites import HELVETIA, Site

_RATE_PER_S: Final = 200.0
_LOAD_S: Final = 4.0
_IP: Final = '127.0.0.1'
_FAULTY: Final = 'registry-4/registry-desk'


def main() -> None:
    """Run the demo and print what happened."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    with contextlib.ExitStack() as stack:
        fleet = Fleet()
        stack.callback(fleet.close)
        _start(fleet, HELVETIA)
        rng = Random(seed)
        _print_summary('steady load', _send_load(fleet, rng))
        fleet.set_behaviour(_FAULTY, fail_share=0.6)
        health = read_json(fleet.upstreams[_FAULTY].port, '/health')
        print(
            f'{_FAULTY} now fails 60% of its work; its health check: {health}'
        )
        _print_summary('load while it fails', _send_load(fleet, rng))
        wait_until(lambda: _ejections(fleet), 'ejection')
        for line in _ejections(fleet)[:1]:
            print(f'audit: {line}')
        _print_summary('load after its ejection', _send_load(fleet, rng))
        fleet.set_behaviour(_FAULTY, fail_share=0)
        print('the fault is over; trial requests will end the ejection')


def _start(fleet: Fleet, site: Site) -> None:
    fleet.start_platform()
    for service in site.services:
        fleet.start_service(service, site.placements(service))
    fleet.publish_vms()
    fleet.publish_config(site.folder)
    fleet.await_ready()
    print(
        f'{site.name}: {len(fleet.nodes)} nodes '
        f'in front of {len(fleet.upstreams)} upstreams',
    )


def _send_load(fleet: Fleet, rng: Random) -> LoadResult:
    addresses = tuple(
        Address(_IP, node.caller_port) for node in fleet.nodes.values()
    )
    plan = LoadPlan(addresses, _lookup, _RATE_PER_S, _LOAD_S)
    return run_load(plan, rng)


def _lookup(number: int) -> HttpRequest:
    return HttpRequest('GET', f'/cultivars/rosa-{number}')


def _ejections(fleet: Fleet) -> list[str]:
    found: list[dict[str, Any]] = []
    for vm in fleet.nodes:
        found.extend(
            record
            for record in fleet.audit(vm)
            if record['kind'] == 'upstream-ejected'
        )
        gevent.sleep(0)
    return [f'{each["subject"]} ejected: {each["cause"]}' for each in found]


def _print_summary(title: str, result: LoadResult) -> None:
    answers = ', '.join(
        f'{count}x {answer}' for answer, count in result.answers.most_common()
    )
    print(
        f'{title}: {answers}; p50 {result.percentile_ms(50):.1f} ms, '
        f'p99 {result.percentile_ms(99):.1f} ms',
    )


if __name__ == '__main__':
    main()
