"""Digests of the keys by which callers identify themselves.

Keys are random texts, so that a fast digest without a salt is enough: it can't
be searched for.
"""

from __future__ import annotations

import hashlib
from typing import Final

_DIGEST_BYTES: Final = 16
_ID_DIGITS: Final = 8
KEY_DIGEST_PATTERN: Final = r'^[0-9a-f]{32}\Z'


def key_digest(key: bytes) -> str:
    """Return the 128-bit BLAKE2b digest of a key in hexadecimal digits.

    :param key: the key as it is sent.
    """
    return hashlib.blake2b(key, digest_size=_DIGEST_BYTES).hexdigest()


def key_id(digest: str) -> str:
    """Return the digits that name a key in logs and reports.

    :param digest: digest of the key.
    """
    return digest[:_ID_DIGITS]


__all__ = ('KEY_DIGEST_PATTERN', 'key_digest', 'key_id')
