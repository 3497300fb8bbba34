"""Upstreams of each service, as listed and as used by this entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ...policy.homes import HomeMap
from ...policy.member_loads import Member
from ...policy.subset import SubsetRule

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...blackboard import Vm, VmList
    from ...config.model import Service

_UNREACHABLE_MS: Final = 30_000


class ServiceMembers:
    """Groups the list of VMs by service, and takes a subset of each.

    :param entry: VM of this node.
    :param zone: its zone.
    """

    def __init__(self, entry: str, zone: str) -> None:
        self._rule = SubsetRule(entry, zone)
        self._by_service: dict[str, list[Member]] = {}
        self._unreachable_until_ms: dict[str, float] = {}

    def replace(self, vm_list: VmList) -> None:
        """Take over a list; VMs that leave have no members.

        :param vm_list: the platform's list.
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
        self._rule.forget(frozenset(used_homes))

    def listed(self, service: Service) -> tuple[Member, ...]:
        """Return all upstreams of a service that take new work.

        :param service: its zones count.
        """
        return tuple(
            each
            for each in self._by_service.get(service.name, ())
            if each.zone in service.zones
        )

    def used(self, service: Service) -> tuple[Member, ...]:
        """Return the upstreams of a service that this entry uses.

        :param service: its zones and the size of the subset count.
        """
        return self._rule.choose(
            self.listed(service),
            service.subset_size,
            frozenset(self._unreachable_until_ms),
        )

    def note_unreachable(self, home: str, now_ms: float) -> bool:
        """Use other homes instead of one that could not be dialled.

        :param home: VM of the home.
        :param now_ms: monotonic time.
        :returns: whether that is a change.
        """
        is_new = home not in self._unreachable_until_ms
        self._unreachable_until_ms[home] = now_ms + _UNREACHABLE_MS
        return is_new

    def note_reachable(self, home: str) -> bool:
        """Use a home again that was heard of.

        :param home: VM of the home.
        :returns: whether that is a change.
        """
        return self._unreachable_until_ms.pop(home, None) is not None

    def expire(self, now_ms: float) -> bool:
        """Try homes again that could not be dialled some time ago.

        :param now_ms: monotonic time.
        :returns: whether there are any.
        """
        due = [
            home
            for home, until_ms in self._unreachable_until_ms.items()
            if until_ms <= now_ms
        ]
        for home in due:
            self._unreachable_until_ms.pop(home)
        return bool(due)


def _members_on(vm: Vm, home: str) -> Iterator[tuple[str, Member]]:
    """Yield the upstreams of a VM that take new work, with their services."""
    for service in vm.upstream_ports:
        details = vm.details_of(service)
        if not details.leaving:
            name = vm.upstream_name(service)
            yield service, Member(name, vm.zone, home, details.slots)


__all__ = ('ServiceMembers',)
