"""What a node grants as the owner or the deputy of one organisation.

Load pattern: entries ask now and then for a calm organisation, and many at once
for one that floods, while nodes are lost, cut off, paused or start anew. Each
node decides alone, from its VM list.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from ..wire.quota_messages import QuotaAsk, QuotaGrant
from .quota_credit import GrantCount, TokenBucket
from .quota_terms import HANDOVER_MS

if TYPE_CHECKING:
    from .quota_terms import CreditShare, QuotaTerms


class QuotaOffice:
    """Credit of this node for one organisation.

    :param terms: limits of the organisation.
    :param rank: 0 for the owner, 1 for the deputy.
    :param since_ms: monotonic time since which this node has that rank.
    """

    def __init__(self, terms: QuotaTerms, rank: int, since_ms: float) -> None:
        self.terms = terms
        self._rank = rank
        self._granted = GrantCount()
        # The earlier holder of a role may still grant.
        self._owner_from_ms = inf if rank else since_ms + HANDOVER_MS
        self._deputy_from_ms = since_ms + HANDOVER_MS if rank else inf
        self._owned = TokenBucket(self._owner_from_ms)
        self._spare = TokenBucket(self._deputy_from_ms)
        self._detached: TokenBucket | None = None
        self._retired_at_ms = inf

    def replace_rank(self, rank: int, now_ms: float) -> None:
        """Take another role; a deputy goes on as such until it is the owner.

        :param rank: 0 for the owner, 1 for the deputy.
        :param now_ms: monotonic time.
        """
        if rank == self._rank:
            return
        self._rank = rank
        ready_at_ms = now_ms + HANDOVER_MS
        if rank:
            self._retire(now_ms)
            self._owner_from_ms = inf
            self._deputy_from_ms = ready_at_ms
            self._spare = TokenBucket(ready_at_ms)
        else:
            self._owner_from_ms = ready_at_ms
            self._owned = TokenBucket(ready_at_ms)

    def is_owner(self, now_ms: float) -> bool:
        """Return whether this node grants the quota.

        :param now_ms: monotonic time.
        """
        return now_ms >= self._owner_from_ms

    def used(self, now_ms: float) -> int:
        """Return the number of requests granted here in the last window.

        :param now_ms: monotonic time.
        """
        return self._granted.total(now_ms)

    def answer(
        self, ask: QuotaAsk, now_ms: float, *, is_current: bool
    ) -> QuotaGrant:
        """Grant or refuse credit.

        :param ask: what the entry asks for.
        :param now_ms: monotonic time.
        :param is_current: whether the VM list is up to date, as far as known.
        """
        credit = 0
        wait_ms: float = 0
        bucket, share = self._source(now_ms, is_current=is_current)
        if bucket is not None:
            credit = bucket.take(share, ask.need, ask.ahead, now_ms)
            missing = ask.need - credit
            if missing > 0:
                wait_ms = self._deputy_from_ms - now_ms
                if share.rate_per_s:
                    wait_ms = bucket.wait_ms(share, missing, now_ms)
            self._granted.add(credit, now_ms)
        return QuotaGrant(
            ask.organisation,
            ask.serial,
            credit,
            int(wait_ms),
            bucket is not None,
            self.used(now_ms),
        )

    def _retire(self, now_ms: float) -> None:
        """Keep the credit left; the next owner begins without any."""
        self._retired_at_ms = inf
        if self.is_owner(now_ms):
            self._retired_at_ms = now_ms
            self._owned.take(self.terms.owner, 0, 0, now_ms)

    def _source(
        self, now_ms: float, *, is_current: bool
    ) -> tuple[TokenBucket | None, CreditShare]:
        """Return the bucket of the role that this node has now."""
        if self.is_owner(now_ms):
            if is_current:
                self._detached = None
                return self._owned, self.terms.owner
            if self._detached is None:
                self._detached = TokenBucket(now_ms)
            return self._detached, self.terms.detached
        if not is_current:
            return None, self.terms.deputy
        if now_ms >= self._deputy_from_ms:
            return self._spare, self.terms.deputy
        if now_ms >= self._retired_at_ms:
            retired_ms = now_ms - self._retired_at_ms
            return self._owned, self.terms.retired(retired_ms)
        return None, self.terms.deputy


__all__ = ('QuotaOffice',)
