"""Which node owns the slots of which upstream."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..blackboard import Vm, VmList

_POINTS_PER_NODE: Final = 64


class HomeMap:
    """Assigns each upstream to a node by the VM list alone.

    The node on the upstream's own VM owns it. An upstream whose VM runs no
    node is assigned to one of its zone by consistent hashing (Karger et
    al.), so that a change of the list moves few of them, and a long list
    takes no more than a look-up for each VM.

    :param vm_list: the platform's list.
    """

    def __init__(self, vm_list: VmList) -> None:
        self._vms = vm_list.vms
        self._rings: dict[str, _Ring | None] = {}

    def home_of(self, vm: Vm) -> str:
        """Return the VM whose node owns the upstreams of a VM.

        :param vm: VM of the upstreams.
        :returns: name of a VM, empty if the zone has no node.
        """
        if vm.stream_port:
            return vm.name
        if vm.zone not in self._rings:
            self._rings[vm.zone] = self._ring_of(vm.zone)
        ring = self._rings[vm.zone]
        return ring.node_of(vm.name) if ring else ''

    def upstreams_of(self, home: str) -> Iterator[tuple[Vm, str, int]]:
        """Yield VM, service and port of each upstream that a node owns.

        :param home: VM of the node.
        """
        for vm in self._vms.values():
            if vm.upstream_ports and self.home_of(vm) == home:
                for service, port in vm.upstream_ports.items():
                    yield vm, service, port

    def _ring_of(self, zone: str) -> _Ring | None:
        nodes = [
            vm.name
            for vm in self._vms.values()
            if vm.zone == zone and vm.stream_port and not vm.leaving
        ]
        return _Ring(nodes) if nodes else None


class _Ring:
    """Points of nodes on a ring of hashes.

    :param nodes: VMs of the nodes, at least one.
    """

    def __init__(self, nodes: list[str]) -> None:
        points = sorted(
            (_position(f'{node}|{number}'), node)
            for node in nodes
            for number in range(_POINTS_PER_NODE)
        )
        self._positions = [position for position, _ in points]
        self._nodes = [node for _, node in points]

    def node_of(self, subject: str) -> str:
        """Return the node of the first point after a subject's position."""
        index = bisect_left(self._positions, _position(subject))
        return self._nodes[index % len(self._nodes)]


def _position(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


__all__ = ('HomeMap',)
