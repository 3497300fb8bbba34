"""Steps about requests that a stopping node gets late on kept connections."""

from __future__ import annotations

import json
import signal
import time
from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when
from gevent.pool import Pool

from features.steps.fleet_steps import node_at
from features.steps.stopping_steps import (
    KeptConnection,
    entry_of,
    is_whole,
    run_times,
    signal_entry,
)
from standins.fleet import call, wait_until

if TYPE_CHECKING:
    from behave.runner import Context

_MS_PER_S: Final = 1000
_WARM_UP_CALLERS: Final = 4
_KEEPER_KEY: Final = 'keeper'
_LONG_DEADLINE_MS: Final = 3000
_SHORT_DEADLINE_MS: Final = 700
_FAR_MS: Final = 60_000
_TIMEOUT_S: Final = 10.0
_HALF_BYTES: Final = 100_000
_HALF_BODY_BYTES: Final = 20_000
# Between them the entry stops to take what its deadline bounds.
_SURELY_TAKEN_BEFORE_S: Final = 3.6
_SLOW_EVERY: Final = 3
# Every third of the requests is slow; of the others, half have a near deadline.
_NEAR_DEADLINE_EVERY: Final = 2


@when(
    'one sends "{query}" with a deadline of {deadline:d} ms, and all homes are'
    ' paused when half of it has come'
)
def pause_homes(context: Context, query: str, deadline: int) -> None:
    """Stop the homes' processes in the middle of an answer."""
    kept: KeptConnection = context.kept[0]
    kept.sent_s = time.monotonic()
    kept.send(
        f'GET /cultivars/{kept.key}?{query} HTTP/1.1\r\nHost: x\r\n'
        f'X-Deadline-Ms: {deadline}'
    )
    kept.sock.settimeout(_TIMEOUT_S)
    context.received = b''
    while len(context.received) < _HALF_BYTES:
        chunk = kept.sock.recv(_HALF_BYTES)
        assert chunk, len(context.received)
        context.received += chunk
    for vm, node in context.fleet.nodes.items():
        if vm != context.entry_vm:
            node.process.send_signal(signal.SIGSTOP)


@then('its connection ends within {most:d} ms, its answer incomplete')
def check_given_up(context: Context, most: int) -> None:
    """Read to the end of the connection."""
    kept: KeptConnection = context.kept[0]
    received = len(context.received)
    while chunk := kept.sock.recv(_HALF_BYTES):
        received += len(chunk)
    took_ms = (time.monotonic() - kept.sent_s) * _MS_PER_S
    assert took_ms < most, took_ms
    assert _HALF_BYTES <= received < 2 * _HALF_BYTES, received


@when(
    'one sends half of the body of "{query}" {first:d} ms after SIGTERM and the'
    ' rest {second:d} ms after it'
)
def send_slow_body(
    context: Context, query: str, first: int, second: int
) -> None:
    """Send a request whose body takes a while."""
    kept: KeptConnection = context.kept[0]
    signal_entry(context)
    _sleep_until(context, first)
    kept.send(
        f'POST /cultivars/{kept.key}?{query} HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: {2 * _HALF_BODY_BYTES}\r\nX-Work-Key: {kept.key}',
        bytes(_HALF_BODY_BYTES),
    )
    _sleep_until(context, second)
    kept.sock.sendall(bytes(_HALF_BODY_BYTES))
    context.receiving = gevent.spawn(kept.receive)


def _sleep_until(context: Context, after_ms: float) -> None:
    until = context.stopped_at + after_ms / _MS_PER_S
    gevent.sleep(max(0, until - time.monotonic()))


@given('the callers use a node of its own')
def use_entry(context: Context) -> None:
    """Use the node without an upstream."""
    context.entry_vm = 'entry-0'


@given('the callers use the node of a home')
def use_home(context: Context) -> None:
    """Use a node with an upstream, to which some of the requests go."""
    context.entry_vm = node_at(context, 1)


@given('the entry has answered it {count:d} times more')
def warm_up(context: Context, count: int) -> None:
    """Let the entry see that nearly all requests are quick."""
    port = entry_of(context).caller_port
    target = f'/cultivars/warm?{context.query}'
    callers = Pool(_WARM_UP_CALLERS)
    calls = [
        callers.spawn(call, port, context.method, target) for _ in range(count)
    ]
    gevent.joinall(calls, raise_error=True)
    assert all(each.value.status == 200 for each in calls)


