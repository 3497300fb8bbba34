"""Mutual authentication of two nodes by shared keys."""

from __future__ import annotations

import hmac
import secrets
from typing import Final

NONCE_BYTES: Final = 16


def new_nonce() -> bytes:
    """Return fresh random bytes."""
    return secrets.token_bytes(NONCE_BYTES)


def sign(key: str, nonce: bytes, vm: str, incarnation: int) -> bytes:
    """Return the HMAC-SHA256 (RFC 2104) of a nonce and an identity.

    :param key: shared key.
    :param nonce: bytes chosen by the other side.
    :param vm: name of the signer's VM.
    :param incarnation: the signer's incarnation.
    """
    text = nonce + f'|{vm}|{incarnation}'.encode()
    return hmac.digest(key.encode(), text, 'sha256')


def verify(
    keys: tuple[str, ...],
    nonce: bytes,
    vm: str,
    incarnation: int,
    signature: bytes,
) -> bool:
    """Return whether any accepted key gives this signature.

    :param keys: accepted keys, so that keys rotate without a stop.
    """
    return any(
        hmac.compare_digest(sign(key, nonce, vm, incarnation), signature)
        for key in keys
    )


__all__ = ('new_nonce', 'sign', 'verify')
