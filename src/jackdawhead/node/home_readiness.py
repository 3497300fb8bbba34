"""Detects when this home can run work for the first time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from gevent.event import Event

from ..clock import monotonic_ms, seconds
from ..logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..blackboard import Blackboard
    from .home.controller import HomeController

_MS_PER_S: Final = 1000


class HomeReadiness:
    """Waits for the configuration and the VM list, whichever comes last.

    Until it has both, a home knows none of its upstreams.

    :param board: source of the configuration and the VM list.
    :param home: upstreams of this home.
    :param on_ready: called once, when the home can run work.
    """

    def __init__(
        self,
        board: Blackboard,
        home: HomeController,
        on_ready: Callable[[], None],
    ) -> None:
        self._board = board
        self._home = home
        self._on_ready = on_ready
        self._created_at_ms = monotonic_ms()
        self._ready = Event()
        board.config.subscribe(lambda _: self._check())
        board.vm_list.subscribe(lambda _: self._check())

    def wait(self, timeout_ms: float) -> None:
        """Wait until the home can run work.

        :param timeout_ms: maximum wait in milliseconds.
        """
        self._ready.wait(seconds(timeout_ms))

    def _check(self) -> None:
        if self._ready.is_set() or not self._board.knows_upstreams:
            return
        self._ready.set()
        log_event(
            'home-ready',
            upstreams=len(self._home.all()),
            after_ms=int(monotonic_ms() - self._created_at_ms),
            processor_ms=int(time.process_time() * _MS_PER_S),
        )
        self._on_ready()


__all__ = ('HomeReadiness',)
