"""All organisations of which a node is the owner or the deputy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..wire.quota_messages import QuotaAsk, QuotaGrant
from .quota_office import QuotaOffice

if TYPE_CHECKING:
    from .quota_ranks import GranterRanks
    from .quota_terms import QuotaTerms


class QuotaOffices:
    """Offices of a node, which follow the VM list and the configuration.

    :param own: VM of this node.
    """

    def __init__(self, own: str) -> None:
        self.is_current = True
        self._own = own
        self._offices: dict[str, QuotaOffice] = {}

    def update(
        self,
        terms: dict[str, QuotaTerms],
        ranks: GranterRanks,
        since_ms: float,
        now_ms: float,
    ) -> None:
        """Take up and give up offices.

        :param terms: limits of all organisations with a quota.
        :param ranks: finds the owners and deputies.
        :param since_ms: monotonic time since which new offices are held.
        :param now_ms: monotonic time.
        """
        held = {name for name in terms if self._own in ranks.granters(name)}
        for gone in self._offices.keys() - held:
            self._offices.pop(gone)
        for name in held:
            rank = ranks.granters(name).index(self._own)
            office = self._offices.get(name)
            if office is None:
                self._offices[name] = QuotaOffice(terms[name], rank, since_ms)
            else:
                office.terms = terms[name]
                office.replace_rank(rank, now_ms)

    def answer(self, ask: QuotaAsk, now_ms: float) -> QuotaGrant:
        """Answer an entry, which may know another VM list.

        :param ask: what it asks for.
        :param now_ms: monotonic time.
        """
        office = self._offices.get(ask.organisation)
        if office is None:
            return QuotaGrant(ask.organisation, ask.serial, 0, 0, False, 0)
        return office.answer(ask, now_ms, is_current=self.is_current)

    def granted(self, organisation: str, now_ms: float) -> int | None:
        """Return what was granted in the last window.

        :param organisation: name of the organisation.
        :param now_ms: monotonic time.
        :returns: ``None`` if this node doesn't grant as its owner.
        """
        office = self._offices.get(organisation)
        if office is None or not office.is_owner(now_ms):
            return None
        return office.used(now_ms) if self.is_current else None


__all__ = ('QuotaOffices',)
