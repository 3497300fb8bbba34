"""Steps about the store's return from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from unittest.mock import MagicMock

import gevent
from behave import given, then, when
from gevent import socket
from returns.result import Failure

from features.steps.list_order_steps import (
    make_nodes,
    read_and_pass_on,
    upstreams_of,
)
from features.steps.odd_entry_steps import ListNode, list_text_of
from features.steps.platform_steps import (
    publish_next,
    start_store,
    upstream_entry,
)
from jackdawhead.clock import monotonic_ms
from jackdawhead.node.gossip_controller import GossipController
from jackdawhead.node.identity import Identity
from jackdawhead.node.links import DialledLink
from jackdawhead.policy.list_order import ListOrder
from jackdawhead.wire.codec import FrameReader, decode, encode
from jackdawhead.wire.generations import GENERATIONS_KNOWN, with_generation
from jackdawhead.wire.messages import (
    Heartbeat,
    VmListDelta,
    VmListRequest,
    VmListSnapshot,
)

if TYPE_CHECKING:
    from behave.runner import Context

    from jackdawhead.wire.messages import Message

_PROOF_MS: Final = 400.0
_PROVEN_S: Final = 0.6
_JOINED: Final = 9
_ARRIVAL_S: Final = 0.05
_MAX_RECEIVED: Final = 65_536
_NO_CHANGE: Final = '{"changed": [], "gone": []}'


@given('a store that names its generation, with {count:d} upstreams')
def start_naming_store(context: Context, count: int) -> None:
    """Start a store whose answers name their generation."""
    start_store(context, count)
    context.store.generation = 1


@given('a reader and a node of another zone that follow it')
@when('a reader and a node of another zone follow the store')
def follow(context: Context) -> None:
    """Let the reader read all and tell the other node."""
    make_nodes(context, 'has read all')
    for node in (context.reader, context.other):
        node.membership.proof_ms = _PROOF_MS
    context.source.follow(lambda: context.reader.membership.listed)


@when('the store is copied')
def copy_store(context: Context) -> None:
    """Keep a copy of the store's data."""
    context.copy = context.store.copy()


@when('the store comes back from the copy')
def restore(context: Context) -> None:
    """Go back to the copy."""
    context.store.restore(context.copy)


@when('the store comes back from a copy of itself')
def restore_now(context: Context) -> None:
    """Begin a generation without any loss."""
    context.store.restore(context.store.copy())


@when(
    'the store comes back from the copy, and a configuration of version 8'
    ' follows at once'
)
def restore_and_publish(context: Context) -> None:
    """Publish before any watch has noticed the return."""
    context.silenced_at_ms = monotonic_ms()
    restore(context)
    publish_next(context)


@when('{count:d} changes are made')
def make_changes(context: Context, count: int) -> None:
    """Write entries that change each time."""
    for number in range(count):
        entry = upstream_entry(2, slots=2 + number)
        context.store.put('servers/i-1', entry)


@when('{count:d} changes are made, and the store comes back from the copy')
def lose_changes(context: Context, count: int) -> None:
    """Let the reader learn of changes that the copy lacks."""
    make_changes(context, count)
    read_and_pass_on(context)
    restore(context)


@when('an upstream joins')
def join(context: Context) -> None:
    """Write the entry of another upstream."""
    context.store.put(f'servers/i-{_JOINED}', upstream_entry(_JOINED))


@when('the entry of that upstream outlives its expiry')
def outlive(context: Context) -> None:
    """Wait until an entry that is still listed proves that it lives."""
    gevent.sleep(_PROVEN_S)


@then('the node uses {count:d} upstreams')
def check_used(context: Context, count: int) -> None:
    """Count the upstreams of both nodes that are not leaving."""
    for node in (context.reader, context.other):
        used = [each for each in upstreams_of(node) if not each.leaving]
        assert len(used) == count, (node.vm_list.order, upstreams_of(node))


@when('answers name the generation before')
def name_earlier(context: Context) -> None:
    """Answer as a store that is out of date does."""
    context.store.generation -= 1


@when('answers name the generation again')
def name_again(context: Context) -> None:
    """Answer as before."""
    context.store.generation += 1


@when('answers name the generation "{odd}"')
def name_odd(context: Context, odd: str) -> None:
    """Answer with another value of the header."""
    context.store.generation = odd


@then('the source refuses to read')
def check_refused(context: Context) -> None:
    """Check that an answer out of date is a failure."""
    answered = context.source.read('vms', 0, 10)
    assert isinstance(answered, Failure), answered


