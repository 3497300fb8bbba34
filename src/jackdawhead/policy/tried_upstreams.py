"""Upstreams that a request was sent to, and those excluded from the next try.

Load pattern: a traffic peak while a third of the upstreams fail. The healthy
ones refuse requests that would have to wait, so that these go on to an idle
upstream. When none is idle, the request returns to a busy one and waits,
instead of going to an upstream that is idle because it fails.
"""

from __future__ import annotations

from ..reasons import Reason


class TriedUpstreams:
    """Upstreams that a request was sent to.

    :param crashed: upstreams that the request may have crashed.
    """

    def __init__(self, crashed: set[str]) -> None:
        self._excluded = set(crashed)
        self._busy: set[str] = set()

    def __len__(self) -> int:
        """Return the number of upstreams tried, including busy ones."""
        return len(self.names)

    @property
    def names(self) -> frozenset[str]:
        """Identities of all upstreams tried, including busy ones."""
        return frozenset(self._excluded | self._busy)

    @property
    def excluded(self) -> frozenset[str]:
        """Identities of upstreams to avoid while there are others."""
        return frozenset(self._excluded)

    def was_busy(self, upstream: str) -> bool:
        """Return whether the upstream's home refused the request as busy.

        :param upstream: identity of the upstream.
        """
        return upstream in self._busy

    def note_sent(self, upstream: str) -> None:
        """Record that the request is sent to an upstream.

        :param upstream: identity of the upstream.
        """
        self._excluded.add(upstream)

    def note_refused(self, upstream: str, reason: Reason) -> None:
        """Record a refusal; a busy upstream may be chosen again.

        :param upstream: identity of the upstream.
        :param reason: reason that the upstream's home gave.
        """
        if reason is Reason.BUSY:
            self._excluded.discard(upstream)
            self._busy.add(upstream)


__all__ = ('TriedUpstreams',)
