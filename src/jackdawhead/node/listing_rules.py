"""What an upstream's entry must agree with to be listed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .upstream_list import ListedUpstream


@dataclass(frozen=True, slots=True)
class ListingRules:
    """What an upstream's entry must agree with to be listed.

    :param zones: the platform's availability zones.
    :param node_ports: ports that the nodes listen on, the same on all VMs.
    """

    zones: frozenset[str]
    node_ports: frozenset[int]

    def objection(self, upstream: ListedUpstream) -> str:
        """Return why an upstream must not be listed, empty if it may be.

        No node would use an upstream of an unknown zone, but it would take
        its whole VM there. Work sent to a node's own listener comes back to
        that node as new requests.

        :param upstream: the upstream, as the platform lists it.
        """
        if upstream.zone not in self.zones:
            return f'unknown zone {upstream.zone!r}'
        if upstream.port in self.node_ports:
            return f'port {upstream.port} is one of the nodes themselves'
        return ''


__all__ = ('ListingRules',)
