"""Which nodes watch the platform on behalf of their zone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from ..blackboard import VmList

_READERS_PER_ZONE: Final = 2
_LEAST_FALLBACK_MS: Final = 20_000
_FALLBACK_PER_NODE_MS: Final = 1000


def is_reader(own: str, zone: str, vm_list: VmList) -> bool:
    """Return whether a node is one of the readers of its zone.

    The readers are chosen by rendezvous hashing over the listed nodes. A
    node that is not listed yet is counted with them.

    :param own: VM of the node.
    :param zone: its zone.
    """
    nodes = [
        vm.name
        for vm in vm_list.vms.values()
        if vm.zone == zone and vm.stream_port and not vm.leaving
    ]
    if not nodes:
        return True
    own_weight = _weight(own)
    heavier = sum(1 for node in nodes if _weight(node) > own_weight)
    return heavier < _READERS_PER_ZONE


def fallback_ms(vm_list: VmList) -> int:
    """Return how long a node that is no reader waits between its calls.

    The wait grows with the fleet, so that all these calls together do not.
    """
    nodes = sum(1 for vm in vm_list.vms.values() if vm.stream_port)
    return max(_LEAST_FALLBACK_MS, nodes * _FALLBACK_PER_NODE_MS)


def _weight(node: str) -> int:
    return xxhash.xxh3_64_intdigest(f'reader|{node}'.encode())


__all__ = ('fallback_ms', 'is_reader')
