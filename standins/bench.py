"""Starts the processes that ``jackdawhead bench`` measures, and runs it."""

from __future__ import annotations

import argparse
import contextlib
import sys
from typing import Final

import gevent

from jackdawhead.cli.run import run

from .fleet import Fleet

_IP: Final = '127.0.0.1'
_SETTLE_S: Final = 2.0
_SERVICE: Final = 'bench'
_ZONE: Final = 'zone-1'
_HOME: Final = 'home-1'
_ENTRY: Final = 'entry-1'
_SLOTS: Final = 64
_CONFIG: Final = f"""
zones:
  {_ZONE}: {{region: region-1}}
services:
  {_SERVICE}:
    zones: [{_ZONE}]
    slots_per_upstream: {_SLOTS}
    connections_per_upstream: {_SLOTS}
    healthy_floor_percent: 100
    operations:
      get: {{idempotent: true, work_class: short, deadline_ms: 5000}}
routes:
  get: {{service: {_SERVICE}, operation: get, method: GET, path_prefix: /bench}}
"""


def main() -> int:
    """Measure direct requests and requests through one and two nodes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rate', default='200')
    parser.add_argument('--seconds', default='10')
    parser.add_argument('--format', default='human')
    options = parser.parse_args()
    with contextlib.ExitStack() as stack:
        fleet = Fleet()
        stack.callback(fleet.close)
        port = _start(fleet)
        home = fleet.nodes[_HOME]
        entry = fleet.nodes[_ENTRY]
        gevent.sleep(_SETTLE_S)
        return run(
            [
                'bench',
                '--way',
                f'direct={_IP}:{port}',
                '--way',
                f'one-node={_IP}:{home.caller_port},{_IP}:{home.admin_port}',
                '--way',
                f'two-nodes={_IP}:{entry.caller_port},{_IP}:{entry.admin_port}'
                f',{_IP}:{home.admin_port}',
                '--idle',
                f'{_IP}:{entry.admin_port}',
                '--target',
                '/bench/',
                '--rate',
                options.rate,
                '--seconds',
                options.seconds,
                '--format',
                options.format,
            ]
        )


def _start(fleet: Fleet) -> int:
    """Start one upstream with its home, and a node that is only an entry.

    :returns: port of the upstream.
    """
    fleet.start_platform()
    fleet.start_upstreams(
        _SERVICE, [(_HOME, _ZONE)], _SLOTS, {'run_ms': {'/bench': 1}}
    )
    fleet.start_node(_HOME, _ZONE)
    fleet.start_node(_ENTRY, _ZONE)
    fleet.publish_vms()
    fleet.publish('config', {'10-bench.yaml': _CONFIG})
    fleet.await_ready()
    return fleet.upstreams[f'{_HOME}/{_SERVICE}'].port


if __name__ == '__main__':
    sys.exit(main())
