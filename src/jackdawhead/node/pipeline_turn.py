"""Turns of connections whose next request has always been received."""

from __future__ import annotations

from typing import Final

import gevent

_TURN_S: Final = 0.0005


class PipelineTurn:
    """Lets others run between requests that a caller sends without waiting.

    A connection on which the next request has always been received already
    would otherwise never wait.
    """

    def __init__(self) -> None:
        self._loop = gevent.get_hub().loop
        self._iteration = -1

    def take(self) -> None:
        """Begin a request; yield if the loop has not looked at sockets since.

        The loop counts its looks at sockets as iterations.
        """
        if self._loop.iteration == self._iteration:
            gevent.sleep(_TURN_S)
        self._iteration = self._loop.iteration


__all__ = ('PipelineTurn',)
