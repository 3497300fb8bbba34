"""Steps about requests that a stopping node gets late on kept connections."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when
from gevent.pool import Pool

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
# Between them the entry stops to take what its deadline bounds.
_SURELY_TAKEN_BEFORE_S: Final = 3.6
_SLOW_EVERY: Final = 3
# Every third of the requests is slow; of the others, half have a near deadline.
_NEAR_DEADLINE_EVERY: Final = 2


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


def _send(context: Context, number: int, moment_s: float, slow: str) -> None:
    kept: KeptConnection = context.kept[number]
    query = context.query if number % _SLOW_EVERY else slow
    gevent.sleep(max(0, context.stopped_at + moment_s - time.monotonic()))
    kept.sent_s = time.monotonic() - context.stopped_at
    kept.send(
        f'{context.method} /cultivars/{kept.key}?{query} HTTP/1.1\r\n'
        f'Host: x\r\nContent-Length: 0\r\nX-Work-Key: {kept.key}\r\n'
        f'X-Request-Id: {kept.key}\r\nX-Deadline-Ms: {_deadline_ms(number)}'
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
