"""Steps about at-most-once work and complete answers."""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import gevent
from behave import then, when
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from features.steps.failure_steps import Registration, register
from features.steps.fleet_steps import node_at
from features.steps.spread_steps import restart
from jackdawhead.bench.client import HttpClient, HttpRequest
from jackdawhead.config.settings import Address
from standins.fleet import call, send_poison_request

if TYPE_CHECKING:
    from behave.runner import Context

_IP = '127.0.0.1'
_SEED = 3
_TIMEOUT_S = 30.0
_REQUEST_NEW_TICKET = {'X-Ticket': 'new'}


def caller_ports(context: Context) -> list[int]:
    """Return the caller ports of all nodes."""
    return [node.caller_port for node in context.fleet.nodes.values()]


@when('callers send {count:d} requests to "{path}" at {rate:d} per second')
def register_many(
    context: Context,
    count: int,
    path: str,
    rate: int,
) -> None:
    """Send requests in the background, each one once."""
    rng = Random(_SEED)
    ports = caller_ports(context)
    context.registrations = [
        Registration(f'many-{each}', path) for each in range(count)
    ]

    def send_all() -> None:
        senders = []
        for each in context.registrations:
            port = rng.choice(ports)
            senders.append(gevent.spawn(register, port, each, '?ms=30'))
            gevent.sleep(rng.expovariate(rate))
        gevent.joinall(senders)

    context.sending = gevent.spawn(send_all)
    gevent.sleep(1)


@when('meanwhile node {position:d} is killed and started again')
def kill_and_start(context: Context, position: int) -> None:
    """Kill a node under load, then start it again."""
    vm = node_at(context, position)
    context.fleet.kill_node(vm)
    gevent.sleep(1)
    restart(context, vm)
    gevent.sleep(1)


@when('meanwhile node {position:d} is paused for {pause:d} ms')
def pause(context: Context, position: int, pause: int) -> None:
    """Suspend a node process, then resume it."""
    context.fleet.pause_node(node_at(context, position), pause / 1000)


@when('meanwhile upstream {position:d} crashes')
def crash_at(context: Context, position: int) -> None:
    """Crash an upstream with a request sent directly to it."""
    upstream = list(context.fleet.upstreams.values())[position - 1]
    send_poison_request(upstream.port)


def run_counts(context: Context) -> Counter[str]:
    """Return how often the request with each work key was started."""
    sending = getattr(context, 'sending', None)
    if sending is not None:
        sending.join()
    return Counter(each['key'] for each in context.fleet.executed_work())


@then('no registration ran twice')
def check_no_repeated_runs(context: Context) -> None:
    """Check the upstreams' records for repeated runs."""
    counts = run_counts(context)
    twice = {
        each.key: counts[each.key]
        for each in context.registrations
        if counts[each.key] > 1
    }
    assert not twice, twice


@then('some registration ran twice')
def check_some_repeated_run(context: Context) -> None:
    """Check that the scenario provokes repeated runs at all."""
    counts = run_counts(context)
    assert any(counts[each.key] > 1 for each in context.registrations)


@then('no registration answered as not run was run')
def check_not_run(context: Context) -> None:
    """Compare the outcomes with the upstreams' records."""
    counts = run_counts(context)
    wrong = [
        each
        for each in context.registrations
        if each.outcome == 'not-run' and counts[each.key]
    ]
    assert not wrong, wrong


@then('every registration answered as run was run once')
def check_ran(context: Context) -> None:
    """Compare the outcomes with the upstreams' records."""
    counts = run_counts(context)
    wrong = [
        each
        for each in context.registrations
        if each.outcome == 'ran' and counts[each.key] != 1
    ]
    assert not wrong, wrong


@then('at least {count:d} registrations were answered as run')
def check_min_ran(context: Context, count: int) -> None:
    """Check that most of the load was served."""
    run_counts(context)
    outcomes = Counter(each.outcome for each in context.registrations)
    assert outcomes['ran'] >= count, outcomes


@when(
    'callers with tickets register {count:d} cultivars, '
    'each sent to three nodes'
)
def register_with_tickets(context: Context, count: int) -> None:
    """Send each registration three times with the same ticket."""
    register_three_times(context, count, has_ticket=True)


@when(
    'callers without tickets register {count:d} cultivars, '
    'each sent to three nodes'
)
def register_without_tickets(context: Context, count: int) -> None:
    """Send each registration three times without a ticket."""
    register_three_times(context, count, has_ticket=False)


