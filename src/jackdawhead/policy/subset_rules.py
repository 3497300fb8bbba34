"""All rules of subsets; importing this module fills the registry."""

from __future__ import annotations

from .even_subset import EvenSubset
from .subset import RendezvousSubset
from .subset_rule import SUBSET_RULES, EntryPlaces, SubsetRule

__all__ = (
    'SUBSET_RULES',
    'EntryPlaces',
    'EvenSubset',
    'RendezvousSubset',
    'SubsetRule',
)
