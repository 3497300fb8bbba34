"""What an entry knows of an organisation with a quota, and what it may admit.

Load pattern: a calm organisation sends a request in a while through any entry;
one that floods sends several times its quota through all. A request takes
credit in hand, or waits one round trip for the owner. An owner that doesn't
answer is asked again only after a pause, and the deputy meanwhile.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING, Final

from ..wire.quota_messages import QuotaAsk
from .quota_asking import AskRoute, Demand
from .quota_terms import CREDIT_LIFE_MS
from .quota_verdicts import Admission, QuotaRefusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..wire.messages import Message
    from ..wire.quota_messages import QuotaGrant
    from .quota_ranks import GranterRanks

_ASK_TIMEOUT_MS: Final = 100.0
_MAX_ROUND_MS: Final = 250.0
_MIN_BLOCK_MS: Final = 20.0
_MAX_BLOCK_MS: Final = 1000.0
_MAX_RETRY_AFTER_MS: Final = 30_000.0
_MAX_SPACING_MS: Final = 5000.0
_UNREACHABLE_WAIT_MS: Final = 300.0
_KNOWN_ASKS: Final = 8
# The owner has just granted no more than the need.
_SCARCE_MS: Final = 1000.0


@dataclass(frozen=True, slots=True)
class _OpenAsk:
    """The ask that this entry waits for."""

    serial: int
    target: str
    sent_at_ms: float
    need: int


class QuotaLedger:
    """Credit of this entry for one organisation.

    :param own: VM of this node.
    :param organisation: name of the organisation.
    :param send: sends a message to a node, which may be this one.

    """

    def __init__(
        self,
        own: str,
        organisation: str,
        send: Callable[[str, Message], None],
    ) -> None:
        self._waiting = 0
        self.used = 0
        self.heard_at_ms = -inf
        self._own = own
        self._organisation = organisation
        self._send = send
        self._credit: deque[list[float]] = deque()
        self._demand = Demand()
        self._granted = Demand()
        self._route = AskRoute()
        self._serial = 0
        self._open: _OpenAsk | None = None
        self._sent_at_ms: dict[int, float] = {}
        self._round_ends_at_ms = -inf
        self._blocked_until_ms = -inf
        self._turn_at_ms = -inf
        self._has_granter = True
        self._scarce_until_ms = -inf

    def enter(self, now_ms: float) -> None:
        """Record a request, which waits until it is decided or leaves.

        :param now_ms: monotonic time.
        """
        self._demand.note(now_ms)
        self._waiting += 1

    def leave(self) -> None:
        """Record that a request no longer waits.

        A quota may have been withdrawn and given again since it was entered.
        """
        self._waiting = max(0, self._waiting - 1)

    def decide(
        self, ranks: GranterRanks, now_ms: float
    ) -> Admission | QuotaRefusal | None:
        """Admit or refuse a request that waits.

        :param ranks: finds owner and deputy.
        :param now_ms: monotonic time.
        :returns: ``None`` if it must wait for an answer.
        """
        if self._available(now_ms):
            self._waiting -= 1
            portion = self._credit[0]
            portion[1] -= 1
            if self._open is None and self._needs_more(now_ms):
                self._begin_round(ranks, now_ms)
            return Admission(portion[0])
        if now_ms < self._blocked_until_ms:
            self._waiting -= 1
            return self._refuse(now_ms)
        if self._open is None:
            self._begin_round(ranks, now_ms)
        return None

    def give_back(self, admission: Admission, now_ms: float) -> None:
        """Take back the credit of a request that did not run.

        :param admission: its credit.
        :param now_ms: monotonic time.
        """
        if now_ms < admission.expires_at_ms:
            self._credit.append([admission.expires_at_ms, 1])

    def receive(
        self,
        source: str,
        grant: QuotaGrant,
        ranks: GranterRanks,
        now_ms: float,
    ) -> None:
        """Use the answer to an ask.

        :param source: VM of the owner or deputy.
        :param grant: its answer.
        :param ranks: finds owner and deputy.
        :param now_ms: monotonic time.
        """
        sent_at_ms = self._sent_at_ms.pop(grant.serial, -inf)
        expires_at_ms = sent_at_ms + CREDIT_LIFE_MS
        self._granted.note(now_ms, grant.credit)
        if grant.credit and now_ms < expires_at_ms:
            self._credit.append([expires_at_ms, grant.credit])
        self._route.note_answer(source)
        self._has_granter |= grant.grants
        if (source,) == ranks.granters(self._organisation)[:1]:
            self.used = grant.used
            self.heard_at_ms = now_ms
        answered = self._open
        if answered is None or answered.serial != grant.serial:
            return
        self._open = None
        if grant.credit <= answered.need:
            self._scarce_until_ms = now_ms + _SCARCE_MS
        else:
            self._turn_at_ms = now_ms
        if self._waiting <= self._available(now_ms):
            return
        if grant.grants and grant.credit < answered.need:
            self._block(grant.wait_ms, now_ms)
        elif grant.grants:
            self._begin_round(ranks, now_ms)
        else:
            self._ask_next(ranks, now_ms)

    def note_unreachable(
        self, vm: str, ranks: GranterRanks, now_ms: float
    ) -> None:
        """Ask the deputy in place of a node that can't be reached.

        :param vm: VM of the node.
        :param ranks: finds owner and deputy.
        :param now_ms: monotonic time.
        """
        self._route.note_lost(vm, now_ms)
        if self._open is not None and self._open.target == vm:
            self._open = None
            if self._waiting > self._available(now_ms):
                self._ask_next(ranks, now_ms)

    def note_reset(self, vm: str, ranks: GranterRanks, now_ms: float) -> None:
        """Ask a node again whose link has ended with the ask.

        :param vm: VM of the node.
        :param ranks: finds owner and deputy.
        :param now_ms: monotonic time.
        """
        if self._open is not None and self._open.target == vm:
            self._open = None
            self._route.forget_try(vm)
            if self._waiting > self._available(now_ms):
                self._ask_next(ranks, now_ms)

    def tick(self, ranks: GranterRanks, now_ms: float) -> None:
        """Give up an ask that is not answered in time.

        :param ranks: finds owner and deputy.
        :param now_ms: monotonic time.
        """
        if self._open is not None and now_ms >= self.due_at_ms:
            self.note_unreachable(self._open.target, ranks, now_ms)

    @property
    def due_at_ms(self) -> float:
        """When the next tick is due, infinite if none is."""
        if self._open is None:
            return inf
        return self._open.sent_at_ms + _ASK_TIMEOUT_MS

    def _needs_more(self, now_ms: float) -> bool:
        """Return whether to ask ahead of need."""
        expected = self._demand.expected(now_ms)
        is_scarce = now_ms < self._scarce_until_ms
        return not is_scarce and self._available(now_ms) < expected / 2

    def _available(self, now_ms: float) -> int:
        """Forget credit that is used up or has expired; return the rest."""
        if any(each[0] <= now_ms or each[1] < 1 for each in self._credit):
            self._credit = deque(
                each
                for each in self._credit
                if each[0] > now_ms and each[1] >= 1
            )
        return int(sum(each[1] for each in self._credit))

    def _begin_round(self, ranks: GranterRanks, now_ms: float) -> None:
        self._round_ends_at_ms = now_ms + _MAX_ROUND_MS
        self._route.begin()
        self._ask_next(ranks, now_ms)

    def _ask_next(self, ranks: GranterRanks, now_ms: float) -> None:
        granters = ranks.granters(self._organisation)
        target = self._route.next_target(granters, now_ms)
        if not target or now_ms >= self._round_ends_at_ms:
            self._has_granter = False
            self._blocked_until_ms = now_ms + _UNREACHABLE_WAIT_MS
            return
        self._serial += 1
        self._sent_at_ms[self._serial] = now_ms
        if len(self._sent_at_ms) > _KNOWN_ASKS:
            self._sent_at_ms.pop(next(iter(self._sent_at_ms)))
        need = max(0, self._waiting - self._available(now_ms))
        self._open = _OpenAsk(self._serial, target, now_ms, need)
        ask = QuotaAsk(
            self._organisation,
            self._serial,
            need,
            self._demand.expected(now_ms),
        )
        self._send(target, ask)

    def _block(self, wait_ms: float, now_ms: float) -> None:
        wait_ms = max(_MIN_BLOCK_MS, wait_ms)
        self._blocked_until_ms = now_ms + min(wait_ms, _MAX_BLOCK_MS)
        self._turn_at_ms = max(self._turn_at_ms, now_ms + wait_ms)

    def _refuse(self, now_ms: float) -> QuotaRefusal:
        """Refuse until there is room for it and for those refused before.

        While nobody grants credit, nothing is known of the room.
        """
        if not self._has_granter:
            return QuotaRefusal(
                int(_UNREACHABLE_WAIT_MS), self.used, self._age_ms(now_ms)
            )
        latest_ms = now_ms + _MAX_RETRY_AFTER_MS
        retry_at_ms = min(max(self._turn_at_ms, now_ms), latest_ms)
        self._turn_at_ms = retry_at_ms + min(
            self._granted.interval_ms(now_ms), _MAX_SPACING_MS
        )
        return QuotaRefusal(
            max(1, int(retry_at_ms - now_ms)), self.used, self._age_ms(now_ms)
        )

    def _age_ms(self, now_ms: float) -> int:
        """Return the age of the owner's last answer, -1 without one."""
        age_ms = now_ms - self.heard_at_ms
        return -1 if age_ms == inf else int(age_ms)


__all__ = ('QuotaLedger',)
