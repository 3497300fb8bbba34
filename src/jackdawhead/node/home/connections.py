"""Pooled connections to one upstream."""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gevent import socket

from ...clock import monotonic_ms, seconds
from ...sockets import is_quiet
from ...wire.stream import set_no_delay

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

    from ...config.settings import Address
    from .answer_reader import Answer

_CONNECT_TIMEOUT_MS: Final = 1000
# A path on which nothing is acknowledged for so long has gone silent.
_UNACKNOWLEDGED_MS: Final = 1000
_VERIFIED_FOR_MS: Final = 500
_IDLE_LIFE_MS: Final = 60_000
# An upstream may close a little before the time that it told.
_KEEP_MARGIN_MS: Final = 500
_MS_PER_S: Final = 1000
_KEEP_ALIVE: Final = re.compile(r'timeout=(\d{1,6})')


@dataclass(slots=True)
class Connection:
    """One connection.

    :param reused: whether it has carried an answer before.
    :param idle_since_ms: monotonic time of its last answer.
    :param life_ms: how long it may be idle.
    :param is_spoiled: whether a request on it was not sent to its end.
    """

    sock: Socket
    reused: bool = False
    idle_since_ms: float = 0
    life_ms: float = _IDLE_LIFE_MS
    is_spoiled: bool = False

    def note_answer(self, answer: Answer) -> None:
        """Take in how long the upstream keeps an idle connection.

        :param answer: the latest one on this connection.
        """
        found = _KEEP_ALIVE.search(answer.get('Keep-Alive') or '')
        if found is not None:
            told_ms = _MS_PER_S * int(found.group(1))
            self.life_ms = min(_IDLE_LIFE_MS, told_ms - _KEEP_MARGIN_MS)

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
        while self._idle:
            connection = self._idle[-1]
            idle_ms = now_ms - connection.idle_since_ms
            if only_proved and idle_ms > _VERIFIED_FOR_MS:
                break
            self._idle.pop()
            if idle_ms < connection.life_ms and is_quiet(connection.sock):
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
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
        )
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
            oldest = self._idle[0]
            if now_ms - oldest.idle_since_ms <= oldest.life_ms:
                return
            self._idle.popleft().close()


__all__ = ('Connection', 'ConnectionPool')
