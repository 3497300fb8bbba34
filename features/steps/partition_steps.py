"""Steps that cut paths, drain upstreams and restart nodes under load."""

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
from jackdawhead.bench.client import HttpRequest
from jackdawhead.bench.load import LoadPlan, run_load
from jackdawhead.config.settings import Address
from jackdawhead.node.vm_list_codec import parse_vm_list
from jackdawhead.policy.platform_readers import is_platform_reader
from standins.fleet import (
    call,
    count_upstreams_that_ran,
    read_json,
    wait_until,
)

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.blackboard import VmList

_IP = '127.0.0.1'
_RATE_PER_S = 80.0
_POISON = '/cultivars/poison'
_REFUSED_STATUS = 422
_SEND_DELAY_S = 0.5
_RESTART_LOAD_S = 5.0
_KEY_LOAD_S = 4.0
_SECOND_VERSION = 2
_OK = 200
_LONG_DEADLINE_MS = 8000
_MS_PER_S = 1000


def lookup(number: int) -> HttpRequest:
    """Return a distinct lookup for each number."""
    return HttpRequest('GET', f'/cultivars/rosa-{number}')


def load_while(
    context: Context,
    vms: list[str],
    seconds: float,
    action: Callable[[], None],
) -> None:
    """Send lookups to some nodes and run an action meanwhile."""
    addresses = tuple(
        Address(_IP, context.fleet.nodes[vm].caller_port) for vm in vms
    )
    plan = LoadPlan(addresses, lookup, _RATE_PER_S, seconds)
    loading = gevent.spawn(run_load, plan, Random(5), record_exchanges=True)
    gevent.sleep(1)
    action()
    loading.join()
    context.load = loading.value


@given(
    'a fleet of {count:d} nodes in front of "{service}" with a relay '
    'in front of node {position:d}'
)
def fleet_with_relay(
    context: Context,
    count: int,
    service: str,
    position: int,
) -> None:
    """Start a fleet with one node behind a relay."""
    start_with_relays(context, count, service, [position])


@given(
    'a fleet of {count:d} nodes in front of "{service}" with relays '
    'in front of all'
)
def fleet_with_relays(context: Context, count: int, service: str) -> None:
    """Start a fleet with all nodes behind relays."""
    start_with_relays(context, count, service, list(range(1, count + 1)))


