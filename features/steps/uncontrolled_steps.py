"""Steps about crowds of callers that nobody controls."""

from __future__ import annotations

import resource
import time
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when
from gevent import socket
from geventhttpclient.response import HTTPConnectionClosed

from features.steps.ambiguous_steps import read_all
from features.steps.fleet_steps import node_at, start_fleet
from standins.fleet import Fleet, call, wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

    from standins.fleet import NodeProcess

    Send = Callable[[socket.socket], None]

_IP: Final = '127.0.0.1'
_TIMEOUT_S: Final = 20.0
_MS_PER_S: Final = 1000
_SAMPLE_S: Final = 0.02
_SLOW_S: Final = 0.1
# Lets this process look at its other sockets.
_PAUSE_S: Final = 0.001
_BLOCK_BYTES: Final = 65_536
# A caller with a small buffer, of whose answers the node holds the rest.
_SMALL_BUFFER_BYTES: Final = 4096
_OK: Final = 200
_LISTENING: Final = '0A'
_ORDINARY: Final = '/cultivars/ordinary'
_GET: Final = b'GET /cultivars/crowd HTTP/1.1\r\nHost: x\r\n'
_POST: Final = b'POST /cultivars/crowd HTTP/1.1\r\nHost: x\r\n'
_UNKNOWN: Final = b'GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n'
_HEADER: Final = b'X-More: 0123456789\r\n'
_SENDERS: Final[dict[str, Send]] = {}


def _sends(what: str) -> Callable[[Send], Send]:
    def decorate(sender: Send) -> Send:
        _SENDERS[what] = sender
        return sender

    return decorate


@_sends('nothing')
def _send_nothing(_: socket.socket) -> None:
    """Send nothing."""


@_sends('endless headers')
def _send_headers(sock: socket.socket) -> None:
    sock.sendall(_GET)
    _repeat(sock, _HEADER * 1000)


@_sends('endless slow headers')
def _send_slow_headers(sock: socket.socket) -> None:
    sock.sendall(b'%sX-More: ' % _GET)
    _repeat(sock, b'x', _SLOW_S)


@_sends('endless empty lines')
def _send_empty_lines(sock: socket.socket) -> None:
    _repeat(sock, b'\r\n' * 10_000)


@_sends('slow empty lines')
def _send_slow_empty_lines(sock: socket.socket) -> None:
    _repeat(sock, b'\r\n', _SLOW_S)


@_sends('an endless request line')
def _send_request_line(sock: socket.socket) -> None:
    sock.sendall(b'GET /cultivars/')
    _repeat(sock, b'x' * 10_000)


@_sends('slow bodies')
def _send_slow_body(sock: socket.socket) -> None:
    sock.sendall(b'%sContent-Length: 65000\r\n\r\n' % _POST)
    sock.sendall(b'x' * 60_000)
    _repeat(sock, b'x', _SLOW_S)


@_sends('slow chunked bodies')
def _send_slow_chunks(sock: socket.socket) -> None:
    sock.sendall(b'%sTransfer-Encoding: chunked\r\n\r\n' % _POST)
    sock.sendall(b'e000\r\n%s\r\n' % (b'x' * 0xE000))
    _repeat(sock, b'1\r\nx\r\n', _SLOW_S)


@_sends('unread answers')
def _send_lookup(sock: socket.socket) -> None:
    sock.sendall(
        b'GET /cultivars/crowd?bytes=250000 HTTP/1.1\r\nHost: x\r\n\r\n'
    )


@_sends('endless requests')
def _send_requests(sock: socket.socket) -> None:
    _repeat(sock, b'%s\r\n' % _GET * 100)


@_sends('endless unknown paths')
def _send_unknown_paths(sock: socket.socket) -> None:
    _repeat(sock, _UNKNOWN * 100)


@_sends('endless read requests')
def _send_and_read(sock: socket.socket) -> None:
    reader = gevent.spawn(_read_on, sock)
    try:
        _repeat(sock, _UNKNOWN * 100)
    finally:
        reader.kill()


@_sends('half a head, then close')
def _send_half_head(sock: socket.socket) -> None:
    sock.sendall(_GET)
    sock.shutdown(socket.SHUT_WR)


@_sends('requests, then close')
def _send_and_close(sock: socket.socket) -> None:
    sock.sendall(b'%s\r\n' % _GET)
    sock.shutdown(socket.SHUT_WR)


def _repeat(
    sock: socket.socket, block: bytes, pause_s: float = _PAUSE_S
) -> None:
    while True:
        sock.sendall(block)
        gevent.sleep(pause_s)


