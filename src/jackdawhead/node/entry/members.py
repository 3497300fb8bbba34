"""Upstreams of each service: all that are listed, and this entry's subset."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ...policy.expiry import pop_expired
from ...policy.homes import HomeMap
from ...policy.member_loads import Member
from ...policy.subset_rules import SUBSET_RULES, EntryPlaces

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from ...blackboard import Vm, VmList
    from ...config.model import Service
    from ...policy.service_router import ServiceRouter

# Time for which the subset excludes the upstreams of an unreachable home.
_EXCLUDE_UNREACHABLE_MS: Final = 30_000


@dataclass(frozen=True, slots=True)
class ServiceCount:
    """Number of upstreams of a service.

    :param listed: listed upstreams that accept new work.
    :param router: routing state of the service, if it is in use.
    """

    service: str
    listed: int
    router: ServiceRouter | None


class ServiceMembers:
    """Groups the VM list by service and chooses a subset of the upstreams.

    :param entry: VM of this node.
    :param zone: availability zone of this node.
    """

    def __init__(self, entry: str, zone: str) -> None:
        self._rules = {
            name: SUBSET_RULES.find(name).unwrap()(entry, zone)
            for name in SUBSET_RULES.names()
        }
        self._regions: Mapping[str, str] = {}
        self._entries: dict[str, str] = {}
        self._by_service: dict[str, list[Member]] = {}
        self._unreachable_until_ms: dict[str, float] = {}

    @property
    def excluded_homes(self) -> tuple[str, ...]:
        """Homes that the subsets exclude, those dialled longest ago first."""
        return tuple(self._unreachable_until_ms)

    def replace(self, vm_list: VmList) -> None:
        """Apply a new VM list; leaving VMs and upstreams are left out.

        :param vm_list: VM list of the platform.
        """
        homes = HomeMap(vm_list)
        self._by_service = {}
        used_homes = set()
        for vm in vm_list.vms.values():
            if vm.leaving or not vm.upstream_ports:
                continue
            home = homes.home_of(vm)
            used_homes.add(home)
            for service, member in _members_on(vm, home):
                self._by_service.setdefault(service, []).append(member)
        self._entries = {
            each.name: each.zone
            for each in vm_list.vms.values()
            if each.stream_port and not each.leaving
        }
        for rule in self._rules.values():
            rule.retain_homes(frozenset(used_homes))
        self._replace_entries()

    def replace_regions(self, regions: Mapping[str, str]) -> None:
        """Apply the zones of a new configuration.

        :param regions: region of each zone.
        """
        if regions != self._regions:
            self._regions = regions
            self._replace_entries()

    def listed(self, service: Service) -> tuple[Member, ...]:
        """Return all upstreams of a service that accept new work.

        :param service: service; only upstreams in its zones are returned.
        """
        return tuple(
            each
            for each in self._by_service.get(service.name, ())
            if each.zone in service.zones
        )

    def used(self, service: Service) -> tuple[Member, ...]:
        """Return the subset of a service's upstreams that this entry uses.

        :param service: service with its zones and the size of the subset.
        """
        return self._rules[service.subset].choose(
            self.listed(service),
            service.subset_size,
            frozenset(self._unreachable_until_ms),
        )

    def note_unreachable(self, home: str, now_ms: float) -> bool:
        """Exclude a home that could not be dialled from the subsets.

        :param home: VM of the home.
        :param now_ms: monotonic time.
        :returns: whether the home was not excluded before.
        """
        is_new = self._unreachable_until_ms.pop(home, None) is None
        self._unreachable_until_ms[home] = now_ms + _EXCLUDE_UNREACHABLE_MS
        return is_new

    def note_reachable(self, home: str) -> bool:
        """Use a home again that has just connected to this node.

        :param home: VM of the home.
        :returns: whether the home was excluded.
        """
        return self._unreachable_until_ms.pop(home, None) is not None

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """End the exclusion of homes whose time is over.

        :param now_ms: monotonic time.
        :returns: homes whose exclusion has ended.
        """
        return pop_expired(self._unreachable_until_ms, now_ms)

    def _replace_entries(self) -> None:
        places = EntryPlaces(self._entries, self._regions)
        for rule in self._rules.values():
            rule.replace_entries(places)


def _members_on(vm: Vm, home: str) -> Iterator[tuple[str, Member]]:
    """Yield the upstreams of a VM that accept new work, with their services."""
    for service in vm.upstream_ports:
        details = vm.upstream_details(service)
        if not details.leaving:
            name = vm.upstream_id(service)
            yield service, Member(name, vm.zone, home, details.slots)


__all__ = ('ServiceCount', 'ServiceMembers')
