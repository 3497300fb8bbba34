"""Steps about runs that the end of a home cuts."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when
from gevent import socket

from features.steps.failure_steps import Registration, register
from features.steps.fleet_steps import node_at
from features.steps.stopping_steps import KeptConnection
from jackdawhead.reasons import Reason
from standins.fleet import call, wait_until

if TYPE_CHECKING:
    from behave.runner import Context

    from standins.fleet import NodeProcess

_KEEPER: Final = 'keeper'
_KEEPER_MS: Final = 4700
_SEEN: Final = 60
_QUICK_MS: Final = 20
_INTERVAL_S: Final = 0.1
_MS_PER_S: Final = 1000
# Registrations run until the node ends, at the latest.
_LAST_S: Final = 4.5
_LONG_AT_MS: Final = (2800, 3400, 4000)
_EXIT_TIMEOUT_S: Final = 30.0
_FILLERS: Final = 3
_FILL_AT_S: Final = 3.7
_FILL_MS: Final = 1200
_LOOKUPS_AT_S: Final = (4.3, 4.4)
_OK: Final = 200
_IP: Final = '127.0.0.1'
# More than an entry holds in memory.
_HALF_BODY_BYTES: Final = 100_000


@given('{percent:d} % of the runs take 10 times as long')
def lengthen_runs(context: Context, percent: int) -> None:
    """Make a share of the runs far longer than the others."""
    context.plan = replace(context.plan, long_share=percent / 100)


@given('all requests have a deadline of {deadline:d} ms')
def set_deadline(context: Context, deadline: int) -> None:
    """Replace the deadline of both operations."""
    context.plan = replace(context.plan, deadline_ms=deadline)


@then('no request that is not idempotent is cut off by the end of a home')
def check_not_cut(context: Context) -> None:
    """Check that no such request ended with its link to the home."""
    cut = [
        each
        for each in context.result.finished
        if each.reason is Reason.PEER_LOST and not each.operation.idempotent
    ]
    assert not cut, (len(cut), len(context.result.finished), cut)


@when(
    'node {position:d} stops, and a few registrations of {run_ms:d} ms come'
    ' late in its stop among quick ones at node {entry:d}'
)
def stop_among_quick(
    context: Context, position: int, run_ms: int, entry: int
) -> None:
    """Send registrations at fixed moments, from which on few can be finished.

    A request of its own entry keeps the node running nearly until the end of
    its stop.
    """
    node = context.fleet.nodes[node_at(context, position)]
    port = context.fleet.nodes[node_at(context, entry)].caller_port
    for number in range(_SEEN):
        register(port, Registration(f'seen-{number}'), f'?ms={_QUICK_MS}')
    keeper = _keep_running(context, node)
    node.process.terminate()
    senders = _send_over_stop(context, port, run_ms)
    gevent.joinall([keeper, *senders], raise_error=True)
    wait_until(lambda: node.process.poll() is not None, 'exit', _EXIT_TIMEOUT_S)
    context.exit_code = node.process.returncode


def _send_over_stop(
    context: Context, port: int, run_ms: int
) -> list[gevent.Greenlet]:
    begun_at = time.monotonic()
    moments_s = [
        number * _INTERVAL_S for number in range(int(_LAST_S / _INTERVAL_S))
    ]
    plan = [(at_s, _QUICK_MS) for at_s in moments_s]
    plan.extend((at_ms / _MS_PER_S, run_ms) for at_ms in _LONG_AT_MS)
    context.registrations = []
    senders = []
    for at_s, each_ms in plan:
        registration = Registration(f'at-{at_s:.2f}-{each_ms}')
        context.registrations.append(registration)
        wait_s = max(0, begun_at + at_s - time.monotonic())
        senders.append(
            gevent.spawn_later(
                wait_s, register, port, registration, f'?ms={each_ms}'
            )
        )
    return senders


@when(
    'node {position:d} stops, and lookups of {run_ms:d} ms come late in its'
    ' stop while node {other:d} is full for a time'
)
def stop_among_lookups(
    context: Context, position: int, run_ms: int, other: int
) -> None:
    """Send lookups to a third node that only the stopping home has slots for.

    The other home has free slots again when the stop ends.
    """
    node = context.fleet.nodes[node_at(context, position)]
    entry_port = context.fleet.nodes['entry-0'].caller_port
    for number in range(_SEEN):
        call(entry_port, 'GET', f'/cultivars/{number}?ms={_QUICK_MS}')
    keeper = _keep_running(context, node)
    node.process.terminate()
    fillers = _fill(context, other)
    lookups = [
        gevent.spawn_later(
            at_s, call, entry_port, 'GET', f'/cultivars/late?ms={run_ms}'
        )
        for at_s in _LOOKUPS_AT_S
    ]
    gevent.joinall([keeper, *fillers, *lookups], raise_error=True)
    context.statuses = [each.value.status for each in lookups]
    wait_until(lambda: node.process.poll() is not None, 'exit', _EXIT_TIMEOUT_S)


@when(
    'node {position:d} stops, and {after:d} ms later a registration comes to'
    ' node {entry:d} whose body takes {body_ms:d} ms'
)
def stop_during_upload(
    context: Context, position: int, after: int, entry: int, body_ms: int
) -> None:
    """Send the second half of a body long after the first one."""
    node = context.fleet.nodes[node_at(context, position)]
    port = context.fleet.nodes[node_at(context, entry)].caller_port
    keeper = _keep_running(context, node)
    node.process.terminate()
    gevent.sleep(after / _MS_PER_S)
    slow = KeptConnection(socket.create_connection((_IP, port)), 'slow')
    context.stack.callback(slow.sock.close)
    slow.send(
        'POST /cultivars/slow HTTP/1.1\r\nHost: x\r\nX-Work-Key: slow\r\n'
        f'Content-Length: {2 * _HALF_BODY_BYTES}',
        bytes(_HALF_BODY_BYTES),
    )
    receiver = gevent.spawn(slow.receive)
    receiver.join(body_ms / _MS_PER_S)
    if slow.reply is None:
        slow.sock.sendall(bytes(_HALF_BODY_BYTES))
    gevent.joinall([receiver, keeper], raise_error=True)
    context.registrations = [Registration('slow', reply=slow.reply)]


def _fill(context: Context, position: int) -> list[gevent.Greenlet]:
    """Use all slots of an upstream from some time on."""
    port = context.fleet.nodes[node_at(context, position)].caller_port
    target = f'/cultivars/fill?ms={_FILL_MS}'
    return [
        gevent.spawn_later(_FILL_AT_S, call, port, 'POST', target)
        for _ in range(_FILLERS)
    ]


def _keep_running(context: Context, node: NodeProcess) -> gevent.Greenlet:
    keeper = gevent.spawn(
        call,
        node.caller_port,
        'POST',
        f'/cultivars/{_KEEPER}?ms={_KEEPER_MS}',
        b'',
        {'X-Work-Key': _KEEPER},
    )
    wait_until(lambda: _has_begun(context, _KEEPER), 'a long run')
    return keeper


def _has_begun(context: Context, key: str) -> bool:
    return any(each['key'] == key for each in context.fleet.executed_work())


@then('upstream {position:d} was running none of them when node {node:d} ended')
def check_cut(context: Context, position: int, node: int) -> None:
    """Check the log of the node, and that its upstream stopped the work."""
    upstream = list(context.fleet.upstreams)[position - 1]
    stopped = [
        each
        for each in context.fleet.executed_work()
        if each['upstream'] == upstream
        and each['path'].endswith('late')
        and each['state'] == 'cancelled'
    ]
    log = context.fleet.nodes[node_at(context, node)].log.read_text()
    assert not stopped, stopped
    assert 'event=run-cut' not in log


@then('every lookup was answered')
def check_answered(context: Context) -> None:
    """Check the answers to the late lookups."""
    assert set(context.statuses) == {_OK}, context.statuses


@then('at least {count:d} registrations were run')
def check_run(context: Context, count: int) -> None:
    """Count the registrations with an answer of the upstream."""
    ran = [each for each in context.registrations if each.outcome == 'ran']
    assert len(ran) >= count, len(ran)