def _read_on(sock: socket.socket) -> None:
    with suppress(OSError):
        is_open = True
        while is_open:
            is_open = bool(sock.recv(_BLOCK_BYTES))
            gevent.sleep(_PAUSE_S)


@given(
    'a node for at most {count:d} callers with {size:d} bytes and {head:d} ms'
    ' for a head'
)
def start_node(context: Context, count: int, size: int, head: int) -> None:
    """Start a node with low limits and an upstream that answers at once."""
    context.fleet = Fleet(
        node_settings={
            'caller_connections': count,
            'caller_memory_bytes': size,
            'caller_head_ms': head,
        }
    )
    context.stack.callback(context.fleet.close)
    start_fleet(context.fleet, 'registry-desk', 1, run_ms={})
    context.node = context.fleet.nodes[node_at(context, 1)]
    _check_ordinary(context)


@when('the node gets {what} from {count:d} callers for {duration:d} ms')
def send(context: Context, what: str, count: int, duration: int) -> None:
    """Open the connections, and sample the process while they send."""
    context.before = _usage(context.node)
    context.most = context.before
    sender = _SENDERS[what]
    context.callers = []
    context.senders = []
    for _ in range(count):
        sock = _connect(context)
        context.stack.callback(sock.close)
        context.callers.append(sock)
        context.senders.append(gevent.spawn(_run, sender, sock))
    until = time.monotonic() + duration / _MS_PER_S
    while time.monotonic() < until:
        gevent.sleep(_SAMPLE_S)
        _sample(context)


def _connect(context: Context) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
    sock.connect((_IP, context.node.caller_port))
    return sock


def _run(sender: Send, sock: socket.socket) -> None:
    with suppress(OSError):
        sender(sock)


def _sample(context: Context) -> None:
    used = _usage(context.node)
    context.most = tuple(map(max, context.most, used))


def _usage(node: NodeProcess) -> tuple[int, int]:
    """Return the bytes that a node holds, and its open descriptors."""
    folder = Path('/proc') / str(node.process.pid)
    pages = int((folder / 'statm').read_text().split()[1])
    resident_bytes = pages * resource.getpagesize()
    descriptors = len(list((folder / 'fd').iterdir()))
    return resident_bytes + _queued_bytes(node.caller_port), descriptors


def _queued_bytes(port: int) -> int:
    """Return the bytes that the kernel holds for a node's callers.

    Each line has the local address, the peer, the state and the queues.
    """
    lines = Path('/proc/net/tcp').read_text().splitlines()[1:]
    fields = [line.split()[1:5] for line in lines]
    return sum(
        sum(int(queue, 16) for queue in queues.split(':'))
        for local, _, state, queues in fields
        if local.endswith(f':{port:04X}') and state != _LISTENING
    )


@then('an ordinary request is answered while they are there')
def check_answered(context: Context) -> None:
    """Send a request; under this load any answer of the node will do.

    As callers do, send it again if the node closed the connection.
    """
    wait_until(lambda: _is_answered(context), 'a request is answered')
    _sample(context)


def _is_answered(context: Context) -> bool:
    try:
        reply = call(context.node.caller_port, 'GET', _ORDINARY)
    except TimeoutError:
        raise AssertionError('the node does not answer') from None
    except (ConnectionError, HTTPConnectionClosed):
        return False
    return bool(reply.status)


@then(
    'the node used at most {size:d} bytes and {descriptors:d} descriptors'
    ' more meanwhile'
)
def check_usage(context: Context, size: int, descriptors: int) -> None:
    """Compare the largest samples with those before the callers came."""
    more = [
        most - before
        for most, before in zip(context.most, context.before, strict=True)
    ]
    print(f'{more[0]} bytes and {more[1]} descriptors more')
    assert more[0] <= size, more
    assert more[1] <= descriptors, more


@when('the callers have left')
def leave(context: Context) -> None:
    """Close all connections."""
    gevent.killall(context.senders)
    for sock in context.callers:
        sock.close()


@then('the same process serves an ordinary request')
def check_alive(context: Context) -> None:
    """Wait until a request succeeds."""
    _check_ordinary(context)
    assert context.node.process.poll() is None


def _check_ordinary(context: Context) -> None:
    port = context.node.caller_port
    wait_until(
        lambda: call(port, 'GET', _ORDINARY).status == _OK,
        'an ordinary request succeeds',
    )


@then('their connections are closed')
def check_closed(context: Context) -> None:
    """Read to the end of each connection."""
    for sock in context.callers:
        sock.settimeout(_TIMEOUT_S)
        try:
            read_all(sock)
        except TimeoutError:
            raise AssertionError('a connection is still open') from None
