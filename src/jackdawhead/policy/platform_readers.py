"""Election of the nodes that watch the platform for their zone, the readers.

Other nodes get updates from each other and poll the platform only rarely,
unless the readers are not heard of (:mod:`.reader_duty`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..blackboard import VmList

READERS_PER_ZONE: Final = 2
# An answer that takes longer may never come, as its connection may have gone
# silent; the call is then made on another one, too.
OVERDUE_ANSWER_MS: Final = 400
_MIN_FALLBACK_MS: Final = 20_000
_FALLBACK_PER_NODE_MS: Final = 1000
_FIRST_RETRY_MS: Final = 200
_MAX_DOUBLINGS: Final = 10
# The platform may be back only for a moment, so readers retry often; two of
# them in each zone put little load on it.
_MAX_RETRY_MS: Final = 1000
# Nodes without a VM list don't know who the readers are, so all of them retry.
_MAX_UNLISTED_RETRY_MS: Final = 5000


def nodes_of(zone: str, vm_list: VmList) -> list[str]:
    """Return the VMs of the nodes that may read the platform for a zone.

    :param zone: the zone.
    :param vm_list: VM list that a node knows.
    """
    return [
        vm.name
        for vm in vm_list.vms.values()
        if vm.zone == zone and vm.stream_port and not vm.leaving
    ]


def nodes_before(own: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes that are preferred to one as readers of their zone.

    They are ranked by rendezvous hashing.

    :param own: VM of the node; it need not be listed yet.
    :param nodes: VMs of the nodes of the zone.
    """
    own_weight = _weight(own)
    return [node for node in nodes if _weight(node) > own_weight]


def is_platform_reader(own: str, zone: str, vm_list: VmList) -> bool:
    """Return whether a node is one of the two readers of its zone.

    Others take over if these two are not heard of.

    :param own: VM of the node.
    :param zone: zone of the node.
    :param vm_list: VM list that the node knows.
    """
    before = nodes_before(own, nodes_of(zone, vm_list))
    return len(before) < READERS_PER_ZONE


def fallback_poll_interval_ms(vm_list: VmList) -> int:
    """Return the interval in which a node that isn't a reader polls.

    The interval grows with the fleet, so that the total rate of these calls
    doesn't.

    :param vm_list: VM list that the node knows.
    """
    nodes = sum(1 for vm in vm_list.vms.values() if vm.stream_port)
    return max(_MIN_FALLBACK_MS, nodes * _FALLBACK_PER_NODE_MS)


def platform_retry_ms(failures: int, vm_list: VmList) -> int:
    """Return a reader's wait before it retries, with exponential backoff.

    :param failures: number of consecutive calls that failed, from 1.
    :param vm_list: VM list that the node knows, empty if none.
    """
    max_ms = _MAX_RETRY_MS if vm_list.vms else _MAX_UNLISTED_RETRY_MS
    doublings = min(failures - 1, _MAX_DOUBLINGS)
    return min(max_ms, _FIRST_RETRY_MS << doublings)


def _weight(node: str) -> int:
    return xxhash.xxh3_64_intdigest(f'reader|{node}'.encode())


__all__ = (
    'OVERDUE_ANSWER_MS',
    'READERS_PER_ZONE',
    'fallback_poll_interval_ms',
    'is_platform_reader',
    'nodes_before',
    'nodes_of',
    'platform_retry_ms',
)
