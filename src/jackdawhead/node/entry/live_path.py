"""Gives up a path that has gone silent, before the deadline passes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ...clock import monotonic_ms, seconds
from ...outcome import Outcome
from ...reasons import Reason
from ...wire.messages import Head, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from .attempts import Attempt, Channel

_MIN_PATIENCE_MS: Final = 250
_PATIENCE_FACTOR: Final = 8
_PONG_MS: Final = 250
_PONG_POLL_MS: Final = 5
# A path that is cut just after it was proved costs what was sent meanwhile.
_PROVED_FOR_MS: Final = 300
_GRACE_MS: Final = 50


class LivePaths:
    """Finds out which paths to homes are silent.

    :param on_silent: called with the VM of a home that answered no ping.
    """

    def __init__(self, on_silent: Callable[[str], None]) -> None:
        self._on_silent = on_silent
        self._watched: set[str] = set()

    def is_open(self, channel: Channel) -> bool:
        """Return whether a home answers a ping soon, and tell if not.

        :param channel: way to the home.
        """
        serial = channel.ping()
        # Polls are counted, as time also passes while this process is
        # paused, and the answer may have come meanwhile.
        for _ in range(_PONG_MS // _PONG_POLL_MS):
            gevent.sleep(seconds(_PONG_POLL_MS))
            if channel.has_answered(serial):
                return True
        self._on_silent(channel.vm)
        return False

    def is_proved(self, channel: Channel) -> bool:
        """Return whether both directions of a path have just been open.

        Work that cannot be repeated is lost on a path that has gone silent,
        so the home is asked first, unless it was a moment ago.

        :param channel: way to the home.
        """
        age_ms = monotonic_ms() - channel.proved_at_ms
        return age_ms < _PROVED_FOR_MS or self.is_open(channel)

    def watch(self, channel: Channel) -> None:
        """Check a path without holding up the request.

        :param channel: way to a home; checked once at a time.
        """
        if channel.vm not in self._watched:
            self._watched.add(channel.vm)
            gevent.spawn(self._check, channel)

    def first(
        self,
        attempt: Attempt,
        run_ms: float,
        left_ms: float,
    ) -> Head | Refusal | None:
        """Return the head or the refusal, or nothing when time is up.

        When the answer is overdue, the path is checked. If it is silent, a
        refusal with the reason ``peer-silent`` is returned.

        :param attempt: of idempotent work.
        :param run_ms: expected run time.
        :param left_ms: time left for the request.
        """
        ends_ms = monotonic_ms() + left_ms
        first = attempt.first(min(patience_ms(run_ms), left_ms))
        if first is not None:
            return first
        if monotonic_ms() < ends_ms and not self.is_open(attempt.channel):
            return silent(attempt)
        return attempt.first(ends_ms - monotonic_ms() + _GRACE_MS)

    def _check(self, channel: Channel) -> None:
        self.is_open(channel)
        self._watched.discard(channel.vm)


def patience_ms(run_ms: float) -> float:
    """Return after which time an answer is overdue.

    :param run_ms: expected run time of the work.
    """
    return max(_MIN_PATIENCE_MS, _PATIENCE_FACTOR * run_ms)


def silent(attempt: Attempt) -> Refusal:
    """Return what is told of an attempt on a silent path.

    :param attempt: given up.
    """
    return Refusal(
        attempt.request_id, Outcome.UNKNOWN.value, Reason.PEER_SILENT.value, 0
    )


__all__ = ('LivePaths', 'patience_ms', 'silent')
