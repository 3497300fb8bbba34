"""Planned stop of a node: finishes the requests in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ..audit import AuditKind
from ..clock import monotonic_ms, seconds
from ..policy.stopping import StopPlan

if TYPE_CHECKING:
    from .channels import Channels
    from .http_server import HttpServer
    from .parts import NodeParts

_DRAIN_POLL_MS: Final = 20
# A drain ends once no request has been in progress for this long.
_DRAIN_QUIET_MS: Final = 300


class Shutdown:
    """Stops accepting requests and finishes those in progress.

    :param parts: controllers of the node.
    :param channels: channels to the other nodes.
    :param callers: listener for callers.
    """

    def __init__(
        self, parts: NodeParts, channels: Channels, callers: HttpServer
    ) -> None:
        self._parts = parts
        self._channels = channels
        self._callers = callers

    def run(self) -> None:
        """Announce the stop and return once the process may end."""
        settings = self._parts.settings
        plan = self._plan()
        self._parts.board.stop.write(plan)
        self._parts.audit.record(
            AuditKind.NODE_LEAVING, settings.vm, 'received a stop signal'
        )
        self._channels.send_heartbeats()
        gevent.sleep(seconds(max(0, plan.closes_at_ms - monotonic_ms())))
        self._await_home(plan)
        self._callers.close()
        closed_ms = monotonic_ms()
        last_active_ms = closed_ms
        while plan.remaining_ms(monotonic_ms()):
            if self._has_activity(closed_ms):
                last_active_ms = monotonic_ms()
            if monotonic_ms() - last_active_ms > _DRAIN_QUIET_MS:
                # A request that is read from now on would be cut off.
                self._parts.board.stop.write(plan.ending_at(monotonic_ms()))
                return
            gevent.sleep(seconds(_DRAIN_POLL_MS))

    def _plan(self) -> StopPlan:
        now_ms = monotonic_ms()
        settings = self._parts.settings
        return StopPlan(
            began_at_ms=now_ms,
            closes_at_ms=now_ms + settings.accept_while_leaving_ms,
            ends_at_ms=now_ms + settings.drain_ms,
        )

    def _await_home(self, plan: StopPlan) -> None:
        """Wait for the runs of this home.

        The upstream that works on them calls other services through this
        node, and fails if it cannot connect.
        """
        home = self._parts.home
        while home.active_requests and plan.remaining_ms(monotonic_ms()):
            gevent.sleep(seconds(_DRAIN_POLL_MS))

    def _has_activity(self, closed_ms: float) -> bool:
        """Return whether a request is in progress or may still arrive.

        :param closed_ms: monotonic time at which the listener was closed,
            in milliseconds.
        """
        if self._callers.active or self._parts.home.active_requests:
            return True
        if len(self._parts.attempts):
            # The run of a ticket goes on without its caller, or for a caller
            # of another node.
            return True
        since_close_ms = monotonic_ms() - closed_ms
        return (
            self._callers.connections > 0
            and since_close_ms < self._parts.settings.drain_idle_ms
        )


__all__ = ('Shutdown',)
