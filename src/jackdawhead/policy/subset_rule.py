"""Interface and registry of the rules that choose an entry's upstreams."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ..registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .member_loads import Member


@dataclass(frozen=True, slots=True)
class EntryPlaces:
    """Where the entries of the fleet are.

    :param zones: zone of each entry.
    :param regions: region of each zone; a zone without one is its own region.
    """

    zones: Mapping[str, str] = field(default_factory=dict)
    regions: Mapping[str, str] = field(default_factory=dict)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone.

        :param zone: zone of an entry or of an upstream.
        """
        return self.regions.get(zone, zone)


class SubsetRule(ABC):
    """Chooses the upstreams of each service that one entry uses.

    :param entry: VM of the entry.
    :param zone: zone of the entry.
    """

    def __init__(self, entry: str, zone: str) -> None:
        self._entry = entry
        self._zone = zone

    @abstractmethod
    def choose(
        self,
        members: tuple[Member, ...],
        size: int,
        unreachable: frozenset[str],
    ) -> tuple[Member, ...]:
        """Return the subset of a service's upstreams.

        :param members: upstreams of one service that take new work.
        :param size: size of the subset; no more than all members are used.
        :param unreachable: homes that are used only to fill up the subset when
            there are too few others.
        """

    def replace_entries(self, places: EntryPlaces) -> None:
        """Apply a new list of entries.

        :param places: where they are.
        """

    def retain_homes(self, homes: frozenset[str]) -> None:
        """Drop what is cached for all other homes.

        :param homes: homes to keep, all those of the VM list.
        """


SUBSET_RULES: Final[Registry[SubsetRule]] = Registry('subset rule')


__all__ = ('SUBSET_RULES', 'EntryPlaces', 'SubsetRule')
