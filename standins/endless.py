"""Bytes that are no answer, sent until the other side closes."""

from __future__ import annotations

from itertools import chain, repeat
from typing import TYPE_CHECKING, Any, Final

from .resets import reset_connection

if TYPE_CHECKING:
    from collections.abc import Iterator

_HEAD: Final = b'HTTP/1.1 200 OK\r\n'
_OWN: Final = b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n'
_CHUNKED: Final = b''.join((_OWN, b'Transfer-Encoding: chunked\r\n\r\n'))
_OTHER: Final = b'HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nX-Request-Id: r0\r\n'
_FILLING: Final = b'x' * 4096
_MAX_BYTES: Final = 300_000_000

# First bytes, and what is repeated after them.
_KINDS: Final = {
    'header-lines': (_HEAD, b'X-Filling: yes\r\n'),
    'header-value': (b''.join((_HEAD, b'X-Filling: ')), _FILLING),
    'status-words': (b'HTTP/1.1 200 ', _FILLING),
    'interim-answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    'foreign-answer': (
        b''.join((_OTHER, b'Content-Length: 900000000\r\n\r\n')),
        _FILLING,
    ),
    'foreign-answers': (
        b'',
        b''.join((_OTHER, b'Content-Length: 0\r\n\r\n')),
    ),
    'chunk-extension': (b''.join((_CHUNKED, b'4;')), _FILLING),
    'trailers': (b''.join((_CHUNKED, b'0\r\n')), b'X-Filling: yes\r\n'),
}


def endless_bytes(kind: str) -> Iterator[bytes]:
    """Yield bytes of a kind for ever.

    :param kind: for example ``header-lines``.
    """
    first, again = _KINDS[kind]
    block = again * max(1, len(_FILLING) // len(again))
    return chain((first,), repeat(block))


def send_endlessly(sock: Any, kind: str) -> None:
    """Send bytes until the connection is closed, within a high bound.

    :param kind: for example ``header-lines``.
    """
    sent_bytes = 0
    try:
        for block in endless_bytes(kind):
            sock.sendall(block)
            sent_bytes += len(block)
            if sent_bytes > _MAX_BYTES:
                break
    except OSError:
        # The other side has closed, as it should.
        return
    reset_connection(sock)


__all__ = ('endless_bytes', 'send_endlessly')