def register_three_times(
    context: Context,
    count: int,
    *,
    has_ticket: bool,
) -> None:
    """Send each registration to three nodes in parallel."""
    rng = Random(_SEED)
    ports = caller_ports(context)
    context.registrations = [
        Registration(f'three-{each}') for each in range(count)
    ]
    senders = []
    for each in context.registrations:
        headers = {'X-Work-Key': each.key}
        chosen = rng.sample(ports, 3)
        if has_ticket:
            issued = call(
                chosen[0], 'POST', '/cultivars/t', b'', _REQUEST_NEW_TICKET
            )
            headers['X-Ticket'] = issued.headers['x-ticket']
        senders.extend(
            gevent.spawn(send_registration, port, each, headers)
            for port in chosen
        )
    gevent.joinall(senders)


def send_registration(
    port: int,
    registration: Registration,
    headers: dict[str, str],
) -> None:
    """Send a registration; an answer that says it ran takes precedence."""
    target = f'/cultivars/{registration.key}?ms=20'
    reply = call(port, 'POST', target, b'', headers)
    if registration.outcome != 'ran':
        registration.reply = reply


@when('a caller requests a ticket from node {position:d}')
def take_ticket(context: Context, position: int) -> None:
    """Request a ticket."""
    node = context.fleet.nodes[node_at(context, position)]
    reply = call(
        node.caller_port, 'POST', '/cultivars/t', b'', _REQUEST_NEW_TICKET
    )
    assert reply.status == 201, reply
    context.ticket = reply.headers['x-ticket']


@when('another caller requests a ticket from node {position:d}')
def take_other_ticket(context: Context, position: int) -> None:
    """Request a ticket whose number may repeat that of an older one."""
    own = context.ticket
    take_ticket(context, position)
    context.ticket = own


@when('the caller sends a registration with its ticket to node {position:d}')
def send_ticket(context: Context, position: int) -> None:
    """Send a registration with the ticket."""
    node = context.fleet.nodes[node_at(context, position)]
    headers = {'X-Ticket': context.ticket}
    context.reply = call(node.caller_port, 'POST', '/cultivars/t', b'', headers)


@when(
    'the caller sends a registration with a forged ticket to node {position:d}'
)
def send_forged(context: Context, position: int) -> None:
    """Send a registration with a ticket that has an invalid signature."""
    context.ticket = 'k6VyZWctMAEB.AAAA'
    send_ticket(context, position)


@when(
    '{count:d} callers of one account send distinct bodies '
    'with equal request ids'
)
def send_distinct_bodies(context: Context, count: int) -> None:
    """Send distinct bodies from 30 concurrent callers."""
    ports = caller_ports(context)
    context.pairs = []

    def send(caller: int) -> None:
        client = HttpClient(Address(_IP, ports[caller % len(ports)]), 30)
        for number in range(count // 30):
            body = f'{caller}-{number}'.encode() * (1 + number % 50)
            headers = {'X-Request-Id': str(number), 'X-Organisation': 'shared'}
            sent = HttpRequest(
                'POST', f'/cultivars/{number}?ms=1', body, headers
            )
            context.pairs.append((body, client.send(sent)))
        client.close()

    gevent.joinall([gevent.spawn(send, caller) for caller in range(30)])


@then('every caller receives the answer to its own body')
def check_bodies(context: Context) -> None:
    """Check that each answer echoes the hash of its own request's body."""
    assert len(context.pairs) >= 3000, len(context.pairs)
    for body, reply in context.pairs:
        assert reply.status == 200, reply
        found = json.loads(reply.body)['body_sha256']
        assert found == hashlib.sha256(body).hexdigest(), reply


@when(
    'a caller downloads {size:d} bytes of {length} length through node '
    '{position:d} while the homes are killed'
)
def download_cut(
    context: Context,
    size: int,
    length: str,
    position: int,
) -> None:
    """Read the start of an answer, then kill all other nodes."""
    vm = node_at(context, position)
    port = context.fleet.nodes[vm].caller_port
    sock = socket.create_connection((_IP, port))
    sock.settimeout(_TIMEOUT_S)
    context.stack.callback(sock.close)
    target = f'/cultivars/large?bytes={size}'
    if length == 'unknown':
        target = f'{target}&open=1'
    sock.sendall(f'GET {target} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
    response = HTTPSocketResponse(sock, block_size=65_536)
    response.read(65_536)
    for node in context.fleet.nodes.values():
        if node.vm != vm:
            node.process.kill()
    context.is_error = False
    try:
        context.rest = list(response)
    except (OSError, HTTPParseError):
        context.is_error = True
    context.is_complete = response.message_complete


@then('the download is detected as incomplete')
def check_incomplete(context: Context) -> None:
    """Check that the caller can detect the incomplete download."""
    assert context.is_error
    assert not context.is_complete
