"""Runs ticket requests that other nodes forward to this node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Failure, Success

from ...outcome import Outcome
from ...reasons import Reason
from ...wire.messages import Head, Message, Refusal, TicketSubmit
from ..entry.requests import Answer, CallerRequest, Refused
from .token import decode_ticket

if TYPE_CHECKING:
    from collections.abc import Callable

    from .dispatch import TicketDispatcher


class TicketServer:
    """Runs forwarded requests and answers on the link they arrived on.

    :param keys: keys with which a ticket may be signed.
    :param tickets: runs the requests.
    """

    def __init__(
        self,
        keys: tuple[str, ...],
        tickets: TicketDispatcher,
    ) -> None:
        self._keys = keys
        self._tickets = tickets

    def accept(
        self,
        submit: TicketSubmit,
        send: Callable[[Message], None],
    ) -> None:
        """Run a forwarded request in a new greenlet.

        :param submit: the request.
        :param send: sends a message back on the request's link.
        """
        gevent.spawn(self._run, submit, send)

    def _run(
        self,
        submit: TicketSubmit,
        send: Callable[[Message], None],
    ) -> None:
        match decode_ticket(submit.ticket, self._keys):
            case Success(ticket):
                answer = self._tickets.run_here(_request_of(submit), ticket)
            case Failure():
                answer = Refused(Outcome.NOT_RUN, Reason.TICKET_REFUSED)
        send(_message_of(submit.request_id, answer))


def _request_of(submit: TicketSubmit) -> CallerRequest:
    return CallerRequest(
        method=submit.method,
        path=submit.target.partition('?')[0],
        target=submit.target,
        headers=submit.headers,
        organisation=submit.organisation,
        deadline_ms=submit.deadline_ms,
        body_bytes=len(submit.chunk),
        chunk=submit.chunk,
        last=True,
        read_body=lambda _: b'',
    )


def _message_of(request_id: int, answer: Answer) -> Message:
    if isinstance(answer, Refused):
        return Refusal(
            request_id,
            answer.outcome.value,
            answer.reason.value,
            answer.retry_after_ms,
        )
    body = answer.body.buffered or b''
    return Head(
        request_id, answer.status, answer.headers, len(body), body, True
    )


__all__ = ('TicketServer',)
