"""Which nodes a node keeps links to for news."""

from __future__ import annotations

import xxhash


def gossip_peers(own: str, nodes: tuple[str, ...]) -> tuple[str, ...]:
    """Return the nodes at distances 1, 2, 4, ... on a ring of hashes.

    As in Chord (Stoica et al.), the number of links grows with the
    logarithm of the fleet, and news reach all nodes in as many steps.

    :param own: VM of this node.
    :param nodes: VMs of all listed nodes.
    """
    ring = sorted({*nodes, own}, key=_position)
    start = ring.index(own)
    peers = []
    distance = 1
    while distance < len(ring):
        peers.append(ring[(start + distance) % len(ring)])
        distance *= 2
    return tuple(peers)


def _position(node: str) -> int:
    return xxhash.xxh3_64_intdigest(node.encode())


__all__ = ('gossip_peers',)
