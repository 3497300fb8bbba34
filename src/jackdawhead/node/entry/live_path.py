"""Gives up a path that has gone silent, before the deadline passes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ...clock import monotonic_ms, seconds
from ...outcome import Outcome
from ...reasons import Reason
from ...wire.messages import Head, Refusal

if TYPE_CHECKING:
    from .attempts import Attempt

_MIN_PATIENCE_MS: Final = 500
_PATIENCE_FACTOR: Final = 8
_PONG_MS: Final = 250
_PONG_POLL_MS: Final = 10
_GRACE_MS: Final = 50


def await_on_live_path(
    attempt: Attempt,
    run_ms: float,
    left_ms: float,
) -> Head | Refusal | None:
    """Return the head or the refusal, or nothing when time is up.

    When the answer is overdue, the home is asked for a sign of life. If it
    gives none, a refusal with the reason ``peer-silent`` is returned.

    :param attempt: of idempotent work.
    :param run_ms: expected run time.
    :param left_ms: time left for the request.
    """
    ends_ms = monotonic_ms() + left_ms
    patience_ms = max(_MIN_PATIENCE_MS, _PATIENCE_FACTOR * run_ms)
    first = attempt.first(min(patience_ms, left_ms))
    if first is not None:
        return first
    if monotonic_ms() < ends_ms and not _answers_ping(attempt):
        return _silent(attempt)
    return attempt.first(ends_ms - monotonic_ms() + _GRACE_MS)


def _answers_ping(attempt: Attempt) -> bool:
    channel = attempt.channel
    asked_ms = monotonic_ms()
    channel.ping()
    while channel.heard_at_ms < asked_ms:
        if monotonic_ms() - asked_ms > _PONG_MS:
            return False
        gevent.sleep(seconds(_PONG_POLL_MS))
    return True


def _silent(attempt: Attempt) -> Refusal:
    return Refusal(
        attempt.request_id, Outcome.UNKNOWN.value, Reason.PEER_SILENT.value, 0
    )


__all__ = ('await_on_live_path',)
