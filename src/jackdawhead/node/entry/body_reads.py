"""Ends the reading of request bodies when no time is left to run them."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import gevent

from ...clock import monotonic_ms, seconds
from ...policy.stopping import fits_before_stop
from ..stop_log import log_stop_read

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...blackboard import Blackboard
    from ...policy.stopping import StopPlan


class NodeStopsError(Exception):
    """The node stops before the request could be run."""


class BodyReads:
    """Tracks the requests that are being read.

    :param board: source of the plan of the stop.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._readers: set[gevent.Greenlet] = set()
        self._timer: Any = None
        board.stop.subscribe(self._note_plan)

    @contextmanager
    def track(self, request_id: str) -> Iterator[None]:
        """Interrupt the current greenlet when its request has become too late.

        :param request_id: identity that the caller gave the request.
        :raises NodeStopsError: inside the block when the time is over, or on
            entry if it already is.
        """
        began_at_ms = monotonic_ms()
        reader = gevent.getcurrent()
        try:
            self._check_time()
            self._readers.add(reader)
            yield
        except NodeStopsError:
            log_stop_read(request_id, self._board.stop.read(), began_at_ms)
            raise
        finally:
            self._readers.discard(reader)

    def _check_time(self) -> None:
        if not fits_before_stop(self._board.stop.read(), 0, monotonic_ms()):
            raise NodeStopsError

    def _note_plan(self, plan: StopPlan | None) -> None:
        if plan is not None:
            left_ms = max(0, plan.refuses_from_ms - monotonic_ms())
            loop = gevent.get_hub().loop
            self._timer = loop.timer(seconds(left_ms))
            self._timer.start(self._interrupt)

    def _interrupt(self) -> None:
        # Thrown from the hub, at once: a scheduled exception could arrive
        # when the request has been read and passed on.
        for reader in tuple(self._readers):
            reader.throw(NodeStopsError)


__all__ = ('BodyReads', 'NodeStopsError')