@given('a request of {run:d} ms that keeps the entry running')
def start_keeper(context: Context, run: int) -> None:
    """Send a request and wait until it runs."""
    port = entry_of(context).caller_port
    context.keeper = gevent.spawn(
        call,
        port,
        'POST',
        f'/cultivars/long?ms={run}',
        b'',
        {'X-Work-Key': _KEEPER_KEY},
    )
    wait_until(lambda: _KEEPER_KEY in run_times(context), 'the long run')


@when(
    'one of them sends such a request every {step:d} ms from {first:d} ms after'
    ' SIGTERM on, and "{slow}" instead in every third of them'
)
def send_late(context: Context, step: int, first: int, slow: str) -> None:
    """Send one request on each connection, the slow ones unannounced."""
    signal_entry(context)
    senders = [
        gevent.spawn(
            _send, context, number, (first + step * number) / _MS_PER_S, slow
        )
        for number in range(len(context.kept))
    ]
    process = context.stopping.process
    wait_until(lambda: process.poll() is not None, 'end of the entry')
    context.ended_s = time.monotonic() - context.stopped_at
    gevent.joinall(senders, raise_error=True)


@when('each sends "{query}" instead {after:d} ms after the entry got SIGTERM')
def send_outlasting(context: Context, query: str, after: int) -> None:
    """Send one request on each connection, all at the same time."""
    signal_entry(context)
    senders = [
        gevent.spawn(
            _send_query, context, kept, after / _MS_PER_S, query, _FAR_MS
        )
        for kept in context.kept
    ]
    process = context.stopping.process
    wait_until(lambda: process.poll() is not None, 'end of the entry')
    context.ended_s = time.monotonic() - context.stopped_at
    gevent.joinall(senders, raise_error=True)


def _send(context: Context, number: int, moment_s: float, slow: str) -> None:
    kept: KeptConnection = context.kept[number]
    query = context.query if number % _SLOW_EVERY else slow
    _send_query(context, kept, moment_s, query, _deadline_ms(number))


def _send_query(
    context: Context,
    kept: KeptConnection,
    moment_s: float,
    query: str,
    deadline_ms: int,
) -> None:
    _sleep_until(context, moment_s * _MS_PER_S)
    kept.sent_s = time.monotonic() - context.stopped_at
    kept.send(
        f'{context.method} /cultivars/{kept.key}?{query} HTTP/1.1\r\n'
        f'Host: x\r\nContent-Length: 0\r\nX-Work-Key: {kept.key}\r\n'
        f'X-Request-Id: {kept.key}\r\nX-Deadline-Ms: {deadline_ms}'
    )
    if not kept.is_closed:
        kept.receive()


def _deadline_ms(number: int) -> int:
    is_near = number % _SLOW_EVERY and number % _NEAR_DEADLINE_EVERY
    return _SHORT_DEADLINE_MS if is_near else _LONG_DEADLINE_MS


@then('the requests whose deadline ends well before the stop are served')
def check_bounded(context: Context) -> None:
    """Check that the stop is no reason to refuse what ends in time."""
    bounded = [
        each
        for number, each in enumerate(context.kept)
        if _deadline_ms(number) == _SHORT_DEADLINE_MS
        and each.sent_s < _SURELY_TAKEN_BEFORE_S
    ]
    assert bounded
    refused = [each for each in bounded if not is_whole(each)]
    assert not refused, refused


@then('the request that kept the entry running has its whole answer')
def check_keeper(context: Context) -> None:
    """Check the request that the stop waited for."""
    context.keeper.join()
    assert context.keeper.value.status == 200, context.keeper.value


@then('each has an answer, and then its connection is closed')
def check_answered(context: Context) -> None:
    """Check that the end of the process cuts no answer."""
    missing = [
        each
        for each in context.kept
        if each.reply is None or not each.is_closed
    ]
    assert not missing, (context.ended_s, len(missing), missing)


@then('each that was begun is told "{outcome}" and "{reason}"')
def check_outcome(context: Context, outcome: str, reason: str) -> None:
    """Check the outcome of what was cut off; the rest was truly refused."""
    runs = run_times(context)
    assert any(each.key in runs for each in context.kept)
    for each in context.kept:
        told = json.loads(each.reply.body)
        if each.key in runs or told['outcome'] != 'not-run':
            assert each.reply.status == 502, each
            assert (told['outcome'], told['reason']) == (outcome, reason), each


@then('the entry has ended {length:d} ms after its signal')
def check_length(context: Context, length: int) -> None:
    """Check that the last answers take a bounded time."""
    assert context.ended_s < length / _MS_PER_S, context.ended_s
