"""Whom an entry asks for credit, and for how much.

Load pattern: the owner of an organisation dies, is cut off or is slow.
"""

from __future__ import annotations

from math import exp, inf
from typing import Final

_LOST_MS: Final = 1000.0
# Requests of the next moment are asked for together.
_AHEAD_MS: Final = 400.0
_RATE_MEMORY_MS: Final = 1000.0


class Demand:
    """Rate of requests, as an exponentially decaying count."""

    def __init__(self) -> None:
        self._count: float = 0
        self._noted_at_ms = -inf

    def note(self, now_ms: float, number: int = 1) -> None:
        """Count requests.

        :param now_ms: monotonic time.
        :param number: how many.
        """
        self._count = self._count_at(now_ms) + number
        self._noted_at_ms = now_ms

    def expected(self, now_ms: float) -> int:
        """Return the number of requests expected in the next moment.

        :param now_ms: monotonic time.
        """
        return int(self._count_at(now_ms) * _AHEAD_MS / _RATE_MEMORY_MS)

    def interval_ms(self, now_ms: float) -> float:
        """Return the mean time between two requests, infinite if unknown.

        :param now_ms: monotonic time.
        """
        recent = self._count_at(now_ms)
        return _RATE_MEMORY_MS / recent if recent else inf

    def _count_at(self, now_ms: float) -> float:
        elapsed_ms = now_ms - self._noted_at_ms
        return self._count * exp(-elapsed_ms / _RATE_MEMORY_MS)


class AskRoute:
    """Whom to ask next: the owner, or the deputy if the owner is lost."""

    def __init__(self) -> None:
        self._lost_until_ms: dict[str, float] = {}
        self._tried: set[str] = set()

    def begin(self) -> None:
        """Forget who was asked in the last round."""
        self._tried.clear()

    def forget_try(self, vm: str) -> None:
        """Let a node be asked again in this round.

        :param vm: VM of the node.
        """
        self._tried.discard(vm)

    def next_target(self, granters: tuple[str, ...], now_ms: float) -> str:
        """Return the next node to ask.

        :param granters: owner and deputy of the organisation.
        :param now_ms: monotonic time.
        :returns: empty if all were tried or are lost.
        """
        for vm in granters:
            is_lost = now_ms < self._lost_until_ms.get(vm, -inf)
            if vm not in self._tried and not is_lost:
                self._tried.add(vm)
                return vm
        return ''

    def note_answer(self, source: str) -> None:
        """Record that a node has answered.

        :param source: VM of the node.
        """
        self._lost_until_ms.pop(source, None)

    def note_lost(self, vm: str, now_ms: float) -> None:
        """Ask a node again only after a pause.

        :param vm: VM of the node.
        :param now_ms: monotonic time.
        """
        self._lost_until_ms[vm] = now_ms + _LOST_MS


__all__ = ('AskRoute', 'Demand')
