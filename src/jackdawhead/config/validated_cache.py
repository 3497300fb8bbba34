"""Caches parsed files and validated entries of the active configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import xxhash
from returns.result import Result, Success

from .merge import MergedTree
from .sources import Branch, SourceFile, parse_source

if TYPE_CHECKING:
    from .problems import Problem
    from .sources import Plain

_SECTIONS: Final = ('services', 'routes', 'organisations')

Digests = dict[str, dict[str, int]]


class ParsedFiles:
    """Cache of parsed files; files with equal name and text are equal."""

    def __init__(self) -> None:
        self._trees: dict[SourceFile, Branch] = {}

    def parse(self, source: SourceFile) -> Result[Branch, Problem]:
        """Return the tree of a file, parsing it unless it is cached.

        :param source: the file.
        """
        known = self._trees.get(source)
        if known is not None:
            return Success(known)
        parsed = parse_source(source)
        if isinstance(parsed, Success):
            self._trees[source] = parsed.unwrap()
        return parsed

    def retain(self, sources: tuple[SourceFile, ...]) -> None:
        """Remove all other files from the cache.

        :param sources: files of the active configuration, all cached.
        """
        self._trees = {source: self._trees[source] for source in sources}


def entry_digests(tree: MergedTree) -> Digests:
    """Return a hash of each service, route and organisation, by section.

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


def without_validated(
    tree: MergedTree,
    digests: Digests,
    known: Digests,
) -> MergedTree:
    """Return the tree without the entries that are already validated.

    At least one entry of each section is kept, since the schema does not allow
    an empty section.

    :param tree: the merged files.
    :param digests: digests of the entries of the tree.
    :param known: digests of the validated entries.
    """
    plain = dict(tree.plain)
    for section, section_digests in digests.items():
        validated_here = known.get(section, {})
        to_validate = [
            name
            for name, digest in section_digests.items()
            if validated_here.get(name) != digest
        ]
        entries = plain[section]
        assert isinstance(entries, dict)
        kept = to_validate or list(entries)[:1]
        plain[section] = {name: entries[name] for name in kept}
    return MergedTree(plain, tree.origins)


def _digest(entry: Plain) -> int:
    """Return the 128-bit XXH3 hash of the repr, so that 1 and True differ."""
    return xxhash.xxh3_128_intdigest(repr(entry).encode())


__all__ = ('Digests', 'ParsedFiles', 'entry_digests', 'without_validated')
