"""The floor of healthy capacity."""

from __future__ import annotations

from typing import Final

_PERCENT: Final = 100


def min_members_in_use(members: int, floor_percent: int) -> int:
    """Return how many upstreams have to stay in use.

    :param members: upstreams that take new work, avoided ones included.
    :param floor_percent: share that has to stay, 0 to 100; rounded up.
    """
    return -(-members * floor_percent // _PERCENT)


def ejection_limit(members: int, floor_percent: int) -> int:
    """Return how many upstreams may be ejected at the same time.

    :param members: upstreams that take new work, ejected ones included.
    :param floor_percent: share that has to stay, 0 to 100; rounded up.
    """
    return max(0, members - min_members_in_use(members, floor_percent))


__all__ = ('ejection_limit', 'min_members_in_use')
