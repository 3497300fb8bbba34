"""Steps about callers that disconnect before their answer is complete."""

from __future__ import annotations

import signal
from contextlib import ExitStack
from itertools import count
from typing import TYPE_CHECKING, Final

import gevent
from behave import then, when
from gevent import socket
from gevent.pool import Pool

from features.steps.fleet_steps import node_at
from standins.fleet import call, wait_until
from standins.resets import reset_connection

if TYPE_CHECKING:
    from behave.runner import Context
    from gevent.socket import socket as Socket

_IP: Final = '127.0.0.1'
_RUN_MS: Final = 50_000
_LARGE_BYTES: Final = 200_000
# Less than a receive window: a close behind more bytes is never received.
_UNREAD_BYTES: Final = 20_000
_SETTLE_S: Final = 1.0
# Long work may hold two of the three slots of each of three upstreams.
_MAX_LONG_RUNS: Final = 6
_numbers: Final = count(1)


def _head(path: str, query: str, *fields: str) -> bytes:
    lines = (f'GET {path}?{query} HTTP/1.1', 'Host: x', *fields, '', '')
    return '\r\n'.join(lines).encode()


def _sent_bytes(path: str, what: str) -> tuple[bytes, bytes]:
    """Return a request, and the bytes to send once its work runs."""
    query = f'ms={_RUN_MS}'
    plain = _head(path, query)
    large = bytes(_LARGE_BYTES)
    length = f'Content-Length: {_LARGE_BYTES}'
    coding = 'Transfer-Encoding: chunked'
    chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (_LARGE_BYTES, large)
    return {
        'nothing': (plain, b''),
        'an empty line': (plain, b'\r\n'),
        'a second request': (plain, _head(f'{path}-second', query)),
        '20000 bytes': (plain, bytes(_UNREAD_BYTES)),
        'a large body': (_head(path, query, length) + large, b''),
        'a large body in chunks': (_head(path, query, coding) + chunk, b''),
    }[what]


def _connect(context: Context, position: int) -> Socket:
    node = context.fleet.nodes[node_at(context, position)]
    return socket.create_connection((_IP, node.caller_port))


def _states(context: Context, path: str) -> list[str]:
    return [
        each['state']
        for each in context.fleet.executed_work()
        if each['path'] == path
    ]


def _disconnect(sock: Socket, end: str) -> None:
    if end == 'a reset':
        reset_connection(sock)
    else:
        sock.close()


@when(
    'a caller sends a request with {what} to node {position:d}'
    ' and leaves by {end}'
)
def leave_behind(context: Context, what: str, position: int, end: str) -> None:
    """Disconnect while the work runs."""
    context.path = f'/bundles/left-{next(_numbers)}'
    sock = _connect(context, position)
    request, unread = _sent_bytes(context.path, what)
    sock.sendall(request)
    wait_until(lambda: 'running' in _states(context, context.path), 'running')
    sock.sendall(unread)
    gevent.sleep(_SETTLE_S)
    _disconnect(sock, end)


@when(
    'a caller sends a request to node {position:d}'
    ' and leaves by {end} during {part}'
)
def leave_during(context: Context, position: int, end: str, part: str) -> None:
    """Disconnect after the start of the answer, which then stalls."""
    context.path = f'/bundles/left-{next(_numbers)}'
    size = 20_000_000 if part == 'a large answer' else 20_000
    sock = _connect(context, position)
    sock.sendall(_head(context.path, f'bytes={size}&stall={_RUN_MS}'))
    assert sock.recv(12) == b'HTTP/1.1 200'
    _disconnect(sock, end)


@then('its work is cancelled at each upstream')
def check_cancelled(context: Context) -> None:
    """Wait until each copy of the work is cancelled."""
    wait_until(
        lambda: set(_states(context, context.path)) == {'cancelled'},
        f'{context.path} cancelled',
    )


@when('callers hold all slots of the fleet')
def hold_slots(context: Context) -> None:
    """Fill each upstream with long work."""
    context.holders = context.stack.enter_context(ExitStack())
    slots = 9
    paths = [f'/bundles/held-{next(_numbers)}' for _ in range(slots)]
    for number, path in enumerate(paths):
        sock = _connect(context, number % 3 + 1)
        context.holders.callback(sock.close)
        sock.sendall(_head(path, f'ms={_RUN_MS}'))
    wait_until(lambda: _running(context, paths) == _MAX_LONG_RUNS, 'slots held')


def _running(context: Context, paths: list[str]) -> int:
    return sum(
        each['state'] == 'running' and each['path'] in paths
        for each in context.fleet.executed_work()
    )


@when('a caller sends a request that is queued to node {position:d} and leaves')
def leave_queued(context: Context, position: int) -> None:
    """Disconnect after 1 s, while no slot is free."""
    context.path = f'/bundles/left-{next(_numbers)}'
    sock = _connect(context, position)
    request, unread = _sent_bytes(context.path, 'an empty line')
    sock.sendall(request)
    gevent.sleep(_SETTLE_S)
    sock.sendall(unread)
    assert not _states(context, context.path)
    sock.close()
    gevent.sleep(_SETTLE_S)


@when('the callers that hold the slots leave')
def release_slots(context: Context) -> None:
    """Free all slots."""
    context.holders.close()


@then('the queued request was never started')
def check_never_started(context: Context) -> None:
    """Send other work through the fleet, then check the records."""
    node = context.fleet.nodes[node_at(context, 1)]
    for number in range(30):
        call(node.caller_port, 'GET', f'/ledger/after-{number}')
    assert not _states(context, context.path), context.path


@when(
    'node {position:d} is paused while {number:d} callers send a request'
    ' to it and leave'
)
def leave_unread(context: Context, position: int, number: int) -> None:
    """Pause a node while callers send requests and close their connections."""
    context.paths = [f'/bundles/left-{next(_numbers)}' for _ in range(number)]
    _warm_up(context)
    process = context.fleet.nodes[node_at(context, position)].process
    process.send_signal(signal.SIGSTOP)
    try:
        for path in context.paths:
            sock = _connect(context, position)
            sock.sendall(_head(path, f'ms={_RUN_MS}'))
            sock.close()
    finally:
        process.send_signal(signal.SIGCONT)


def _warm_up(context: Context) -> None:
    """Fill the connection pools, so that requests need no new connection."""
    ports = [node.caller_port for node in context.fleet.nodes.values()]
    Pool(len(ports)).map(
        lambda port: [call(port, 'GET', '/ledger/warm?ms=50') for _ in ports],
        ports,
    )


@then('no upstream starts work for them')
def check_none_started(context: Context) -> None:
    """Send other work through the fleet, then check the records."""
    node = context.fleet.nodes[node_at(context, 1)]
    for number in range(30):
        call(node.caller_port, 'GET', f'/ledger/later-{number}')
    gevent.sleep(_SETTLE_S)
    begun = [path for path in context.paths if _states(context, path)]
    assert not begun, begun
