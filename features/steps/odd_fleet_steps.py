"""Steps for a fleet that reads odd entries from the store."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import gevent
from behave import given, then, when
from geventhttpclient.response import HTTPParseError

from features.steps.fleet_steps import start_relay
from features.steps.platform_path_steps import PlatformUpstream
from features.steps.platform_steps import config_document, upstream_entry
from jackdawhead.bench.client import HttpClient, HttpRequest
from jackdawhead.config.settings import Address
from jackdawhead.node.http_server import HttpServer
from standins.fleet import Fleet, kill_process, wait_until
from standins.store import StandInStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

_CALL_TIMEOUT_S: Final = 10
_IDLE_TIMEOUT_S: Final = 60
_STREAM_KEY: Final = 'a-shared-key-for-tests-only'
_REQUESTS: Final = 6
_OK: Final = 200
_MS_PER_S: Final = 1000
_ODD_KEY: Final = 'servers/odd'
_FAR_FUTURE_MS: Final = 9007199254740991
_BROADCAST: Final = '255.255.255.255:70000'


@dataclass(frozen=True, slots=True)
class PlatformNode:
    """A node beside an upstream.

    :param ip: address of both.
    :param caller_port: port for callers; ports are the same on all VMs.
    """

    ip: str
    caller_port: int
    ready_port: int
    admin_port: int
    process: subprocess.Popen[bytes]
    upstream: PlatformUpstream


def entry_beside(context: Context, number: int) -> dict[str, Any]:
    """Return the entry of the upstream beside a node."""
    address = f'127.0.0.{number}:{context.upstream_port}'
    return upstream_entry(number, address=address)


def start_node(
    context: Context, fleet: Fleet, number: int, store_port: int
) -> PlatformNode:
    """Start an upstream and the node beside it.

    :param store_port: port at which the node reaches the store.
    """
    ip = f'127.0.0.{number}'
    inbound, outbound, ready, admin = context.node_ports
    fields = (
        f'ip={ip}',
        'zone=a',
        'zones.a=here',
        f'listen.inbound={ip}:{inbound}',
        f'listen.outbound={ip}:{outbound}',
        f'listen.readyAddr={ip}:{ready}',
        f'portRange={admin},{admin}',
        'bounds=grace=6s',
        'service=desk',
        f'platform.address=127.0.0.1:{store_port}',
    )
    path = fleet.folder / f'{number}.conf'
    path.write_text('\n'.join(fields))
    process = subprocess.Popen(
        [sys.executable, '-m', 'jackdawhead', 'node', '--platform'],
        env={
            **os.environ,
            'JACKDAWHEAD_NODE_FILE': str(path),
            'JACKDAWHEAD_STREAM_KEY': _STREAM_KEY,
        },
        stdout=subprocess.DEVNULL,
    )
    context.stack.callback(kill_process, process)
    upstream = start_upstream(context, ip)
    return PlatformNode(ip, outbound, ready, admin, process, upstream)


def start_upstream(context: Context, ip: str) -> PlatformUpstream:
    """Start the upstream beside a node."""
    upstream = PlatformUpstream()
    server = HttpServer(
        Address(ip, context.upstream_port), upstream.serve, _IDLE_TIMEOUT_S
    )
    server.start()
    context.stack.callback(server.stop, 0)
    return upstream


@given('{count:d} nodes that read a store, each beside an upstream of "desk"')
def start_fleet(context: Context, count: int) -> None:
    """Start a store and a fleet on addresses of its own."""
    start_reading_fleet(context, count, lambda port: port)


@given(
    '{count:d} nodes that read a store by relays, each beside an upstream of'
    ' "desk"'
)
def start_relayed_fleet(context: Context, count: int) -> None:
    """Start the same with a relay between each node and the store."""
    context.relays = []

    def relay_to(store_port: int) -> int:
        relay = start_relay(context, store_port)
        context.relays.append(relay)
        return relay.port

    start_reading_fleet(context, count, relay_to)


def start_reading_fleet(
    context: Context, count: int, way_to_store: Callable[[int], int]
) -> None:
    """Start a store and a fleet.

    :param way_to_store: returns the port at which the next node reaches the
        store, which listens on a given port.
    """
    fleet = Fleet()
    context.stack.callback(fleet.close)
    context.folder = fleet.folder
    ports = fleet.reserve_ports(5)
    context.upstream_port = ports[0]
    context.node_ports = ports[1:]
    context.store = StandInStore()
    context.store_port = context.store.start()
    context.stack.callback(context.store.stop)
    context.store.put('op/config', config_document())
    numbers = range(1, count + 1)
    for number in numbers:
        context.store.put(f'servers/i-{number}', entry_beside(context, number))
    context.platform_nodes = [
        start_node(context, fleet, each, way_to_store(context.store_port))
        for each in numbers
    ]
    wait_until(lambda: all_answer(context, 'ready'), 'all nodes are ready')
    wait_until(lambda: all_answer(context, 'serve'), 'all nodes serve')


def status_of(ip: str, port: int, target: str) -> int:
    """Return the status of a GET, 0 without an answer."""
    client = HttpClient(Address(ip, port), _CALL_TIMEOUT_S)
    headers = {
        'Host': 'desk.example',
        'Request-Id': 'r1',
        'Deadline-Ms': '5000',
    }
    try:
        return client.send(HttpRequest('GET', target, b'', headers)).status
    except (OSError, HTTPParseError):
        return 0
    finally:
        client.close()


def all_answer(context: Context, what: str) -> bool:
    """Return whether all nodes are ready, or all serve a request."""
    statuses = [
        status_of(node.ip, node.ready_port, '/readiness')
        if what == 'ready'
        else status_of(node.ip, node.caller_port, '/d/1')
        for node in context.platform_nodes
    ]
    return set(statuses) == {_OK}


def serve_all(context: Context) -> bool:
    """Return whether all nodes serve a few requests."""
    return all(all_answer(context, 'serve') for _ in range(_REQUESTS))


def listed_counts(context: Context) -> set[int]:
    """Return how many upstreams of the service nodes list, if all answer."""
    return {
        service['members']
        for node in context.platform_nodes
        for service in status_page(node)['services']
        if service['service'] == 'desk'
    }


def status_page(node: PlatformNode) -> dict[str, Any]:
    """Return the status of a node as its admin page gives it."""
    client = HttpClient(Address(node.ip, node.admin_port), _CALL_TIMEOUT_S)
    try:
        answer = client.send(HttpRequest('GET', '/status', b'', {}))
    finally:
        client.close()
    page: dict[str, Any] = json.loads(answer.body)
    return page


@when('an entry that is {odd} comes')
def write_odd(context: Context, odd: str) -> None:
    """Write an odd entry, which a change follows."""
    deep = ''.join(('[' * 50_000, ']' * 50_000))
    key = _ODD_KEY.ljust(200, 'k') if odd == 'under a long key' else _ODD_KEY
    payload: Any = {
        'nested too deeply': f'{{"slots": {deep}}}'.encode(),
        'with a number too large': upstream_entry(9, slots=10**30),
        'with a port too large': upstream_entry(9, address=_BROADCAST),
        'under a long key': upstream_entry(9),
        'of the far future': {
            **entry_beside(context, 3),
            'born': _FAR_FUTURE_MS,
        },
    }[odd]
    context.odd_key = key
    context.store.put(key, payload)


@when(
    'the settings of node {number:d} name the service "{service}", without a'
    ' signal'
)
def change_service(context: Context, number: int, service: str) -> None:
    """Rename a changed file over the settings of a node."""
    path = context.folder / f'{number}.conf'
    changed = path.with_suffix('.new')
    changed.write_text(
        path.read_text().replace('service=desk', f'service={service}')
    )
    changed.rename(path)


@when('{after:d} ms later node {number:d} gets requests')
def send_after(context: Context, after: int, number: int) -> None:
    """Send a few requests to one node, and keep those that arrive."""
    gevent.sleep(after / _MS_PER_S)
    node = context.platform_nodes[number - 1]
    for each in context.platform_nodes:
        each.upstream.requests.clear()
    for _ in range(_REQUESTS):
        assert status_of(node.ip, node.caller_port, '/d/1') == _OK


@then('upstreams are told that they come from "{service}"')
def check_service(context: Context, service: str) -> None:
    """Check the header that names the service of the caller."""
    told = {
        environ['HTTP_CALLER_SERVICE']
        for node in context.platform_nodes
        for environ in node.upstream.requests
    }
    assert told == {service}, told


@when('the odd entry goes')
def remove_odd(context: Context) -> None:
    """Remove the odd entry."""
    context.store.remove(context.odd_key)


@when('upstream {number:d} leaves the store')
def remove_beside(context: Context, number: int) -> None:
    """Remove the entry of an upstream, which still answers."""
    context.store.remove(f'servers/i-{number}')


@when('upstream {number:d} is in the store again')
def restore_beside(context: Context, number: int) -> None:
    """Write the entry of an upstream again."""
    context.store.put(f'servers/i-{number}', entry_beside(context, number))


@then('all nodes list {count:d} upstreams and serve requests')
def check_listed(context: Context, count: int) -> None:
    """Wait until the later list is in force at all nodes."""
    wait_until(
        lambda: listed_counts(context) == {count} and serve_all(context),
        f'all nodes list {count} upstreams',
    )


@then('none goes to upstream {number:d}')
def check_unused(context: Context, number: int) -> None:
    """Check that an upstream gets no request."""
    upstream = context.platform_nodes[number - 1].upstream
    before = len(upstream.requests)
    assert serve_all(context)
    assert len(upstream.requests) == before


@then('all nodes run as at the start')
def check_processes(context: Context) -> None:
    """Check that no process has ended."""
    codes = [node.process.poll() for node in context.platform_nodes]
    assert set(codes) == {None}, codes
    assert all_answer(context, 'ready')
