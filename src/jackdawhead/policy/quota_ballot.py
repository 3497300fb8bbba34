"""The vote of an elector on who grants the credit of an organisation.

Load pattern: holders die, are cut off or freeze, electors start anew, and two
nodes claim at once. A vote is given to one node at a time and ends by itself,
so that two nodes never have the votes of most electors.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from .quota_terms import CLAIM_TIMEOUT_MS, GRANT_MEMORY_MS, LEASE_MS

# A vote given before is over by then.
_ABSTENTION_MS: Final = LEASE_MS + CLAIM_TIMEOUT_MS


@dataclass(frozen=True, slots=True)
class Verdict:
    """Answer of an elector to a claim.

    :param given: whether the claimant has the vote.
    :param holder: node that has it otherwise, empty if none.
    :param quiet: whether nobody has granted credit for a whole window.
    """

    given: bool
    holder: str = ''
    quiet: bool = False


class Ballot:
    """Vote of one elector for one organisation.

    An elector that has just become one may not know to whom its place has
    given the vote before; until that has ended it votes only for a holder that
    renews.

    :param since_ms: monotonic time since which this node is an elector.
    """

    def __init__(self, since_ms: float) -> None:
        self._since_ms = since_ms
        self._holder = ''
        self._until_ms = since_ms

    def holder(self, now_ms: float) -> str:
        """Return the node that has the vote, empty if none.

        :param now_ms: monotonic time.
        """
        return self._holder if now_ms < self._until_ms else ''

    def claim(
        self, claimant: str, lease_ms: float, now_ms: float, *, renews: bool
    ) -> Verdict:
        """Give the vote to a claimant if nobody else has it.

        :param claimant: VM of the claiming node.
        :param lease_ms: how long the vote must hold.
        :param now_ms: monotonic time.
        :param renews: whether the claimant holds the mandate.
        """
        holder = self.holder(now_ms)
        if holder not in {'', claimant}:
            return Verdict(given=False, holder=holder)
        is_new = now_ms - self._since_ms < _ABSTENTION_MS
        if is_new and not holder and not renews:
            return Verdict(given=False)
        quiet = now_ms - self._until_ms >= GRANT_MEMORY_MS
        self._holder = claimant
        self._until_ms = now_ms + lease_ms
        return Verdict(given=True, quiet=quiet)

    def release(self, claimant: str, now_ms: float) -> None:
        """Take the vote back from a node that gives it up.

        :param claimant: VM of that node.
        :param now_ms: monotonic time.
        """
        if self.holder(now_ms) == claimant:
            self._until_ms = now_ms


__all__ = ('Ballot', 'Verdict')
