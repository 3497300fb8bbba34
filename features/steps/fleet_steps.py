"""Steps that start and stop processes."""

from __future__ import annotations

import json
from random import Random
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from jackdawhead.bench.client import HttpRequest
from jackdawhead.bench.load import (
    Exchange,
    LoadPlan,
    LoadResult,
    run_load,
)
from jackdawhead.config.settings import Address
from standins.fleet import Fleet, call, read_json, wait_until
from standins.relay import Relay
from standins.sites import AMAKUSA, HELVETIA, Site, SiteService

if TYPE_CHECKING:
    from behave.runner import Context

_SITES = {'helvetia': HELVETIA, 'amakusa': AMAKUSA}


def site_of(service_name: str) -> tuple[Site, SiteService]:
    """Return the service with a name, and its site."""
    return next(
        (site, service)
        for site in _SITES.values()
        for service in site.services
        if service.name == service_name
    )


def start_fleet(
    fleet: Fleet,
    service_name: str,
    count: int,
    entries: int = 0,
    **behaviour: object,
) -> None:
    """Start a fleet in front of one service of a site.

    :param count: number of nodes with an upstream.
    :param entries: number of further nodes without an upstream.
    :param behaviour: behaviour of the upstreams.
    """
    site, service = site_of(service_name)
    fleet.start_platform()
    fleet.start_service(service, site.placements(service)[:count], **behaviour)
    for number in range(entries):
        fleet.start_node(f'entry-{number}', site.zones[0])
    fleet.publish_vms()
    fleet.publish_config(site.folder)
    fleet.await_ready()


def new_fleet(context: Context, **node_settings: Any) -> Fleet:
    """Create the fleet of this scenario without starting any process."""
    context.fleet = Fleet(node_settings=node_settings)
    context.stack.callback(context.fleet.close)
    return context.fleet


def start_relay(context: Context, port: int) -> Relay:
    """Start a relay in front of a port until this scenario ends."""
    relay = Relay(port)
    relay.start()
    context.stack.callback(relay.stop)
    return relay


def audit_records(context: Context) -> list[dict[str, Any]]:
    """Return the audit records of all nodes."""
    return [
        record
        for vm in context.fleet.nodes
        for record in context.fleet.audit(vm)
    ]


@given('a shared fleet of {count:d} nodes in front of "{service}"')
def share_fleet(context: Context, count: int, service: str) -> None:
    """Start one fleet for all scenarios of the feature."""
    key = (count, service)
    if key not in context.shared_fleets:
        fleet = Fleet()
        context.feature_stack.callback(fleet.close)
        start_fleet(fleet, service, count)
        context.shared_fleets[key] = fleet
    context.fleet = context.shared_fleets[key]


@given('a fleet of {count:d} nodes in front of "{service}"')
def own_fleet(context: Context, count: int, service: str) -> None:
    """Start a fleet for this scenario."""
    own_fleet_with_entries(context, count, 0, service)


@given(
    'a fleet of {count:d} nodes and {entries:d} entry in front of "{service}"'
)
def own_fleet_with_entries(
    context: Context,
    count: int,
    entries: int,
    service: str,
) -> None:
    """Start a fleet with further nodes that have no upstream."""
    start_fleet(new_fleet(context), service, count, entries)


def node_at(context: Context, position: int) -> str:
    """Return the VM of the node at a position, counted from 1."""
    return list(context.fleet.nodes)[position - 1]


@when('a caller sends {method} "{target}" to node {position:d}')
def send_request(
    context: Context,
    method: str,
    target: str,
    position: int,
) -> None:
    """Send one request."""
    node = context.fleet.nodes[node_at(context, position)]
    body = context.text.encode() if context.text else b''
    context.reply = call(node.caller_port, method, target, body)


@when('callers send {count:d} lookups to all nodes')
def send_lookups(context: Context, count: int) -> None:
    """Send distinct lookups at 100 per second."""
    send_lookups_to(context, count, *context.fleet.nodes)


@when('callers send {count:d} lookups to node {position:d}')
def send_lookups_to_node(context: Context, count: int, position: int) -> None:
    """Send distinct lookups to one node."""
    send_lookups_to(context, count, node_at(context, position))


def send_lookups_to(context: Context, count: int, *vms: str) -> None:
    """Send distinct lookups at 100 per second to some nodes in turn."""
    addresses = tuple(
        Address('127.0.0.1', context.fleet.nodes[vm].caller_port) for vm in vms
    )
    rate_per_s = 100.0
    plan = LoadPlan(addresses, _lookup, rate_per_s, count / rate_per_s)
    context.load = run_load(plan, Random(7), record_exchanges=True)


@when(
    'a caller sends {count:d} lookups one after the other to node {position:d}'
)
def send_in_turn(context: Context, count: int, position: int) -> None:
    """Send lookups, each one after the previous answer."""
    node = context.fleet.nodes[node_at(context, position)]
    context.load = LoadResult()
    for number in range(count):
        sent = _lookup(number)
        reply = call(node.caller_port, sent.method, sent.target)
        context.load.exchanges.append(Exchange(sent, reply, '', 0))


def _lookup(number: int) -> HttpRequest:
    return HttpRequest('GET', f'/cultivars/rosa-{number}')


@then('the status is {status:d}')
def check_status(context: Context, status: int) -> None:
    """Compare the status."""
    assert context.reply.status == status, context.reply


@then('the header "{name}" is "{text}"')
def check_header(context: Context, name: str, text: str) -> None:
    """Compare a header."""
    found = context.reply.headers.get(name.lower())
    assert found == text, context.reply


@then('the answer\'s "{field}" is "{text}"')
def check_field(context: Context, field: str, text: str) -> None:
    """Compare a field of a JSON answer."""
    found = json.loads(context.reply.body)[field]
    assert str(found) == text, context.reply


@then('every lookup has the whole answer to its own request')
def check_own_answers(context: Context) -> None:
    """Check that each answer echoes the path of its own request."""
    assert context.load.exchanges
    for exchange in context.load.exchanges:
        assert exchange.response is not None, exchange
        assert exchange.response.status == 200, exchange
        path = json.loads(exchange.response.body)['path']
        assert path == exchange.request.target, exchange


@then('node {position:d} records "{kind}" in its audit trail')
def check_audit(context: Context, position: int, kind: str) -> None:
    """Wait for a record of a kind in a node's audit trail."""
    vm = node_at(context, position)
    wait_until(
        lambda: any(each['kind'] == kind for each in context.fleet.audit(vm)),
        f'{kind} at {vm}',
    )


@then('the admin page "{path}" of node {position:d} contains "{text}"')
def check_admin(
    context: Context,
    path: str,
    position: int,
    text: str,
) -> None:
    """Check that an admin page contains a text."""
    node = context.fleet.nodes[node_at(context, position)]
    body = call(node.admin_port, 'GET', path).body.decode()
    assert text in body, body


@then('node {position:d} follows configuration {version:d}')
def check_version(context: Context, position: int, version: int) -> None:
    """Compare the version of the active configuration."""
    node = context.fleet.nodes[node_at(context, position)]
    status = read_json(node.admin_port, '/status')
    assert status['config_version'] == version, status


@then('node {position:d} is ready')
def check_ready(context: Context, position: int) -> None:
    """Check the readiness endpoint of a node."""
    node = context.fleet.nodes[node_at(context, position)]
    assert read_json(node.admin_port, '/readyz') == {'ready': True}
