"""Random and best members of a pool of upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from .loads import UpstreamLoad

# Limit on random draws, since a draw may hit a member that is left out.
_MAX_DRAWS: Final = 8


def sample(
    members: tuple[UpstreamLoad, ...],
    count: int,
    tried: frozenset[str],
    rng: Random,
) -> list[UpstreamLoad]:
    """Return up to ``count`` random members that are not in ``tried``.

    The cost doesn't grow with the number of members, except in the rare case
    that every draw hits a member that was tried.

    :param members: upstreams to draw from.
    :param count: most upstreams to return.
    :param tried: upstreams to leave out.
    :param rng: source of randomness.
    """
    if not members:
        return []
    drawn: dict[str, UpstreamLoad] = {}
    for _ in range(min(_MAX_DRAWS, 2 * count)):
        member = members[int(rng.random() * len(members))]
        if member.upstream not in tried:
            drawn[member.upstream] = member
        if len(drawn) == count:
            break
    if drawn or not tried:
        return list(drawn.values())
    return [each for each in members if each.upstream not in tried][:count]


def least(
    members: list[UpstreamLoad],
    cost_ms: Callable[[UpstreamLoad], float],
) -> UpstreamLoad | None:
    """Return the member with the lowest cost, None if there are no members.

    :param cost_ms: cost function.
    """
    return min(members, key=cost_ms, default=None)


__all__ = ('least', 'sample')
