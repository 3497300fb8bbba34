"""Quotas of the whole fleet: which requests an entry admits.

Load pattern: see the ledger for the entries, the office for owners and
deputies, and the terms for the bound of the sum. This object does no I/O: what
it has to say to other nodes is in ``outbox``.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from ..wire.quota_messages import QuotaAsk, QuotaGrant
from .quota_ranks import GranterRanks
from .quota_ledger import QuotaLedger
from .quota_offices import QuotaOffices
from .quota_terms import HANDOVER_MS, START_MS, QuotaTerms
from .quota_verdicts import Admission

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..config.organisation import Organisation
    from ..wire.messages import Message
    from .quota_verdicts import QuotaRefusal

QuotaMessage = QuotaAsk | QuotaGrant


@dataclass(frozen=True, slots=True)
class QuotaUse:
    """What a node knows of the use of a quota.

    :param used: requests granted in the last window.
    :param quota: requests that the quota allows in a window.
    :param age_ms: age of the count.
    """

    organisation: str
    used: int
    quota: float
    age_ms: float


class QuotaGate:
    """Quotas as one node sees them, as an entry, owner and deputy.

    :param own: VM of this node.
    :param now_ms: monotonic time at which the process started.
    """

    def __init__(self, own: str, now_ms: float) -> None:
        self.outbox: list[tuple[str, Message]] = []
        self._own = own
        self._listed_at_ms = now_ms
        self._ranks = GranterRanks(())
        self._terms: dict[str, QuotaTerms] = {}
        self._ledgers: dict[str, QuotaLedger] = {}
        self._offices = QuotaOffices(own)
        self._to_self: list[Message] = []
        self._is_draining = False

    def replace_nodes(self, nodes: tuple[str, ...], now_ms: float) -> None:
        """Follow the VM list.

        :param nodes: VMs of all nodes that don't leave.
        :param now_ms: monotonic time.
        """
        if nodes != self._ranks.nodes:
            is_first = not self._ranks.nodes
            # Its roles are most likely those of the process before this one.
            self._listed_at_ms = now_ms - (HANDOVER_MS - START_MS) * is_first
            self._ranks = GranterRanks(nodes)
            self._offices.update(
                self._terms, self._ranks, self._listed_at_ms, now_ms
            )

    def replace_organisations(
        self, organisations: dict[str, Organisation], now_ms: float
    ) -> None:
        """Follow the configuration.

        :param organisations: organisations by name.
        :param now_ms: monotonic time.
        """
        terms = {
            name: QuotaTerms(each.rate_per_s, each.burst)
            for name, each in organisations.items()
            if each.has_quota
        }
        if terms == self._terms:
            return
        self._terms = terms
        for gone in self._ledgers.keys() - terms:
            self._ledgers.pop(gone)
        # Nodes whose list is older may take themselves for its owner, too.
        self._offices.update(terms, self._ranks, self._listed_at_ms, now_ms)

    def note_list_age(self, *, is_current: bool) -> None:
        """Record whether the VM list is up to date, as far as known.

        :param is_current: whether a reader of the platform is in touch.
        """
        self._offices.is_current = is_current

    @property
    def is_idle(self) -> bool:
        """Whether no organisation has a quota."""
        return not self._terms

    def has_quota(self, organisation: str) -> bool:
        """Return whether the requests of an organisation are limited.

        :param organisation: its name, empty if unknown.
        """
        return organisation in self._terms

    def is_owner(self, organisation: str, now_ms: float) -> bool:
        """Return whether this node grants the quota of an organisation.

        :param organisation: its name.
        :param now_ms: monotonic time.
        """
        return self._offices.granted(organisation, now_ms) is not None

    def window_quota(self, organisation: str) -> float:
        """Return the requests that a quota allows in a window, 0 if unknown.

        :param organisation: name of the organisation.
        """
        terms = self._terms.get(organisation)
        return terms.window_quota if terms else 0

    def enter(self, organisation: str, now_ms: float) -> None:
        """Record a request of an organisation that has a quota.

        It counts as waiting until it is decided or leaves.

        :param organisation: its name.
        :param now_ms: monotonic time.
        """
        ledger = self._ledgers.get(organisation)
        if ledger is None:
            ledger = QuotaLedger(self._own, organisation, self._send)
            self._ledgers[organisation] = ledger
        ledger.enter(now_ms)

    def abandon(self, organisation: str) -> None:
        """Record that a request leaves before it is decided.

        :param organisation: name of its organisation.
        """
        ledger = self._ledgers.get(organisation)
        if ledger is not None:
            ledger.leave()

    def decide(
        self, organisation: str, now_ms: float
    ) -> Admission | QuotaRefusal | None:
        """Admit or refuse a request that has been entered.

        :param organisation: name of its organisation.
        :param now_ms: monotonic time.
        :returns: ``None`` if the request must wait for a change.
        """
        terms = self._terms.get(organisation)
        ledger = self._ledgers.get(organisation)
        if terms is None or ledger is None:
            # The configuration has changed meanwhile.
            return Admission(now_ms)
        verdict = ledger.decide(self._ranks, now_ms)
        self._drain(now_ms)
        if verdict is None:
            # This node may have answered itself.
            verdict = ledger.decide(self._ranks, now_ms)
            self._drain(now_ms)
        return verdict

    def give_back(
        self, organisation: str, admission: Admission, now_ms: float
    ) -> None:
        """Take back the credit of a request that did not run.

        :param organisation: name of its organisation.
        :param admission: its credit.
        :param now_ms: monotonic time.
        """
        ledger = self._ledgers.get(organisation)
        if ledger is not None:
            ledger.give_back(admission, now_ms)

    def receive(
        self, source: str, message: QuotaMessage, now_ms: float
    ) -> None:
        """Handle a message.

        :param source: VM of the node that has sent it.
        :param message: the message.
        :param now_ms: monotonic time.
        """
        self._handle(source, message, now_ms)
        self._drain(now_ms)

    def note_unreachable(self, vm: str, now_ms: float) -> None:
        """Record that a node can't be reached.

        :param vm: VM of the node.
        :param now_ms: monotonic time.
        """
        for ledger in self._ledgers.values():
            ledger.note_unreachable(vm, self._ranks, now_ms)
        self._drain(now_ms)

    def note_reset(self, vm: str, now_ms: float) -> None:
        """Record that the link to a node has ended, which may still run.

        :param vm: VM of the node.
        :param now_ms: monotonic time.
        """
        for ledger in self._ledgers.values():
            ledger.note_reset(vm, self._ranks, now_ms)
        self._drain(now_ms)

    def tick(self, now_ms: float) -> None:
        """Do what is due.

        :param now_ms: monotonic time.
        """
        for ledger in self._ledgers.values():
            ledger.tick(self._ranks, now_ms)
        self._drain(now_ms)

    @property
    def due_at_ms(self) -> float:
        """When the next tick is due, infinite if none is."""
        ledgers = (each.due_at_ms for each in self._ledgers.values())
        return min(ledgers, default=inf)

    def uses(self, now_ms: float) -> Iterator[QuotaUse]:
        """Yield what this node knows of the use of quotas.

        :param now_ms: monotonic time.
        """
        for name, terms in self._terms.items():
            quota = terms.window_quota
            granted = self._offices.granted(name, now_ms)
            ledger = self._ledgers.get(name)
            if granted is not None:
                yield QuotaUse(name, granted, quota, 0)
            elif ledger is not None and ledger.heard_at_ms != -inf:
                age_ms = now_ms - ledger.heard_at_ms
                yield QuotaUse(name, ledger.used, quota, age_ms)

    def _send(self, vm: str, message: Message) -> None:
        if vm == self._own:
            self._to_self.append(message)
        else:
            self.outbox.append((vm, message))

    def _drain(self, now_ms: float) -> None:
        """Handle what this node has said to itself."""
        if self._is_draining:
            return
        self._is_draining = True
        while self._to_self:
            self._handle(self._own, self._to_self.pop(0), now_ms)
        self._is_draining = False

    def _handle(self, source: str, message: Message, now_ms: float) -> None:
        match message:
            case QuotaGrant():
                ledger = self._ledgers.get(message.organisation)
                if ledger is not None:
                    ledger.receive(source, message, self._ranks, now_ms)
            case QuotaAsk():
                self._send(source, self._offices.answer(message, now_ms))


__all__ = ('QuotaGate', 'QuotaMessage', 'QuotaUse')
