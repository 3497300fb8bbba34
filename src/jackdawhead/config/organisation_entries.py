"""Merges the organisations of a published configuration.

A key that two organisations claim stays with the one that had it before, or
identifies nobody if there is none. All other keys hold.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .credentials import key_id

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from .organisation import Organisation

Organisations = dict[str, 'Organisation']


class OrganisationMerger:
    """Merges the organisations of one version.

    :param published: organisations by name, none for one that can't be used:
        it keeps its last accepted form.
    :param last: organisations of the last accepted version.
    :param on_step: called after each entry; may let other work run.
    """

    def __init__(
        self,
        published: Mapping[str, Organisation | None],
        last: Organisations,
        on_step: Callable[[], None],
    ) -> None:
        self._published = published
        self._last = last
        self._on_step = on_step
        self._merged: Organisations = {}

    def merge(self, reject: Callable[[str, str], None]) -> Organisations:
        """Return the organisations, the same object if nothing has changed.

        :param reject: called with name and cause for each that loses a key.
        """
        for digest, names in tuple(self._contested()):
            for name in self._losers(digest, names):
                organisation = self._merged[name]
                self._merged[name] = replace(
                    organisation,
                    key_digests=organisation.key_digests - {digest},
                )
                others = ', '.join(each for each in names if each != name)
                reject(name, f'claims the key {key_id(digest)}, like {others}')
        is_unchanged = self._merged == self._last
        return self._last if is_unchanged else self._merged

    def _contested(self) -> Iterator[tuple[str, list[str]]]:
        """Collect the organisations; yield the keys that several claim."""
        claims: dict[str, list[str]] = {}
        for name, published in self._published.items():
            self._on_step()
            organisation = published or self._last.get(name)
            if organisation is not None:
                self._merged[name] = organisation
                for digest in organisation.key_digests:
                    claims.setdefault(digest, []).append(name)
        for digest, names in claims.items():
            if len(names) > 1:
                yield digest, names

    def _losers(self, digest: str, names: list[str]) -> list[str]:
        # Others claim it only in their last accepted form.
        winners = [each for each in names if self._published[each] is not None]
        if len(winners) != 1:
            winners = [each for each in names if self._had(each, digest)]
        return [each for each in names if each not in winners]

    def _had(self, name: str, digest: str) -> bool:
        before = self._last.get(name)
        return before is not None and digest in before.key_digests


__all__ = ('OrganisationMerger',)
