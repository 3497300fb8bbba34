"""Steps about the order of VM lists that several nodes read from the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import gevent
from behave import given, then, when
from returns.result import Success

from features.steps.odd_entry_steps import ListNode, list_text_of
from features.steps.platform_steps import (
    bring_store_up,
    take_store_down,
    upstream_entry,
)
from jackdawhead.config.settings import Address
from jackdawhead.node.vm_list_codec import list_text
from jackdawhead.platform.store_source import StoreSource

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.blackboard import UpstreamDetails

_ZONES = {'a': 'here', 'b': 'here'}
_EXPIRY_MS = 40.0
_GRACE_S = 2.3
_CHANGED_SLOTS = 2


def new_source(context: Context) -> StoreSource:
    """Return a source that reads the store of the scenario."""
    address = Address('127.0.0.1', int(context.store.port))
    return StoreSource(address, _ZONES, 7000, _EXPIRY_MS, frozenset((7000,)))


def read_list(source: StoreSource, node: ListNode) -> None:
    """Offer a node what a source reads, as the node's watch does."""
    answered = source.read('vms', node.vm_list.version, 10)
    assert isinstance(answered, Success), answered
    published = answered.unwrap()
    if published is not None:
        text = json.dumps(published.content)
        node.membership.offer(
            published.version, text, generation=published.generation
        )


def pass_on(sender: ListNode, receiver: ListNode) -> None:
    """Send a node the list of another one if it is later."""
    known = receiver.vm_list.order
    if sender.vm_list.order > known:
        receiver.receive(sender.answer(known.version, known.generation))


def upstreams_of(node: ListNode) -> list[UpstreamDetails]:
    """Return all upstreams that a node lists."""
    return [
        details
        for vm in node.vm_list.vms.values()
        for details in vm.details.values()
    ]


@given(
    'a reader that {knows} and follows the store, and a node of another zone'
)
def make_nodes(context: Context, knows: str) -> None:
    """Create both nodes; the reader has read the store or is about to."""
    context.reader = ListNode()
    context.other = ListNode()
    context.source = new_source(context)
    context.source.follow(lambda: context.reader.vm_list)
    if knows == 'has read all':
        read_list(context.source, context.reader)
        pass_on(context.reader, context.other)


@given('both follow a list of all upstreams')
def give_list(context: Context) -> None:
    """Let a reader of another zone read the store for both nodes."""
    read_list(new_source(context), context.other)
    pass_on(context.other, context.reader)


@when('the store turns the reader away until entries may expire')
def turn_away(context: Context) -> None:
    """Make the calls of the reader fail."""
    take_store_down(context)
    bring_store_up(context)


@when('meanwhile an upstream leaves the store, and another reader sees it')
def leave_seen(context: Context) -> None:
    """Remove an entry; a reader that the store serves tells the other node."""
    context.store.remove('servers/i-0')
    served = ListNode()
    read_list(new_source(context), served)
    pass_on(served, context.other)
    assert len(upstreams_of(context.other)) == 2


@when('an upstream joins, and another reader tells both before it is lost')
def join_seen(context: Context) -> None:
    """Write the entry of a fourth upstream; only another reader reads it."""
    context.store.put('servers/i-3', upstream_entry(4))
    give_list(context)


@when('that upstream leaves the store')
def leave_unseen(context: Context) -> None:
    """Remove the entry again; nobody reads the store."""
    context.store.remove('servers/i-3')


@when('the store keeps its history')
def keep_history(context: Context) -> None:
    """Do nothing."""


@when('the store serves the reader again, and an upstream is changed')
def change_one(context: Context) -> None:
    """Write an entry, so that the revision is later than all known ones."""
    entry = upstream_entry(2, slots=_CHANGED_SLOTS)
    context.store.put('servers/i-1', entry)


@when('the reader passes on what it reads')
def read_and_pass_on(context: Context) -> None:
    """Read the store once and tell the other node, and the reverse."""
    read_list(context.source, context.reader)
    pass_on(context.reader, context.other)
    pass_on(context.other, context.reader)


@when('the grace period of the reader ends, and it passes on what it reads')
def end_grace(context: Context) -> None:
    """Read again when removals are no longer held back."""
    gevent.sleep(_GRACE_S)
    read_and_pass_on(context)


@given(
    'two nodes with provisional lists of version {version:d}, one of which has'
    ' an upstream more'
)
def make_provisional(context: Context, version: int) -> None:
    """Offer lists as two readers read them."""
    context.reader = ListNode()
    context.other = ListNode()
    for node, count in ((context.reader, 1), (context.other, 2)):
        node.membership.offer(version, list_text_of(count))


@when('the other one gets a complete list of version {version:d} without it')
def complete(context: Context, version: int) -> None:
    """Offer a list that is like the shorter one."""
    context.reader.membership.offer(version, list_text_of(1))


@when('it passes the list on')
def pass_list_on(context: Context) -> None:
    """Answer the node that has an earlier version."""
    pass_on(context.reader, context.other)


@then('the node lists {count:d} upstreams')
def check_count(context: Context, count: int) -> None:
    """Count the upstreams that the node of the other zone lists."""
    found = upstreams_of(context.other)
    assert len(found) == count, (context.other.vm_list.version, found)


@then('the node lists {count:d} upstreams, one of them changed')
def check_changed(context: Context, count: int) -> None:
    """Count the upstreams, and those that were written again."""
    check_count(context, count)
    changed = [
        each.instance
        for each in upstreams_of(context.other)
        if each.slots == _CHANGED_SLOTS
    ]
    assert changed == ['i-1'], upstreams_of(context.other)


@then('the node lists {count:d} upstreams, one of them leaving')
def check_leaving(context: Context, count: int) -> None:
    """Count the upstreams, and those that are leaving."""
    check_count(context, count)
    leaving = [each for each in upstreams_of(context.other) if each.leaving]
    assert len(leaving) == 1, leaving


@then('the reader lists the same')
@then('both nodes list the same')
def check_same(context: Context) -> None:
    """Compare both lists."""
    reader, other = context.reader.vm_list, context.other.vm_list
    assert list_text(reader) == list_text(other), (reader, other)
