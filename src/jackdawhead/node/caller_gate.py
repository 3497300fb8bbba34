"""Keeps what a node holds for its callers within bounds."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, Final, Protocol

import gevent

from ..clock import monotonic_ms, seconds
from ..logs import log_event
from ..policy.caller_bounds import CONNECTION_BYTES

if TYPE_CHECKING:
    from ..policy.caller_bounds import CallerBounds, CallerView

# A parsed head, or a buffered body and the window of an answer, at most.
_MOST_HELD_BYTES: Final = 786_432
_MOST_CONNECTION_BYTES: Final = CONNECTION_BYTES + _MOST_HELD_BYTES
# Time after a search that found nothing to close.
_SEARCH_INTERVAL_MS: Final = 20
_CHECK_INTERVAL_MS: Final = 250
_LOG_INTERVAL_MS: Final = 1000


class GatedConnection(Protocol):
    """A caller's connection."""

    @property
    def view(self) -> CallerView:
        """What the bounds decide by."""

    def shed(self) -> bool:
        """Close the connection; return whether that is possible now."""


class CallerGate:
    """The open connections of one listener.

    The attribute ``closed`` counts the connections that were closed, by
    reason, and ``is_full`` is set while they exceed a bound although none is
    left to close.

    :param bounds: bounds of the listener.
    """

    def __init__(self, bounds: CallerBounds) -> None:
        self._bounds = bounds
        self._connections: dict[GatedConnection, None] = {}
        self._timer: Any = None
        self._arriving = 0
        self._searches_from_ms: float = 0
        self._unlogged: Counter[str] = Counter()
        self._logged_at_ms: float = 0
        self.closed: Counter[str] = Counter()
        self.is_full = False

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def is_crowded(self) -> bool:
        """Whether there is no room for another connection."""
        count = len(self._connections) + self._arriving
        return count >= self._bounds.most.connections

    def admit(self) -> bool:
        """Return whether a new connection may be served; called by the hub.

        Connections that have given least make room for it.
        """
        now_ms = monotonic_ms()
        is_due = now_ms >= self._searches_from_ms
        if self.is_crowded and is_due and not self._make_room(1):
            self._searches_from_ms = now_ms + _SEARCH_INTERVAL_MS
        if self.is_crowded:
            self.count('refused')
            return False
        self._arriving += 1
        return True

    def arrive(self) -> None:
        """Note that the greenlet of a new connection runs."""
        self._arriving -= 1

    def enter(self, connection: GatedConnection) -> None:
        """Note a new connection.

        :param connection: the connection.
        """
        self._connections[connection] = None
        if self._may_exceed:
            self._check_later()

    def leave(self, connection: GatedConnection) -> None:
        """Note the end of a connection.

        :param connection: the connection.
        """
        self._connections.pop(connection, None)

    def count(self, reason: str) -> None:
        """Count a connection that was closed.

        :param reason: why, as one word.
        """
        self.closed[reason] += 1
        self._unlogged[reason] += 1
        self._log()
        if self._unlogged:
            self._check_later()

    @property
    def _may_exceed(self) -> bool:
        most_bytes = len(self._connections) * _MOST_CONNECTION_BYTES
        return most_bytes > self._bounds.most.held_bytes

    def _make_room(self, newcomers: int) -> int:
        """Close connections until the bounds are kept; runs in the hub.

        :param newcomers: connections that are about to begin.
        :returns: the number of connections closed.
        """
        connections = tuple(self._connections)
        views = [each.view for each in connections]
        coming = newcomers + self._arriving
        closed = 0
        for position in self._bounds.to_close(views, coming):
            if connections[position].shed():
                self.count(views[position].phase.value)
                closed += 1
        return closed

    def _check(self) -> None:
        self._make_room(0)
        self.is_full = self._bounds.is_over(
            [each.view for each in self._connections]
        )
        self._log()
        if self.is_full or self._may_exceed or self._unlogged:
            self._check_later()

    def _check_later(self) -> None:
        if self._timer is None:
            loop = gevent.get_hub().loop
            self._timer = loop.timer(seconds(_CHECK_INTERVAL_MS))
            self._timer.start(self._check_again)

    def _check_again(self) -> None:
        self._timer.close()
        self._timer = None
        self._check()

    def _log(self) -> None:
        now_ms = monotonic_ms()
        if self._unlogged and now_ms - self._logged_at_ms >= _LOG_INTERVAL_MS:
            self._logged_at_ms = now_ms
            log_event(
                'callers-closed',
                open=len(self._connections),
                full=self.is_full,
                **dict(sorted(self._unlogged.items())),
            )
            self._unlogged.clear()


__all__ = ('CallerGate', 'GatedConnection')
