"""Remembers the parts of the last configuration, to check only the rest."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash
from returns.result import Failure, Result, Success

from .merge import MergedTree
from .sources import Branch, SourceFile, parse_source

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .problems import Problem
    from .sources import Plain

_SECTIONS: Final = ('services', 'routes')


class KnownFiles:
    """Trees of the files of the last configuration.

    :param before: those of the one before, whose equal files are taken over.
    """

    def __init__(self, before: KnownFiles | None = None) -> None:
        self._before = before.trees if before else {}
        self.trees: dict[SourceFile, Branch] = {}

    def parse(self, source: SourceFile) -> Result[Branch, Problem]:
        """Return the tree of a file, parsed only if it is not known.

        :param source: the file.
        """
        known = self._before.get(source)
        parsed = parse_source(source) if known is None else Success(known)
        if isinstance(parsed, Failure):
            return parsed
        tree: Branch = parsed.unwrap()
        self.trees[source] = tree
        return Success(tree)

    def settle(self) -> None:
        """Forget the configuration before."""
        self._before = {}


class KnownEntries:
    """Services and routes of the last configuration that fit the schema."""

    def __init__(self) -> None:
        self._digests: frozenset[int] = frozenset()

    def without_known(self, tree: MergedTree) -> MergedTree:
        """Return a tree without the entries that are known to fit.

        Of each section one entry is kept, since a section must not be
        empty.

        :param tree: the merged files.
        """
        plain = dict(tree.plain)
        for section in _SECTIONS:
            entries = plain.get(section)
            if isinstance(entries, dict) and entries:
                plain[section] = self._unknown(section, entries)
        return MergedTree(plain, tree.origins)

    def remember(self, tree: MergedTree) -> None:
        """Remember the entries of a tree that fits.

        :param tree: the merged files.
        """
        self._digests = frozenset(_digests(tree))

    def _unknown(
        self,
        section: str,
        entries: dict[str, Plain],
    ) -> dict[str, Plain]:
        unknown = {
            name: entry
            for name, entry in entries.items()
            if _digest(section, name, entry) not in self._digests
        }
        first = next(iter(entries))
        return unknown or {first: entries[first]}


def _digests(tree: MergedTree) -> Iterator[int]:
    for section in _SECTIONS:
        entries = tree.plain.get(section)
        if isinstance(entries, dict):
            for name, entry in entries.items():
                yield _digest(section, name, entry)


def _digest(section: str, name: str, entry: Plain) -> int:
    """Return a hash that tells types apart, 128 bits of XXH3."""
    text = repr((section, name, entry))
    return xxhash.xxh3_128_intdigest(text.encode())


__all__ = ('KnownEntries', 'KnownFiles')
