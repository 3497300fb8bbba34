"""Malformed responses that do not end until the other side closes."""

from __future__ import annotations

from itertools import chain, repeat
from typing import TYPE_CHECKING, Any, Final

from .resets import reset_connection

if TYPE_CHECKING:
    from collections.abc import Iterator

_STATUS_LINE: Final = b'HTTP/1.1 200 OK\r\n'
_MATCHING_HEAD: Final = b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n'
_CHUNKED_HEAD: Final = b''.join(
    (_MATCHING_HEAD, b'Transfer-Encoding: chunked\r\n\r\n')
)
_FOREIGN_HEAD: Final = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nX-Request-Id: r0\r\n'
)
_FILLER: Final = b'x' * 4096
_MAX_BYTES: Final = 300_000_000

# The first bytes, and the bytes that are repeated after them.
_KINDS: Final = {
    'header-lines': (_STATUS_LINE, b'X-Filling: yes\r\n'),
    'header-value': (b''.join((_STATUS_LINE, b'X-Filling: ')), _FILLER),
    'status-words': (b'HTTP/1.1 200 ', _FILLER),
    'interim-answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    'foreign-answer': (
        b''.join((_FOREIGN_HEAD, b'Content-Length: 900000000\r\n\r\n')),
        _FILLER,
    ),
    'foreign-answers': (
        b'',
        b''.join((_FOREIGN_HEAD, b'Content-Length: 0\r\n\r\n')),
    ),
    'chunk-extension': (b''.join((_CHUNKED_HEAD, b'4;')), _FILLER),
    'trailers': (b''.join((_CHUNKED_HEAD, b'0\r\n')), b'X-Filling: yes\r\n'),
    'body': (b''.join((_MATCHING_HEAD, b'\r\n')), _FILLER),
    'chunk': (b''.join((_CHUNKED_HEAD, b'fffffffff\r\n')), _FILLER),
    'chunks': (_CHUNKED_HEAD, b'8\r\nxxxxxxxx\r\n'),
    'bytes-after-answer': (
        b''.join((_MATCHING_HEAD, b'Content-Length: 2\r\n\r\nhi')),
        _FILLER,
    ),
    'refusal-body': (
        b'HTTP/1.1 503 Full\r\nContent-Length: 900000000\r\n\r\n',
        _FILLER,
    ),
}


def endless_response(kind: str) -> Iterator[bytes]:
    """Yield the blocks of a response that never ends.

    :param kind: for example ``header-lines``.
    """
    first, repeated = _KINDS[kind]
    block = repeated * max(1, len(_FILLER) // len(repeated))
    return chain((first,), repeat(block))


def send_endlessly(sock: Any, kind: str) -> None:
    """Send a response until the other side closes the connection.

    After 300 MB the connection is reset.

    :param sock: gevent socket of the connection.
    :param kind: for example ``header-lines``.
    """
    sent_bytes = 0
    try:
        for block in endless_response(kind):
            sock.sendall(block)
            sent_bytes += len(block)
            if sent_bytes > _MAX_BYTES:
                break
    except OSError:
        # The other side has closed the connection, as it should.
        return
    reset_connection(sock)


__all__ = ('endless_response', 'send_endlessly')
