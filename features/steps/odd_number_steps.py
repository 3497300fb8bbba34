"""Steps for messages with odd numbers from an authenticated node."""

from __future__ import annotations

from dataclasses import fields
from random import Random
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when

from features.steps.fleet_steps import node_at
from features.steps.platform_steps import config_document
from features.steps.tolerant_steps import ConfigNode
from features.steps.wire_steps import _KEY, connect, hello, receive
from jackdawhead.policy.member_loads import Member
from jackdawhead.policy.service_router import ServiceRouter
from jackdawhead.wire.codec import encode
from jackdawhead.wire.messages import (
    MESSAGE_CODES,
    Challenge,
    Hello,
    Message,
    UpstreamStatus,
    Welcome,
)

if TYPE_CHECKING:
    from behave.runner import Context

_HANDSHAKE: Final = (Challenge, Hello, Welcome)
_MINUTE_MS: Final = 60_000.0
_LIMITS: Final = (
    -(2**63),
    -1,
    0,
    2**31,
    2**53 + 1,
    2**63 - 1,
    2**64 - 1,
)


def message_with(
    kind: type[Message], number: int, texts: dict[str, str]
) -> Message:
    """Return a message whose numbers are all the same."""
    parts: dict[str, Any] = {
        'int': number,
        'str': '',
        'bytes': b'x',
        'bool': False,
        'HeaderPairs': [['Host', 'x']],
    }
    return kind(
        *(texts.get(each.name, parts[str(each.type)]) for each in fields(kind))
    )


@when(
    'a node with a valid key sends node {position:d}'
    ' every message with odd numbers'
)
def send_all(context: Context, position: int) -> None:
    """Send each message with each number on a link of its own."""
    texts = {
        'service': 'registry-desk',
        'upstream': f'{node_at(context, position)}/registry-desk',
        'operation': 'lookup',
        'method': 'GET',
        'target': '/cultivars/odd',
    }
    for kind in MESSAGE_CODES:
        if kind in _HANDSHAKE:
            continue
        for number in _LIMITS:
            nonce = connect(context, position)
            context.sock.sendall(encode(hello(_KEY, nonce)))
            receive(context)
            message = message_with(kind, number, texts)
            context.sock.sendall(encode(message))
            context.sock.close()


@then('no task of node {position:d} has failed')
def check_tasks(context: Context, position: int) -> None:
    """Check the log for errors that ended a task or a loop."""
    log = context.fleet.nodes[node_at(context, position)].log
    failed = [
        line
        for line in log.read_text().splitlines()
        if 'event=task-failed' in line or 'event=loop-failed' in line
    ]
    assert not failed, failed


@given('an entry that uses 2 upstreams')
def start_entry(context: Context) -> None:
    """Start the routing of a service with two upstreams."""
    node = ConfigNode()
    node.publish(7, config_document())
    service = node.loaded.config.services['desk']
    context.router = ServiceRouter(service, 'a', Random(1))
    members = tuple(Member(f'{vm}/desk', 'a', vm) for vm in ('vm-1', 'vm-2'))
    context.router.replace_members(members)
    report(context, 'vm-2/desk', 0)


def report(context: Context, upstream: str, now_ms: float) -> None:
    """Report an idle upstream."""
    status = UpstreamStatus(
        upstream, 'unused', 0, 3, 10, 0, 0, 0, 0, 0, 0, False
    )
    context.router.note_status(status, now_ms)
    context.router.tick(now_ms)


@when('the home of one reports {number:d} in all fields')
def report_odd(context: Context, number: int) -> None:
    """Report with the same number in all fields."""
    texts = {'upstream': 'vm-1/desk', 'operation': 'unused'}
    context.router.note_status(message_with(UpstreamStatus, number, texts), 0)
    context.router.tick(0)


@when('its home reports soundly a minute later')
def report_later(context: Context) -> None:
    """Report both upstreams as idle."""
    for upstream in ('vm-1/desk', 'vm-2/desk'):
        report(context, upstream, _MINUTE_MS)


@then('the entry takes it as idle, like the other')
def check_idle(context: Context) -> None:
    """Check loads and risks."""
    loads = context.router.loads
    assert [each.is_idle(_MINUTE_MS) for each in loads] == [True, True], loads
    risks = [each.risk_now(_MINUTE_MS) for each in loads]
    assert risks == [0, 0], risks
