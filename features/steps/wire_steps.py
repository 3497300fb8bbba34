"""Steps that connect to a node's stream listener."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from behave import register_type, then, when
from gevent import socket
from returns.result import Failure

from features.steps.fleet_steps import node_at
from jackdawhead.node.identity import new_identity
from jackdawhead.wire.codec import FrameReader, decode, encode
from jackdawhead.wire.handshake import new_nonce, sign
from jackdawhead.wire.messages import (
    PROTOCOL_VERSION,
    Cancel,
    Challenge,
    Hello,
    Message,
)

if TYPE_CHECKING:
    from behave.runner import Context

_IP = '127.0.0.1'
_TIMEOUT_S = 20.0
_KEY = 'a-shared-key-for-tests-only'
_LENGTH = struct.Struct('>I')


def parse_rest(text: str) -> str:
    """Parse a step parameter that may be empty."""
    return text


parse_rest.pattern = '.*'  # type: ignore[attr-defined]
register_type(Rest=parse_rest)


def frame(payload: bytes) -> bytes:
    """Return a frame with the given payload."""
    return b''.join((_LENGTH.pack(len(payload)), payload))


def hello(key: str, nonce: bytes) -> Hello:
    """Return a hello signed with the given key."""
    identity = new_identity('stranger', (key,))
    signature = sign(key, nonce, identity.vm, identity.incarnation)
    return Hello(
        PROTOCOL_VERSION,
        identity.vm,
        identity.incarnation,
        new_nonce(),
        signature,
    )


def connect(context: Context, position: int) -> bytes:
    """Open a stream and return the nonce of the node's challenge."""
    node = context.fleet.nodes[node_at(context, position)]
    context.sock = socket.create_connection((_IP, node.stream_port))
    context.sock.settimeout(_TIMEOUT_S)
    context.stack.callback(context.sock.close)
    challenge = receive(context)
    assert isinstance(challenge, Challenge)
    return challenge.nonce


def receive(context: Context) -> Message:
    """Return the next message."""
    reader = FrameReader()
    payloads: list[bytes] = []
    while not payloads:
        payloads = reader.feed(context.sock.recv(65_536))
    return decode(payloads[0]).unwrap()


@when('a stranger sends {what} to node {position:d}')
def send_invalid(context: Context, what: str, position: int) -> None:
    """Send invalid input without authentication."""
    nonce = connect(context, position)
    inputs = {
        'an oversized frame': _LENGTH.pack(1 << 30),
        'a frame that is not msgpack': frame(b'\xc1\xc1'),
        'an unknown message': frame(b'\x91\xcc\x63'),
        'a hello with a wrong key': encode(hello('a-wrong-key-of-16', nonce)),
        'a request before hello': encode(Cancel(1)),
    }
    context.sock.sendall(inputs[what])


@when(
    'a node with a valid key links to node {position:d} '
    'and sends a malformed message'
)
def join_and_send(context: Context, position: int) -> None:
    """Complete the handshake, then send a malformed message."""
    nonce = connect(context, position)
    context.sock.sendall(encode(hello(_KEY, nonce)))
    receive(context)
    context.sock.sendall(frame(b'\x92\x09\xa1a'))


@then("the stranger's stream is closed")
def check_closed(context: Context) -> None:
    """Read until the end of the stream."""
    received = b'more'
    while received:
        try:
            received = context.sock.recv(65_536)
        except ConnectionResetError:
            received = b''


@then('decoding {payload:Rest} is refused')
def check_refused(context: Context, payload: str) -> None:
    """Decode a payload given in hexadecimal digits."""
    decoded = decode(bytes.fromhex(payload.strip()))
    assert isinstance(decoded, Failure), decoded
