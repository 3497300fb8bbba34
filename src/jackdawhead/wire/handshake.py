"""Mutual authentication of two nodes with shared keys."""

from __future__ import annotations

import hmac
import secrets
from typing import Final

NONCE_BYTES: Final = 16


def new_nonce() -> bytes:
    """Return 16 fresh random bytes."""
    return secrets.token_bytes(NONCE_BYTES)


def sign(key: str, nonce: bytes, vm: str, incarnation: int) -> bytes:
    """Return the HMAC-SHA256 (RFC 2104) of a nonce and an identity.

    :param key: shared key.
    :param nonce: random bytes from the peer.
    :param vm: name of the signer's VM.
    :param incarnation: incarnation of the signer.
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
    """Return whether a signature matches any accepted key.

    :param keys: accepted keys; several allow key rotation without downtime.
    :param nonce: random bytes sent to the signer.
    :param vm: name of the signer's VM.
    :param incarnation: incarnation of the signer.
    :param signature: signature to verify.
    """
    return any(
        hmac.compare_digest(sign(key, nonce, vm, incarnation), signature)
        for key in keys
    )


__all__ = ('new_nonce', 'sign', 'verify')
