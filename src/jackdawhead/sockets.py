"""What can be told of connections without taking bytes from them."""

from __future__ import annotations

from select import POLLERR, POLLHUP, POLLRDHUP, poll
from typing import TYPE_CHECKING, Final

from gevent import socket
from gevent.select import select

from .clock import seconds

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gevent.socket import socket as Socket


_ENDED: Final = POLLRDHUP | POLLHUP | POLLERR


def has_hung_up(sock: Socket) -> bool:
    """Return whether the other side has closed a connection, or reset it.

    Bytes that were sent before may still be there to be read.

    :param sock: the connection.
    """
    if sock.fileno() < 0:
        return True
    ends = poll()
    ends.register(sock, _ENDED)
    return bool(ends.poll(0))


def is_at_end(sock: Socket) -> bool:
    """Return whether the other side has hung up, and no byte is left to read.

    :param sock: the connection.
    """
    return _peek(sock) == b''


def is_quiet(sock: Socket) -> bool:
    """Return whether the other side has neither closed nor sent anything.

    :param sock: the connection.
    """
    return _peek(sock) is None


def first_readable(
    socks: Sequence[Socket],
    timeout_ms: float | None = None,
) -> Socket | None:
    """Return the first connection that has bytes or an end to be read.

    :param socks: connections.
    :param timeout_ms: longest wait, in milliseconds; none for ever.
    :returns: nothing when time is up.
    """
    timeout_s = None if timeout_ms is None else seconds(timeout_ms)
    readable, _, _ = select(socks, (), (), timeout_s)
    return readable[0] if readable else None


def has_room_before_answer(sock: Socket) -> bool:
    """Wait until a connection takes bytes, unless the other side sends first.

    :param sock: connection on which a request is being sent.
    :returns: whether bytes can be sent, and none are there to be read.
    """
    readable, _, _ = select((sock,), (sock,), ())
    return not readable


def _peek(sock: Socket) -> bytes | None:
    """Return the next byte, none if the connection has ended.

    :returns: nothing if there is no byte yet.
    """
    timeout = sock.gettimeout()
    sock.settimeout(0)
    try:
        return bytes(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return None
    except OSError:
        return b''
    finally:
        sock.settimeout(timeout)


__all__ = (
    'first_readable',
    'has_hung_up',
    'has_room_before_answer',
    'is_at_end',
    'is_quiet',
)
