"""What an elector does for one organisation: it votes, and may grant credit.

Load pattern: entries ask now and then for a calm organisation, and many at once
for one that floods, while the holder of the mandate is lost, cut off, paused or
starts anew. Who has no mandate sends the asker to the holder, claims the
mandate if nobody has it, or grants from its fixed reserve.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING, Final

from ..wire.quota_messages import QuotaAsk, QuotaClaim, QuotaGrant, QuotaVote
from .quota_ballot import Ballot
from .quota_credit import GrantCount, Reserve, TokenBucket
from .quota_mandate import Mandate
from .quota_terms import GRANT_MEMORY_MS, LEASE_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..wire.messages import Message
    from .quota_terms import QuotaTerms

_MAX_PENDING_MS: Final = 60.0
_MAX_PENDING: Final = 1000
# A holder that another elector has named is believed for so long.
_HEARSAY_MS: Final = 300.0
_RESERVE_WAIT_MS: Final = 300.0


@dataclass(frozen=True, slots=True)
class _PendingAsk:
    """An ask that waits for the votes."""

    source: str
    ask: QuotaAsk
    until_ms: float


class QuotaOffice:
    """Duties of this node as an elector of one organisation.

    :param own: VM of this node.
    :param terms: limits of the organisation.
    :param electors: electors of the organisation, this node among them.
    :param since_ms: monotonic time since which this node is one of them.
    :param send: sends a message to a node, which may be this one.
    """

    def __init__(
        self,
        own: str,
        terms: QuotaTerms,
        electors: tuple[str, ...],
        since_ms: float,
        send: Callable[[str, Message], None],
    ) -> None:
        self.terms = terms
        self._own = own
        self._send = send
        self._ballot = Ballot(since_ms)
        self._mandate = Mandate(electors, electors.index(own))
        self._bucket = TokenBucket(since_ms)
        self._reserve = Reserve(since_ms + GRANT_MEMORY_MS)
        self._granted = GrantCount()
        self._pending: list[_PendingAsk] = []
        self._hearsay = ('', -inf)
        self._is_leaving = False

    def replace_electors(self, electors: tuple[str, ...]) -> None:
        """Continue with other electors, this node still among them.

        :param electors: electors of the organisation.
        """
        self._mandate.replace_electors(electors, electors.index(self._own))

    def is_holder(self, now_ms: float) -> bool:
        """Return whether this node grants the quota.

        :param now_ms: monotonic time.
        """
        return self._mandate.is_held(now_ms)

    def used(self, now_ms: float) -> int:
        """Return the number of requests granted here in the last window.

        :param now_ms: monotonic time.
        """
        return self._granted.total(now_ms)

    def receive_ask(self, source: str, ask: QuotaAsk, now_ms: float) -> None:
        """Answer an entry, at once or after a claim.

        :param source: VM of the entry.
        :param ask: what it asks for.
        :param now_ms: monotonic time.
        """
        self._mandate.note_ask(now_ms)
        if self.is_holder(now_ms):
            self._grant(source, ask, now_ms)
            return
        holder = self._other_holder(now_ms)
        if holder or self._is_leaving or len(self._pending) >= _MAX_PENDING:
            self._answer_without_mandate(source, ask, now_ms)
            return
        until_ms = now_ms + _MAX_PENDING_MS
        self._pending.append(_PendingAsk(source, ask, until_ms))
        self._claim(ask.organisation, now_ms)

    def receive_claim(
        self, source: str, claim: QuotaClaim, now_ms: float
    ) -> None:
        """Answer a claim.

        :param source: VM of the claimant.
        :param claim: the claim.
        :param now_ms: monotonic time.
        """
        if not claim.lease_ms:
            self._ballot.release(source, now_ms)
            return
        verdict = self._ballot.claim(
            source,
            min(claim.lease_ms, LEASE_MS),
            now_ms,
            renews=claim.renews,
        )
        vote = QuotaVote(
            claim.organisation,
            claim.serial,
            verdict.given,
            verdict.holder,
            verdict.quiet,
        )
        self._send(source, vote)

    def receive_vote(self, source: str, vote: QuotaVote, now_ms: float) -> None:
        """Count a vote.

        :param source: VM of the elector.
        :param vote: its answer.
        :param now_ms: monotonic time.
        """
        if not vote.given and vote.holder not in {'', self._own}:
            self._hearsay = (vote.holder, now_ms + _HEARSAY_MS)
        is_new = self._mandate.note_vote(
            source, vote.serial, now_ms, given=vote.given, quiet=vote.quiet
        )
        if is_new:
            self._bucket.start(
                self.terms, now_ms, is_full=self._mandate.is_quiet
            )
        if self.is_holder(now_ms):
            self._answer_pending(now_ms)
        self._end_failed_claim(vote.organisation, now_ms)

    def tick(self, organisation: str, now_ms: float) -> None:
        """Renew the mandate and answer asks that have waited long enough.

        :param organisation: name of the organisation.
        :param now_ms: monotonic time.
        """
        self._end_failed_claim(organisation, now_ms)
        if now_ms >= self._mandate.due_at_ms(now_ms):
            self._claim(organisation, now_ms)
        late = [each for each in self._pending if each.until_ms <= now_ms]
        if late:
            self._pending = [each for each in self._pending if each not in late]
            for each in late:
                self._answer_without_mandate(each.source, each.ask, now_ms)

    def due_at_ms(self, now_ms: float) -> float:
        """Return when the next tick is due, infinite if none is.

        :param now_ms: monotonic time.
        """
        pending_ms = min((each.until_ms for each in self._pending), default=inf)
        return min(pending_ms, self._mandate.due_at_ms(now_ms))

    def leave(self, organisation: str, now_ms: float) -> None:
        """Give up the mandate, as this node stops.

        :param organisation: name of the organisation.
        :param now_ms: monotonic time.
        """
        self._is_leaving = True
        if self.is_holder(now_ms):
            self._give_back(organisation)
        self._mandate.end()

    def _claim(self, organisation: str, now_ms: float) -> None:
        if self._is_leaving or self._ballot.holder(now_ms) not in {
            '',
            self._own,
        }:
            return
        serial = self._mandate.open_claim(now_ms)
        if not serial:
            return
        claim = QuotaClaim(
            organisation, serial, LEASE_MS, self.is_holder(now_ms)
        )
        for elector in self._mandate.electors:
            self._send(elector, claim)

    def _end_failed_claim(self, organisation: str, now_ms: float) -> None:
        failed = self._mandate.take_failure(now_ms)
        if failed is None:
            return
        if failed:
            self._give_back(organisation)
        if not self.is_holder(now_ms):
            self._answer_pending(now_ms)

    def _give_back(self, organisation: str) -> None:
        for elector in self._mandate.electors:
            self._send(elector, QuotaClaim(organisation, 0, 0, False))

    def _answer_pending(self, now_ms: float) -> None:
        pending = self._pending
        self._pending = []
        for each in pending:
            if self.is_holder(now_ms):
                self._grant(each.source, each.ask, now_ms)
            else:
                self._answer_without_mandate(each.source, each.ask, now_ms)

    def _other_holder(self, now_ms: float) -> str:
        holder = self._ballot.holder(now_ms)
        if holder not in {'', self._own}:
            return holder
        named, until_ms = self._hearsay
        return named if now_ms < until_ms else ''

    def _grant(self, source: str, ask: QuotaAsk, now_ms: float) -> None:
        credit = self._bucket.take(self.terms, ask.need, ask.ahead, now_ms)
        missing = ask.need - credit
        wait_ms: float = 0
        if missing > 0:
            wait_ms = self._bucket.wait_ms(self.terms, missing, now_ms)
        self._granted.add(credit, now_ms)
        self._reply(source, ask, credit, wait_ms, self._own, now_ms)

    def _answer_without_mandate(
        self, source: str, ask: QuotaAsk, now_ms: float
    ) -> None:
        holder = self._other_holder(now_ms)
        if holder and holder != ask.lost:
            self._reply(source, ask, 0, 0, holder, now_ms)
            return
        limit = self.terms.elector_reserve(
            self._mandate.rank, len(self._mandate.electors)
        )
        credit = self._reserve.take(limit, ask.need, now_ms)
        self._granted.add(credit, now_ms)
        self._reply(source, ask, credit, _RESERVE_WAIT_MS, holder, now_ms)

    def _reply(
        self,
        source: str,
        ask: QuotaAsk,
        credit: int,
        wait_ms: float,
        holder: str,
        now_ms: float,
    ) -> None:
        grant = QuotaGrant(
            ask.organisation,
            ask.serial,
            credit,
            int(wait_ms),
            holder,
            self.used(now_ms),
        )
        self._send(source, grant)


__all__ = ('QuotaOffice',)
