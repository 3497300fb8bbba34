"""Chooses the callers' connections to close when a node holds too much.

Load pattern: thousands of connections that send nothing, trickle heads or
bodies, or leave answers unread. Each is within the limits of one request, all
of them together are not within the memory and descriptors of the VM.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

# Cost of a connection besides the bytes that it holds: its greenlet, its
# handler, its read buffer and a part of the buffers of the kernel.
CONNECTION_BYTES: Final = 65_536
# Time that an incomplete request may take for each byte: 1000 bytes a second
# are less than any link carries.
_MS_PER_BYTE: Final = 1.0
# A caller that is this much behind is slow; others may just have connected.
_SLOW_MS: Final = 1000
# Share of the bound that is freed at once, so that the search for connections
# to close is rare.
_HEADROOM: Final = 0.03
_WHOLE_PERCENT: Final = 100


class CallerPhase(Enum):
    """What a node waits for on a caller's connection."""

    SILENT = 'silent'
    HEAD = 'head'
    BODY = 'body'
    RUNNING = 'running'
    ANSWER = 'answer'
    IDLE = 'idle'
    CLOSING = 'closing'


_INCOMPLETE: Final = frozenset(
    (CallerPhase.SILENT, CallerPhase.HEAD, CallerPhase.BODY)
)


@dataclass(frozen=True, slots=True)
class CallerView:
    """A caller's connection.

    :param address: IP address of the caller.
    :param waited_ms: time since the phase began, or since the caller last
        took a part of its answer.
    :param given_bytes: bytes received in this phase.
    :param held_bytes: bytes held for it.
    """

    address: str
    phase: CallerPhase
    waited_ms: float
    given_bytes: int = 0
    held_bytes: int = 0

    @property
    def cost_bytes(self) -> int:
        """Memory that closing this connection frees."""
        return CONNECTION_BYTES + self.held_bytes

    @property
    def behind_ms(self) -> float:
        """Time by which the caller is behind a slow link."""
        return self.waited_ms - self.given_bytes * _MS_PER_BYTE

    @property
    def rank(self) -> tuple[int, float] | None:
        """Order of closing, or nothing if it may not be closed.

        A request that was read completely gets its answer, unless the caller
        does not read that. Idle connections go before callers that may just
        have connected.
        """
        is_slow = self.behind_ms >= _SLOW_MS
        if self.phase is CallerPhase.CLOSING:
            return (0, -math.inf)
        if self.phase in _INCOMPLETE:
            return (0 if is_slow else 3, -self.behind_ms)
        if self.phase is CallerPhase.IDLE:
            return (2, -self.waited_ms)
        if self.phase is CallerPhase.ANSWER and self.waited_ms >= _SLOW_MS:
            return (1, -self.waited_ms)
        return None


@dataclass(frozen=True, slots=True)
class CallerUse:
    """What callers use together, or the most that they may use."""

    connections: int
    held_bytes: int

    def exceeds(self, bounds: CallerUse) -> bool:
        """Return whether this is more than some bounds."""
        return (
            self.connections > bounds.connections
            or self.held_bytes > bounds.held_bytes
        )

    def share(self, share: float) -> CallerUse:
        """Return a share of this.

        :param share: 0 to 1.
        """
        return CallerUse(
            round(self.connections * share), round(self.held_bytes * share)
        )

    def without_connections(self, count: int) -> CallerUse:
        """Return what is left beside some empty connections."""
        return CallerUse(
            self.connections - count,
            self.held_bytes - count * CONNECTION_BYTES,
        )

    def without(self, view: CallerView) -> CallerUse:
        """Return what is used after a connection was closed."""
        return CallerUse(
            self.connections - 1, self.held_bytes - view.cost_bytes
        )


def use_of(views: Iterable[CallerView]) -> CallerUse:
    """Return what some connections use together.

    :param views: the connections.
    """
    costs = [view.cost_bytes for view in views]
    return CallerUse(len(costs), sum(costs))


class CallerBounds:
    """Bounds of a process on what it holds for its callers.

    :param most: bounds of all callers together.
    :param address_percent: share of them for callers of one address.
    """

    def __init__(self, most: CallerUse, address_percent: int) -> None:
        self.most = most
        share = most.share(address_percent / _WHOLE_PERCENT)
        self._of_address = replace(share, connections=share.connections or 1)

    def is_over(self, views: Sequence[CallerView]) -> bool:
        """Return whether all callers together exceed a bound.

        :param views: all open connections.
        """
        return use_of(views).exceeds(self.most)

    def to_close(
        self, views: Sequence[CallerView], newcomers: int = 0
    ) -> list[int]:
        """Return the positions of the connections to close.

        :param views: all open connections.
        :param newcomers: connections that are about to begin.
        """
        closed = self._crowded(views)
        most = self.most.without_connections(newcomers)
        closed.update(_excess(views, closed, most))
        return sorted(closed)

    def _crowded(self, views: Sequence[CallerView]) -> set[int]:
        """Return connections of addresses that exceed their share."""
        if self._of_address == self.most:
            return set()
        closed: set[int] = set()
        for address in Counter(view.address for view in views):
            others = {
                position
                for position, view in enumerate(views)
                if view.address != address
            }
            closed.update(_excess(views, others, self._of_address))
        return closed


def _excess(
    views: Sequence[CallerView], left_out: set[int], most: CallerUse
) -> set[int]:
    """Return the connections to close until a bound is kept."""
    candidates = [
        (position, view)
        for position, view in enumerate(views)
        if position not in left_out
    ]
    use = use_of(view for _, view in candidates)
    if not use.exceeds(most):
        return set()
    ranked = sorted(
        (view.rank, position)
        for position, view in candidates
        if view.rank is not None
    )
    closed: set[int] = set()
    roomy = most.share(1 - _HEADROOM)
    for _, position in ranked:
        if not use.exceeds(roomy):
            break
        closed.add(position)
        use = use.without(views[position])
    return closed


__all__ = (
    'CONNECTION_BYTES',
    'CallerBounds',
    'CallerPhase',
    'CallerUse',
    'CallerView',
    'use_of',
)
