"""Dispatches requests with tickets to the nodes that issued the tickets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from ...audit_kinds import AuditKind
from ...clock import monotonic_ms
from ...outcome import Outcome
from ...policy.stopping import fits_before_stop
from ...reasons import Reason
from ...wire.messages import Head, Refusal, TicketSubmit
from ..entry.answer_body import AnswerBody
from ..entry.call_state import DEADLINE_GRACE_MS
from ..entry.requests import Answer, CallerRequest, Refused, UpstreamAnswer
from ..entry.stop_limits import TICKET_STOP_REFUSAL
from .token import Ticket, decode_ticket, encode_ticket

if TYPE_CHECKING:
    from ..channels import Channels
    from ..entry.dispatcher import Dispatcher
    from ..parts import NodeParts
    from .store import TicketStore

_DEFAULT_DEADLINE_MS: Final = 60_000
_UNREACHABLE_RETRY_AFTER_MS: Final = 1000


class TicketDispatcher:
    """Issues tickets, and runs or forwards requests that carry one.

    :param parts: controllers of this node.
    :param dispatcher: dispatches the requests to upstreams.
    :param channels: channels to the nodes that issued tickets.
    """

    def __init__(
        self,
        parts: NodeParts,
        dispatcher: Dispatcher,
        channels: Channels,
    ) -> None:
        self._parts = parts
        self._dispatcher = dispatcher
        self._channels = channels
        self._store: TicketStore = parts.tickets

    def issue(self) -> str:
        """Return the signed text of a new ticket."""
        return encode_ticket(self._store.issue(), self._parts.identity.keys[0])

    def dispatch(self, request: CallerRequest, text: str) -> Answer:
        """Return the answer of the ticket's only run.

        :param request: the caller's request; refused if its body is larger
            than the buffer.
        :param text: signed text of the ticket.
        """
        if not request.last:
            return Refused(Outcome.NOT_RUN, Reason.BODY_TOO_LARGE)
        match decode_ticket(text, self._parts.identity.keys):
            case Success(ticket):
                return self._dispatch(request, ticket, text)
            case Failure(cause):
                self._parts.audit.record(
                    AuditKind.TICKET_REFUSED, request.path, str(cause)
                )
        return Refused(Outcome.NOT_RUN, Reason.TICKET_REFUSED)

    def run_here(self, request: CallerRequest, ticket: Ticket) -> Answer:
        """Run a request whose ticket this node issued.

        :param request: the caller's request.
        :param ticket: its ticket, with a valid signature.
        """
        deadline_ms = request.deadline_ms or _DEFAULT_DEADLINE_MS
        return self._store.run(
            ticket,
            lambda: self._dispatcher.dispatch(request),
            deadline_ms + DEADLINE_GRACE_MS,
            request.organisation if self._requires_keys() else '',
        )

    def _requires_keys(self) -> bool:
        loaded = self._parts.board.config.read().loaded
        return loaded is not None and loaded.config.requires_keys

    def _dispatch(
        self,
        request: CallerRequest,
        ticket: Ticket,
        text: str,
    ) -> Answer:
        if ticket.vm == self._parts.identity.vm:
            return self.run_here(request, ticket)
        deadline_ms = self._deadline_ms(request)
        ends_ms = monotonic_ms() + deadline_ms + 2 * DEADLINE_GRACE_MS
        plan = self._parts.board.stop.read()
        if not fits_before_stop(plan, deadline_ms, monotonic_ms()):
            return TICKET_STOP_REFUSAL
        channel = self._channels.channel_to(ticket.vm)
        if channel is None:
            return Refused(
                Outcome.UNKNOWN,
                Reason.TICKET_UNREACHABLE,
                _UNREACHABLE_RETRY_AFTER_MS,
            )
        attempt = self._parts.attempts.begin(channel)
        channel.send(
            TicketSubmit(
                attempt.request_id,
                text,
                request.method,
                request.target,
                request.headers,
                request.organisation,
                deadline_ms,
                request.chunk,
            )
        )
        match attempt.next_message(ends_ms - monotonic_ms()):
            case Head() as head:
                left_ms = ends_ms - monotonic_ms()
                body = AnswerBody(self._parts.attempts, attempt, head, left_ms)
                return UpstreamAnswer(
                    head.status, head.headers, head.body_bytes, body
                )
            case Refusal() as refusal:
                self._parts.attempts.end(attempt)
                return Refused(
                    Outcome(refusal.outcome),
                    Reason(refusal.reason),
                    refusal.retry_after_ms,
                )
        self._parts.attempts.end(attempt)
        return Refused(Outcome.UNKNOWN, Reason.DEADLINE)

    def _deadline_ms(self, request: CallerRequest) -> int:
        """Return the time until the deadline of the caller or the route.

        The node that issued the ticket applies its route, too, but may not
        answer.
        """
        asked_ms = request.deadline_ms or _DEFAULT_DEADLINE_MS
        table = self._parts.routing.table
        loaded = self._parts.board.config.read().loaded
        if table is None or loaded is None:
            return asked_ms
        route = table.match(request.method, request.path, request.host)
        if route is None:
            return asked_ms
        services = loaded.config.services
        allowed_ms = max(
            route.allowed_ms(services[name]) for name in route.services
        )
        return min(asked_ms, allowed_ms)


__all__ = ('TicketDispatcher',)
