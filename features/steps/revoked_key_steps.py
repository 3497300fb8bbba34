"""Steps that take a key away while some nodes don't hear the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when
from geventhttpclient.response import HTTPParseError

from features.steps.fleet_steps import start_relay
from features.steps.odd_fleet_steps import (
    PlatformNode,
    entry_beside,
    start_node,
)
from features.steps.organisation_steps import keyed_document, tenant
from jackdawhead.bench.client import HttpClient, HttpRequest
from jackdawhead.config.settings import Address
from standins.fleet import Fleet, wait_until
from standins.store import StandInStore

if TYPE_CHECKING:
    from behave.runner import Context

_TIMEOUT_S: Final = 10
_MS_PER_S: Final = 1000
_OK: Final = 200
_UNAUTHORIZED: Final = 401


@given(
    '{count:d} nodes with organisations that read a store,'
    ' each over a path of its own'
)
def start_fleet(context: Context, count: int) -> None:
    """Start a fleet whose nodes reach the store through relays."""
    fleet = Fleet()
    context.stack.callback(fleet.close)
    ports = fleet.reserve_ports(5)
    context.upstream_port = ports[0]
    context.node_ports = ports[1:]
    context.store = StandInStore()
    store_port = context.store.start()
    context.stack.callback(context.store.stop)
    document = keyed_document(tenant('acme', 'k-a'), tenant('bolt', 'k-b'))
    context.store.put('op/config', document)
    context.platform_nodes = []
    context.relays = {}
    for number in range(1, count + 1):
        context.store.put(f'servers/i-{number}', entry_beside(context, number))
        relay = start_relay(context, store_port)
        node = start_node(context, fleet, number, relay.port)
        context.platform_nodes.append(node)
        context.relays[node.ip] = relay
    wait_until(lambda: _statuses(context, 'k-a') == {_OK}, 'all nodes serve')


def _statuses(context: Context, key: str) -> set[int]:
    calls = [
        gevent.spawn(_status_of, node, key) for node in context.platform_nodes
    ]
    gevent.joinall(calls, raise_error=True)
    return {each.value for each in calls}


def _status_of(node: PlatformNode, key: str) -> int:
    client = HttpClient(Address(node.ip, node.caller_port), _TIMEOUT_S)
    headers = {
        'Host': 'desk.example',
        'Request-Id': 'r1',
        'Deadline-Ms': '5000',
        'Authorization': f'Token {key}',
    }
    try:
        return client.send(HttpRequest('GET', '/d/1', b'', headers)).status
    except (OSError, HTTPParseError):
        return 0
    finally:
        client.close()


@when('the store is silent for {some}')
def silence(context: Context, some: str) -> None:
    """Hold back what the store sends to some nodes."""
    nodes = {
        'all but its readers': context.going_on,
        'a reader and two other nodes': [
            context.readers[0],
            *context.going_on[:2],
        ],
    }[some.strip()]
    for node in nodes:
        context.relays[node.ip].cut_backward()


@when(
    'a version takes the key of "{name}" away, and gives "{other}" another one'
)
def revoke(context: Context, name: str, other: str) -> None:
    """Publish the next version."""
    document = keyed_document(tenant(name), tenant(other, 'k-b', 'k-b2'))
    document['version'] = '00000008'
    context.store.put('op/config', document)


@then('no node serves the key of "acme" {after:d} ms later')
def check_refused(context: Context, after: int) -> None:
    """Send a request with the key that was taken away to each node."""
    gevent.sleep(after / _MS_PER_S)
    found = _statuses(context, 'k-a')
    assert found == {_UNAUTHORIZED}, found


@then('all nodes serve both keys of "bolt"')
def check_served(context: Context) -> None:
    """Send requests with the other keys to each node."""
    for key in ('k-b', 'k-b2'):
        found = _statuses(context, key)
        assert found == {_OK}, (key, found)
