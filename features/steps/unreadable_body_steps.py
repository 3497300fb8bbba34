"""Steps about request bodies that cannot be read to their end."""

from __future__ import annotations

import hashlib
import re
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING, Final

import gevent
from behave import then, when
from gevent import socket

from features.steps.ambiguous_steps import connect, read_all
from jackdawhead.bench.client import HttpResponse

if TYPE_CHECKING:
    from behave.runner import Context

_MS_PER_S: Final = 1000
_STATUS_LINE: Final = re.compile(rb'HTTP/1\.1 (\d{3}) ')
_CHUNKS: Final = 400
_CHUNKED_HEAD: Final = (
    b'POST /cultivars/chunks HTTP/1.1\r\nHost: x\r\n'
    b'X-Deadline-Ms: 9000\r\nTransfer-Encoding: chunked\r\n'
)
_CLOSE: Final = b'Connection: close\r\n\r\n'
_QUOTED: Final = b'GET /cultivars/smuggled HTTP/1.1\r\nHost: x\r\n\r\n'


@when(
    'the bytes "{first}" are sent to node {position:d} and {pause:d} ms later'
    ' "{rest}"'
)
def send_in_parts(
    context: Context, first: str, position: int, pause: int, rest: str
) -> None:
    """Send lines, which the step separates by commas, in two parts."""
    with connect(context, position) as sock:
        sock.sendall(first.replace(',', '\r\n').encode())
        gevent.sleep(pause / _MS_PER_S)
        sock.sendall(rest.replace(',', '\r\n').encode())
        context.received = read_all(sock)


@when('a caller sends chunks of one byte with {what} to node {position:d}')
def send_extensions(context: Context, what: str, position: int) -> None:
    """Send chunks with extensions, and a request after them."""
    found = re.search(r'\d+', what)
    assert found
    chunk = b'1;%s\r\na\r\n' % (b'e' * int(found.group()))
    parts = (_CHUNKED_HEAD, b'\r\n', chunk * _CHUNKS, _QUOTED)
    with connect(context, position) as sock:
        sender = gevent.spawn(_send_all, sock, b''.join(parts))
        context.received = read_all(sock)
        sender.join()


def _send_all(sock: socket.socket, payload: bytes) -> None:
    with suppress(OSError):
        sock.sendall(payload)


@when(
    'a caller uploads {size:d} bytes in chunks of one byte to node {position:d}'
)
def upload_small_chunks(context: Context, size: int, position: int) -> None:
    """Send a correct body with much framing."""
    body = Random(size).randbytes(size)
    context.body_sha256 = hashlib.sha256(body).hexdigest()
    chunks = b''.join(b'1\r\n%c\r\n' % each for each in body)
    with connect(context, position) as sock:
        sock.sendall(b''.join((_CHUNKED_HEAD, _CLOSE, chunks, b'0\r\n\r\n')))
        received = read_all(sock)
    head, _, answer = received.partition(b'\r\n\r\n')
    context.reply = HttpResponse(_statuses(head)[0], {}, answer)


@then('there is one answer, with status {status:d}')
def check_one_answer(context: Context, status: int) -> None:
    """Check that nothing else was answered on the connection."""
    assert _statuses(context.received) == [status], context.received


@then('there are {count:d} answers')
def check_answers(context: Context, count: int) -> None:
    """Count the answers on the connection."""
    found = _statuses(context.received)
    assert len(found) == count, context.received


def _statuses(received: bytes) -> list[int]:
    return [int(each) for each in _STATUS_LINE.findall(received)]
