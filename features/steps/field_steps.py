"""Steps about the numbers that come from other nodes and from upstreams."""

from __future__ import annotations

from dataclasses import fields, replace
from typing import TYPE_CHECKING, Any, Final

import gevent
import msgpack
from behave import given, then, when
from returns.result import Failure, Success

from jackdawhead.node.credit import WINDOW_BYTES, CreditGate
from jackdawhead.node.platform_client import decode_published
from jackdawhead.policy.transfer_sizes import TransferSizes
from jackdawhead.wire import messages
from jackdawhead.wire.codec import decode, encode
from jackdawhead.wire.messages import Message

if TYPE_CHECKING:
    from behave.runner import Context

_LENGTH_BYTES: Final = 4
_TIMEOUT_S: Final = 0.1
# A value within all bounds, by the type of a field.
_PLAIN: Final[dict[str, Any]] = {
    'int': 200,
    'str': 'a',
    'bytes': b'a',
    'bool': True,
    'HeaderPairs': [],
}


def message_of(kind: str) -> Message:
    """Return a message with plain values."""
    message_type = getattr(messages, kind)
    plain = [_PLAIN[str(each.type)] for each in fields(message_type)]
    message: Message = message_type(*plain)
    return message


@when('a message "{kind}" has the {field} {number:d}')
def change_field(context: Context, kind: str, field: str, number: int) -> None:
    """Encode and decode a message with one changed field."""
    sent = replace(message_of(kind), **{field: number})
    context.field = field
    context.payload = encode(sent)[_LENGTH_BYTES:]
    context.decoded = decode(context.payload)


@then('it was sent with {count:d} fields')
def check_field_count(context: Context, count: int) -> None:
    """Count the fields after the message code."""
    assert len(msgpack.unpackb(context.payload)) == count + 1


@then('it is decoded as {result}')
def check_decoded(context: Context, result: str) -> None:
    """Compare the changed field, or check that the message is refused."""
    if result == 'malformed':
        assert not isinstance(context.decoded, Success), context.decoded
    else:
        message = context.decoded.unwrap()
        assert getattr(message, context.field) == int(result), message


@given('a sender of a body that has spent its window')
def make_gate(context: Context) -> None:
    """Create the flow control of a body and spend all its credit."""
    context.gate = CreditGate()
    context.gate.acquire(WINDOW_BYTES)


@when('it is granted {credit:d} bytes')
def grant(context: Context, credit: int) -> None:
    """Grant credit, as the receiver of the body does."""
    context.gate.grant(credit)


@then('it may send {number:d} bytes before it waits')
def check_credit(context: Context, number: int) -> None:
    """Spend all the credit but a byte, and then that byte."""
    with gevent.Timeout(_TIMEOUT_S):
        if number:
            context.gate.acquire(number - 1)
            context.gate.acquire(1)
    with gevent.Timeout(_TIMEOUT_S, False):
        context.gate.acquire(1)
        raise AssertionError('it does not wait')


@when('the platform publishes a value with the version {text}')
def publish(context: Context, text: str) -> None:
    """Decode the body of the platform's answer."""
    body = f'{{"version": {text}, "value": {{}}}}'
    context.decoded = decode_published(body.encode())


@then('the value is refused')
def check_value_refused(context: Context) -> None:
    """Check that the reader is told why."""
    assert isinstance(context.decoded, Failure), context.decoded


@then('the value has the version {version:d}')
def check_version(context: Context, version: int) -> None:
    """Compare the version."""
    assert context.decoded.unwrap().version == version


@given('a service whose answers have {number:d} bytes')
def make_sizes(context: Context, number: int) -> None:
    """Create the usual size of an operation."""
    context.sizes = TransferSizes()
    context.sizes.note('lookup', number)


@when('an answer of {number:d} bytes is announced')
def note_size(context: Context, number: int) -> None:
    """Add one size, of which no byte needs to have arrived."""
    context.sizes.note('lookup', number)


@then('the usual size is at most {number:d} bytes')
def check_usual(context: Context, number: int) -> None:
    """Compare the average."""
    assert context.sizes.usual('lookup') <= number, context.sizes
