"""Remembers the parts of the configuration in force, to check only the rest."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash
from returns.result import Result, Success

from .merge import MergedTree
from .sources import Branch, SourceFile, parse_source

if TYPE_CHECKING:
    from .problems import Problem
    from .sources import Plain

_SECTIONS: Final = ('services', 'routes')

Digests = dict[str, dict[str, int]]


class KnownFiles:
    """Trees of files, by file."""

    def __init__(self) -> None:
        self._trees: dict[SourceFile, Branch] = {}

    def parse(self, source: SourceFile) -> Result[Branch, Problem]:
        """Return the tree of a file, parsed only if it is not known.

        :param source: the file.
        """
        known = self._trees.get(source)
        if known is not None:
            return Success(known)
        parsed = parse_source(source)
        if isinstance(parsed, Success):
            self._trees[source] = parsed.unwrap()
        return parsed

    def keep(self, sources: tuple[SourceFile, ...]) -> None:
        """Forget all files but these.

        :param sources: the files in force, all of them known.
        """
        self._trees = {source: self._trees[source] for source in sources}


def entry_digests(tree: MergedTree) -> Digests:
    """Return a hash of each service and route, by section and name.

    :param tree: the merged files.
    """
    digests: Digests = {}
    for section in _SECTIONS:
        entries = tree.plain.get(section)
        if isinstance(entries, dict):
            digests[section] = {
                name: _digest(entry) for name, entry in entries.items()
            }
    return digests


def without_known(
    tree: MergedTree,
    digests: Digests,
    known: Digests,
) -> MergedTree:
    """Return a tree without the services and routes that are known to fit.

    Of each section one entry is kept, since a section must not be empty.

    :param tree: the merged files.
    :param digests: of its entries.
    :param known: digests of the entries that fit.
    """
    plain = dict(tree.plain)
    for section, found in digests.items():
        known_here = known.get(section, {})
        unknown = [
            name
            for name, digest in found.items()
            if known_here.get(name) != digest
        ]
        entries = plain[section]
        assert isinstance(entries, dict)
        kept = unknown or list(entries)[:1]
        plain[section] = {name: entries[name] for name in kept}
    return MergedTree(plain, tree.origins)


def _digest(entry: Plain) -> int:
    """Return a hash that tells types apart, 128 bits of XXH3."""
    return xxhash.xxh3_128_intdigest(repr(entry).encode())


__all__ = ('Digests', 'KnownFiles', 'entry_digests', 'without_known')
