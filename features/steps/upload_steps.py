"""Steps about large request bodies."""

from __future__ import annotations

import hashlib
import json
from random import Random
from typing import TYPE_CHECKING

import gevent
from behave import then, when
from gevent import socket
from gevent.pool import Pool
from geventhttpclient.response import HTTPParseError

from features.steps.ambiguous_steps import connect, read_all
from features.steps.fleet_steps import node_at
from standins.fleet import call

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.bench.client import HttpResponse

_IP = '127.0.0.1'
_SETTLE_S = 1.0


@when(
    '{count:d} callers upload {size:d} bytes each through node {position:d}'
    ' at once'
)
def upload_at_once(
    context: Context, count: int, size: int, position: int
) -> None:
    """Send many bodies concurrently."""
    node = context.fleet.nodes[node_at(context, position)]
    body = Random(7).randbytes(size)
    context.body_sha256 = hashlib.sha256(body).hexdigest()

    def send(number: int) -> HttpResponse | None:
        try:
            return call(
                node.caller_port, 'POST', f'/cultivars/up-{number}', body
            )
        except (OSError, HTTPParseError):
            return None

    context.replies = Pool(count).map(send, range(count))


@then('each upload arrived whole or was reported as not run')
def check_each(context: Context) -> None:
    """Check each answer, and that at least one upload arrived."""
    whole = 0
    for reply in context.replies:
        assert reply is not None, 'a connection failed'
        if reply.status == 200:
            found = json.loads(reply.body)['body_sha256']
            assert found == context.body_sha256
            whole += 1
        else:
            assert reply.headers['x-outcome'] == 'not-run', reply
    assert whole, context.replies


@when(
    'a caller announces {size:d} bytes to node {position:d} and sends'
    ' {sent:d} of them'
)
def cut_upload(context: Context, size: int, position: int, sent: int) -> None:
    """Close the connection in the middle of a body."""
    node = context.fleet.nodes[node_at(context, position)]
    head = f'POST /cultivars/cut HTTP/1.1\r\nHost: x\r\nContent-Length: {size}'
    with socket.create_connection((_IP, node.caller_port)) as sock:
        sock.sendall(f'{head}\r\n\r\n'.encode())
        sock.sendall(bytes(sent))
    gevent.sleep(_SETTLE_S)


@when(
    'a caller announces {size:d} bytes to node {position:d}, sends {sent:d} and'
    ' waits for the answer, {count:d} times'
)
def await_early_answers(
    context: Context, size: int, position: int, sent: int, count: int
) -> None:
    """Send the start of a body, and read until the node closes."""
    head = f'POST /cultivars/up HTTP/1.1\r\nHost: x\r\nContent-Length: {size}'
    for _ in range(count):
        with connect(context, position) as sock:
            sock.sendall(f'{head}\r\n\r\n'.encode())
            sock.sendall(bytes(sent))
            context.received = read_all(sock)


@then('the answer has status {status:d} and the connection is closed')
def check_early_answer(context: Context, status: int) -> None:
    """Check that the caller knows that nothing can follow the body."""
    head = context.received.partition(b'\r\n\r\n')[0]
    assert f' {status} '.encode() in head, context.received
    assert b'connection: close' in head.lower(), context.received


@then('no node reports an internal error')
def check_errors(context: Context) -> None:
    """Check the error output of all nodes."""
    for node in context.fleet.nodes.values():
        log = node.log.read_text()
        assert 'event=task-failed' not in log, log


@then('no upstream completed the upload')
def check_cut(context: Context) -> None:
    """Check that no record of the upload is done."""
    done = [
        each
        for each in context.fleet.executed_work()
        if each['path'] == '/cultivars/cut' and each['state'] == 'done'
    ]
    assert not done, done
