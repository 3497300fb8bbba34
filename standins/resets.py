"""Resets TCP connections, as a crash or a network fault does."""

from __future__ import annotations

import struct
from typing import Any, Final

from gevent import socket

_ABORTIVE_LINGER: Final = struct.pack('ii', 1, 0)


def reset_connection(sock: Any) -> None:
    """Reset a connection, unless it is closed already.

    :param sock: gevent socket of the connection.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORTIVE_LINGER)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
    sock.close()


__all__ = ('reset_connection',)
