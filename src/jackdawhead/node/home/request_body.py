"""Streams a request body to an upstream, chunk by chunk.

An upstream may answer before it has read the body, and may not read the rest.
Sending then stops, and the answer is read.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gevent.queue import Empty

from ...sockets import wait_readable, wait_writable
from ...wire.messages import Credit
from .request_head import is_chunked

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

    from ...wire.messages import Body
    from .job import Job


_ANSWER_POLL_S: Final = 0.05


def send_body(sock: Socket, head: bytes, job: Job) -> bool:
    """Send the head of a request, and its body as it arrives from the entry.

    :param sock: connection to the upstream.
    :param head: request line and headers.
    :param job: the request; its entry is granted credit for each chunk sent.
    :returns: whether the complete body was sent before an answer began.
    :raises OSError: if the connection breaks.
    """
    submit = job.submit
    chunked = is_chunked(submit)
    sock.sendall(head)
    if not _send_chunk(sock, submit.chunk, chunked):
        return False
    last = False
    while not last:
        message = _next_chunk(sock, job)
        if message is None or not _send_chunk(sock, message.chunk, chunked):
            return False
        job.deliver(Credit(submit.request_id, len(message.chunk)))
        last = message.last
    if chunked:
        sock.sendall(b'0\r\n\r\n')
    return True


def _next_chunk(sock: Socket, job: Job) -> Body | None:
    """Return the caller's next chunk, or nothing if an answer begins."""
    while True:
        try:
            chunk: Body = job.body.get(timeout=_ANSWER_POLL_S)
        except Empty:
            if wait_readable((sock,), 0) is not None:
                return None
        else:
            return chunk


def _send_chunk(sock: Socket, chunk: bytes, chunked: bool) -> bool:
    """Send a chunk; return whether it was sent before an answer began."""
    if not chunk:
        return True
    if chunked:
        size = f'{len(chunk):x}\r\n'.encode()
        chunk = b''.join((size, chunk, b'\r\n'))
    left = memoryview(chunk)
    while left:
        if not wait_writable(sock):
            return False
        left = left[sock.send(left) :]
    return True


__all__ = ('send_body',)
