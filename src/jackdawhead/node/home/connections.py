"""Pooled connections to one upstream."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gevent import socket

from ...clock import monotonic_ms, seconds
from ...wire.stream import set_no_delay

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

    from ...config.settings import Address

_CONNECT_TIMEOUT_MS: Final = 1000
_PROVED_FOR_MS: Final = 500
_IDLE_LIFE_MS: Final = 60_000


@dataclass(slots=True)
class Connection:
    """One connection.

    :param reused: whether it has carried an answer before.
    :param idle_since_ms: monotonic time of its last answer.
    """

    sock: Socket
    reused: bool = False
    idle_since_ms: float = 0

    def close(self) -> None:
        """Close it; the upstream sees work on it as cancelled."""
        self.sock.close()


class ConnectionPool:
    """Idle connections to an upstream, the latest used first.

    :param address: IP number and port of the upstream.
    :param max_connections: bound on open connections.
    """

    def __init__(self, address: Address, max_connections: int) -> None:
        self._address = address
        self._max_connections = max_connections
        self._idle: deque[Connection] = deque()

    def limit(self, max_connections: int) -> None:
        """Keep another number of idle connections from now on.

        :param max_connections: bound on kept connections.
        """
        self._max_connections = max_connections

    def acquire(self, only_proved: bool) -> Connection:
        """Return an idle connection or open a new one.

        :param only_proved: use an idle one only if it has carried an answer
            a moment ago, since an older one may be dead without a sign.
        :raises OSError: if the upstream does not accept a connection.
        """
        now_ms = monotonic_ms()
        life_ms = _PROVED_FOR_MS if only_proved else _IDLE_LIFE_MS
        while self._idle:
            connection = self._idle[-1]
            if now_ms - connection.idle_since_ms > life_ms:
                break
            self._idle.pop()
            if _is_quiet(connection):
                return connection
            connection.close()
        self._close_old(now_ms)
        return self.open_new()

    def open_new(self) -> Connection:
        """Open a connection.

        :raises OSError: if the upstream does not accept it in time.
        """
        target = (self._address.ip, self._address.port)
        timeout_s = seconds(_CONNECT_TIMEOUT_MS)
        sock = socket.create_connection(target, timeout_s)
        sock.settimeout(None)
        set_no_delay(sock)
        return Connection(sock)

    def release(self, connection: Connection) -> None:
        """Keep a connection that has just carried a whole answer.

        :param connection: the connection, closed if there are enough.
        """
        if len(self._idle) >= self._max_connections:
            connection.close()
            return
        connection.reused = True
        connection.idle_since_ms = monotonic_ms()
        self._idle.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _close_old(self, now_ms: float) -> None:
        while self._idle:
            if now_ms - self._idle[0].idle_since_ms <= _IDLE_LIFE_MS:
                return
            self._idle.popleft().close()


def _is_quiet(connection: Connection) -> bool:
    """Return whether the upstream has neither closed nor sent anything."""
    sock = connection.sock
    sock.settimeout(0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        sock.settimeout(None)
    return False


__all__ = ('Connection', 'ConnectionPool')
