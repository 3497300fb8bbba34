"""Completes a VM list read after an outage with the list in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from ..blackboard import Vm, VmList


def add_unlisted(
    vms: list[dict[str, Any]], in_force: VmList
) -> tuple[list[dict[str, Any]], bool]:
    """Add the upstreams of the list in force that the platform doesn't list.

    After an outage their entries may only have expired. A node that has just
    started knows them from other nodes alone.

    :param vms: VMs of the upstreams that the platform lists.
    :param in_force: VM list that the node follows.
    :returns: the list, and whether any upstream was added.
    """
    by_ip = {vm['ip']: vm for vm in vms}
    has_unlisted = False
    for vm in in_force.vms.values():
        listed = by_ip.setdefault(vm.ip, _without_upstreams(vm))
        for service in vm.upstream_ports.keys() - listed['upstream_ports']:
            has_unlisted = True
            details = vm.upstream_details(service)
            listed['upstream_ports'][service] = vm.upstream_ports[service]
            listed['details'][service] = msgspec.to_builtins(details)
    return [by_ip[ip] for ip in sorted(by_ip)], has_unlisted


def _without_upstreams(vm: Vm) -> dict[str, Any]:
    return {
        'name': vm.name,
        'ip': vm.ip,
        'stream_port': vm.stream_port,
        'upstream_ports': {},
        'details': {},
        'zone': vm.zone,
    }


__all__ = ('add_unlisted',)
