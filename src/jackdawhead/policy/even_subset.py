"""Subsets that are dealt evenly over zones and regions.

Load pattern: each entry uses a part of a service. By hashing alone the busiest
upstream is in 2.5 times as many subsets as the mean, and is full while others
are idle.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import chain
from typing import TYPE_CHECKING, Final

import xxhash

from .subset_rule import SUBSET_RULES, EntryPlaces, SubsetRule

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .member_loads import Member

# Share of a subset from the own region; the rest is for its loss.
_NEAR_SHARE: Final = 2 / 3
# Share of those from the own zone; the rest is for the loss of the zone.
_ZONE_SHARE: Final = 3 / 4


@dataclass(frozen=True, slots=True)
class _Scopes:
    """Upstreams by the kind of way to them, in the order of preference."""

    zone: list[Member]
    region: list[Member]
    far: list[Member]

    def only(self, homes: frozenset[str], *, inside: bool) -> _Scopes:
        """Return the upstreams with, or else without, one of the homes."""
        return _Scopes(
            *(
                [each for each in scope if (each.home in homes) is inside]
                for scope in (self.zone, self.region, self.far)
            )
        )

    def take(self, size: int) -> list[Member]:
        """Return a subset, with as many from each scope as it should have."""
        near_count = len(self.zone) + len(self.region)
        far = min(len(self.far), size - int(size * _NEAR_SHARE))
        near = min(near_count, size - far)
        zone = max(near - len(self.region), round(near * _ZONE_SHARE))
        zone = min(zone, len(self.zone))
        return [
            *self.zone[:zone],
            *self.region[: near - zone],
            *self.far[: size - near],
        ]


@SUBSET_RULES.register('even')
class EvenSubset(SubsetRule):
    """Deals the upstreams to the entries by their ranks on a ring.

    In each scope the upstreams are on a ring, ordered by a hash of their home,
    and the entries that share the scope begin at equal distances, ordered by
    the same hash. Each entry takes the upstreams that follow, so all are in
    equally many subsets, give or take one a scope. A VM that comes or leaves
    moves each beginning by less than one upstream. An entry on the VM of an
    upstream begins near it.

    :param entry: VM of the entry.
    :param zone: zone of the entry.
    """

    def __init__(self, entry: str, zone: str) -> None:
        super().__init__(entry, zone)
        self._hashes: dict[str, int] = {}
        self._places = EntryPlaces()

    def choose(
        self,
        members: tuple[Member, ...],
        size: int,
        unreachable: frozenset[str],
    ) -> tuple[Member, ...]:
        if len(members) <= size:
            return members
        scopes = self._scopes(members)
        reachable = scopes.only(unreachable, inside=False)
        others = scopes.only(unreachable, inside=True)
        used = reachable.take(size)
        return (*used, *others.take(size - len(used)))

    def replace_entries(self, places: EntryPlaces) -> None:
        self._places = places
        self._retain_hashes(frozenset(places.zones))

    def retain_homes(self, homes: frozenset[str]) -> None:
        self._retain_hashes(homes | self._places.zones.keys())

    def _retain_hashes(self, names: frozenset[str]) -> None:
        for gone in self._hashes.keys() - names:
            self._hashes.pop(gone)

    def _scopes(self, members: tuple[Member, ...]) -> _Scopes:
        region = self._places.region_of(self._zone)
        zones: dict[bool, list[Member]] = {True: [], False: []}
        far = []
        for member in members:
            if self._places.region_of(member.zone) == region:
                zones[member.zone == self._zone].append(member)
            else:
                far.append(member)
        in_zone = [
            name
            for name, zone in self._places.zones.items()
            if zone == self._zone
        ]
        in_region = [
            name
            for name, zone in self._places.zones.items()
            if self._places.region_of(zone) == region
        ]
        return _Scopes(
            self._own_first(self._dealt(zones[True], in_zone)),
            self._dealt(zones[False], in_zone),
            self._dealt(far, in_region),
        )

    def _dealt(
        self, members: list[Member], entries: Sequence[str]
    ) -> list[Member]:
        """Return the upstreams in ring order from this entry's beginning."""
        own = self._hash_of(self._entry)
        others = {each for each in entries if each != self._entry}
        rank = sum(self._hash_of(each) < own for each in others)
        begin = rank * len(members) // (len(others) + 1)
        ring = sorted(members, key=self._place_of)
        return [*ring[begin:], *ring[:begin]]

    def _own_first(self, members: list[Member]) -> list[Member]:
        own = [each for each in members if each.home == self._entry]
        others = (each for each in members if each.home != self._entry)
        return list(chain(own, others))

    def _place_of(self, member: Member) -> tuple[int, str]:
        return self._hash_of(member.home), member.name

    def _hash_of(self, name: str) -> int:
        known = self._hashes.get(name)
        if known is None:
            known = xxhash.xxh3_64_intdigest(name.encode())
            self._hashes[name] = known
        return known


__all__ = ('EvenSubset',)
