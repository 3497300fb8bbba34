"""When a node that is behind asks another one for what it lacks.

Load pattern: hundreds of nodes learn of one change at about the same time. If
each told all its neighbours what is new, each would be told dozens of times,
and bytes and processor time would grow with the square of the fleet. Nodes
announce versions only; one that is behind asks one other node at a time, in
its own availability zone first.
"""

from __future__ import annotations

from math import inf
from typing import Final

# An answer that takes longer is asked for elsewhere.
_ANSWER_TIMEOUT_MS: Final = 500


class CatchUp:
    """Questions of one node about one kind of news.

    :param spread_ms: time that the node's own availability zone has to pass
        the news on, before a node of another zone is asked.
    """

    def __init__(self, spread_ms: float) -> None:
        self._spread_ms = spread_ms
        self._awaits_answer_until_ms = -inf
        self._waits_for_zone_until_ms = -inf

    def delay_ms(self, now_ms: float, *, is_near: bool) -> float | None:
        """Return in what time to ask a node that announces something newer.

        :param now_ms: monotonic time.
        :param is_near: whether that node is in the same zone.
        :returns: nothing if another question is on its way, or planned.
        """
        if now_ms < self._awaits_answer_until_ms:
            return None
        if is_near:
            return 0
        if now_ms < self._waits_for_zone_until_ms:
            return None
        self._waits_for_zone_until_ms = now_ms + self._spread_ms
        return self._spread_ms

    def may_ask(self, now_ms: float) -> bool:
        """Return whether no answer is awaited, and await one from now on.

        :param now_ms: monotonic time.
        """
        if now_ms < self._awaits_answer_until_ms:
            return False
        self._awaits_answer_until_ms = now_ms + _ANSWER_TIMEOUT_MS
        return True

    def note_answer(self) -> None:
        """Take in that something newer has come."""
        self._awaits_answer_until_ms = -inf


__all__ = ('CatchUp',)