@given(
    'a node with a list of {count:d} VMs of version {version:d},'
    ' generation {generation:d}'
)
def make_node(
    context: Context, count: int, version: int, generation: int
) -> None:
    """Create a node, with the part that handles messages of other nodes."""
    context.node = ListNode()
    offer_list(context.node, count, version, generation)
    parts = MagicMock(board=context.node.board)
    parts.settings.zone = 'a'
    parts.membership = context.node.membership
    parts.home.refusals.return_value = ()
    parts.crashes.recent_crashes.return_value = ()
    context.gossip = GossipController(parts, tuple)


def offer_list(
    node: ListNode, count: int, version: int, generation: int
) -> None:
    """Give a node a list as a reader does."""
    text = list_text_of(count)
    node.membership.offer(version, text, generation=generation)


@when(
    'it gets a change of {count:d} VMs from version {base:d} to {version:d} of'
    ' generation {generation:d}'
)
def receive_change(
    context: Context, count: int, base: int, version: int, generation: int
) -> None:
    """Send the node a change, as a node of a later generation does."""
    assert count > len(context.node.vm_list.vms)
    change = VmListDelta(base, version, _NO_CHANGE, generation)
    context.node.receive(change)


@then(
    'it asks for the list that follows version {version:d} of generation'
    ' {generation:d}'
)
def check_asked(context: Context, version: int, generation: int) -> None:
    """Check that the node has asked, and has kept its list."""
    assert context.node.sent == [VmListRequest(version, generation)]
    assert context.node.vm_list.order == ListOrder(generation, version)


@when(
    'it gets the list of {count:d} VMs of version {version:d},'
    ' generation {generation:d}'
)
def receive_list(
    context: Context, count: int, version: int, generation: int
) -> None:
    """Send the node a whole list."""
    text = list_text_of(count)
    context.node.receive(VmListSnapshot(version, text, generation))


@then('it lists {count:d} VMs')
def check_vms(context: Context, count: int) -> None:
    """Count the VMs of the list in force."""
    assert len(context.node.vm_list.vms) == count, context.node.vm_list


@when('it is linked to a node {build}')
def link_node(context: Context, build: str) -> None:
    """Link the node to one whose messages the scenario sends."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        own_end = socket.create_connection(listener.getsockname())
        context.peer_end = listener.accept()[0]
    identity = Identity('vm-0', 1, ('a-key',))
    link = DialledLink(identity, own_end, MagicMock(), MagicMock())
    context.stack.callback(link.close, 'scenario ended')
    link.vm = 'vm-1'
    context.link = link
    context.gossip.on_link_ready(link)
    if build == 'that knows generations':
        context.gossip.receive(link, GENERATIONS_KNOWN)


def received(context: Context) -> list[Message]:
    """Return the messages that have arrived at the other node."""
    context.link.flush(1000)
    gevent.sleep(_ARRIVAL_S)
    payloads = FrameReader().feed(context.peer_end.recv(_MAX_RECEIVED))
    return [decode(each).unwrap() for each in payloads]


@then('no message to that node names a generation')
def check_unnamed(context: Context) -> None:
    """Check all messages, the heartbeats among them."""
    messages = received(context)
    beats = [each for each in messages if isinstance(each, Heartbeat)]
    assert beats, messages
    for each in messages:
        assert encode(each) == encode(with_generation(each, 0)), each


@then('it names generation {generation:d} to that node')
def check_named(context: Context, generation: int) -> None:
    """Check the latest heartbeat."""
    beats = [each for each in received(context) if isinstance(each, Heartbeat)]
    assert beats[-1].vm_list_generation == generation, beats


@when('that node has a list of {count:d} VMs of version {version:d}')
def announce(context: Context, count: int, version: int) -> None:
    """Announce a version as earlier builds do."""
    announce_generation(context, count, version, 0)


@when(
    'that node has a list of {count:d} VMs of version {version:d} in generation'
    ' {generation:d}'
)
def announce_generation(
    context: Context, count: int, version: int, generation: int
) -> None:
    """Announce a version and its generation."""
    context.update = VmListSnapshot(version, list_text_of(count), generation)
    beat = Heartbeat(7, 7, False, version, generation)
    context.gossip.receive(context.link, beat)


@then(
    'the node asks it for the list after version {version:d}, and lists'
    ' {count:d} VMs'
)
def check_followed(context: Context, version: int, count: int) -> None:
    """Answer the request, and check the list in force."""
    requests = [
        each for each in received(context) if isinstance(each, VmListRequest)
    ]
    assert [each.version for each in requests] == [version], requests
    context.gossip.receive(context.link, context.update)
    assert len(context.node.vm_list.vms) == count, context.node.vm_list
