"""Upstreams that a request was sent to, and those excluded from the next try.

Load pattern: a traffic peak while a third of the upstreams fail. The healthy
ones refuse requests that would have to wait, so that these go on to an idle
upstream. When none is idle, the request returns to a busy one and waits,
instead of going to an upstream that is idle because it fails.

Load pattern: a region is cut off. Each dial to one of its homes uses up a part
of the request's time, so after the first one that fails the request goes to a
home that this node is linked to.
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
        self._linked: frozenset[str] = frozenset()
        self._unlinked: frozenset[str] = frozenset()

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
        excluded = frozenset(self._excluded)
        if self._linked - excluded:
            return excluded | self._unlinked
        busy = self._linked & self._busy
        return (excluded | self._unlinked) - busy if busy else excluded

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

    def note_unreachable(self, has_link: dict[str, bool]) -> None:
        """Record that a home could not be reached.

        :param has_link: whether this node is linked to the upstream's home,
            for all upstreams of the service.
        """
        self._linked = frozenset(
            upstream for upstream, linked in has_link.items() if linked
        )
        self._unlinked = frozenset(has_link) - self._linked

    def note_refused(
        self, upstream: str, reason: Reason, *, may_return: bool
    ) -> None:
        """Record a refusal.

        :param upstream: identity of the upstream.
        :param reason: reason that the upstream's home gave.
        :param may_return: whether a busy upstream may be chosen again while
            there are others.
        """
        if reason is not Reason.BUSY:
            return
        self._busy.add(upstream)
        if may_return:
            self._excluded.discard(upstream)


__all__ = ('TriedUpstreams',)
