"""Which node owns the slots of which upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..blackboard import Vm, VmList


class HomeMap:
    """Assigns each upstream to a node by the VM list alone.

    The node on the upstream's own VM owns it. An upstream whose VM runs no
    node is assigned to one of its zone by rendezvous hashing (Thaler and
    Ravishankar), so that a change of the list moves few of them.

    :param vm_list: the platform's list.
    """

    def __init__(self, vm_list: VmList) -> None:
        self._vms = vm_list.vms
        self._nodes: dict[str, list[str]] = {}
        for vm in vm_list.vms.values():
            if vm.stream_port and not vm.leaving:
                self._nodes.setdefault(vm.zone, []).append(vm.name)

    def home_of(self, vm: Vm) -> str:
        """Return the VM whose node owns the upstreams of a VM.

        :param vm: VM of the upstreams.
        :returns: name of a VM, empty if the zone has no node.
        """
        if vm.stream_port:
            return vm.name
        nodes = self._nodes.get(vm.zone, [])
        return max(nodes, key=lambda node: _weight(node, vm.name), default='')

    def upstreams_of(self, home: str) -> Iterator[tuple[Vm, str, int]]:
        """Yield VM, service and port of each upstream that a node owns.

        :param home: VM of the node.
        """
        for vm in self._vms.values():
            if vm.upstream_ports and self.home_of(vm) == home:
                for service, port in vm.upstream_ports.items():
                    yield vm, service, port


def _weight(node: str, subject: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{node}|{subject}'.encode())


__all__ = ('HomeMap',)
