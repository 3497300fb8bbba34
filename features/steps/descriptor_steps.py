"""Steps about connections whose file descriptors are high."""

from __future__ import annotations

import os
import resource
from typing import TYPE_CHECKING, Final

import gevent
from behave import given, then, when
from gevent import socket

from jackdawhead.sockets import wait_readable, wait_writable

if TYPE_CHECKING:
    from behave.runner import Context

_SPARE: Final = 200
_TIMEOUT_MS: Final = 5000
_MS_PER_S: Final = 1000


@given('a process that holds {count:d} descriptors')
def hold_descriptors(context: Context, count: int) -> None:
    """Open descriptors, so that later ones have higher numbers."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count + _SPARE, most))
    held = [os.open(os.devnull, os.O_RDONLY)]
    while held[-1] < count:
        held.append(os.dup(held[0]))
    for each in held:
        context.stack.callback(os.close, each)


@given('a connection that it opens then')
@given('two connections that it opens then')
def open_connections(context: Context) -> None:
    """Open two connections; most steps use the first one."""
    pairs = [socket.socketpair() for _ in range(2)]
    context.own = [own for own, _ in pairs]
    context.peers = [peer for _, peer in pairs]
    for each in (*context.own, *context.peers):
        context.stack.callback(each.close)


@when('the peer sends bytes')
def send_bytes(context: Context) -> None:
    """Send bytes on the first connection."""
    context.peers[0].sendall(b'bytes')


@when('{after:d} ms later the peer sends bytes on the second one')
def send_later(context: Context, after: int) -> None:
    """Send bytes while the process waits."""
    gevent.spawn_later(after / _MS_PER_S, context.peers[1].sendall, b'bytes')


@when('the peer closes the connection')
def close_peer(context: Context) -> None:
    """Close the other end of the first connection."""
    context.peers[0].close()


@when('it closes the connection itself')
def close_own(context: Context) -> None:
    """Close the own end of the first connection."""
    context.own[0].close()


@then('it is writable, and not readable within {time:d} ms')
def check_writable(context: Context, time: int) -> None:
    """Check an idle connection."""
    assert wait_writable(context.own[0])
    assert wait_readable(context.own[:1], 0) is None
    assert wait_readable(context.own[:1], time) is None


@then('it is readable')
def check_readable(context: Context) -> None:
    """Check a connection with unread bytes, or one that was closed."""
    for timeout_ms in (0, _TIMEOUT_MS, None):
        found = wait_readable(context.own[:1], timeout_ms)
        assert found is context.own[0], timeout_ms


@then('it is readable, and not to be written to')
def check_closed(context: Context) -> None:
    """Check a connection that has ended."""
    check_readable(context)
    assert not wait_writable(context.own[0])


@then('the second one is found to be readable')
def check_second(context: Context) -> None:
    """Wait for both connections."""
    found = wait_readable(context.own, _TIMEOUT_MS)
    assert found is context.own[1]
