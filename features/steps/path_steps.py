"""Steps about one link between two ends in this process, and its failures."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest.mock import MagicMock

import gevent
from behave import given, then, when
from gevent import socket
from gevent.server import StreamServer

from features.steps.fleet_steps import start_relay
from jackdawhead.blackboard import Blackboard, Vm, VmList
from jackdawhead.clock import monotonic_ms
from jackdawhead.config.model import RetryPolicy
from jackdawhead.node.dialler import Dialler
from jackdawhead.node.entry.attempts import PendingAttempts
from jackdawhead.node.entry.path_checker import PathChecker
from jackdawhead.node.entry.race import Copy, Race
from jackdawhead.node.identity import new_identity
from jackdawhead.node.links import (
    HEARTBEAT_SUPPRESSION_MS,
    AcceptedLink,
    DialledLink,
    Link,
)
from jackdawhead.outcome import Outcome
from jackdawhead.policy.loads import LoadReport, UpstreamLoad
from jackdawhead.policy.resend import AttemptEnd
from jackdawhead.policy.retries import RetryBudget
from jackdawhead.reasons import Reason
from jackdawhead.wire.messages import Heartbeat, Message, Refusal

if TYPE_CHECKING:
    from behave.runner import Context

_IP = '127.0.0.1'
_KEYS = ('a-shared-key-for-tests-only',)
_HEARTBEAT_INTERVAL_S = 0.02
_ACCEPT_DELAY_S = 0.05
_RUN_MS = 1.0
_TIMEOUT_MS = 5000.0
_VERIFICATION_EXPIRY_S = 0.4


def ignore(link: Link, event: Message | str) -> None:
    """Ignore a message or a close of the link."""


def send_heartbeats(link: Link) -> None:
    """Send heartbeats until the link is closed."""
    while not link.ended.is_set():
        link.send(Heartbeat(0, 0, leaving=False))
        gevent.sleep(_HEARTBEAT_INTERVAL_S)


def accept(sock: socket.socket, _: tuple[str, int]) -> None:
    """Serve the home's end of a link."""
    link = AcceptedLink(new_identity('home', _KEYS), sock, ignore, ignore)
    link.challenge()
    link.ready.get()
    send_heartbeats(link)


@given('a link to a home behind a relay, both sending heartbeats')
def link_home(context: Context) -> None:
    """Open a link of which this process has both ends."""
    server = StreamServer((_IP, 0), accept)
    server.start()
    context.stack.callback(server.stop, 0)
    context.relay = start_relay(context, server.server_port)
    sock = socket.create_connection((_IP, context.relay.port))
    context.link = DialledLink(
        new_identity('entry', _KEYS), sock, ignore, ignore
    )
    context.stack.callback(context.link.close, 'end of scenario')
    assert context.link.ready.get()
    gevent.spawn(send_heartbeats, context.link)


@given('a node that has begun to dial its peers')
def begin_dials(context: Context) -> None:
    """Start a peer that is slow to answer, and a node's dial of it."""

    def accept_late(sock: socket.socket, peer: tuple[str, int]) -> None:
        gevent.sleep(_ACCEPT_DELAY_S)
        accept(sock, peer)

    server = StreamServer((_IP, 0), accept_late)
    server.start()
    context.stack.callback(server.stop, 0)
    parts = MagicMock()
    parts.identity = new_identity('entry', _KEYS)
    parts.board = Blackboard()
    gossip = MagicMock()
    gossip.receive.side_effect = lambda link, _: link.heard_heartbeat.set()
    context.dialler = Dialler(parts, gossip)
    vms = {
        'entry': Vm('entry', 'a', _IP, False, 1, {}),
        'home': Vm('home', 'a', _IP, False, server.server_port, {}),
    }
    parts.board.vm_list.write(VmList(1, vms))
    context.dialler.redial()
    gevent.sleep(0)


@when('it catches up with its peers')
def ask_peers(context: Context) -> None:
    """Dial the peers with an ample timeout."""
    context.dialler.dial_peers(_TIMEOUT_MS)


