"""Steps about homes that restart, and the entries that use them again."""

from __future__ import annotations

import re
import time
from random import Random
from typing import TYPE_CHECKING

import gevent
from behave import given, then, when

from features.steps.fleet_steps import (
    new_fleet,
    node_at,
    site_of,
    start_relay,
)
from features.steps.partition_steps import load_while, lookup
from features.steps.stub_home import StubHome
from jackdawhead.bench.load import LoadPlan, run_load
from jackdawhead.config.settings import Address
from standins.fleet import STREAM_KEY, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from behave.runner import Context

_MS_PER_S = 1000
_LOAD_AFTER_S = 3
_OVERLOAD_PER_S = 300
_FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')


@when(
    'node {position:d} is stopped for {seconds:d} s while callers send lookups '
    'to the other nodes'
)
def stop_for(context: Context, position: int, seconds: int) -> None:
    """Stop a node, and start it again after a time, under load."""
    context.home = node_at(context, position)
    others = [each for each in context.fleet.nodes if each != context.home]

    def replace() -> None:
        context.fleet.stop_node(context.home)
        gevent.sleep(seconds)
        start_again(context)

    load_while(context, others, seconds + _LOAD_AFTER_S, replace)
    context.fleet.await_ready([context.home])


@given(
    'a fleet of {count:d} nodes in front of "{service}" of which node '
    '{position:d} is listed but starts {seconds:d} s later'
)
def start_late(
    context: Context, count: int, service: str, position: int, seconds: int
) -> None:
    """List a node that starts while callers send lookups to the others."""
    fleet = new_fleet(context)
    site, site_service = site_of(service)
    fleet.start_platform()
    placements = site.placements(site_service)[:count]
    fleet.start_service(site_service, placements)
    context.home = node_at(context, position)
    others = [each for each in fleet.nodes if each != context.home]
    fleet.kill_node(context.home)
    fleet.publish_vms()
    fleet.publish_config(site.folder)
    fleet.await_ready(others)

    def start() -> None:
        gevent.sleep(seconds)
        start_again(context)

    load_while(context, others, seconds + _LOAD_AFTER_S, start)
    fleet.await_ready([context.home])


def start_again(context: Context) -> None:
    """Start the home; its log so far belongs to another process."""
    context.log_start = context.fleet.nodes[context.home].log.stat().st_size
    context.home_started_at = time.time()
    context.fleet.restart_node(context.home)


def events(
    context: Context, vm: str, name: str, start: int = 0
) -> Iterator[dict[str, str]]:
    """Yield the fields of a node's log lines with an event."""
    log = context.fleet.nodes[vm].log.read_bytes()[start:]
    for line in log.decode(errors='replace').splitlines():
        if line.startswith(f'event={name} '):
            yield dict(_FIELD.findall(line))


def returns(context: Context) -> dict[str, list[dict[str, str]]]:
    """Return when each entry that lost the home has reached it again."""
    return {
        vm: [
            each
            for each in events(context, vm, 'home-back')
            if each['home'] == context.home
        ]
        for vm in context.fleet.nodes
        if any(
            each['subject'] == context.home
            for each in events(context, vm, 'home-excluded')
        )
    }


@then('each entry that lost node {position:d} uses it again')
def check_used_again(context: Context, position: int) -> None:
    """Wait until each entry that excluded the home has reached it."""
    assert node_at(context, position) == context.home
    assert returns(context)
    wait_until(lambda: all(returns(context).values()), 'homes used again')


@then(
    'each entry that lost node {position:d} uses it again, after at least '
    '{least:d} failed dials a second'
)
def check_dials(context: Context, position: int, least: int) -> None:
    """Compare the number of dials with the time without the home."""
    check_used_again(context, position)
    for vm, backs in returns(context).items():
        for back in backs:
            seconds = int(back['after_ms']) / _MS_PER_S
            assert int(back['failed_dials']) > least * seconds - 2, (vm, back)


@then('each lookup sent to node {position:d} since then reaches its upstream')
def check_offered(context: Context, position: int) -> None:
    """Compare the choices of entries with the offers at the home."""
    assert node_at(context, position) == context.home
    chosen = [
        each
        for vm in context.fleet.nodes
        for each in events(context, vm, 'upstream-chosen')
        if each['upstream'].startswith(f'{context.home}/')
        and float(each['timestamp']) > context.home_started_at
    ]
    offered = list(
        events(context, context.home, 'work-offered', context.log_start)
    )
    assert offered
    assert len(chosen) <= len(offered), chosen[:3]


@when(
    'a home that does not know its upstreams takes the place of node '
    '{position:d}'
)
def replace_home(context: Context, position: int) -> None:
    """Stop a node, and wait until all others are linked to the stub."""
    context.home = node_at(context, position)
    fleet = context.fleet
    node = fleet.nodes[context.home]
    fleet.stop_node(context.home)
    context.stub = StubHome(context.home, node.stream_port, STREAM_KEY)
    context.stub.start()
    context.stack.callback(context.stub.stop)
    wait_until(lambda: bool(context.stub.links), 'links to the home')


@when(
    'callers send {count:d} lookups to the other nodes, more than they can run'
)
def send_to_others(context: Context, count: int) -> None:
    """Send lookups to all nodes but the one that is replaced."""
    addresses = tuple(
        Address('127.0.0.1', node.caller_port)
        for node in context.fleet.nodes.values()
        if node.vm != context.home
    )
    plan = LoadPlan(addresses, lookup, _OVERLOAD_PER_S, count / _OVERLOAD_PER_S)
    run_load(plan, Random(7), record_exchanges=True)


@when('the home knows its upstreams')
def tell_upstreams(context: Context) -> None:
    """Let the home announce its versions."""
    context.stub.know_upstreams()


@then('the home has got no request')
def check_no_request(context: Context) -> None:
    """Check that the home is linked but gets no work."""
    assert context.stub.links
    assert not context.stub.submitted, context.stub.submitted


@then('the home has got a request')
def check_request(context: Context) -> None:
    """Check that the home gets work."""
    assert context.stub.submitted


@when('a further node starts with a seed, and the platform does not answer it')
def start_with_seed(context: Context) -> None:
    """Start a node that no list contains, behind a relay that is cut."""
    fleet = context.fleet
    relay = start_relay(context, fleet.platform_port)
    relay.cut_forward()
    seed = next(iter(fleet.nodes.values()))
    fleet.start_node(
        'further',
        seed.zone,
        platform_address=f'127.0.0.1:{relay.port}',
        seed_addresses=[f'127.0.0.1:{seed.stream_port}'],
    )


@then('that node knows its upstreams before it gives up on the platform')
def check_order(context: Context) -> None:
    """Compare the order of two events in the log."""
    wait_until(
        lambda: any(events(context, 'further', 'platform-lost')),
        'the platform given up',
    )
    lost = next(events(context, 'further', 'platform-lost'))
    known = list(events(context, 'further', 'home-ready'))
    assert known, 'no upstreams known'
    assert float(known[0]['timestamp']) < float(lost['timestamp'])
