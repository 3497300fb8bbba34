"""Bounds of the numbers in messages between nodes.

Durations are non-negative, and one above a day counts as a day. A message
with another number out of its bounds is malformed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

_MAX_UINT64: Final = 0xFFFFFFFFFFFFFFFF
# Versions are counters; a larger one would outdate all that follow.
MAX_VERSION: Final = 9_007_199_254_740_991
MAX_DURATION_MS: Final = 86_400_000
MAX_SLOTS: Final = 100_000
_MAX_PERMILLE: Final = 1000
MAX_CREDIT: Final = 1_000_000
# Interim answers are not passed on.
_MIN_STATUS: Final = 200
_MAX_STATUS: Final = 999


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of one field.

    :param clamps: whether a larger number counts as the upper bound.
    """

    least: int = 0
    most: int = _MAX_UINT64
    clamps: bool = False


_DEFAULT: Final = Bounds()
_DURATION: Final = Bounds(most=MAX_DURATION_MS, clamps=True)
_VERSION: Final = Bounds(most=MAX_VERSION)
_PERMILLE: Final = Bounds(most=_MAX_PERMILLE)
_CREDIT: Final = Bounds(most=MAX_CREDIT)
_BY_NAME: Final = {
    'ahead': _CREDIT,
    'base': _VERSION,
    # -1 if the length is unknown.
    'body_bytes': Bounds(least=-1),
    'config_version': _VERSION,
    'credit': _CREDIT,
    # Negative while more requests run than there are slots.
    'free': Bounds(-MAX_SLOTS, MAX_SLOTS),
    'generation': _VERSION,
    'need': _CREDIT,
    # -1 for the priority of the operation.
    'priority': Bounds(least=-1),
    'risk': _PERMILLE,
    'risk_limit': _PERMILLE,
    'status': Bounds(_MIN_STATUS, _MAX_STATUS),
    'used': _CREDIT,
    'version': _VERSION,
    'vm_list_generation': _VERSION,
    'vm_list_version': _VERSION,
}


def bounds_of(field: str) -> Bounds:
    """Return the bounds of an integer field.

    :param field: name of the field in the message class.
    """
    if field.endswith('_ms'):
        return _DURATION
    return _BY_NAME.get(field, _DEFAULT)


__all__ = (
    'MAX_CREDIT',
    'MAX_DURATION_MS',
    'MAX_SLOTS',
    'MAX_VERSION',
    'Bounds',
    'bounds_of',
)
