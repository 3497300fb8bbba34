"""Which nodes watch the platform on behalf of their zone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from ..blackboard import VmList

_READERS_PER_ZONE: Final = 2
_MIN_FALLBACK_MS: Final = 20_000
_FALLBACK_PER_NODE_MS: Final = 1000
_FIRST_RETRY_MS: Final = 200
_MAX_DOUBLINGS: Final = 10
# An outage may end for a moment only; two readers a zone are no load.
_MAX_RETRY_MS: Final = 1000
# Nodes that know no list do not know the readers, so all of them ask.
_MAX_UNLISTED_RETRY_MS: Final = 5000


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
    return max(_MIN_FALLBACK_MS, nodes * _FALLBACK_PER_NODE_MS)


def retry_ms(failures: int, vm_list: VmList) -> int:
    """Return how long a reader waits before it asks again, doubled each time.

    :param failures: calls in a row that have failed, from 1.
    :param vm_list: as known here, empty if unknown.
    """
    max_ms = _MAX_RETRY_MS if vm_list.vms else _MAX_UNLISTED_RETRY_MS
    doublings = min(failures - 1, _MAX_DOUBLINGS)
    return min(max_ms, _FIRST_RETRY_MS << doublings)


def _weight(node: str) -> int:
    return xxhash.xxh3_64_intdigest(f'reader|{node}'.encode())


__all__ = ('fallback_ms', 'is_reader', 'retry_ms')
