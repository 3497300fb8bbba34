"""Detects silent paths to homes by pings, before the deadline passes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import gevent

from ...clock import monotonic_ms, seconds
from ...outcome import Outcome
from ...reasons import Reason
from ...wire.messages import Head, Refusal
from .call_state import DEADLINE_GRACE_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from .attempts import Attempt, Channel

_MIN_OVERDUE_MS: Final = 250
_OVERDUE_FACTOR: Final = 8
_PONG_TIMEOUT_MS: Final = 250
_PONG_POLL_INTERVAL_MS: Final = 5
# Requests sent within this time on a path that breaks after the ping are lost.
_VERIFIED_FOR_MS: Final = 300


class PathChecker:
    """Checks by pings whether homes still answer.

    :param on_silent: called with the VM of a home that did not answer a ping
        in time.
    """

    def __init__(self, on_silent: Callable[[str], None]) -> None:
        self._on_silent = on_silent
        self._being_checked: set[str] = set()

    def is_responsive(self, channel: Channel) -> bool:
        """Return whether a home answers a ping in time; report it if not.

        :param channel: channel to the home.
        """
        serial = channel.ping()
        # Polls are counted instead of time: while this process is paused,
        # time passes, but an answer that has arrived is not processed.
        for _ in range(_PONG_TIMEOUT_MS // _PONG_POLL_INTERVAL_MS):
            gevent.sleep(seconds(_PONG_POLL_INTERVAL_MS))
            if channel.has_pong(serial):
                return True
        self._on_silent(channel.vm)
        return False

    def is_verified(self, channel: Channel) -> bool:
        """Return whether a home has answered a recent ping or answers one now.

        Work that is not idempotent cannot be retried after it was sent on a
        silent path, so the path is checked before the work is sent, unless
        the home has answered a ping just before.

        :param channel: channel to the home.
        """
        age_ms = monotonic_ms() - channel.last_pong_at_ms
        return age_ms < _VERIFIED_FOR_MS or self.is_responsive(channel)

    def check_in_background(self, channel: Channel) -> None:
        """Check a path without delaying the request.

        :param channel: channel to a home; one check of it runs at a time.
        """
        if channel.vm not in self._being_checked:
            self._being_checked.add(channel.vm)
            gevent.spawn(self._check, channel)

    def first_message(
        self,
        attempt: Attempt,
        run_ms: float,
        left_ms: float,
    ) -> Head | Refusal | None:
        """Return the head or the refusal, or nothing on timeout.

        When the answer is overdue, the path is checked. If it is silent, a
        refusal with the reason ``peer-silent`` is returned.

        :param attempt: attempt of an idempotent request.
        :param run_ms: expected run time.
        :param left_ms: time until the deadline of the request.
        """
        ends_ms = monotonic_ms() + left_ms
        message = attempt.next_message(min(overdue_after_ms(run_ms), left_ms))
        if message is not None:
            return message
        if monotonic_ms() < ends_ms and not self.is_responsive(attempt.channel):
            return silent_path_refusal(attempt)
        return attempt.next_message(
            ends_ms - monotonic_ms() + DEADLINE_GRACE_MS
        )

    def _check(self, channel: Channel) -> None:
        self.is_responsive(channel)
        self._being_checked.discard(channel.vm)


def overdue_after_ms(run_ms: float) -> float:
    """Return the time, in milliseconds, after which an answer is overdue.

    :param run_ms: expected run time of the work.
    """
    return max(_MIN_OVERDUE_MS, _OVERDUE_FACTOR * run_ms)


def silent_path_refusal(attempt: Attempt) -> Refusal:
    """Return the refusal that ends an attempt on a silent path.

    :param attempt: attempt that is given up.
    """
    return Refusal(
        attempt.request_id, Outcome.UNKNOWN.value, Reason.PEER_SILENT.value, 0
    )


__all__ = ('PathChecker', 'overdue_after_ms', 'silent_path_refusal')
