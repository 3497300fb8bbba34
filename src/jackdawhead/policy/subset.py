"""Subsets by rendezvous hashing."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING, Final

import xxhash

from .subset_rule import SUBSET_RULES, SubsetRule

if TYPE_CHECKING:
    from .member_loads import Member

# Share of a subset that is taken from the entry's own zone.
_LOCAL_SHARE: Final = 2 / 3
_HASH_BITS: Final = 64
# Above any hash.
_OWN_HOME_WEIGHT: Final = 1 << _HASH_BITS


@SUBSET_RULES.register('rendezvous')
class RendezvousSubset(SubsetRule):
    """Chooses a bounded subset of each service by rendezvous hashing.

    Each entry ranks homes by a hash of its own and the home's name (Thaler and
    Ravishankar). Entries therefore spread evenly over the upstreams, a change
    of the VM list changes few subsets, and services whose upstreams have the
    same homes use the same links. The entry's own home ranks first.

    :param entry: VM of the entry.
    :param zone: zone of the entry; two thirds of a subset are taken from it if
        it has enough upstreams.
    """

    def __init__(self, entry: str, zone: str) -> None:
        super().__init__(entry, zone)
        self._weights: dict[str, int] = {}

    def choose(
        self,
        members: tuple[Member, ...],
        size: int,
        unreachable: frozenset[str],
    ) -> tuple[Member, ...]:
        if len(members) <= size:
            return members
        reachable = [each for each in members if each.home not in unreachable]
        others = [each for each in members if each.home in unreachable]
        used = self._pick_by_zone(reachable, min(size, len(reachable)))
        return used + self._pick_by_zone(others, size - len(used))

    def retain_homes(self, homes: frozenset[str]) -> None:
        for gone in self._weights.keys() - homes:
            self._weights.pop(gone)

    def _pick_by_zone(
        self, members: list[Member], size: int
    ) -> tuple[Member, ...]:
        local = [each for each in members if each.zone == self._zone]
        remote = [each for each in members if each.zone != self._zone]
        local_count = min(len(local), int(size * _LOCAL_SHARE))
        remote_count = min(len(remote), size - local_count)
        return (
            *self._highest_ranked(local, size - remote_count),
            *self._highest_ranked(remote, remote_count),
        )

    def _highest_ranked(
        self, members: list[Member], count: int
    ) -> list[Member]:
        return nlargest(count, members, key=self._rank)

    def _rank(self, member: Member) -> tuple[int, str]:
        weight = self._weights.get(member.home)
        if weight is None:
            weight = self._weight_of(member.home)
            self._weights[member.home] = weight
        return weight, member.name

    def _weight_of(self, home: str) -> int:
        if home == self._entry:
            return _OWN_HOME_WEIGHT
        return xxhash.xxh3_64_intdigest(f'{self._entry}|{home}'.encode())


__all__ = ('RendezvousSubset',)
