"""Finds the organisation that a key belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..config.credentials import key_digest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..config.organisation import Organisation


class KeyTable:
    """Organisations by the digests of their keys.

    :param organisations: organisations that have no key in common.
    """

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        self._by_digest = {
            digest: organisation
            for organisation in organisations
            for digest in organisation.key_digests
        }

    def owner(self, digest: str) -> Organisation | None:
        """Return the organisation of a key, nothing if it is unknown.

        :param digest: digest of the key, see :func:`digest_of`.
        """
        return self._by_digest.get(digest)


def digest_of(credential: str, scheme: str) -> str:
    """Return the digest of the key in a header, empty if there is none.

    :param credential: value of the header.
    :param scheme: word that precedes the key, in any case; empty if none does.
    """
    key = credential.strip()
    if scheme:
        word, _, key = key.partition(' ')
        if word.lower() != scheme.lower():
            return ''
    return key_digest(key.strip().encode('latin-1')) if key else ''


__all__ = ('KeyTable', 'digest_of')
