"""Tells early that a watch of the store will not be answered in time.

A watch without a change is answered only when its wait is over. Until then, a
store that no longer answers this node looks like one without changes, and one
that has come back from an older copy of its data like the one before. Cheap
reads beside the watch tell them apart.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent
from returns.result import Failure, Result, Success

from ..clock import monotonic_ms, seconds
from .hedged_call import call_hedged
from .store_types import StoreFailure, generation_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from .store_types import Snapshot, StoreAnswer

    Call = Callable[[], Result[StoreAnswer, StoreFailure]]

CHECK_INTERVAL_MS: Final = 600
# Each check makes a second call after this time, as an answer may be lost.
_OVERDUE_MS: Final = 250
_LIMIT_MS: Final = 500
_RETRY_DELAY_MS: Final = 100
# A check that took longer was delayed by a pause of this process.
_MAX_DELAY_MS: Final = 150


class ReachCheck:
    """Checks of the store while a watch waits.

    :param call: a read that costs the store little.

    The attribute ``on_silence`` is called when a check is not answered.
    """

    def __init__(self, call: Call) -> None:
        self._call = call
        self.on_silence: Callable[[], None] = lambda: None

    def run(self, generation: int) -> Result[Snapshot, StoreFailure]:
        """Check until the watch is of no use any more.

        :param generation: generation that the watch belongs to.
        :returns: why it is of no use, with the generation that a check has
            shown.
        """
        while True:
            gevent.sleep(seconds(CHECK_INTERVAL_MS))
            began_at_ms = monotonic_ms()
            result = self._check()
            shown = generation_of(result)
            if shown > generation:
                cause = 'the platform has come back from an older copy'
                return Failure(StoreFailure(cause, generation=shown))
            took_ms = monotonic_ms() - began_at_ms
            if (
                isinstance(result, Success)
                or took_ms > _LIMIT_MS + _MAX_DELAY_MS
            ):
                continue
            self.on_silence()
            return Failure(StoreFailure('the platform is silent'))

    def _check(self) -> Result[StoreAnswer, StoreFailure]:
        """Call the store until it answers, for a short time."""
        result: Result[StoreAnswer, StoreFailure] = Failure(
            StoreFailure('no answer')
        )
        with gevent.Timeout(seconds(_LIMIT_MS), False):
            result = call_hedged(self._call, self._call, _OVERDUE_MS)
            if isinstance(result, Failure):
                gevent.sleep(seconds(_RETRY_DELAY_MS))
                result = self._call()
        return result


__all__ = ('CHECK_INTERVAL_MS', 'ReachCheck')
