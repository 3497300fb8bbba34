"""Steps about requests in progress while something else changes."""

from __future__ import annotations

import json
import signal
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when
from gevent import socket

from features.steps.stopping_steps import (
    KeptConnection,
    left_for_call,
    start_stopping_fleet,
)
from standins.fleet import call, wait_until

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.bench.client import HttpResponse

_IP: Final = '127.0.0.1'
_TIMEOUT_S: Final = 30.0
_MS_PER_S: Final = 1000


@dataclass
class _Sent:
    """A request on a connection of its own.

    :param receiving: reads the answer.
    """

    kept: KeptConnection
    receiving: gevent.Greenlet | None = None


@given(
    '{count:d} nodes and an entry whose stops take {drain:d} ms, {accept:d} ms'
    ' of them with an open listener'
)
def start_small(context: Context, count: int, drain: int, accept: int) -> None:
    """Start homes of a registry, and one entry without an upstream."""
    start_stopping_fleet(context, 'registry-desk', count, drain, accept)
    context.sent = {}


@given('a connection "{key}" to {vm}')
def open_connection(context: Context, key: str, vm: str) -> None:
    """Open a connection and send one request on it that no route matches."""
    open_new(context, vm, key)
    kept = context.sent[key].kept
    kept.send('GET /no/such/route HTTP/1.1\r\nHost: x')
    kept.receive()
    kept.reply = None


@given('a ticket of {vm}')
def take_ticket(context: Context, vm: str) -> None:
    """Ask a node for a ticket."""
    port = context.fleet.nodes[vm].caller_port
    reply = call(port, 'POST', '/cultivars/t', b'', {'X-Ticket': 'new'})
    context.ticket = reply.headers['x-ticket']


@when('request {method} "{query}" is sent on connection "{key}"')
def send_on(context: Context, method: str, query: str, key: str) -> None:
    """Send a request and read its answer in the background."""
    send(context, method, query, key)


@when(
    'request {method} "{query}" is sent with the ticket on connection "{key}"'
)
def send_ticket_on(context: Context, method: str, query: str, key: str) -> None:
    """Send a request with the ticket."""
    send(context, method, query, key, f'\r\nX-Ticket: {context.ticket}')


def send(
    context: Context, method: str, query: str, key: str, header: str = ''
) -> None:
    """Send a request and read its answer in the background."""
    sent = context.sent[key]
    sent.kept.send(
        f'{method} /cultivars/{key}?{query} HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: 0\r\nX-Work-Key: {key}{header}'
    )
    sent.receiving = gevent.spawn(sent.kept.receive)


@when('request "{key}" runs')
def await_run(context: Context, key: str) -> None:
    """Wait until an upstream has begun a request."""
    wait_until(lambda: states(context, key), f'a run of {key}')


def states(context: Context, key: str) -> list[str]:
    """Return the state of each run of a request."""
    return [
        each['state']
        for each in context.fleet.executed_work()
        if each['key'] == key
    ]


@when('process {vm} gets {names}')
def send_signals(context: Context, vm: str, names: str) -> None:
    """Send signals without a pause, and note the time of the first."""
    process = context.fleet.nodes[vm].process
    context.signalled_at = time.monotonic()
    for name in names.split(', '):
        process.send_signal(signal.Signals[name])


@when('{after:d} ms have passed since the signal')
def await_moment(context: Context, after: int) -> None:
    """Wait until some time after the first signal."""
    until = context.signalled_at + after / _MS_PER_S
    gevent.sleep(max(0, until - time.monotonic()))


@when('process {vm} continues')
def resume(context: Context, vm: str) -> None:
    """Let a suspended process run again."""
    context.fleet.nodes[vm].process.send_signal(signal.SIGCONT)


def upstream_of(context: Context, key: str) -> str:
    """Return the upstream that began a request first."""
    return next(
        str(each['upstream'])
        for each in context.fleet.executed_work()
        if each['key'] == key
    )


@given('{count:d} quick registrations of "{query}" were answered by {vm}')
def warm_up(context: Context, count: int, query: str, vm: str) -> None:
    """Let an entry learn that an operation is quick."""
    port = context.fleet.nodes[vm].caller_port
    for _ in range(count):
        call(port, 'POST', f'/cultivars/warm?{query}')


@when('process {vm} is killed and restarted')
def restart(context: Context, vm: str) -> None:
    """Start a node again without waiting for it."""
    context.fleet.kill_node(vm)
    context.fleet.nodes[vm].log.unlink()
    context.fleet.restart_node(vm)


@when('the home of {vm} has started')
def await_home(context: Context, vm: str) -> None:
    """Wait for the first line of the log."""
    log = context.fleet.nodes[vm].log
    wait_until(lambda: 'event=' in log.read_text(), f'a log of {vm}')


@then('{limit:d} ms have not passed since the signal')
def check_time(context: Context, limit: int) -> None:
    """Check how long the steps before took."""
    took_ms = _MS_PER_S * (time.monotonic() - context.signalled_at)
    assert took_ms < limit, took_ms


