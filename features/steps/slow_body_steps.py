"""Steps about bodies that arrive slowly."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

import gevent
from behave import then, when

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


@then('its upstream was given {limit:d} ms at most')
def check_given(context: Context, limit: int) -> None:
    """Compare the deadline that the upstream received."""
    reply = context.sent[context.slow_key].kept.reply
    given_ms = int(json.loads(reply.body)['deadline_ms'])
    assert given_ms <= limit, given_ms
