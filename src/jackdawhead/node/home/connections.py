"""Connection pool of one upstream."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gevent import socket

from ...clock import monotonic_ms, seconds
from ...sockets import is_idle
from ...wire.header_numbers import keep_alive_ms
from ...wire.stream import set_no_delay

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

    from ...config.settings import Address
    from .answer_reader import Answer

_CONNECT_TIMEOUT_MS: Final = 1000
# A connection on which sent data stays unacknowledged for so long is dead.
_TCP_USER_TIMEOUT_MS: Final = 1000
# Time after an answer for which a connection is taken as working.
_VERIFIED_FOR_MS: Final = 500
_MAX_IDLE_MS: Final = 60_000
# An upstream may close slightly before its announced keep-alive timeout.
_KEEP_ALIVE_MARGIN_MS: Final = 500


@dataclass(slots=True)
class Connection:
    """One connection.

    :param reused: whether it has carried an answer before.
    :param idle_since_ms: monotonic time of its last answer.
    :param max_idle_ms: time after which an idle connection is closed.
    :param has_unsent_body: whether a request body on it was sent only partly,
        so that it cannot carry another request.
    :param answered_id: id of the request that it answered last. A second
        copy of that answer could be taken for the next one with this id.
    """

    sock: Socket
    reused: bool = False
    idle_since_ms: float = 0
    max_idle_ms: float = _MAX_IDLE_MS
    has_unsent_body: bool = False
    answered_id: str | None = None

    def note_answer(self, answer: Answer, request_id: str | None) -> None:
        """Apply the keep-alive timeout that the upstream announced.

        :param answer: latest answer on this connection.
        :param request_id: id of its request, if answers are told by it.
        """
        self.answered_id = request_id
        announced_ms = keep_alive_ms(answer.get('Keep-Alive') or '')
        if announced_ms is not None:
            self.max_idle_ms = min(
                _MAX_IDLE_MS, announced_ms - _KEEP_ALIVE_MARGIN_MS
            )

    def close(self) -> None:
        """Close the connection; the upstream cancels work in flight on it."""
        self.sock.close()


class ConnectionPool:
    """Idle connections to an upstream, the most recently used first.

    :param address: IP address and port of the upstream.
    :param max_connections: most idle connections to keep.
    """

    def __init__(self, address: Address, max_connections: int) -> None:
        self._address = address
        self._max_connections = max_connections
        self._idle: deque[Connection] = deque()

    def set_limit(self, max_connections: int) -> None:
        """Change the limit on idle connections.

        :param max_connections: most idle connections to keep.
        """
        self._max_connections = max_connections

    def acquire(
        self, only_recent: bool, request_id: str | None = None
    ) -> Connection:
        """Return an idle connection or open a new one.

        :param only_recent: reuse only a connection that has just carried an
            answer, since an older one may have failed silently.
        :param request_id: id by which the answer is told from others, if any.
        :raises OSError: if the upstream does not accept a connection.
        """
        now_ms = monotonic_ms()
        while self._idle:
            connection = self._idle[-1]
            idle_ms = now_ms - connection.idle_since_ms
            if only_recent and idle_ms > _VERIFIED_FOR_MS:
                break
            self._idle.pop()
            is_ambiguous = (
                request_id is not None and connection.answered_id == request_id
            )
            is_expired = idle_ms >= connection.max_idle_ms
            if not (is_ambiguous or is_expired) and is_idle(connection.sock):
                return connection
            connection.close()
        self._close_expired(now_ms)
        return self.open_new()

    def open_new(self) -> Connection:
        """Open a connection.

        :raises OSError: if the upstream does not accept it within 1 s.
        """
        target = (self._address.ip, self._address.port)
        timeout_s = seconds(_CONNECT_TIMEOUT_MS)
        sock = socket.create_connection(target, timeout_s)
        sock.settimeout(None)
        set_no_delay(sock)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
        )
        return Connection(sock)

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool after a complete answer.

        :param connection: the connection; closed if the pool is full.
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

    def _close_expired(self, now_ms: float) -> None:
        while self._idle:
            oldest = self._idle[0]
            if now_ms - oldest.idle_since_ms <= oldest.max_idle_ms:
                return
            self._idle.popleft().close()


__all__ = ('Connection', 'ConnectionPool')