@given(
    'a fleet of {count:d} nodes in front of "{service}" with a relay '
    'in front of upstream {position:d}'
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
    context.fleet.published_upstream_ports[name] = relay.port
    context.fleet.publish_vms()
    wait_until(
        lambda: all(
            each['vm_list_version'] == _SECOND_VERSION
            for each in statuses(context)
        ),
        'second list everywhere',
    )


@given(
    'a fleet of {count:d} nodes in front of "{service}" with a relay '
    'in front of the platform of node {position:d}'
)
def fleet_with_platform_relay(
    context: Context,
    count: int,
    service: str,
    position: int,
) -> None:
    """Start a fleet in which one node reaches the platform via a relay."""
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
    """Start a fleet whose VM list has relay ports for some nodes."""
    fleet = new_fleet(context)
    context.relays = {}

    def listed_port_for(vm: str, stream_port: int) -> int:
        position = list(fleet.nodes).index(vm) + 1
        if position not in positions:
            return stream_port
        context.relays[vm] = start_relay(context, stream_port)
        return int(context.relays[vm].port)

    fleet.listed_port_for = listed_port_for
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
@when('the halves are reconnected')
@when('the regions are reconnected')
def heal_relays(context: Context) -> None:
    """Restore all relays."""
    for relay in context.relays.values():
        relay.heal()


@when('the fleet is cut into halves')
@when('the regions are cut off from each other')
def cut_all_relays(context: Context) -> None:
    """Cut all relays in both directions.

    With relays in front of all nodes, this isolates every node, the
    strictest partition: all nodes share one loopback address, so the relays
    cannot tell the sources of connections apart. With two regions, the nodes
    within each region stay connected.
    """
    for relay in context.relays.values():
        relay.cut_forward()
        relay.cut_backward()


@then('no node ejects an upstream')
def check_no_ejection(context: Context) -> None:
    """Check that no audit trail records an ejection."""
    found = [
        record
        for record in audit_records(context)
        if record['kind'] == 'upstream-ejected'
    ]
    assert not found, found


@then('some node records "{kind}" in its audit trail')
def check_some_audit(context: Context, kind: str) -> None:
    """Check that an audit trail has a record of a kind."""
    assert any(record['kind'] == kind for record in audit_records(context))


@then('all nodes are linked again within {seconds:d} s')
def check_linked(context: Context, seconds: int) -> None:
    """Wait until each node has links."""
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
    """Pause a node while the other nodes serve lookups."""
    vm = node_at(context, position)
    others = [each for each in context.fleet.nodes if each != vm]
    load_while(
        context,
        others,
        pause / 1000 + 4,
        lambda: context.fleet.pause_node(vm, pause / 1000),
    )


@when(
    'upstream {position:d} starts draining while lookups continue '
    'for {seconds:d} s'
)
def drain_under_load(context: Context, position: int, seconds: int) -> None:
    """Make an upstream refuse new requests as draining."""
    name = list(context.fleet.upstreams)[position - 1]

    def drain() -> None:
        context.drain_started_at = time.time()
        context.fleet.set_behaviour(name, draining=True)

    load_while(context, list(context.fleet.nodes), seconds, drain)


@when(
    'VM {position:d} is listed as leaving while lookups continue '
    'for {seconds:d} s'
)
def leave_under_load(context: Context, position: int, seconds: int) -> None:
    """Publish a list with a VM marked as leaving."""
    vm = node_at(context, position)

    def leave() -> None:
        context.drain_started_at = time.time()
        context.fleet.leaving.add(vm)
        context.fleet.publish_vms()

    load_while(context, list(context.fleet.nodes), seconds, leave)


@when(
    'a caller sends GET "{target}" to node {position:d}, {count:d} times '
    'in turn'
)
def send_same(context: Context, target: str, position: int, count: int) -> None:
    """Send requests, each one after the previous answer."""
    port = context.fleet.nodes[node_at(context, position)].caller_port
    for _ in range(count):
        assert call(port, 'GET', target).status == _OK


@when('VM {position:d} is listed as leaving while it runs "{target}"')
def leave_during_run(context: Context, position: int, target: str) -> None:
    """Send a request, and publish the mark as soon as it runs."""
    vm = node_at(context, position)
    path = target.partition('?')[0]

    def runs() -> list[Any]:
        work = context.fleet.executed_work()
        return [each for each in work if each['path'] == path]

    port = context.fleet.nodes[vm].caller_port
    headers = {'X-Deadline-Ms': str(_LONG_DEADLINE_MS)}
    sent = gevent.spawn(call, port, 'GET', target, headers=headers)
    wait_until(lambda: bool(runs()), 'a run')
    context.fleet.leaving.add(vm)
    context.fleet.publish_vms()
    context.reply = sent.get()
    context.runs = runs()


@then('that request was answered, and no run began after the node knew of it')
def check_no_late_run(context: Context) -> None:
    """Compare the records of the upstream with the node's audit trail."""
    assert context.reply.status == _OK, context.reply
    known = [
        each['at_ms']
        for each in audit_records(context)
        if each['kind'] == 'upstream-draining'
    ]
    late = [
        each
        for each in context.runs
        if each['started_at'] * _MS_PER_S > min(known)
    ]
    assert not late, (known, context.runs)


@then(
    'upstream {position:d} starts no request later than {seconds:d} s '
    'after that'
)
def check_no_late_start(context: Context, position: int, seconds: int) -> None:
    """Compare the start times of its requests with that of the drain."""
    vm = node_at(context, position)
    late = [
        each
        for each in context.fleet.executed_work()
        if each['upstream'].startswith(f'{vm}/')
        and each['started_at'] > context.drain_started_at + seconds
    ]
    assert not late, late[:3]


@when(
    'all nodes are restarted in turn while callers send lookups '
    'to the other nodes'
)
def restart_all(context: Context) -> None:
    """Restart all nodes under load, one by one."""
    restart_in_turn(context, _RESTART_LOAD_S)


def restart_in_turn(context: Context, seconds: float, **extra: Any) -> None:
    """Restart each node while callers send lookups to the others."""
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
    """Suspend a node and publish once the others have closed its links."""
    context.paused = next(
        node
        for node in context.fleet.nodes.values()
        if not is_platform_reader(node.vm, node.zone, listed(context))
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
    """Return the VM list that the nodes have received."""
    text = json.dumps(
        context.fleet.vm_list(context.fleet.published_stream_port)
    )
    return parse_vm_list(1, text).unwrap()


def statuses_of_others(context: Context) -> list[dict[str, Any]]:
    """Return the status of each node that is not paused."""
    return [
        read_json(node.admin_port, '/status')
        for node in context.fleet.nodes.values()
        if node is not context.paused
    ]


@when('a caller sends GET "{target}" to that node before it resumes')
def send_while_paused(context: Context, target: str) -> None:
    """Send a request that the node reads as soon as it resumes."""
    node = context.paused
    sending = gevent.spawn(call, node.caller_port, 'GET', target)
    gevent.sleep(_SEND_DELAY_S)
    node.process.send_signal(signal.SIGCONT)
    context.reply = sending.get()


@given(
    'a fleet with the key "{name}" of {count:d} nodes in front of "{service}"'
)
def fleet_with_key(
    context: Context,
    name: str,
    count: int,
    service: str,
) -> None:
    """Start a fleet with a given stream key."""
    fleet = new_fleet(context, stream_keys=stream_keys(name))
    start_fleet(fleet, service, count)


def stream_keys(names: str) -> list[str]:
    """Return the keys with the given names."""
    return [f'{name}-shared-key-of-tests' for name in names.split(', ')]


@then('no node refuses a link from another')
def check_no_refusal(context: Context) -> None:
    """Check that no audit trail records a refused link."""
    kinds = {record['kind'] for record in audit_records(context)}
    assert 'peer-refused' not in kinds, kinds


@when(
    'all nodes are restarted in turn with the keys "{names}" while callers '
    'send lookups to the other nodes'
)
def restart_with_keys(context: Context, names: str) -> None:
    """Restart all nodes with new keys under load, one by one."""
    restart_in_turn(context, _KEY_LOAD_S, stream_keys=stream_keys(names))


@when('a poison request is sent to node {position:d} until it is refused')
def send_poison(context: Context, position: int) -> None:
    """Repeat a request that crashes upstreams until it is refused."""
    send_poison_until_refused(context, position, _POISON)


@when(
    'a poison request of {run:d} ms is sent to node {position:d} until it is'
    ' refused'
)
def send_slow_poison(context: Context, run: int, position: int) -> None:
    """Repeat a request that crashes upstreams after a while."""
    context.poison = f'{_POISON}?ms={run}'
    send_poison_until_refused(context, position, context.poison)


def send_poison_until_refused(
    context: Context, position: int, target: str
) -> None:
    """Repeat a request until it is refused."""
    port = context.fleet.nodes[node_at(context, position)].caller_port

    def is_refused() -> bool:
        return call(port, 'GET', target).status == _REFUSED_STATUS

    wait_until(is_refused, 'refusal')


@when(
    'a poison request is sent to node {position:d} every {pause:d} ms '
    'until it is refused'
)
def send_poison_slowly(context: Context, position: int, pause: int) -> None:
    """Repeat a poison request; upstreams restart between the attempts."""
    port = context.fleet.nodes[node_at(context, position)].caller_port
    while call(port, 'GET', _POISON).status != _REFUSED_STATUS:
        gevent.sleep(pause / 1000)


@then('a poison request to node {position:d} is refused without a crash')
def check_poison(context: Context, position: int) -> None:
    """Send the poison request and compare the crash counts."""
    port = context.fleet.nodes[node_at(context, position)].caller_port
    before = crashes(context)
    reply = call(port, 'GET', getattr(context, 'poison', _POISON))
    assert reply.status == _REFUSED_STATUS, reply
    assert crashes(context) == before


@then('at most {count:d} upstreams crashed')
def check_crashes(context: Context, count: int) -> None:
    """Compare the number of crashes with a limit."""
    assert crashes(context) <= count, crashes(context)


@then('at most {count:d} different upstreams ran the poison request')
def check_crashed_upstreams(context: Context, count: int) -> None:
    """Count upstreams; a home may send a slow request to its own twice."""
    ran = count_upstreams_that_ran(context.fleet, _POISON)
    assert 0 < ran <= count, ran


def crashes(context: Context) -> int:
    """Return how often an upstream started the poison request."""
    paths = [each['path'] for each in context.fleet.executed_work()]
    return paths.count(_POISON)
