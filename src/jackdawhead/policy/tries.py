"""Where a request has been sent, and what may be chosen next.

Load pattern: a crest while a third of the upstreams fail. The well ones refuse
what would have to wait, so that it goes on to an idle one; when none is idle,
the request returns to a busy one and waits, instead of going to an upstream
that is idle because it fails.
"""

from __future__ import annotations

from ..reasons import Reason


class Tries:
    """Upstreams at which a request was.

    :param crashed: those that it may have crashed.
    """

    def __init__(self, crashed: set[str]) -> None:
        self._excluded = set(crashed)
        self._busy: set[str] = set()

    def __len__(self) -> int:
        """Return the number of upstreams, busy ones included."""
        return len(self.names)

    @property
    def names(self) -> frozenset[str]:
        """All of them, busy ones included."""
        return frozenset(self._excluded | self._busy)

    @property
    def excluded(self) -> frozenset[str]:
        """Those that are not to be chosen while another is left."""
        return frozenset(self._excluded)

    def was_busy(self, upstream: str) -> bool:
        """Return whether its home has refused to queue the request.

        :param upstream: its identity.
        """
        return upstream in self._busy

    def note_sent(self, upstream: str) -> None:
        """Take in that the request is sent to an upstream.

        :param upstream: its identity.
        """
        self._excluded.add(upstream)

    def note_refused(self, upstream: str, reason: Reason) -> None:
        """Take in a refusal; a busy upstream may be chosen again.

        :param upstream: its identity.
        :param reason: of its home.
        """
        if reason is Reason.BUSY:
            self._excluded.discard(upstream)
            self._busy.add(upstream)


__all__ = ('Tries',)
