"""Resends overdue work on a second connection and keeps the first one open.

Load pattern: requests that run many times longer than usual, and pooled
connections that have gone silent. The home cannot distinguish the two, so it
gives up the first connection only after the second one has answered.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import monotonic_ms
from ...sockets import is_at_eof, wait_readable

if TYPE_CHECKING:
    from collections.abc import Callable

    from .connections import Connection, ConnectionPool


@dataclass(slots=True)
class OpenConnections:
    """Open connections of one request, closed together at its end.

    :param all: connections still to be closed.
    :param found_silent: whether a pooled connection had gone silent.
    """

    all: list[Connection] = field(default_factory=list)
    found_silent: bool = False

    def detach(self, connection: Connection) -> Connection:
        """Exclude a connection from the close and return it.

        :param connection: connection to keep open.
        """
        self.all.remove(connection)
        return connection

    def close(self) -> None:
        """Close the connections that were not detached."""
        for connection in self.all:
            connection.close()


def await_answer(
    opened: OpenConnections,
    pool: ConnectionPool,
    overdue_after_ms: float,
    may_resend: Callable[[], bool],
    send: Callable[[Connection], None],
) -> Connection:
    """Return the connection that first carries an answer, or was closed.

    :param opened: the pooled connection on which the work was sent; a new
        one is added if the answer is overdue.
    :param pool: opens the new connection.
    :param overdue_after_ms: time after which the answer is overdue.
    :param may_resend: returns whether the retry budget allows a resend.
    :param send: sends the work on a connection.
    """
    pooled = opened.all[0]
    if wait_readable((pooled.sock,), overdue_after_ms) is not None:
        return pooled
    if not may_resend():
        return pooled
    try:
        other = pool.open_new()
    except OSError:
        return pooled
    opened.all.append(other)
    resent_at_ms = monotonic_ms()
    send(other)
    first = wait_readable((pooled.sock, other.sock))
    if first is pooled.sock and not is_at_eof(pooled.sock):
        return pooled
    if first is other.sock and not is_at_eof(other.sock):
        opened.found_silent = monotonic_ms() - resent_at_ms < overdue_after_ms
        return other
    return pooled if first is other.sock else other


__all__ = ('OpenConnections', 'await_answer')
