"""Stores the tickets of this incarnation and the answers to them."""

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
from ..entry.buffered_body import BufferedBody
from ..entry.requests import Answer, Refused, UpstreamAnswer
from .token import Ticket

if TYPE_CHECKING:
    from ..identity import Identity

TICKET_LIFETIME_MS: Final = 600_000
_MAX_TICKETS: Final = 50_000
_MAX_ANSWER_BYTES: Final = 65_536
_MAX_TOTAL_BYTES: Final = 4_000_000
_OF_ANOTHER: Final = Refused(Outcome.UNKNOWN, Reason.TICKET_REFUSED)
_TICKET_GONE: Final = Refused(Outcome.UNKNOWN, Reason.TICKET_GONE)


@dataclass(slots=True)
class _Entry:
    """A ticket: issued, running or answered.

    :param issued_at_ms: monotonic time.
    :param is_started: whether its request runs or has run.
    :param answer: result of the run; replaced by a new one after an outcome
        of 'not run'.
    :param body_bytes: size of the answer's body.
    :param organisation: organisation whose request it is, if a key told it.
    """

    issued_at_ms: float
    is_started: bool = False
    answer: AsyncResult = field(default_factory=AsyncResult)
    body_bytes: int = 0
    organisation: str = ''


class TicketStore:
    """Runs each ticket at most once and returns its answer to each resend.

    A ticket that is not stored, because it was evicted or issued by another
    incarnation, never runs. Both the number of tickets and the total size of
    the stored answers are limited; the oldest tickets are evicted first.

    :param identity: identity of this node.
    """

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self._numbers = count(1)
        self._entries: OrderedDict[int, _Entry] = OrderedDict()
        self._stored_bytes = 0

    def __len__(self) -> int:
        """Return the number of stored tickets."""
        return len(self._entries)

    def issue(self) -> Ticket:
        """Create and store a ticket."""
        now_ms = monotonic_ms()
        self._evict(now_ms)
        number = next(self._numbers)
        self._entries[number] = _Entry(now_ms)
        return Ticket(self._identity.vm, self._identity.incarnation, number)

    def run(
        self,
        ticket: Ticket,
        work: Callable[[], Answer],
        timeout_ms: float,
        organisation: str = '',
    ) -> Answer:
        """Run the work of a ticket, or return the answer of its first run.

        The run continues when the caller disconnects, so that a resend gets
        the answer.

        :param ticket: ticket with a valid signature.
        :param work: runs the request and returns the answer.
        :param timeout_ms: longest wait for the answer.
        :param organisation: organisation that a key identifies, if any;
            another one doesn't get the answer.
        """
        entry = self._find(ticket)
        if entry is None:
            return _TICKET_GONE
        if not entry.is_started:
            entry.is_started = True
            entry.organisation = organisation
            gevent.spawn(self._run, ticket.number, entry, work)
        if entry.organisation not in {'', organisation}:
            return _OF_ANOTHER
        answer: Answer | None = entry.answer.wait(seconds(timeout_ms))
        if answer is None:
            return Refused(Outcome.UNKNOWN, Reason.DEADLINE)
        return answer

    def _find(self, ticket: Ticket) -> _Entry | None:
        if ticket.incarnation != self._identity.incarnation:
            return None
        self._evict(monotonic_ms())
        return self._entries.get(ticket.number)

    def _run(
        self,
        number: int,
        entry: _Entry,
        work: Callable[[], Answer],
    ) -> None:
        answer = _buffered(work())
        waiting = entry.answer
        if isinstance(answer, UpstreamAnswer) and number in self._entries:
            entry.body_bytes = answer.body_bytes
            self._stored_bytes += entry.body_bytes
        if isinstance(answer, Refused) and answer.outcome is Outcome.NOT_RUN:
            # The request certainly did not run: a resend may run it.
            entry.answer = AsyncResult()
            entry.is_started = False
        waiting.set(answer)

    def _evict(self, now_ms: float) -> None:
        while self._entries:
            number = next(iter(self._entries))
            is_expired = (
                now_ms - self._entries[number].issued_at_ms > TICKET_LIFETIME_MS
            )
            is_full = len(self._entries) >= _MAX_TICKETS
            if (
                not is_expired
                and not is_full
                and self._stored_bytes <= _MAX_TOTAL_BYTES
            ):
                return
            self._stored_bytes -= self._entries.pop(number).body_bytes


def _buffered(answer: Answer) -> Answer:
    """Return an answer that can be sent more than once."""
    if isinstance(answer, Refused):
        return answer
    body = _read_body(answer)
    if body is None:
        return Refused(Outcome.RAN, Reason.ANSWER_TOO_LARGE)
    return UpstreamAnswer(
        answer.status, answer.headers, len(body), BufferedBody(body)
    )


def _read_body(answer: UpstreamAnswer) -> bytes | None:
    """Return the body, or nothing if it is truncated or too large to store."""
    blocks: list[bytes] = []
    body_bytes = 0
    try:
        for block in answer.body:
            blocks.append(block)
            body_bytes += len(block)
            if body_bytes > _MAX_ANSWER_BYTES:
                answer.body.close()
                return None
    except CutAnswerError:
        return None
    return b''.join(blocks)


__all__ = ('TICKET_LIFETIME_MS', 'TicketStore')
