"""Steps that cut paths, drain upstreams and replace nodes under load."""

from __future__ import annotations

import json
import signal
import time
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

import gevent
from behave import given, then, when

from features.steps.fleet_steps import (
    audit_records,
    new_fleet,
    node_at,
    own_fleet,
    start_fleet,
    start_relay,
)
from features.steps.spread_steps import restart, site_files, statuses
from jackdawhead.bench.client import Call
from jackdawhead.bench.load import LoadPlan, run_load
from jackdawhead.config.settings import Address
from jackdawhead.node.list_codec import parse_vm_list
from jackdawhead.policy.readers import is_reader
from standins.fleet import call, read_json, wait_until

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.blackboard import VmList

_IP = '127.0.0.1'
_RATE_PER_S = 80.0
_POISON = '/cultivars/poison'
_REFUSED = 422
_SENT_S = 0.5
_RESTART_LOAD_S = 5.0
_KEY_LOAD_S = 4.0
_SECOND = 2


def lookup(number: int) -> Call:
    """Return a lookup of its own."""
    return Call('GET', f'/cultivars/rosa-{number}')


def load_while(
    context: Context,
    vms: list[str],
    seconds: float,
    action: Callable[[], None],
) -> None:
    """Send lookups to some nodes while something happens."""
    addresses = tuple(
        Address(_IP, context.fleet.nodes[vm].caller_port) for vm in vms
    )
    plan = LoadPlan(addresses, lookup, _RATE_PER_S, seconds)
    loading = gevent.spawn(run_load, plan, Random(5), keep_exchanges=True)
    gevent.sleep(1)
    action()
    loading.join()
    context.load = loading.value


@given(
    'a fleet of {count:d} nodes before "{service}" with a relay '
    'before node {position:d}'
)
def fleet_with_relay(
    context: Context,
    count: int,
    service: str,
    position: int,
) -> None:
    """Start a fleet with one node behind a relay."""
    start_with_relays(context, count, service, [position])


@given('a fleet of {count:d} nodes before "{service}" with relays before all')
def fleet_with_relays(context: Context, count: int, service: str) -> None:
    """Start a fleet with all nodes behind relays."""
    start_with_relays(context, count, service, list(range(1, count + 1)))


@given(
    'a fleet of {count:d} nodes before "{service}" with a relay '
    'before upstream {position:d}'
)
def fleet_with_upstream_relay(
    context: Context,
    count: int,
    service: str,
    position: int,
) -> None:
    """Start a fleet with one upstream behind a relay."""
    own_fleet(context, count, service)
    name = list(context.fleet.upstreams)[position - 1]
    relay = start_relay(context, context.fleet.upstreams[name].port)
    context.relays = {name: relay}
    context.fleet.relayed_upstreams[name] = relay.port
    context.fleet.publish_vms()
    wait_until(
        lambda: all(
            each['vm_list_version'] == _SECOND for each in statuses(context)
        ),
        'second list everywhere',
    )


@given(
    'a fleet of {count:d} nodes before "{service}" with a relay '
    'before the platform of node {position:d}'
)
def fleet_with_platform_relay(
    context: Context,
    count: int,
    service: str,
    position: int,
) -> None:
    """Start a fleet, one node of which reaches the platform by a relay."""
    own_fleet(context, count, service)
    relay = start_relay(context, context.fleet.platform_port)
    context.relays = {'platform': relay}
    vm = node_at(context, position)
    restart(context, vm, platform_address=f'{_IP}:{relay.port}')
    context.fleet.await_ready([vm])


def start_with_relays(
    context: Context,
    count: int,
    service: str,
    positions: list[int],
) -> None:
    """Start a fleet whose list names relays instead of some nodes."""
    fleet = new_fleet(context)
    context.relays = {}

    def place(vm: str, stream_port: int) -> int:
        position = list(fleet.nodes).index(vm) + 1
        if position not in positions:
            return stream_port
        context.relays[vm] = start_relay(context, stream_port)
        return int(context.relays[vm].port)

    fleet.place = place
    start_fleet(fleet, service, count)


