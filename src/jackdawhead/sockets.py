"""What can be told of an idle connection without taking bytes from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent import socket

if TYPE_CHECKING:
    from gevent.socket import socket as Socket


def has_hung_up(sock: Socket) -> bool:
    """Return whether the other side has closed a connection, or reset it.

    :param sock: the connection.
    """
    return _peek(sock) == b''


def is_quiet(sock: Socket) -> bool:
    """Return whether the other side has neither closed nor sent anything.

    :param sock: the connection.
    """
    return _peek(sock) is None


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


__all__ = ('has_hung_up', 'is_quiet')
