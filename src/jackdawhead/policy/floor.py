"""Limits that the floor of healthy capacity sets."""

from __future__ import annotations

from typing import Final

_PERCENT: Final = 100


def min_members_in_use(members: int, floor_percent: int) -> int:
    """Return how many upstreams have to stay in use.

    :param members: number of upstreams that take new work, including avoided
        ones.
    :param floor_percent: percentage that has to stay in use, 0 to 100; the
        result is rounded up.
    """
    return -(-members * floor_percent // _PERCENT)


def ejection_limit(members: int, floor_percent: int) -> int:
    """Return how many upstreams may be ejected at the same time.

    :param members: number of upstreams that take new work, including ejected
        ones.
    :param floor_percent: percentage that has to stay in use, 0 to 100; the
        number of upstreams to keep is rounded up.
    """
    return max(0, members - min_members_in_use(members, floor_percent))


__all__ = ('ejection_limit', 'min_members_in_use')