@then('it is linked to them and has received their heartbeats')
def check_linked(context: Context) -> None:
    """Check the links and their heartbeats."""
    links = context.dialler.links
    assert [link.vm for link in links] == ['home'], links
    assert all(link.heard_heartbeat.is_set() for link in links)


@when('the path is cut {direction}')
def cut_path(context: Context, direction: str) -> None:
    """Stop the bytes to the home, or those from it."""
    if direction == 'forward':
        context.relay.cut_forward()
    else:
        context.relay.cut_backward()


@then('a lookup sent on the link is given up as "{reason}"')
def check_given_up(context: Context, reason: str) -> None:
    """Wait for an answer that cannot arrive."""
    silent: list[str] = []
    attempt = PendingAttempts().begin(context.link)
    first = PathChecker(silent.append).first_message(
        attempt, _RUN_MS, _TIMEOUT_MS
    )
    assert isinstance(first, Refusal), first
    assert first.reason == reason, first
    assert silent == ['home']


@then('a lookup with a second copy that is refused is given up as "{reason}"')
def check_race_given_up(context: Context, reason: str) -> None:
    """Refuse the second copy at once, and wait for the first."""
    attempts = PendingAttempts()
    first = attempts.begin(context.link)
    second = attempts.begin(context.link, first)
    second.deliver(Refusal(second.request_id, 'not-run', 'busy', 0))
    copies = (Copy(first, load(), 0), Copy(second, load(), 0))
    reply = Race(attempts, PathChecker(str), copies, _TIMEOUT_MS).run()
    assert isinstance(reply.message, Refusal), reply
    assert reply.message.reason == reason, reply


@then('the path is verified for work that is not idempotent')
def check_verified(context: Context) -> None:
    """Ping the home."""
    assert PathChecker(str).is_verified(context.link)
    context.last_pong_at_ms = monotonic_ms()


@then('such work is not sent once the verification has expired')
def check_not_verified(context: Context) -> None:
    """Ping the home again after the earlier answer has expired."""
    silent: list[str] = []
    gevent.sleep(_VERIFICATION_EXPIRY_S)
    assert not PathChecker(silent.append).is_verified(context.link)
    assert silent == ['home']


def load() -> UpstreamLoad:
    """Return the load of an upstream whose short work takes 1 ms."""
    return UpstreamLoad('home', 'home', 'zone', LoadReport(0, _RUN_MS, 1, 1))


@then('a heartbeat is due on the link half a second after the last message')
def check_heartbeat_due(context: Context) -> None:
    """Check the times just before and after a message."""
    before_ms = monotonic_ms()
    context.link.ping()
    after_ms = monotonic_ms()
    assert not context.link.needs_heartbeat(
        before_ms + HEARTBEAT_SUPPRESSION_MS - 1
    )
    assert context.link.needs_heartbeat(after_ms + HEARTBEAT_SUPPRESSION_MS)


@given('a retry budget of {attempts:d} attempts')
def make_budget(context: Context, attempts: int) -> None:
    """Create a budget with its initial tokens."""
    policy = RetryPolicy(8, 50, attempts, 20)
    context.budget = RetryBudget(policy)


def is_resent(context: Context, reason: str, attempts: int) -> bool:
    """Return whether the budget allows a resend of work that did not run."""
    end = AttemptEnd(Outcome.NOT_RUN, Reason(reason))
    return bool(context.budget.may_resend(end, attempts))


@then('work that ended as "{reason}" is resent after {attempts:d} attempts')
def check_resent(context: Context, reason: str, attempts: int) -> None:
    """Check that the budget allows a resend."""
    assert is_resent(context, reason, attempts)


@then('work that ended as "{reason}" is not resent after {attempts:d} attempts')
def check_not_resent(context: Context, reason: str, attempts: int) -> None:
    """Check that the budget denies a resend."""
    assert not is_resent(context, reason, attempts)
