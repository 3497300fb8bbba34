"""Which nodes grant the credit of an organisation.

Load pattern: VMs come, go and fail many at once. A change of the list moves few
organisations.
"""

from __future__ import annotations

from heapq import nsmallest
from typing import Final

import xxhash

_GRANTERS: Final = 2


class GranterRanks:
    """Rendezvous hashing of organisations to their owner and deputy.

    :param nodes: VMs of the nodes.
    """

    def __init__(self, nodes: tuple[str, ...]) -> None:
        self.nodes = nodes
        self._granters: dict[str, tuple[str, ...]] = {}

    def granters(self, organisation: str) -> tuple[str, ...]:
        """Return the owner and the deputy of an organisation.

        :param organisation: its name.
        """
        found = self._granters.get(organisation)
        if found is None:
            found = tuple(
                nsmallest(
                    _GRANTERS,
                    self.nodes,
                    key=lambda node: _weight(organisation, node),
                )
            )
            self._granters[organisation] = found
        return found


def _weight(organisation: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{organisation}|{node}'.encode())


__all__ = ('GranterRanks',)
