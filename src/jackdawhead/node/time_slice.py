"""Lets other work run while a long computation goes on."""

from __future__ import annotations

from typing import Final

import gevent

from ..clock import monotonic_ms

_SLICE_MS: Final = 5
# A sleep of 0 lets only greenlets run that are ready already: gevent may repeat
# it 50 times before it looks at sockets and timers.
_YIELD_S: Final = 0.0005


class TimeSlice:
    """Yields to the event loop each time a slice of time is used up.

    Call it at short intervals during the computation.
    """

    def __init__(self) -> None:
        self._began_ms = monotonic_ms()

    def __call__(self) -> None:
        """Yield if the slice is over."""
        if monotonic_ms() - self._began_ms < _SLICE_MS:
            return
        gevent.sleep(_YIELD_S)
        self._began_ms = monotonic_ms()


__all__ = ('TimeSlice',)
