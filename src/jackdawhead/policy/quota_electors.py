"""Which nodes decide who grants the credit of an organisation.

Load pattern: VMs come, go and fail many at once. A change of the list moves few
organisations and costs one look-up for each, however long the list.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import Final

import xxhash

from .quota_terms import ELECTORS

_POINTS_PER_NODE: Final = 8


class ElectorRing:
    """Consistent hashing (Karger et al.) of organisations to nodes.

    :param nodes: VMs of the nodes.
    """

    def __init__(self, nodes: tuple[str, ...]) -> None:
        self.nodes = nodes
        points = sorted(
            (_position(f'{node}|{number}'), node)
            for node in nodes
            for number in range(_POINTS_PER_NODE)
        )
        self._positions = [position for position, _ in points]
        self._nodes = [node for _, node in points]
        self._electors: dict[str, tuple[str, ...]] = {}

    def electors(self, organisation: str) -> tuple[str, ...]:
        """Return the electors of an organisation, the preferred one first.

        :param organisation: its name.
        """
        found = self._electors.get(organisation)
        if found is None:
            found = self._find(organisation)
            self._electors[organisation] = found
        return found

    def rank_of(self, node: str, organisation: str) -> int:
        """Return the rank of a node among all, for one organisation.

        :param node: VM of the node.
        :param organisation: name of the organisation.
        """
        own = _position(f'{organisation}|{node}')
        return sum(
            _position(f'{organisation}|{other}') < own for other in self.nodes
        )

    def _find(self, organisation: str) -> tuple[str, ...]:
        count = min(ELECTORS, len(self.nodes))
        start = bisect_left(self._positions, _position(organisation))
        found: dict[str, None] = {}
        while len(found) < count:
            found[self._nodes[start % len(self._nodes)]] = None
            start += 1
        return tuple(found)


def _position(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


__all__ = ('ElectorRing',)
