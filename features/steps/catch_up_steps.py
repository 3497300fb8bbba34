"""Steps about nodes that fetch what they lack."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING

from behave import given, then, when

from features.steps.reading_steps import vm_of
from jackdawhead.audit import AuditTrail
from jackdawhead.blackboard import Blackboard, VmList
from jackdawhead.node.list_codec import apply_change, list_text
from jackdawhead.node.membership import MembershipController
from jackdawhead.policy.catch_up import CatchUp
from jackdawhead.wire.messages import VmAsk, VmChange, VmNews

if TYPE_CHECKING:
    from behave.runner import Context

_SPREAD_MS = 300


@given('a node that has not heard of a change')
def make_node(context: Context) -> None:
    """Make the policy of a node."""
    context.catch_up = CatchUp(_SPREAD_MS)
    context.now_ms = 1000.0
    context.asked = 0
    context.planned = []


def announce(
    context: Context, count: int, within_ms: int, *, is_near: bool
) -> None:
    """Let nodes announce something newer, one after the other."""
    for number in range(count):
        now_ms = context.now_ms + number * within_ms / count
        delay_ms = context.catch_up.delay_ms(now_ms, is_near=is_near)
        if delay_ms == 0:
            context.asked += context.catch_up.may_ask(now_ms)
        elif delay_ms is not None:
            context.planned.append(now_ms + delay_ms)
    context.now_ms += within_ms


@when('{count:d} nodes of its zone announce {what} within {within:d} ms')
def announce_near(context: Context, count: int, what: str, within: int) -> None:
    """Let neighbours announce a change."""
    announce(context, count, within, is_near=True)


@when('{count:d} nodes of other zones announce it within {within:d} ms')
def announce_far(context: Context, count: int, within: int) -> None:
    """Let nodes of other zones announce a change."""
    announce(context, count, within, is_near=False)


@when(
    '{pause:d} ms later {count:d} nodes of its zone announce it'
    ' within {within:d} ms'
)
def announce_later(
    context: Context, pause: int, count: int, within: int
) -> None:
    """Let neighbours announce it again."""
    context.now_ms += pause
    announce(context, count, within, is_near=True)


@when('the answer has come')
def take_answer(context: Context) -> None:
    """Take an answer in."""
    context.catch_up.note_answer()
    context.asked = 0


@then('it asks {count:d} of them')
def check_asked_count(context: Context, count: int) -> None:
    """Count the questions."""
    assert context.asked == count, context.asked


@then('it plans {count:d} question after {delay:d} ms')
def check_planned(context: Context, count: int, delay: int) -> None:
    """Look at the planned questions."""
    assert len(context.planned) == count, context.planned
    assert context.planned[0] == 1000.0 + delay


@then('the planned question is not asked')
def check_not_asked(context: Context) -> None:
    """Ask at the planned time."""
    assert not context.catch_up.may_ask(context.planned[0])


@given('{count:d} random changes of a list of {size:d} VMs with seed {seed:d}')
def make_changes(context: Context, count: int, size: int, seed: int) -> None:
    """Let a node take in one list after the other."""
    rng = Random(seed)
    board = Blackboard()
    context.membership = MembershipController(board, AuditTrail())
    context.lists = []
    vms = {f'10-0-0-{number}': vm_of(number) for number in range(1, size)}
    for version in range(1, count + 2):
        vm_list = VmList(version, dict(vms))
        context.membership.offer(version, list_text(vm_list))
        context.lists.append(board.vm_list.read())
        number = rng.randrange(1, size)
        if rng.randrange(2):
            vms.pop(f'10-0-0-{number}', None)
        else:
            vms[f'10-0-0-{number}'] = vm_of(number, leaving=True)


@when('a node that is {steps:d} changes behind asks for the list')
def ask_list(context: Context, steps: int) -> None:
    """Ask the node."""
    context.behind = context.lists[-1 - steps]
    sent: list[VmChange | VmNews] = []
    link = SimpleNamespace(vm='other', send=sent.append)
    context.membership.answer(VmAsk(context.behind.version), link)
    context.answer = sent.pop()


@then('it gets a difference that makes its list the latest')
def check_change(context: Context) -> None:
    """Apply the difference."""
    assert isinstance(context.answer, VmChange)
    found = apply_change(context.behind, context.answer).unwrap()
    assert found == context.lists[-1]


@then('the difference is shorter than the list')
def check_shorter(context: Context) -> None:
    """Compare the texts."""
    assert len(context.answer.text) < len(list_text(context.lists[-1]))


@then('it gets the whole list')
def check_whole_list(context: Context) -> None:
    """Look at the answer."""
    assert isinstance(context.answer, VmNews)
    assert context.answer.text == list_text(context.lists[-1])
