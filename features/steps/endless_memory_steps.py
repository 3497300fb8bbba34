"""Steps about the memory of nodes while upstreams send endless bytes."""

from __future__ import annotations

import time
from contextlib import suppress
from typing import TYPE_CHECKING, Final

import gevent
from behave import then, when
from gevent import socket

from features.steps.ambiguous_steps import connect
from features.steps.fleet_steps import node_at
from standins.fleet import call, read_json, wait_until

if TYPE_CHECKING:
    from behave.runner import Context

_MS_PER_S: Final = 1000
_SAMPLE_S: Final = 0.1
_BLOCK_BYTES: Final = 65_536
_LOOKUP: Final = b'GET /cultivars/endless HTTP/1.1\r\nHost: x\r\n\r\n'
_OK: Final = 200
_SERVED: Final = 20


@when(
    '{count:d} callers that {read} the answer send lookups to node'
    ' {position:d} for {duration:d} ms'
)
def send_lookups(
    context: Context, count: int, read: str, position: int, duration: int
) -> None:
    """Send requests, and sample the memory of all nodes meanwhile."""
    context.position = position
    context.processes = _processes(context)
    context.received_bytes = 0
    context.most_bytes = 0
    callers = [connect(context, position) for _ in range(count)]
    readers = []
    for sock in callers:
        context.stack.callback(sock.close)
        sock.sendall(_LOOKUP)
        if read == 'read':
            readers.append(gevent.spawn(_read_on, context, sock))
    until = time.monotonic() + duration / _MS_PER_S
    while time.monotonic() < until:
        gevent.sleep(_SAMPLE_S)
        context.most_bytes = max(context.most_bytes, *_resident(context))
    gevent.killall(readers)
    for sock in callers:
        sock.close()


def _read_on(context: Context, sock: socket.socket) -> None:
    with suppress(OSError):
        while received := sock.recv(_BLOCK_BYTES):
            context.received_bytes += len(received)


def _resident(context: Context) -> list[int]:
    return [
        read_json(node.admin_port, '/status')['resident_bytes']
        for node in context.fleet.nodes.values()
    ]


def _processes(context: Context) -> list[int]:
    return [node.process.pid for node in context.fleet.nodes.values()]


@then('at least {least:d} bytes reached the callers')
def check_received(context: Context, least: int) -> None:
    """Check that the bytes went through the nodes."""
    assert context.received_bytes >= least, context.received_bytes


@then('no node used more than {most:d} bytes of memory meanwhile')
def check_most(context: Context, most: int) -> None:
    """Check the largest sample."""
    assert 0 < context.most_bytes <= most, context.most_bytes


@when('upstreams {first:d} to {last:d} send answers again')
def restore(context: Context, first: int, last: int) -> None:
    """End the endless answers."""
    for upstream in list(context.fleet.upstreams)[first - 1 : last]:
        context.fleet.set_behaviour(upstream, endless='')


@then('the same processes serve lookups of node {position:d}')
def check_alive(context: Context, position: int) -> None:
    """Wait until lookups succeed, and compare the processes."""
    port = context.fleet.nodes[node_at(context, position)].caller_port

    def is_served() -> bool:
        replies = [
            call(port, 'GET', '/cultivars/after') for _ in range(_SERVED)
        ]
        return all(reply.status == _OK for reply in replies)

    wait_until(is_served, 'lookups succeed')
    assert _processes(context) == context.processes
    codes = [each.process.poll() for each in context.fleet.nodes.values()]
    assert set(codes) == {None}, codes
