"""Steps about the links of one dialler, in this process."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING
from unittest.mock import MagicMock

from behave import given, then, when

from features.steps.stub_home import StubHome
from jackdawhead.blackboard import Blackboard, Vm, VmList
from jackdawhead.node.dialler import Dialler
from jackdawhead.node.identity import new_identity
from standins.fleet import STREAM_KEY, wait_until

if TYPE_CHECKING:
    from behave.runner import Context


@given('a node that is linked to a home')
def link_to_home(context: Context) -> None:
    """Link a dialler to a stub in this process."""
    make_dialler(context, 'home')
    wait_until(lambda: context.dialler.link_to('home'), 'a link')


@given('a node that dials a home at the address of another')
def dial_another(context: Context) -> None:
    """Let a node of another name answer at the address of the home."""
    make_dialler(context, 'another')


def make_dialler(context: Context, stub_vm: str) -> None:
    """Create the dialler of a node, and a stub at the home's address."""
    context.stub = StubHome(stub_vm, 0, STREAM_KEY)
    context.stub.know_upstreams()
    context.stub.start()
    context.stack.callback(context.stub.stop)
    context.parts = MagicMock()
    context.parts.identity = new_identity('entry', (STREAM_KEY,))
    context.parts.board = Blackboard()
    context.parts.routing.rng = Random(7)
    gossip = MagicMock()
    gossip.receive.side_effect = lambda link, _: link.knows_upstreams.set()
    context.dialler = Dialler(context.parts, gossip)
    vm = Vm('home', 'a', '127.0.0.1', False, context.stub.port, {})
    context.parts.board.vm_list.write(VmList(1, {'home': vm}))


@when('it dials the home {count:d} times')
def dial_often(context: Context, count: int) -> None:
    """Dial the home, each time after the previous result."""
    unreachable = context.parts.routing.note_unreachable
    peer = MagicMock(vm='home', incarnation=1)
    for number in range(1, count + 1):
        context.dialler.link_to('home')
        context.dialler.note_peer_linked(peer)
        wait_until(
            partial(_has_calls, unreachable, number), f'{number} failed dials'
        )


def _has_calls(mock: MagicMock, count: int) -> bool:
    return mock.call_count >= count


@then('it keeps no link')
def check_no_link(context: Context) -> None:
    """Check that no link is left, here or at the other node."""
    assert context.dialler.link_to('home') is None
    wait_until(lambda: not context.stub.links, 'no links')
    assert not context.dialler.links


@when(
    'another process takes the place of the home, and the old link stays silent'
)
def replace_process(context: Context) -> None:
    """Give the stub another incarnation."""
    context.old_link = context.dialler.link_to('home')
    context.stub.replace_process()


@when('the new process of the home dials the node')
def accept_new_process(context: Context) -> None:
    """Report an accepted link of the new process."""
    incarnation = context.stub.identity.incarnation
    peer = MagicMock(vm='home', incarnation=incarnation)
    context.dialler.note_peer_linked(peer)


@then('the node has a link to the new process only, and uses the home again')
def check_new_link(context: Context) -> None:
    """Wait until the dialler is linked to the other incarnation."""
    incarnation = context.stub.identity.incarnation
    wait_until(
        lambda: (
            [link.incarnation for link in context.dialler.links]
            == [incarnation]
        ),
        'a link to the new process',
    )
    assert not context.old_link.is_ready
    wait_until(
        lambda: context.parts.routing.note_reachable.called, 'the home used'
    )
