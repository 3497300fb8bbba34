"""Steps that inject unexpected errors."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import gevent
from behave import given, then, when
from gevent import socket

from jackdawhead.node.supervision import supervise
from jackdawhead.wire.messages import Ping
from jackdawhead.wire.stream import Stream

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.wire.messages import Message

_TIMEOUT_S = 10.0


@given(
    'two streams to a node whose handler fails on pings with serial {serial:d}'
)
def make_streams(context: Context, serial: int) -> None:
    """Connect two pairs of streams."""
    context.delivered = []
    context.reasons = {}
    context.senders = []

    def deliver(message: Message) -> None:
        if message == Ping(serial):
            raise LookupError('planted')
        context.delivered.append(message)

    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    context.stack.callback(listener.close)
    for number in range(2):
        dialled = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        record_close = partial(context.reasons.setdefault, number)
        context.receivers = Stream(accepted, deliver, record_close)
        sender = Stream(dialled, context.delivered.append, lambda _: None)
        context.senders.append(sender)
        context.stack.callback(sender.close, 'the scenario is over')


@when('the {which} stream sends a ping with serial {serial:d}')
def send_ping(context: Context, which: str, serial: int) -> None:
    """Send a message."""
    context.senders[which == 'second'].send(Ping(serial))


@then('the first stream is closed because of an unexpected error')
def check_closed_stream(context: Context) -> None:
    """Wait until the stream reports why it closed."""
    with gevent.Timeout(_TIMEOUT_S):
        while 0 not in context.reasons:
            gevent.sleep(0.01)
    assert 'planted' in context.reasons[0], context.reasons


@then('the second stream has delivered its ping')
def check_delivered(context: Context) -> None:
    """Wait until the message is delivered."""
    with gevent.Timeout(_TIMEOUT_S):
        while not context.delivered:
            gevent.sleep(0.01)
    assert 1 not in context.reasons


@given('a loop that fails {count:d} times')
def make_failing_loop(context: Context, count: int) -> None:
    """Create a loop that succeeds after some failures."""
    context.runs = 0

    def loop() -> None:
        context.runs += 1
        if context.runs <= count:
            raise LookupError('planted')

    context.loop = loop


@given('a loop that breaks an invariant')
def make_broken_loop(context: Context) -> None:
    """Create a loop that fails an assertion."""

    def loop() -> None:
        raise AssertionError('planted')

    context.loop = loop


@when('the loop is supervised')
def run_supervised(context: Context) -> None:
    """Run the loop under supervision until it ends."""
    context.error = None
    try:
        supervise(context.loop)
    except AssertionError as error:
        context.error = error


@then('it ran {count:d} times')
def check_loop_runs(context: Context, count: int) -> None:
    """Count the runs."""
    assert context.runs == count
    assert context.error is None


@then('the error propagates')
def check_raised(context: Context) -> None:
    """Check that the error was raised."""
    assert context.error is not None
