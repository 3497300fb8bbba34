"""Steps about requests and answers that take long on their way."""

from __future__ import annotations

import json
import signal
from typing import TYPE_CHECKING, Final

import gevent
from behave import then, when

from features.steps.elsewhere_steps import (
    await_moment,
    open_new,
    send,
    states,
)
from standins.fleet import wait_until

if TYPE_CHECKING:
    from behave.runner import Context

_BODY: Final = bytes(1000)
_MS_PER_S: Final = 1000


@when(
    'the head of "{key}" with a deadline of {deadline:d} ms is followed by its'
    ' body after {pause:d} ms'
)
def send_slowly(context: Context, key: str, deadline: int, pause: int) -> None:
    """Send a request whose body comes late."""
    sent = context.sent[key]
    sent.kept.send(
        f'POST /cultivars/{key}?ms=60 HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: {len(_BODY)}\r\nX-Work-Key: {key}\r\n'
        f'X-Deadline-Ms: {deadline}'
    )
    gevent.sleep(pause / _MS_PER_S)
    sent.kept.sock.sendall(_BODY)
    sent.receiving = gevent.spawn(sent.kept.receive)
    context.slow_key = key


@when(
    'a download of {size:d} bytes is sent on connection "{key}" and read'
    ' {pause:d} ms later'
)
def download_slowly(context: Context, size: int, key: str, pause: int) -> None:
    """Send a request and leave its answer unread for some time."""
    sent = context.sent[key]
    sent.kept.send(
        f'GET /cultivars/{key}?bytes={size} HTTP/1.1\r\nHost: x\r\n'
        f'X-Work-Key: {key}'
    )
    wait_until(lambda: states(context, key), f'a run of {key}')
    sent.receiving = gevent.spawn_later(pause / _MS_PER_S, sent.kept.receive)


@when(
    'process {vm} is paused while {method} "{query}" with a deadline in'
    ' the stop is sent on a new connection "{key}", until {end:d} ms after the'
    ' signal'
)
def connect_in_pause(
    context: Context, vm: str, method: str, query: str, key: str, end: int
) -> None:
    """Connect and send a request while the process does not run."""
    process = context.fleet.nodes[vm].process
    process.send_signal(signal.SIGSTOP)
    open_new(context, vm, key)
    send(context, method, query, key, '\r\nX-Deadline-Ms: 1200')
    await_moment(context, end)
    process.send_signal(signal.SIGCONT)


@then('its upstream was given {limit:d} ms at most')
def check_given(context: Context, limit: int) -> None:
    """Compare the deadline that the upstream received."""
    reply = context.sent[context.slow_key].kept.reply
    given_ms = int(json.loads(reply.body)['deadline_ms'])
    assert given_ms <= limit, given_ms
