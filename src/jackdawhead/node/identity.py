"""Identity of a node process."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import Final

_INCARNATION_BITS: Final = 62


@dataclass(frozen=True, slots=True)
class Identity:
    """Name, incarnation and keys of this process.

    :param vm: name of its VM.
    :param incarnation: random number that identifies this process start.
    :param keys: shared keys; the first one signs, all of them verify.
    """

    vm: str
    incarnation: int
    keys: tuple[str, ...]


def new_identity(vm: str, keys: tuple[str, ...]) -> Identity:
    """Return an identity with a fresh incarnation.

    :param vm: name of the VM.
    :param keys: shared keys.
    """
    return Identity(vm, secrets.randbits(_INCARNATION_BITS), keys)


__all__ = ('Identity', 'new_identity')
