"""Whom an entry asks for credit, and for how much.

Load pattern: the holder of the mandate dies, is cut off or is slow, and other
electors know more than this entry.
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
    """Which elector is asked next."""

    def __init__(self) -> None:
        self._holder = ''
        self._lost_holder = ''
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

    def next_target(self, electors: tuple[str, ...], now_ms: float) -> str:
        """Return the holder if it is known, or else the next elector.

        :param electors: electors of the organisation, in their order.
        :param now_ms: monotonic time.
        :returns: empty if all were tried or are lost.
        """
        order = (self._holder, *electors) if self._holder else electors
        for vm in order:
            is_lost = now_ms < self._lost_until_ms.get(vm, -inf)
            if vm not in self._tried and not is_lost:
                self._tried.add(vm)
                return vm
        return ''

    def lost_holder(self, now_ms: float) -> str:
        """Return the holder that could not be reached lately, if any.

        :param now_ms: monotonic time.
        """
        until_ms = self._lost_until_ms.get(self._lost_holder, -inf)
        return self._lost_holder if now_ms < until_ms else ''

    def note_answer(self, source: str, holder: str, now_ms: float) -> None:
        """Record who has answered and whom it has named as the holder.

        :param source: VM that has answered.
        :param holder: holder that it has named, empty if it knows none.
        :param now_ms: monotonic time.
        """
        self._lost_until_ms.pop(source, None)
        if now_ms < self._lost_until_ms.get(holder, -inf):
            self._lost_holder = holder
        else:
            self._holder = holder

    def note_lost(self, vm: str, now_ms: float) -> None:
        """Ask a node again only after a pause.

        :param vm: VM of the node.
        :param now_ms: monotonic time.
        """
        self._lost_until_ms[vm] = now_ms + _LOST_MS
        if vm == self._holder:
            self._holder = ''
            self._lost_holder = vm


__all__ = ('AskRoute', 'Demand')
