"""All organisations of which a node is an elector."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from ..wire.quota_messages import QuotaAsk, QuotaClaim, QuotaGrant, QuotaVote
from .quota_office import QuotaOffice

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..wire.messages import Message
    from .quota_electors import ElectorRing
    from .quota_terms import QuotaTerms

OfficeMessage = QuotaAsk | QuotaClaim | QuotaVote


class QuotaOffices:
    """Offices of a node, which follow the VM list and the configuration.

    :param own: VM of this node.
    :param send: sends a message to a node, which may be this one.
    """

    def __init__(self, own: str, send: Callable[[str, Message], None]) -> None:
        self._own = own
        self._send = send
        self._offices: dict[str, QuotaOffice] = {}

    def update(
        self,
        terms: dict[str, QuotaTerms],
        ring: ElectorRing,
        since_ms: float,
        now_ms: float,
    ) -> None:
        """Take up and give up offices.

        :param terms: limits of all organisations with a quota.
        :param ring: finds the electors.
        :param since_ms: monotonic time since which new offices are held.
        :param now_ms: monotonic time.
        """
        held = {name for name in terms if self._own in ring.electors(name)}
        for gone in self._offices.keys() - held:
            self._offices.pop(gone).leave(gone, now_ms)
        for name in held:
            electors = ring.electors(name)
            office = self._offices.get(name)
            if office is None:
                self._offices[name] = QuotaOffice(
                    self._own, terms[name], electors, since_ms, self._send
                )
            else:
                office.terms = terms[name]
                office.replace_electors(electors)

    def receive(
        self, source: str, message: OfficeMessage, now_ms: float
    ) -> None:
        """Handle a message to an elector.

        :param source: VM of the node that has sent it.
        :param message: the message.
        :param now_ms: monotonic time.
        """
        office = self._offices.get(message.organisation)
        match message:
            case _ if office is None:
                self._answer_as_stranger(source, message)
            case QuotaAsk():
                office.receive_ask(source, message, now_ms)
            case QuotaClaim():
                office.receive_claim(source, message, now_ms)
            case QuotaVote():
                office.receive_vote(source, message, now_ms)

    def tick(self, now_ms: float) -> None:
        """Do what is due.

        :param now_ms: monotonic time.
        """
        for name, office in self._offices.items():
            office.tick(name, now_ms)

    def due_at_ms(self, now_ms: float) -> float:
        """Return when the next tick is due, infinite if none is.

        :param now_ms: monotonic time.
        """
        dues = (each.due_at_ms(now_ms) for each in self._offices.values())
        return min(dues, default=inf)

    def leave(self, now_ms: float) -> None:
        """Give up all mandates, as this node stops.

        :param now_ms: monotonic time.
        """
        for name, office in self._offices.items():
            office.leave(name, now_ms)

    def granted(self, organisation: str, now_ms: float) -> int | None:
        """Return what was granted in the last window.

        :param organisation: name of the organisation.
        :param now_ms: monotonic time.
        :returns: ``None`` if this node doesn't hold the mandate.
        """
        office = self._offices.get(organisation)
        if office is None or not office.is_holder(now_ms):
            return None
        return office.used(now_ms)

    def _answer_as_stranger(self, source: str, message: OfficeMessage) -> None:
        """Answer a node whose VM list or configuration is another one."""
        name = message.organisation
        if isinstance(message, QuotaAsk):
            self._send(source, QuotaGrant(name, message.serial, 0, 0, '', 0))
        elif isinstance(message, QuotaClaim) and message.lease_ms:
            vote = QuotaVote(name, message.serial, False, '', False)
            self._send(source, vote)


__all__ = ('OfficeMessage', 'QuotaOffices')
