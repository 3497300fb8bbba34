"""Overlay network of the links over which nodes spread updates."""

from __future__ import annotations

import xxhash


def gossip_peers(own: str, nodes: tuple[str, ...]) -> tuple[str, ...]:
    """Return the nodes at distances 1, 2, 4, ... on a hash ring.

    As in Chord (Stoica et al.), the number of links per node grows with the
    logarithm of the fleet, and an update reaches all nodes in as many steps.

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