@when('process {vm} is paused for {pause:d} ms')
def pause(context: Context, vm: str, pause: int) -> None:
    """Suspend a process."""
    context.fleet.pause_node(vm, pause / _MS_PER_S)


@then('request "{key}" still runs')
def check_running_still(context: Context, key: str) -> None:
    """Check that the steps before overlapped with a run."""
    assert states(context, key) == ['running'], states(context, key)


@then('request "{key}" has the whole answer to its own request')
def check_whole(context: Context, key: str) -> None:
    """Wait for the answer."""
    reply = _await_success(context, key)
    assert json.loads(reply.body)['key'] == key, reply


@then('request "{key}" gets the whole download')
def check_download(context: Context, key: str) -> None:
    """Wait for all bytes."""
    reply = _await_success(context, key)
    assert len(reply.body) == int(reply.headers['content-length'])


def _await_success(context: Context, key: str) -> HttpResponse:
    sent = context.sent[key]
    sent.receiving.join()
    reply: HttpResponse | None = sent.kept.reply
    assert reply is not None, states(context, key)
    assert reply.status == 200, reply.status
    return reply


@then('request "{key}" gets no complete answer')
def check_incomplete(context: Context, key: str) -> None:
    """Check that the connection ends in the middle of the answer."""
    sent = context.sent[key]
    sent.receiving.join()
    assert sent.kept.is_closed, sent
    assert sent.kept.reply is None, sent


@then('request "{key}" gets status {status:d} with the outcome "{outcome}"')
def check_refusal(
    context: Context, key: str, status: int, outcome: str
) -> None:
    """Wait for the answer of this node."""
    sent = context.sent[key]
    sent.receiving.join()
    reply = sent.kept.reply
    assert reply is not None, states(context, key)
    assert reply.status == status, reply
    assert reply.headers['x-outcome'] == outcome, reply


@then('request "{key}" was run {count:d} times')
def check_run_count(context: Context, key: str, count: int) -> None:
    """Count the runs of a request."""
    found = states(context, key)
    assert len(found) == count, found


@then(
    'process {vm} ends with exit code {code:d} within {limit:d} ms of the'
    ' signal'
)
def check_end(context: Context, vm: str, code: int, limit: int) -> None:
    """Wait for the end of a process."""
    process = context.fleet.nodes[vm].process
    wait_until(lambda: process.poll() is not None, f'end of {vm}')
    took_ms = _MS_PER_S * (time.monotonic() - context.signalled_at)
    assert process.returncode == code, process.returncode
    assert took_ms < limit, took_ms


@given('open connections {keys} to {vm}')
def open_connections(context: Context, keys: str, vm: str) -> None:
    """Open several connections."""
    for key in keys_of(keys):
        open_connection(context, key, vm)


@when('request {method} "{query}" is sent on connections {keys}')
def send_on_all(context: Context, method: str, query: str, keys: str) -> None:
    """Send one request on each connection, and wait until all of them run."""
    for key in keys_of(keys):
        send(context, method, query, key)
        await_run(context, key)


def open_new(context: Context, vm: str, key: str) -> None:
    """Open a connection that has carried nothing."""
    port = context.fleet.nodes[vm].caller_port
    kept = KeptConnection(
        socket.create_connection((_IP, port), _TIMEOUT_S), key
    )
    context.stack.callback(kept.sock.close)
    context.sent[key] = _Sent(kept)


@when('the node beside the upstream that runs "{key}" gets SIGTERM')
def stop_home_of(context: Context, key: str) -> None:
    """Stop the node whose home runs a request."""
    upstream = upstream_of(context, key)
    context.stopping_vm = upstream.partition('/')[0]
    send_signals(context, context.stopping_vm, 'SIGTERM')


@when('a call of "{query}" is sent as "{key}" through the stopping node')
def send_call(context: Context, query: str, key: str) -> None:
    """Send a request as an upstream does while it runs another one."""
    send_call_of(context, 'POST', query, key)


@when(
    'a {method} call of "{query}" is sent as "{key}" through the stopping node'
)
def send_call_of(context: Context, method: str, query: str, key: str) -> None:
    """Send a request of any method as an upstream does."""
    open_new(context, context.stopping_vm, key)
    upstream = f'{context.stopping_vm}/registry-desk'
    left_ms = left_for_call(context, upstream)
    send(context, method, query, key, f'\r\nX-Deadline-Ms: {left_ms}')


@then('request "{key}" is told to come back')
def check_retry_time(context: Context, key: str) -> None:
    """Check that a refusal says when to send the request again."""
    reply = context.sent[key].kept.reply
    assert int(reply.headers['x-retry-after-ms']) > 0, reply


@then('requests {keys} have the whole answers to their own requests')
def check_all_whole(context: Context, keys: str) -> None:
    """Wait for the answers."""
    for key in keys_of(keys):
        check_whole(context, key)


def keys_of(text: str) -> list[str]:
    """Return the keys of a quoted list."""
    return [each.strip('"') for each in text.split(', ')]
