"""Puts the list of VMs together from upstreams that are listed one by one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream as it is listed.

    :param instance: identity of its present start.
    :param cold_ms: time for which it is still slow after its start.
    :param leaving: whether it takes no new work.
    :param born_ms: time of its start in milliseconds since 1970, 0 if
        unknown.
    :param order: grows with each entry; the later of two at one address is
        the one that runs.
    """

    instance: str
    service: str
    zone: str
    ip: str
    port: int
    slots: int
    cold_ms: int
    leaving: bool
    born_ms: int
    order: int


def vm_name(ip: str) -> str:
    """Return the name of a VM that is known by its address only.

    :param ip: its IP number.
    """
    return ip.replace('.', '-')


def compose_vms(
    upstreams: Iterable[ListedUpstream],
    stream_port: int,
) -> list[dict[str, Any]]:
    """Return the list of VMs in the project's own format.

    :param upstreams: all that are listed, in any order.
    :param stream_port: port of the node on each VM.
    """
    vms: dict[str, dict[str, Any]] = {}
    for each in sorted(upstreams, key=_age):
        vm = vms.setdefault(
            each.ip,
            {
                'name': vm_name(each.ip),
                'ip': each.ip,
                'stream_port': stream_port,
                'upstream_ports': {},
                'details': {},
            },
        )
        vm['zone'] = each.zone
        vm['upstream_ports'][each.service] = each.port
        vm['details'][each.service] = {
            'instance': each.instance,
            'born_ms': each.born_ms,
            'slots': each.slots,
            'leaving': each.leaving,
        }
    return [vms[ip] for ip in sorted(vms)]


def _age(upstream: ListedUpstream) -> tuple[int, int, str]:
    return upstream.born_ms, upstream.order, upstream.instance


__all__ = ('ListedUpstream', 'compose_vms', 'vm_name')
