"""Which upstreams of a service an entry uses."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from .member_loads import Member

_LOCAL_SHARE: Final = 2 / 3
_HASH_BITS: Final = 64
_OWN_HOME_WEIGHT: Final = 1 << _HASH_BITS


class SubsetRule:
    """Chooses a bounded part of each service by rendezvous hashing.

    Homes are ranked for each entry by a hash of both names (Thaler and
    Ravishankar), so that entries spread evenly over the upstreams, a change
    of the list moves few of them, and services whose upstreams share homes
    share the links to them. The entry's own home comes first.

    :param entry: VM of the entry.
    :param zone: its zone; two thirds are taken from it, if it has as many.
    """

    def __init__(self, entry: str, zone: str) -> None:
        self._entry = entry
        self._zone = zone
        self._weights: dict[str, int] = {}

    def choose(
        self,
        members: tuple[Member, ...],
        size: int,
        unreachable: frozenset[str],
    ) -> tuple[Member, ...]:
        """Return the members that the entry uses.

        :param members: upstreams of one service that take new work.
        :param size: how many to use; all are if there are no more.
        :param unreachable: homes that are used only if others are too few.
        """
        if len(members) <= size:
            return members
        reachable = [each for each in members if each.home not in unreachable]
        others = [each for each in members if each.home in unreachable]
        used = self._pick_by_zone(reachable, min(size, len(reachable)))
        return used + self._pick_by_zone(others, size - len(used))

    def forget(self, homes: frozenset[str]) -> None:
        """Keep the weights of these homes only.

        :param homes: all homes of the list.
        """
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


__all__ = ('SubsetRule',)
