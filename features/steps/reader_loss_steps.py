"""Steps that lose the nodes that read the store for all others."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when

from features.steps.odd_fleet_steps import PlatformNode, entry_beside, status_of
from features.steps.platform_steps import config_document, upstream_entry
from jackdawhead.node.listed_content import vm_name
from jackdawhead.policy.platform_readers import nodes_before

if TYPE_CHECKING:
    from behave.runner import Context

_MS_PER_S: Final = 1000
_OK: Final = 200
# Readers begin to watch some seconds after their start.
_START_S: Final = 4
# Each reader watches anew every two seconds.
_WATCHED_S: Final = 6
_LEAST_WATCHES: Final = 4
_SIGNALS: Final = {'killed': signal.SIGKILL, 'suspended': signal.SIGSTOP}
_ROUNDS: Final = 8
# Requests that a node gets at once, so that they go to several upstreams.
_PARALLEL: Final = 6
_RUN_S: Final = 0.05
_ADDRESSES: Final = 255


@given('two of them watch the store')
def await_readers(context: Context) -> None:
    """Wait until the readers have settled, and find them."""
    gevent.sleep(_START_S)
    context.store.calls.clear()
    gevent.sleep(_WATCHED_S)
    watches = context.store.calls.count('/kv-watch')
    assert watches >= _LEAST_WATCHES, watches
    nodes = context.platform_nodes
    names = [vm_name(node.ip) for node in nodes]
    ranked = sorted(
        nodes, key=lambda node: len(nodes_before(vm_name(node.ip), names))
    )
    context.readers = ranked[:2]
    context.going_on = ranked[2:]
    for node in nodes:
        node.upstream.run_s = _RUN_S
    for _ in range(_ROUNDS):
        get_all(nodes, _OK)


@given(
    '{count:d} entries of a service that is not configured, which rank first'
)
def add_foreign(context: Context, count: int) -> None:
    """Write entries at addresses where no node is."""
    nodes = [vm_name(node.ip) for node in context.platform_nodes]
    candidates = (f'127.0.10.{number}' for number in range(1, _ADDRESSES))
    first = [ip for ip in candidates if not nodes_before(vm_name(ip), nodes)]
    assert len(first) >= count, first
    for ip in first[:count]:
        entry = upstream_entry(9, address=f'{ip}:8080', service='unnamed')
        context.store.put(f'servers/{vm_name(ip)}', entry)


@when('both of them are {gone}')
def lose_readers(context: Context, gone: str) -> None:
    """Send a signal to both readers."""
    for node in context.readers:
        node.process.send_signal(_SIGNALS[gone])


@when('{after:d} ms later the upstream of another node drains')
def drain(context: Context, after: int) -> None:
    """Report an upstream as draining; it still answers."""
    gevent.sleep(after / _MS_PER_S)
    number = _leaving_number(context)
    entry = {**entry_beside(context, number), 'state': 'draining', 'seq': 9}
    context.store.put(f'servers/i-{number}', entry)


@when('{after:d} ms later the upstream of another node leaves the store')
def leave(context: Context, after: int) -> None:
    """Remove the entry of an upstream, which still answers."""
    gevent.sleep(after / _MS_PER_S)
    context.store.remove(f'servers/i-{_leaving_number(context)}')


@when('{after:d} ms later a version moves "/d/" away from "desk"')
def move_route(context: Context, after: int) -> None:
    """Send the requests of a route to a service without upstreams."""
    gevent.sleep(after / _MS_PER_S)
    publish_moved_route(context)


def publish_moved_route(context: Context) -> None:
    """Write a version that moves a route."""
    document = config_document('00000008')
    for part in document['resources']:
        if part['metadata']['name'] == 'd':
            part['spec']['service'] = 'ledger'
    context.store.put('op/config', document)


def _leaving_number(context: Context) -> int:
    # Nodes tend to go on with the upstreams that they have used.
    context.leaving = max(
        context.going_on, key=lambda node: len(node.upstream.requests)
    )
    return int(context.leaving.ip.rpartition('.')[2])


@then('no node that goes on uses that upstream {after:d} ms later')
def check_unused(context: Context, after: int) -> None:
    """Send requests through the other nodes, also those beside it."""
    gevent.sleep(after / _MS_PER_S)
    before = len(context.leaving.upstream.requests)
    served = 0
    for _ in range(_ROUNDS):
        found = get_all(context.going_on, _OK)
        served += found.count(True)
    late = len(context.leaving.upstream.requests) - before
    assert not late, late
    assert served, 'no request was served'


@then('no node that goes on serves "/d/1" {after:d} ms later')
def check_moved(context: Context, after: int) -> None:
    """Send requests of the route that was moved."""
    gevent.sleep(after / _MS_PER_S)
    assert not any(get_all(context.going_on, _OK))


def get_all(nodes: list[PlatformNode], status: int) -> list[bool]:
    """Return for requests to all nodes whether they have a status."""
    calls = [
        gevent.spawn(status_of, node.ip, node.caller_port, '/d/1')
        for node in nodes
        for _ in range(_PARALLEL)
    ]
    gevent.joinall(calls, raise_error=True)
    return [each.value == status for each in calls]
