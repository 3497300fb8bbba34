"""Steps about the priority with which an entry submits requests."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest.mock import MagicMock

from behave import given, then, when

from features.steps.organisation_steps import keyed_document, tenant
from features.steps.tolerant_steps import ConfigNode
from jackdawhead.audit import AuditTrail
from jackdawhead.blackboard import Vm, VmList
from jackdawhead.node.entry.attempts import PendingAttempts
from jackdawhead.node.entry.dispatcher import Dispatcher
from jackdawhead.node.entry.requests import CallerRequest
from jackdawhead.node.entry.routing import RoutingController
from jackdawhead.outcome import Outcome
from jackdawhead.reasons import Reason
from jackdawhead.wire.messages import Message, Refusal, Submit

if TYPE_CHECKING:
    from behave.runner import Context

_HOME = 'vm-1'
_PORT = 7000


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


@then('it is submitted with priority {priority:d}')
def check_priority(context: Context, priority: int) -> None:
    """Check what the home got."""
    found = {submit.priority for submit in context.home.submitted}
    assert found == {priority}, found