@when('the relay is cut {direction}')
def cut_relay(context: Context, direction: str) -> None:
    """Cut one direction of the only relay."""
    relay = next(iter(context.relays.values()))
    if direction == 'forward':
        relay.cut_forward()
    else:
        relay.cut_backward()


@when('the relay is healed')
@when('the halves are joined again')
@when('the regions are joined again')
def heal(context: Context) -> None:
    """Let all relays pass everything."""
    for relay in context.relays.values():
        relay.heal()


@when('the fleet is cut into halves')
@when('the regions lose each other')
def cut_all(context: Context) -> None:
    """Cut all relays in both directions.

    With relays before all nodes of one list each node is left with itself,
    the strictest cut, since all share one loopback address and the relays
    cannot tell where a connection comes from. Of two regions each goes on
    talking within.
    """
    for relay in context.relays.values():
        relay.cut_forward()
        relay.cut_backward()


@then('no node ejects an upstream')
def check_no_ejection(context: Context) -> None:
    """Look through all audit trails."""
    found = [
        record
        for record in audit_records(context)
        if record['kind'] == 'upstream-ejected'
    ]
    assert not found, found


@then('some node records "{kind}" in its audit trail')
def check_some_audit(context: Context, kind: str) -> None:
    """Look for a record in all audit trails."""
    assert any(record['kind'] == kind for record in audit_records(context))


@then('all nodes are linked again within {seconds:d} s')
def check_linked(context: Context, seconds: int) -> None:
    """Wait until each node has links again."""
    wait_until(
        lambda: all(each['links'] for each in statuses(context)),
        'links',
        seconds,
    )


@when(
    'node {position:d} is paused for {pause:d} ms while lookups go '
    'to the other nodes'
)
def pause_under_load(context: Context, position: int, pause: int) -> None:
    """Pause a node while the others serve."""
    vm = node_at(context, position)
    others = [each for each in context.fleet.nodes if each != vm]
    load_while(
        context,
        others,
        pause / 1000 + 4,
        lambda: context.fleet.pause(vm, pause / 1000),
    )


@when(
    'upstream {position:d} begins to drain while lookups go on '
    'for {seconds:d} s'
)
def drain_under_load(context: Context, position: int, seconds: int) -> None:
    """Let an upstream refuse new work as draining."""
    name = list(context.fleet.upstreams)[position - 1]

    def drain() -> None:
        context.left_at = time.time()
        context.fleet.control(name, draining=True)

    load_while(context, list(context.fleet.nodes), seconds, drain)


@when(
    'VM {position:d} is listed as leaving while lookups go on for {seconds:d} s'
)
def leave_under_load(context: Context, position: int, seconds: int) -> None:
    """List a VM as leaving."""
    vm = node_at(context, position)

    def leave() -> None:
        context.left_at = time.time()
        context.fleet.leaving.add(vm)
        context.fleet.publish_vms()

    load_while(context, list(context.fleet.nodes), seconds, leave)


@then(
    'upstream {position:d} starts nothing later than {seconds:d} s after that'
)
def check_left(context: Context, position: int, seconds: int) -> None:
    """Compare the times of its work with the time of the drain."""
    vm = node_at(context, position)
    late = [
        each
        for each in context.fleet.executed()
        if each['upstream'].startswith(f'{vm}/')
        and each['started_at'] > context.left_at + seconds
    ]
    assert not late, late[:3]


@when(
    'all nodes are restarted in turn while callers look up at the other nodes'
)
def restart_all(context: Context) -> None:
    """Restart each node under load."""
    restart_in_turn(context, _RESTART_LOAD_S)


def restart_in_turn(context: Context, seconds: float, **extra: Any) -> None:
    """Restart each node while callers look up at the others."""
    exchanges = []
    for vm in list(context.fleet.nodes):
        others = [each for each in context.fleet.nodes if each != vm]

        def replace(name: str = vm) -> None:
            restart(context, name, **extra)
            context.fleet.await_ready([name])

        load_while(context, others, seconds, replace)
        exchanges.extend(context.load.exchanges)
    context.load.exchanges = exchanges


