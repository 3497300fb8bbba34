"""Organisations whose callers identify themselves by a key."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation whose callers identify themselves by a key.

    :param key_digests: digests of the keys, see ``config.credentials``; the
        keys themselves are not kept.
    :param priority: rank of its requests under overload, which precedes that
        of their operations; none to use those.
    :param rate_per_s: requests per second that the whole fleet runs for it, 0
        for no quota.
    :param burst: requests beyond the rate that may come at once.
    """

    name: str
    key_digests: frozenset[str]
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0

    @property
    def has_quota(self) -> bool:
        """Whether its requests are limited."""
        return self.rate_per_s > 0


__all__ = ('Organisation',)
