"""Steps that send requests as raw bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import then, when
from gevent import socket

from features.steps.fleet_steps import node_at

if TYPE_CHECKING:
    from behave.runner import Context

_IP = '127.0.0.1'
_TIMEOUT_S = 30.0
_BLOCK_BYTES = 65_536
_MAX_TRAILERS = 2_000_000
_TRAILER = b'X-Trailer: 0123456789\r\n'
_CHUNKED_HEAD = (
    b'POST /cultivars/smuggled HTTP/1.1\r\nHost: x\r\n'
    b'X-Deadline-Ms: 500\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'1\r\na\r\n0\r\n'
)


def connect(context: Context, position: int) -> socket.socket:
    """Open a connection to a node."""
    node = context.fleet.nodes[node_at(context, position)]
    return socket.create_connection((_IP, node.caller_port), _TIMEOUT_S)


def read_all(sock: socket.socket) -> bytes:
    """Return all bytes up to the end of a connection."""
    received = b''
    while True:
        try:
            block = sock.recv(_BLOCK_BYTES)
        except ConnectionResetError:
            return received
        if not block:
            return received
        received += block


@when('the bytes "{text}" are sent to node {position:d}')
def send_bytes(context: Context, text: str, position: int) -> None:
    """Send lines, which the step separates by commas."""
    lines = text.replace('<NUL>', '\0').replace(',', '\r\n')
    with connect(context, position) as sock:
        sock.sendall(lines.encode('latin-1'))
        if not text.endswith(',,'):
            sock.shutdown(socket.SHUT_WR)
        context.received = read_all(sock)


@when('a caller sends endless trailers to node {position:d}')
def send_trailers(context: Context, position: int) -> None:
    """Send trailers until the node closes."""
    with connect(context, position) as sock:
        sock.sendall(_CHUNKED_HEAD)
        for _ in range(_MAX_TRAILERS):
            try:
                sock.sendall(_TRAILER)
            except OSError:
                return
    raise AssertionError('the node accepted all trailers')


@then('the status line of the answer has {status:d}')
def check_status_line(context: Context, status: int) -> None:
    """Check the status line."""
    first, _, _ = context.received.partition(b'\r\n')
    assert f' {status} '.encode() in first, context.received


@then('the connection is closed, and no upstream ran "{name}"')
def check_closed(context: Context, name: str) -> None:
    """Check the records; the connection was read to its end before."""
    paths = [each['path'] for each in context.fleet.executed_work()]
    assert not any(name in path for path in paths), paths
