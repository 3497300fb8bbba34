"""Builds the VM list from individually listed upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from .listed_types import (
    BornMs,
    ColdMs,
    Instance,
    Ip,
    Name,
    Port,
    Revision,
    Slots,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..policy.removal_grace_period import RemovalGracePeriod


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream, as listed by the platform.

    The types bound what ``msgspec.convert`` accepts.

    :param instance: identity of the current start of the upstream.
    :param slots: number of requests that it runs at once.
    :param cold_ms: remaining time in milliseconds for which it is slow
        after its start.
    :param leaving: whether it accepts no new requests.
    :param born_ms: start time in milliseconds since 1970, 0 if unknown.
    :param created_revision: number that increases with each entry; of two
        upstreams at one address, the later one is running.
    """

    instance: Instance
    service: Name
    zone: Name
    ip: Ip
    port: Port
    slots: Slots
    cold_ms: ColdMs
    leaving: bool
    born_ms: BornMs
    created_revision: Revision


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

    :param upstreams: all listed upstreams, in any order.
    :param stream_port: stream port of the node on each VM.
    """
    vms: dict[str, dict[str, Any]] = {}
    for each in sorted(upstreams, key=_start_order):
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
    """All listed upstreams by the key of their entry.

    :param stream_port: stream port of the node on each VM.
    :param grace_period: delays removals until a missing entry can be trusted.
    """

    def __init__(
        self, stream_port: int, grace_period: RemovalGracePeriod
    ) -> None:
        self.grace_period = grace_period
        self._stream_port = stream_port
        self._upstreams: dict[str, ListedUpstream] = {}
        self._pending_removals: set[str] = set()
        self._vms: list[dict[str, Any]] | None = None
        self._has_changed = True

    def put(self, key: str, upstream: ListedUpstream) -> str:
        """Add or replace an entry.

        :param key: key of the entry.
        :param upstream: the listed upstream.
        :returns: why the entry is refused, empty if it is accepted.
        """
        known = self._upstreams.get(key)
        if known is not None and upstream.born_ms < known.born_ms:
            return f'start {upstream.born_ms} is before {known.born_ms}'
        self._pending_removals.discard(key)
        self._upstreams[key] = upstream
        self._has_changed = self._has_changed or upstream != known
        return ''

    def remove(self, key: str) -> None:
        """Schedule the removal of an entry.

        :param key: key of the entry.
        """
        if key in self._upstreams:
            self._pending_removals.add(key)

    def keep_only(self, keys: set[str]) -> None:
        """Schedule the removal of all entries except the given ones.

        :param keys: keys of the entries to keep.
        """
        self._pending_removals.update(self._upstreams.keys() - keys)

    def changed_vms(self, now_ms: float) -> list[dict[str, Any]] | None:
        """Apply due removals and return the VM list if it has changed.

        :param now_ms: monotonic time in milliseconds.
        :returns: the list, or ``None`` if it is unchanged.
        """
        if not self.grace_period.remaining_ms(now_ms):
            for gone in self._pending_removals:
                self._upstreams.pop(gone)
                self._has_changed = True
            self._pending_removals.clear()
        if not self._has_changed:
            return None
        self._has_changed = False
        vms = compose_vms(self._upstreams.values(), self._stream_port)
        if vms == self._vms:
            return None
        self._vms = vms
        return vms


def _start_order(upstream: ListedUpstream) -> tuple[int, int, str]:
    return upstream.born_ms, upstream.created_revision, upstream.instance


__all__ = ('ListedUpstream', 'ListedUpstreams', 'compose_vms', 'vm_name')
