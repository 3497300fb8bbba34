"""Steps about the priority with which an entry submits requests."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any
from unittest.mock import MagicMock

from behave import given, then, when

from features.steps.organisation_steps import keyed_document, tenant
from features.steps.tolerant_steps import ConfigNode
from jackdawhead.audit import AuditTrail
from jackdawhead.blackboard import Vm, VmList
from jackdawhead.node.entry.attempts import PendingAttempts
from jackdawhead.node.entry.dispatcher import Dispatcher
from jackdawhead.node.entry.organisation_counts import OrganisationCounts
from jackdawhead.node.entry.requests import (
    Answer,
    CallerRequest,
    Refused,
    UpstreamAnswer,
)
from jackdawhead.node.entry.routing import RoutingController
from jackdawhead.node.identity import new_identity
from jackdawhead.node.tickets.store import TicketStore
from jackdawhead.outcome import Outcome
from jackdawhead.reasons import Reason
from jackdawhead.wire.messages import Message, Refusal, Submit

if TYPE_CHECKING:
    from behave.runner import Context

_HOME = 'vm-1'
_PORT = 7000
_OK = 200
_TIMEOUT_MS = 1000.0
_ANSWER = Refused(Outcome.NOT_RUN, Reason.OVERLOADED)


class _RefusingHome:
    """Refuses each request, and keeps it."""

    vm = _HOME
    last_pong_at_ms = 0

    def __init__(self, attempts: PendingAttempts) -> None:
        self.submitted: list[Submit] = []
        self._attempts = attempts

    def send(self, message: Message) -> None:
        """Refuse a request."""
        if isinstance(message, Submit):
            self.submitted.append(message)
            refusal = Refusal(
                message.request_id,
                Outcome.NOT_RUN.value,
                Reason.OVERLOADED.value,
                1000,
            )
            self._attempts.deliver(self, refusal)


@given(
    'an entry that knows "{first}" of priority 0 and "{second}" without a'
    ' priority'
)
def start_entry(context: Context, first: str, second: str) -> None:
    """Create an entry that knows one upstream."""
    node = ConfigNode()
    parts = MagicMock()
    parts.board = node.board
    parts.attempts = PendingAttempts()
    parts.routing = RoutingController(
        'entry', 'a', node.board, AuditTrail(), Random(1)
    )
    node.publish(
        7, keyed_document(tenant(first, 'k-1', priority=0), tenant(second))
    )
    upstream = Vm(_HOME, 'a', '127.0.0.1', False, _PORT, {'desk': _PORT})
    node.board.vm_list.write(VmList(1, {_HOME: upstream}))
    context.home = _RefusingHome(parts.attempts)
    channels = MagicMock()
    channels.channel_to.return_value = context.home
    context.dispatcher = Dispatcher(parts, channels)


@when('a request of "{name}" for an operation of priority 1 is dispatched')
def dispatch(context: Context, name: str) -> None:
    """Dispatch a request of an organisation."""
    _dispatch(context, name)


@when('a request of "" for an operation of priority 1 is dispatched')
def dispatch_nameless(context: Context) -> None:
    """Dispatch a request without an organisation."""
    _dispatch(context, '')


def _dispatch(context: Context, name: str) -> None:
    context.dispatcher.dispatch(
        CallerRequest(
            method='GET',
            path='/d/1',
            target='/d/1',
            headers=[],
            organisation=name,
            deadline_ms=1000,
            body_bytes=0,
            chunk=b'',
            last=True,
            read_body=lambda _: b'',
            host='desk.example',
        )
    )


@given('a ticket with which "{name}" has had work done')
def use_ticket(context: Context, name: str) -> None:
    """Run the work of a ticket."""
    context.store = TicketStore(new_identity('vm-1', ('a-key-for-tests',)))
    context.ticket = context.store.issue()
    context.answer = _resend(context, name)
    assert isinstance(context.answer, UpstreamAnswer), context.answer


def _resend(context: Context, name: str) -> Answer:
    body: Any = [b'done']
    answer = UpstreamAnswer(_OK, [], 4, body)
    found: Answer = context.store.run(
        context.ticket, lambda: answer, _TIMEOUT_MS, name
    )
    return found


@then(
    '"{name}" gets the answer again, and "{other}" and callers without a key'
    ' are refused'
)
def check_ticket(context: Context, name: str, other: str) -> None:
    """Resend the request of the ticket."""
    assert _resend(context, name) is context.answer
    for caller in (other, ''):
        refused = _resend(context, caller)
        assert isinstance(refused, Refused), refused
        assert refused.reason is Reason.TICKET_REFUSED, refused
        assert refused.outcome is Outcome.UNKNOWN, refused


@given(
    'answers to {count:d} organisations, more to each than to the one before'
)
def count_rising(context: Context, count: int) -> None:
    """Count the answers."""
    context.counts = OrganisationCounts()
    for number in range(count):
        for _ in range(number + 1):
            context.counts.note(f'o-{number}', _ANSWER)


@given('answers to {count:d} organisations, the first of which gets one more')
def count_many(context: Context, count: int) -> None:
    """Count the answers."""
    context.counts = OrganisationCounts()
    for number in (0, *range(count)):
        context.counts.note(f'o-{number}', _ANSWER)


@then('the {largest:d} largest are shown, then the rest of {others:d} as one')
def check_largest(context: Context, largest: int, others: int) -> None:
    """Check names and numbers."""
    shown = [(each.name, each.refused) for each in context.counts.shown()]
    total = largest + others
    expected = [(f'o-{each - 1}', each) for each in range(total, others, -1)]
    rest = sum(range(1, others + 1))
    assert shown == [*expected, ('', rest)], shown


@then('at most {most:d} are shown, with {requests:d} requests')
def check_bounded(context: Context, most: int, requests: int) -> None:
    """Check that nothing is lost."""
    shown = context.counts.shown()
    assert len(shown) <= most, len(shown)
    assert shown[0].name == 'o-0', shown[0]
    assert sum(each.requests for each in shown) == requests


@then('it is submitted with priority {priority:d}')
def check_priority(context: Context, priority: int) -> None:
    """Check what the home got."""
    found = {submit.priority for submit in context.home.submitted}
    assert found == {priority}, found
