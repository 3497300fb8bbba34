"""The right to grant the quota of an organisation, held by one node at a time.

Load pattern: as for the ballots. The holder has the votes of most electors, and
counts their time from the moment at which it has asked for them, so that its
right ends before they can vote for another, also across a pause.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from .quota_terms import CLAIM_TIMEOUT_MS, LEASE_MS

_RENEW_AFTER_MS = 500
_RETRY_MS = 50
_RANK_DELAY_MS = 100
# The mandate is renewed for so long after the last ask.
_KEPT_MS = 30_000


@dataclass(slots=True)
class _Claim:
    """A claim and the votes that it has got.

    :param sent_at_ms: monotonic time, a long time ago if there is none.
    """

    serial: int = 0
    sent_at_ms: float = -inf
    given: set[str] = field(default_factory=set)
    denied: set[str] = field(default_factory=set)
    quiet: int = 0
    is_open: bool = False


class Mandate:
    """What one elector knows of its own mandate for an organisation.

    :param electors: electors of the organisation, this node among them.
    :param rank: rank of this node among them.
    """

    def __init__(self, electors: tuple[str, ...], rank: int) -> None:
        self.electors = electors
        self.rank = rank
        self._until_ms = -inf
        self._asked_at_ms = -inf
        self._claim = _Claim()
        self._next_claim_at_ms = -inf
        self.is_quiet = False

    def replace_electors(self, electors: tuple[str, ...], rank: int) -> None:
        """Continue with other electors.

        :param electors: electors of the organisation.
        :param rank: rank of this node among them.
        """
        self.electors = electors
        self.rank = rank

    def is_held(self, now_ms: float) -> bool:
        """Return whether this node may grant the quota.

        :param now_ms: monotonic time.
        """
        return now_ms < self._until_ms

    def is_claiming(self, now_ms: float) -> bool:
        """Return whether votes are awaited.

        :param now_ms: monotonic time.
        """
        claim = self._claim
        return claim.is_open and now_ms - claim.sent_at_ms < CLAIM_TIMEOUT_MS

    def note_ask(self, now_ms: float) -> None:
        """Record that an entry asks for credit.

        :param now_ms: monotonic time.
        """
        self._asked_at_ms = now_ms

    def due_at_ms(self, now_ms: float) -> float:
        """Return when the next claim is due, infinite if none is.

        :param now_ms: monotonic time.
        """
        if now_ms - self._asked_at_ms > _KEPT_MS:
            return inf
        if self.is_held(now_ms):
            renew_at_ms = self._until_ms - LEASE_MS + _RENEW_AFTER_MS
            return max(renew_at_ms, self._claim.sent_at_ms + CLAIM_TIMEOUT_MS)
        return inf

    def open_claim(self, now_ms: float) -> int:
        """Begin a claim if none is open and it is time.

        :param now_ms: monotonic time.
        :returns: serial number of the claim, 0 if none begins.
        """
        if self.is_claiming(now_ms) or now_ms < self._next_claim_at_ms:
            return 0
        self._claim = _Claim(self._claim.serial + 1, now_ms, is_open=True)
        self._next_claim_at_ms = now_ms + _RETRY_MS
        return self._claim.serial

    def note_vote(
        self,
        elector: str,
        serial: int,
        now_ms: float,
        *,
        given: bool,
        quiet: bool,
    ) -> bool:
        """Count a vote.

        :param elector: VM of the elector.
        :param serial: number of the claim.
        :param now_ms: monotonic time.
        :param given: whether this node has the vote.
        :param quiet: whether nobody has granted credit for a window.
        :returns: whether this node has just got the mandate that it lacked.
        """
        claim = self._claim
        is_known = elector in self.electors and serial == claim.serial
        if not is_known or not self.is_claiming(now_ms):
            return False
        if not given:
            claim.denied.add(elector)
            return False
        claim.quiet += quiet and elector not in claim.given
        claim.given.add(elector)
        if len(claim.given) < self._majority:
            return False
        was_held = self.is_held(now_ms)
        claim.is_open = False
        self.is_quiet = claim.quiet >= self._majority
        self._until_ms = claim.sent_at_ms + LEASE_MS
        return not was_held

    def take_failure(self, now_ms: float) -> tuple[str, ...] | None:
        """End a claim that can't succeed any more.

        The votes that it got are given back, so that another may have them.

        :param now_ms: monotonic time.
        :returns: electors to give the votes back to, ``None`` while the claim
            may succeed.
        """
        claim = self._claim
        if not claim.is_open:
            return None
        possible = len(self.electors) - len(claim.denied)
        if possible >= self._majority and self.is_claiming(now_ms):
            return None
        claim.is_open = False
        if self.is_held(now_ms):
            return ()
        delay_ms = _RANK_DELAY_MS * self.rank
        self._next_claim_at_ms = now_ms + _RETRY_MS + delay_ms
        return self.electors

    def end(self) -> None:
        """Give the mandate up."""
        self._until_ms = -inf
        self._asked_at_ms = -inf
        self._claim.is_open = False

    @property
    def _majority(self) -> int:
        return len(self.electors) // 2 + 1


__all__ = ('Mandate',)
