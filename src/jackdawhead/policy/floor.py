"""The floor of healthy capacity."""

from __future__ import annotations

from typing import Final

_PERCENT: Final = 100


def ejection_limit(members: int, floor_percent: int) -> int:
    """Return how many upstreams may be ejected at the same time.

    :param members: upstreams that take new work, ejected ones included.
    :param floor_percent: share that has to stay, 0 to 100; rounded up.
    """
    kept = -(-members * floor_percent // _PERCENT)
    return max(0, members - kept)


__all__ = ('ejection_limit',)
