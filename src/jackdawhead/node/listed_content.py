"""Content of VM lists in jackdawhead's own format, as the platform gives it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..blackboard import UpstreamDetails, Vm, VmList
    from .upstream_list import ListedUpstream


def vm_name(ip: str) -> str:
    """Return a name for a VM that is known only by its address.

    :param ip: IP address of the VM.
    """
    return ip.replace('.', '-')


def compose_vms(
    upstreams: Iterable[ListedUpstream],
    stream_port: int,
) -> list[dict[str, Any]]:
    """Build the VM list in jackdawhead's own format.

    :param upstreams: all listed upstreams; of two at one address, the later
        one of a service is used.
    :param stream_port: stream port of the node on each VM.
    """
    vms: dict[str, dict[str, Any]] = {}
    for upstream in upstreams:
        vm = vms.setdefault(
            upstream.ip,
            {
                'name': vm_name(upstream.ip),
                'ip': upstream.ip,
                'stream_port': stream_port,
                'upstream_ports': {},
                'details': {},
            },
        )
        vm['zone'] = upstream.zone
        vm['upstream_ports'][upstream.service] = upstream.port
        vm['details'][upstream.service] = {
            'instance': upstream.instance,
            'born_ms': upstream.born_ms,
            'slots': upstream.slots,
            'leaving': upstream.leaving,
        }
    return [vms[ip] for ip in sorted(vms)]


def vms_in(vm_list: VmList) -> list[dict[str, Any]]:
    """Return the VMs of a list in jackdawhead's own format, by address.

    :param vm_list: VM list that a node follows.
    """
    return add_unlisted([], vm_list)[0]


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
            listed['details'][service] = _plain(details)
    return [by_ip[ip] for ip in sorted(by_ip)], has_unlisted


def _plain(details: UpstreamDetails) -> dict[str, Any]:
    return {
        'instance': details.instance,
        'born_ms': details.born_ms,
        'slots': details.slots,
        'leaving': details.leaving,
    }


def _without_upstreams(vm: Vm) -> dict[str, Any]:
    return {
        'name': vm.name,
        'ip': vm.ip,
        'stream_port': vm.stream_port,
        'upstream_ports': {},
        'details': {},
        'zone': vm.zone,
    }


__all__ = ('add_unlisted', 'compose_vms', 'vm_name', 'vms_in')