@when(
    'a node that does not watch the platform is paused, and the operators '
    'publish version {version:d} with a new route'
)
def pause_and_publish(context: Context, version: int) -> None:
    """Stop a node; when its links are gone, change the configuration."""
    context.paused = next(
        node
        for node in context.fleet.nodes.values()
        if not is_reader(node.vm, node.zone, listed(context))
    )
    context.paused.process.send_signal(signal.SIGSTOP)
    wait_until(
        lambda: (
            not any(
                context.paused.vm in status['links']
                for status in statuses_of_others(context)
            )
        ),
        'no links to the paused node',
    )
    context.fleet.publish('config', site_files(version))
    wait_until(
        lambda: all(
            status['config_version'] == version
            for status in statuses_of_others(context)
        ),
        f'version {version} at the others',
    )


def listed(context: Context) -> VmList:
    """Return the list of VMs as the nodes know it."""
    text = json.dumps(context.fleet.listed_vms(context.fleet.listed_port))
    return parse_vm_list(1, text).unwrap()


def statuses_of_others(context: Context) -> list[dict[str, Any]]:
    """Return what the nodes know that are not paused."""
    return [
        read_json(node.admin_port, '/status')
        for node in context.fleet.nodes.values()
        if node is not context.paused
    ]


@when('a caller sends GET "{target}" to that node before it wakes')
def send_while_paused(context: Context, target: str) -> None:
    """Send a request that the node finds when it wakes up."""
    node = context.paused
    sending = gevent.spawn(call, node.caller_port, 'GET', target)
    gevent.sleep(_SENT_S)
    node.process.send_signal(signal.SIGCONT)
    context.reply = sending.get()


@given('a fleet with the key "{name}" of {count:d} nodes before "{service}"')
def fleet_with_key(
    context: Context,
    name: str,
    count: int,
    service: str,
) -> None:
    """Start a fleet with a stream key of its own."""
    fleet = new_fleet(context, stream_keys=stream_keys(name))
    start_fleet(fleet, service, count)


def stream_keys(names: str) -> list[str]:
    """Return keys by their names."""
    return [f'{name}-shared-key-of-tests' for name in names.split(', ')]


@then('no node refuses a link of another')
def check_no_refusal(context: Context) -> None:
    """Look through all audit trails."""
    kinds = {record['kind'] for record in audit_records(context)}
    assert 'peer-refused' not in kinds, kinds


@when(
    'all nodes are restarted in turn with the keys "{names}" while callers '
    'look up at the other nodes'
)
def restart_with_keys(context: Context, names: str) -> None:
    """Restart each node with other keys under load."""
    restart_in_turn(context, _KEY_LOAD_S, stream_keys=stream_keys(names))


@when('a poison request is sent to node {position:d} until it is refused')
def send_poison(context: Context, position: int) -> None:
    """Send a request that crashes upstreams."""
    port = context.fleet.nodes[node_at(context, position)].caller_port

    def is_refused() -> bool:
        return call(port, 'GET', _POISON).status == _REFUSED

    wait_until(is_refused, 'refusal')


@when(
    'a poison request is sent to node {position:d} each {pause:d} ms '
    'until it is refused'
)
def send_poison_slowly(context: Context, position: int, pause: int) -> None:
    """Give crashed upstreams the time to come back in between."""
    port = context.fleet.nodes[node_at(context, position)].caller_port
    while call(port, 'GET', _POISON).status != _REFUSED:
        gevent.sleep(pause / 1000)


@then('a poison request to node {position:d} is refused without a crash')
def check_poison(context: Context, position: int) -> None:
    """Send the same request to another node."""
    port = context.fleet.nodes[node_at(context, position)].caller_port
    before = crashes(context)
    reply = call(port, 'GET', _POISON)
    assert reply.status == _REFUSED, reply
    assert crashes(context) == before


@then('at most {count:d} upstreams crashed')
def check_crashes(context: Context, count: int) -> None:
    """Count the crashes."""
    assert crashes(context) <= count, crashes(context)


def crashes(context: Context) -> int:
    """Return how often an upstream started the poison request."""
    paths = [each['path'] for each in context.fleet.executed()]
    return paths.count(_POISON)
