"""Planned stop of a node: finishes the requests in progress."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Final

import gevent
from gevent.event import Event

from ..audit import AuditKind
from ..clock import monotonic_ms, seconds
from ..policy.home_stop import StopPhase, StopProgress
from ..policy.stopping import StopPlan, stop_began_ms
from .stop_log import log_stop_end, log_unfinished

if TYPE_CHECKING:
    from ..blackboard import Blackboard
    from .channels import Channels
    from .http_server import HttpServer
    from .parts import NodeParts

_DRAIN_POLL_MS: Final = 20
# Time after a pause in which a signal that came during it is handled.
_SIGNAL_DELAY_MS: Final = 50
# A poll that is later than this was delayed by a pause of the process.
_MAX_POLL_DELAY_MS: Final = 200
# Time in which the rest of the answers comes from the homes.
_HAND_OVER_MS: Final = 100
# Polls after a pause in which the events that came meanwhile are handled. They
# are counted, as time passes during the next pause, too.
_CATCH_UP_POLLS: Final = 5


class StopRequest:
    """The first request to stop, and when it came.

    :param board: source of the last pause of this process.
    :param length_ms: time from the signal until the process ends.
    """

    def __init__(self, board: Blackboard, length_ms: float) -> None:
        self._board = board
        self._length_ms = length_ms
        self.noted_at_ms: float = 0
        self._event = Event()

    def note(self) -> None:
        """Record a request; only the first one counts."""
        if not self._event.is_set():
            now_ms = monotonic_ms()
            self.noted_at_ms = stop_began_ms(
                now_ms, self._sent_from_ms(now_ms), self._length_ms
            )
            self._event.set()

    def wait(self) -> None:
        """Wait for a request."""
        self._event.wait()

    def _sent_from_ms(self, now_ms: float) -> float:
        """Return the earliest time at which a signal can have been sent."""
        pause = self._board.last_pause.read()
        is_recent = now_ms - pause.ended_at_ms < _SIGNAL_DELAY_MS
        return pause.began_at_ms if is_recent else now_ms


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
        self._closed_ms: float = 0

    def run(self, requested_at_ms: float) -> None:
        """Announce the stop and return once the process may end.

        :param requested_at_ms: monotonic time at which the stop was requested.
        """
        settings = self._parts.settings
        plan = self._plan(requested_at_ms)
        self._parts.board.stop.write(plan)
        self._parts.audit.record(
            AuditKind.NODE_LEAVING, settings.vm, 'received a stop signal'
        )
        self._channels.send_heartbeats()
        gevent.sleep(seconds(max(0, plan.closes_at_ms - monotonic_ms())))
        self._finish(plan)

    def _finish(self, plan: StopPlan) -> None:
        """Finish the requests in progress, then close the listener."""
        progress = StopProgress(plan)
        home = self._parts.home
        due_ms = plan.closes_at_ms
        while True:
            _catch_up(due_ms)
            due_ms = monotonic_ms() + _DRAIN_POLL_MS
            phase = progress.step(
                monotonic_ms(),
                older_active=self._callers.has_request_from_before(
                    plan.closes_at_ms
                ),
                entry_active=self._is_entry_active(),
                home_active=bool(home.active_requests),
            )
            if phase is StopPhase.ENDED:
                # A request that is read from now on would be cut off.
                self._parts.board.stop.write(plan.ending_at(monotonic_ms()))
                self._log_end(plan)
                self._answer_unfinished(plan)
                return
            if phase is not StopPhase.SERVING:
                home.finish_running()
            if phase is StopPhase.CLOSED and not self._closed_ms:
                self._callers.close()
                self._closed_ms = monotonic_ms()
            gevent.sleep(seconds(_DRAIN_POLL_MS))

    def _answer_unfinished(self, plan: StopPlan) -> None:
        """End what is in progress, and wait until its callers know.

        :param plan: schedule of the stop.
        """
        self._hand_over_answers()
        self._parts.attempts.fail_all()
        polls = count()
        while self._callers.active and (
            next(polls) < _CATCH_UP_POLLS
            or monotonic_ms() < plan.answered_by_ms
        ):
            gevent.sleep(seconds(_DRAIN_POLL_MS))

    def _hand_over_answers(self) -> None:
        """Leave the rest of the answers to the kernel, as far as it fits."""
        if not self._callers.is_answering:
            return
        self._callers.widen_buffers()
        ends_at_ms = monotonic_ms() + _HAND_OVER_MS
        while self._callers.is_answering and monotonic_ms() < ends_at_ms:
            gevent.sleep(seconds(_DRAIN_POLL_MS))

    def _log_end(self, plan: StopPlan) -> None:
        requests = self._callers.in_progress
        log_stop_end(plan, len(requests), len(self._parts.attempts))
        for request in requests:
            log_unfinished(request, plan)

    def _plan(self, began_at_ms: float) -> StopPlan:
        settings = self._parts.settings
        return StopPlan(
            began_at_ms=began_at_ms,
            closes_at_ms=began_at_ms + settings.accept_while_leaving_ms,
            ends_at_ms=began_at_ms + settings.drain_ms,
        )

    def _is_entry_active(self) -> bool:
        """Return whether a caller's request is in progress or may arrive."""
        if self._callers.active:
            return True
        if len(self._parts.attempts):
            # The run of a ticket goes on without its caller, or for a caller
            # of another node.
            return True
        since_close_ms = monotonic_ms() - self._closed_ms
        return (
            self._callers.connections > 0
            and since_close_ms < self._parts.settings.drain_idle_ms
        )


def _catch_up(due_ms: float) -> None:
    """Let the event loop run before a pause of the process is acted on.

    Timers fire before connections and answers that came during it are read.

    :param due_ms: monotonic time at which this should have been called.
    """
    if monotonic_ms() - due_ms < _MAX_POLL_DELAY_MS:
        return
    for _ in range(_CATCH_UP_POLLS):
        gevent.sleep(seconds(_DRAIN_POLL_MS))


__all__ = ('Shutdown', 'StopRequest')
