"""Sends overdue work on a second connection, and keeps the first.

Load pattern: requests whose run takes many times the usual, beside pooled
connections that have gone silent. From outside the two look alike, so the
first is given up only when the second has answered.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import monotonic_ms
from ...sockets import first_readable, is_at_end

if TYPE_CHECKING:
    from collections.abc import Callable

    from .connections import Connection, ConnectionPool


@dataclass(slots=True)
class OpenConnections:
    """The connections of one request; all are closed that nobody takes.

    :param all: those still to be closed.
    :param condemned: whether a pooled one was found to be silent.
    """

    all: list[Connection] = field(default_factory=list)
    condemned: bool = False

    def take(self, connection: Connection) -> Connection:
        """Return one that shall stay open.

        :param connection: one of them.
        """
        self.all.remove(connection)
        return connection

    def close(self) -> None:
        """Close what is left."""
        for connection in self.all:
            connection.close()


def await_answer(
    opened: OpenConnections,
    pool: ConnectionPool,
    silence_ms: float,
    may_resend: Callable[[], bool],
    send: Callable[[Connection], None],
) -> Connection:
    """Return the connection on which an answer begins, or ends.

    :param opened: the pooled connection on which the work was sent; a new
        one is added if the answer is overdue.
    :param pool: opens it.
    :param silence_ms: time after which the answer is overdue.
    :param may_resend: tells whether the work may be sent again.
    :param send: sends it.
    """
    pooled = opened.all[0]
    if first_readable((pooled.sock,), silence_ms) is not None:
        return pooled
    if not may_resend():
        return pooled
    try:
        other = pool.open_new()
    except OSError:
        return pooled
    opened.all.append(other)
    resent_ms = monotonic_ms()
    send(other)
    first = first_readable((pooled.sock, other.sock))
    if first is pooled.sock and not is_at_end(pooled.sock):
        return pooled
    if first is other.sock and not is_at_end(other.sock):
        opened.condemned = monotonic_ms() - resent_ms < silence_ms
        return other
    return pooled if first is other.sock else other


__all__ = ('OpenConnections', 'await_answer')
