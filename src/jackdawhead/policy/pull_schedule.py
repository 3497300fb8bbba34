"""Timing of the requests by which a node fetches updates that it lacks.

Load pattern: hundreds of nodes learn of one change at about the same time. If
each pushed the update to all its neighbours, each would receive it dozens of
times, and bytes and CPU time would grow with the square of the fleet. Nodes
therefore announce versions only. A node that is behind requests the update from
one node at a time, preferably in its own availability zone.
"""

from __future__ import annotations

from math import inf
from typing import Final

# After this time without an answer, another node may be asked.
_ANSWER_TIMEOUT_MS: Final = 500


class PullSchedule:
    """Requests of one node for one kind of update.

    :param zone_propagation_ms: time for an update to spread within the node's
        own availability zone, before a node of another zone is asked for it.
    """

    def __init__(self, zone_propagation_ms: float) -> None:
        self._zone_propagation_ms = zone_propagation_ms
        self._awaits_answer_until_ms = -inf
        self._waits_for_zone_until_ms = -inf

    def pull_delay_ms(
        self, now_ms: float, *, is_same_zone: bool
    ) -> float | None:
        """Return the delay before asking a node that announces a newer version.

        :param now_ms: monotonic time.
        :param is_same_zone: whether the announcing node is in this zone.
        :returns: delay in milliseconds, None if another request is in flight or
            planned.
        """
        if now_ms < self._awaits_answer_until_ms:
            return None
        if is_same_zone:
            return 0
        if now_ms < self._waits_for_zone_until_ms:
            return None
        self._waits_for_zone_until_ms = now_ms + self._zone_propagation_ms
        return self._zone_propagation_ms

    def try_begin_pull(self, now_ms: float) -> bool:
        """Start a request, unless one is in flight.

        :param now_ms: monotonic time.
        :returns: whether the request may be sent.
        """
        if now_ms < self._awaits_answer_until_ms:
            return False
        self._awaits_answer_until_ms = now_ms + _ANSWER_TIMEOUT_MS
        return True

    def note_update(self) -> None:
        """Record that an update has arrived, which allows the next request."""
        self._awaits_answer_until_ms = -inf


__all__ = ('PullSchedule',)
