"""Steps about nodes that fetch updates from other nodes."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING

from behave import given, then, when

from features.steps.reading_steps import vm_of
from jackdawhead.audit import AuditTrail
from jackdawhead.blackboard import Blackboard, VmList
from jackdawhead.node.membership import MembershipController
from jackdawhead.node.vm_list_codec import apply_change, list_text
from jackdawhead.policy.pull_schedule import PullSchedule
from jackdawhead.wire.messages import VmListDelta, VmListRequest, VmListSnapshot

if TYPE_CHECKING:
    from behave.runner import Context

_ZONE_PROPAGATION_MS = 300


@given('a node that does not have the latest change')
def make_node(context: Context) -> None:
    """Create the request policy of a node."""
    context.schedule = PullSchedule(_ZONE_PROPAGATION_MS)
    context.now_ms = 1000.0
    context.request_count = 0
    context.scheduled = []


def announce(
    context: Context, count: int, within_ms: int, *, is_same_zone: bool
) -> None:
    """Announce a newer version at equal intervals, and count the requests."""
    for number in range(count):
        now_ms = context.now_ms + number * within_ms / count
        delay_ms = context.schedule.pull_delay_ms(
            now_ms, is_same_zone=is_same_zone
        )
        if delay_ms == 0:
            context.request_count += context.schedule.try_begin_pull(now_ms)
        elif delay_ms is not None:
            context.scheduled.append(now_ms + delay_ms)
    context.now_ms += within_ms


@when('{count:d} nodes of its zone announce {what} within {within:d} ms')
def announce_in_zone(
    context: Context, count: int, what: str, within: int
) -> None:
    """Announce a change from nodes of the same zone."""
    announce(context, count, within, is_same_zone=True)


@when('{count:d} nodes of other zones announce it within {within:d} ms')
def announce_in_other_zones(context: Context, count: int, within: int) -> None:
    """Announce a change from nodes of other zones."""
    announce(context, count, within, is_same_zone=False)


@when(
    '{pause:d} ms later {count:d} nodes of its zone announce it'
    ' within {within:d} ms'
)
def announce_later(
    context: Context, pause: int, count: int, within: int
) -> None:
    """Announce the change again after a pause."""
    context.now_ms += pause
    announce(context, count, within, is_same_zone=True)


@when('the answer arrives')
def receive_answer(context: Context) -> None:
    """Record the answer and reset the count of requests."""
    context.schedule.note_update()
    context.request_count = 0


@then('it asks {count:d} of them')
def check_request_count(context: Context, count: int) -> None:
    """Check the number of requests sent."""
    assert context.request_count == count, context.request_count


@then('it schedules {count:d} request after {delay:d} ms')
def check_scheduled(context: Context, count: int, delay: int) -> None:
    """Check the number of scheduled requests and the time of the first."""
    assert len(context.scheduled) == count, context.scheduled
    assert context.scheduled[0] == 1000.0 + delay


@then('the scheduled request is not sent')
def check_not_sent(context: Context) -> None:
    """Check that no request may be sent at the scheduled time."""
    assert not context.schedule.try_begin_pull(context.scheduled[0])


@given('{count:d} random changes of a list of {size:d} VMs with seed {seed:d}')
def make_changes(context: Context, count: int, size: int, seed: int) -> None:
    """Give a node a series of VM lists, each with one random change."""
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
def request_list(context: Context, steps: int) -> None:
    """Send the request of a node that is behind."""
    context.behind = context.lists[-1 - steps]
    sent: list[VmListDelta | VmListSnapshot] = []
    link = SimpleNamespace(vm='other', send=sent.append)
    context.membership.answer(VmListRequest(context.behind.version), link)
    context.answer = sent.pop()


@then('it gets a difference that makes its list the latest')
def check_change(context: Context) -> None:
    """Check that the difference yields the latest list."""
    assert isinstance(context.answer, VmListDelta)
    found = apply_change(context.behind, context.answer).unwrap()
    assert found == context.lists[-1]


@then('the difference is shorter than the list')
def check_shorter(context: Context) -> None:
    """Compare the lengths of the texts."""
    assert len(context.answer.text) < len(list_text(context.lists[-1]))


@then('it gets the whole list')
def check_whole_list(context: Context) -> None:
    """Check that the answer has the text of the latest list."""
    assert isinstance(context.answer, VmListSnapshot)
    assert context.answer.text == list_text(context.lists[-1])
