"""Assignment of upstreams to their homes, the nodes that own their slots."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..blackboard import Vm, VmList

_POINTS_PER_NODE: Final = 64


class HomeMap:
    """Assigns each upstream to a node, from the VM list alone.

    The home of an upstream is the node on its own VM. If that VM runs no node,
    the home is a node of the same zone, chosen by consistent hashing (Karger
    et al.). A change of the VM list therefore moves few upstreams, and the
    cost is one lookup for each VM, however long the list.

    :param vm_list: VM list of the platform.
    """

    def __init__(self, vm_list: VmList) -> None:
        self._vms = vm_list.vms
        self._rings: dict[str, _Ring | None] = {}

    def home_of(self, vm: Vm) -> str:
        """Return the home of the upstreams on a VM.

        :param vm: VM of the upstreams.
        :returns: name of the home's VM, empty if the zone has no node.
        """
        if vm.stream_port:
            return vm.name
        if vm.zone not in self._rings:
            self._rings[vm.zone] = self._ring_of(vm.zone)
        ring = self._rings[vm.zone]
        return ring.node_of(vm.name) if ring else ''

    def upstreams_of(self, home: str) -> Iterator[tuple[Vm, str, int]]:
        """Yield VM, service and port of each upstream that a node is home of.

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
    """Hash ring of nodes.

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
        """Return the node at the first point from a subject's hash onwards."""
        index = bisect_left(self._positions, _position(subject))
        return self._nodes[index % len(self._nodes)]


def _position(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


__all__ = ('HomeMap',)
