"""Keeps the tickets that this incarnation has issued."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Final

import gevent
from gevent.event import AsyncResult

from ...clock import monotonic_ms, seconds
from ...outcome import Outcome
from ...reasons import Reason
from ..entry.answer_body import CutAnswerError
from ..entry.requests import Answer, Refused, UpstreamAnswer
from ..entry.buffered_body import BufferedBody
from .token import Ticket

if TYPE_CHECKING:
    from ..identity import Identity

TICKET_LIFETIME_MS: Final = 600_000
_MAX_TICKETS: Final = 50_000
_MAX_KEPT_BYTES: Final = 65_536
_MAX_BYTES: Final = 4_000_000
_GONE: Final = Refused(Outcome.UNKNOWN, Reason.TICKET_GONE)


@dataclass(slots=True)
class _Entry:
    """A ticket: issued, running, or with its answer.

    :param answer: set when a run has ended in anything but 'not run'.
    :param kept_bytes: size of the answer's body.
    """

    issued_at_ms: float
    is_claimed: bool = False
    answer: AsyncResult = field(default_factory=AsyncResult)
    kept_bytes: int = 0


class TicketStore:
    """Runs each ticket at most once and repeats its answer.

    A ticket that is not kept here, because it has grown old or was issued
    by another incarnation, is never run. Both the number of tickets and
    the size of the kept answers are bounded.

    :param identity: this node.
    """

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self._numbers = count(1)
        self._entries: OrderedDict[int, _Entry] = OrderedDict()
        self._kept_bytes = 0

    def __len__(self) -> int:
        """Return the number of tickets that are kept."""
        return len(self._entries)

    def issue(self) -> Ticket:
        """Return a new ticket."""
        now_ms = monotonic_ms()
        self._forget_old(now_ms)
        number = next(self._numbers)
        self._entries[number] = _Entry(now_ms)
        return Ticket(self._identity.vm, self._identity.incarnation, number)

    def run(
        self,
        ticket: Ticket,
        work: Callable[[], Answer],
        timeout_ms: float,
    ) -> Answer:
        """Run the work of a ticket, or return the answer of its first run.

        The run goes on when its caller hangs up, so that a resend finds
        the answer.

        :param ticket: a ticket with a valid signature.
        :param work: the run.
        :param timeout_ms: longest wait for the answer.
        """
        entry = self._find(ticket)
        if entry is None:
            return _GONE
        if not entry.is_claimed:
            entry.is_claimed = True
            gevent.spawn(self._run, ticket.number, entry, work)
        answer: Answer | None = entry.answer.wait(seconds(timeout_ms))
        if answer is None:
            return Refused(Outcome.UNKNOWN, Reason.DEADLINE)
        return answer

    def _find(self, ticket: Ticket) -> _Entry | None:
        if ticket.incarnation != self._identity.incarnation:
            return None
        self._forget_old(monotonic_ms())
        return self._entries.get(ticket.number)

    def _run(
        self,
        number: int,
        entry: _Entry,
        work: Callable[[], Answer],
    ) -> None:
        answer = _keep(work())
        waiting = entry.answer
        if isinstance(answer, UpstreamAnswer) and number in self._entries:
            entry.kept_bytes = answer.body_bytes
            self._kept_bytes += entry.kept_bytes
        if isinstance(answer, Refused) and answer.outcome is Outcome.NOT_RUN:
            # Proof that nothing ran: the next resend may try again.
            entry.answer = AsyncResult()
            entry.is_claimed = False
        waiting.set(answer)

    def _forget_old(self, now_ms: float) -> None:
        while self._entries:
            number = next(iter(self._entries))
            is_old = (
                now_ms - self._entries[number].issued_at_ms > TICKET_LIFETIME_MS
            )
            is_full = len(self._entries) >= _MAX_TICKETS
            if not is_old and not is_full and self._kept_bytes <= _MAX_BYTES:
                return
            self._kept_bytes -= self._entries.pop(number).kept_bytes


def _keep(answer: Answer) -> Answer:
    """Return an answer that can be given more than once."""
    if isinstance(answer, Refused):
        return answer
    body = _read_whole(answer)
    if body is None:
        return Refused(Outcome.RAN, Reason.ANSWER_TOO_LARGE)
    return UpstreamAnswer(
        answer.status, answer.headers, len(body), BufferedBody(body)
    )


def _read_whole(answer: UpstreamAnswer) -> bytes | None:
    """Return the body, or nothing if it is cut or too large to keep."""
    blocks: list[bytes] = []
    kept_bytes = 0
    try:
        for block in answer.body:
            blocks.append(block)
            kept_bytes += len(block)
            if kept_bytes > _MAX_KEPT_BYTES:
                answer.body.close()
                return None
    except CutAnswerError:
        return None
    return b''.join(blocks)


__all__ = ('TICKET_LIFETIME_MS', 'TicketStore')
