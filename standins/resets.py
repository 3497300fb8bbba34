"""Resets connections, as a crash or a bad network does."""

from __future__ import annotations

import struct
from typing import Any, Final

from gevent import socket

_LINGER: Final = struct.pack('ii', 1, 0)


def reset_connection(sock: Any) -> None:
    """Reset a connection, unless it has ended already.

    :param sock: gevent's socket of it.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
    sock.close()


__all__ = ('reset_connection',)
