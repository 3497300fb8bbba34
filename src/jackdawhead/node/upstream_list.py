"""Puts the list of VMs together from upstreams that are listed one by one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..policy.removals import RemovalHold


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


class ListedUpstreams:
    """All upstreams that are listed, by the key of their entry.

    :param stream_port: port of the node on each VM.
    :param hold: tells when a missing entry means that an upstream is gone.
    """

    def __init__(self, stream_port: int, hold: RemovalHold) -> None:
        self.hold = hold
        self._stream_port = stream_port
        self._upstreams: dict[str, ListedUpstream] = {}
        self._removed: set[str] = set()
        self._vms: list[dict[str, Any]] | None = None
        self._has_changed = True

    def put(self, key: str, upstream: ListedUpstream) -> str:
        """Take in an entry.

        :param key: of the entry.
        :param upstream: what it says.
        :returns: why it is refused, or nothing.
        """
        known = self._upstreams.get(key)
        if known is not None and upstream.born_ms < known.born_ms:
            return f'start {upstream.born_ms} is before {known.born_ms}'
        self._removed.discard(key)
        self._upstreams[key] = upstream
        self._has_changed = self._has_changed or upstream != known
        return ''

    def remove(self, key: str) -> None:
        """Take in that an entry is gone.

        :param key: of the entry.
        """
        if key in self._upstreams:
            self._removed.add(key)

    def keep_only(self, keys: set[str]) -> None:
        """Take in that there are no other entries than these.

        :param keys: of the entries.
        """
        self._removed.update(self._upstreams.keys() - keys)

    def changed_vms(self, now_ms: float) -> list[dict[str, Any]] | None:
        """Return the list of VMs, or nothing if it is as it was.

        :param now_ms: monotonic time.
        """
        if not self.hold.left_ms(now_ms):
            for gone in self._removed:
                self._upstreams.pop(gone)
                self._has_changed = True
            self._removed.clear()
        if not self._has_changed:
            return None
        self._has_changed = False
        vms = compose_vms(self._upstreams.values(), self._stream_port)
        if vms == self._vms:
            return None
        self._vms = vms
        return vms


def _age(upstream: ListedUpstream) -> tuple[int, int, str]:
    return upstream.born_ms, upstream.order, upstream.instance


__all__ = ('ListedUpstream', 'ListedUpstreams', 'compose_vms', 'vm_name')
