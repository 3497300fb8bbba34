"""Sends a request's body on to an upstream, chunk by chunk."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...wire.messages import Credit
from .request_head import is_chunked

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

    from .job import Job


def send_body(sock: Socket, head: bytes, job: Job) -> None:
    """Send the head of a request and its body as it comes in.

    :param sock: connection to the upstream.
    :param head: request line and headers.
    :param job: the request; its entry may send more for what is taken.
    :raises OSError: if the connection breaks.
    """
    submit = job.submit
    chunked = is_chunked(submit)
    sock.sendall(head)
    _send_chunk(sock, submit.chunk, chunked)
    last = False
    while not last:
        message = job.body.get()
        _send_chunk(sock, message.chunk, chunked)
        job.deliver(Credit(submit.request_id, len(message.chunk)))
        last = message.last
    if chunked:
        sock.sendall(b'0\r\n\r\n')


def _send_chunk(sock: Socket, chunk: bytes, chunked: bool) -> None:
    if not chunk:
        return
    if chunked:
        size = f'{len(chunk):x}\r\n'.encode()
        sock.sendall(b''.join((size, chunk, b'\r\n')))
    else:
        sock.sendall(chunk)


__all__ = ('send_body',)
