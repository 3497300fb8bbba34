"""Steps about the home of a stopping node, and entries that know of it."""

from __future__ import annotations

from dataclasses import replace
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Final

from behave import given, then, when

from features.steps.floor_steps import desk_service
from jackdawhead.config.model import WorkClass
from jackdawhead.node.entry.leaving_homes import LeavingHomes
from jackdawhead.policy.admissions import ADMISSIONS
from jackdawhead.policy.home_stop import HomeStop, StopPhase, StopProgress
from jackdawhead.policy.member_loads import Member
from jackdawhead.policy.placement import routing_query
from jackdawhead.policy.service_router import ServiceRouter
from jackdawhead.policy.spell_estimate import RISK_SCALE
from jackdawhead.policy.stopping import StopPlan
from jackdawhead.policy.work import Work
from jackdawhead.reasons import Reason
from jackdawhead.wire.messages import UpstreamStatus

if TYPE_CHECKING:
    from behave.runner import Context

_START_MS: Final = 10_000.0
_CLOSES_AFTER_MS: Final = 2600
_SLOTS: Final = 3
_RUN_MS: Final = 300
_DEADLINE_MS: Final = 60_000
_SEED: Final = 1
_DRAWS: Final = 20
_FORMER: Final = 1
_NEW: Final = 2
_HIGH_RISK: Final = 0.95
# Longest time in which entries notice a closed link.
_NOTICE_MS: Final = 300


@given('the home of a node that began to stop, to end after {after:d} ms')
def make_home(context: Context, after: int) -> None:
    """Create a home with an upstream, and begin its stop."""
    service = desk_service(_SLOTS)
    rule = ADMISSIONS.find(service.queue.admission).unwrap()
    context.rule = rule(service, Random(_SEED))
    context.work_ids = count(1)
    context.plan = StopPlan(
        _START_MS, _START_MS + _CLOSES_AFTER_MS, _START_MS + after
    )
    context.stop = HomeStop()
    context.stop.begin(context.plan)
    context.progress = StopProgress(context.plan)


def _work(
    context: Context,
    operation: str,
    after: int = 0,
    left_ms: int = _DEADLINE_MS,
) -> Work:
    now_ms = _START_MS + after
    return Work(
        next(context.work_ids),
        operation,
        WorkClass.SHORT,
        'o',
        now_ms,
        now_ms + left_ms,
    )


def _is_accepted(context: Context, run_ms: int, after: int) -> bool:
    context.rule.run_times.observe('again', run_ms)
    work = _work(context, 'again', after)
    found: bool = context.stop.accepts(context.rule, work, _START_MS + after)
    return found


@when('{count:d} runs of "{operation}" have taken {run_ms:d} ms')
def observe_runs(
    context: Context, count: int, operation: str, run_ms: int
) -> None:
    """Let the home learn a run time."""
    for _ in range(count):
        context.rule.run_times.observe(operation, run_ms)


@then(
    'the home {verdict} "{operation}" with {left:d} ms to its deadline after'
    ' {after:d} ms'
)
def check_verdict(
    context: Context, verdict: str, operation: str, left: int, after: int
) -> None:
    """Check whether new work is accepted."""
    work = _work(context, operation, after, left)
    accepted = context.stop.accepts(context.rule, work, _START_MS + after)
    assert accepted == (verdict == 'accepts'), accepted


@then(
    'the home {verdict} "{operation}" whose body is still arriving, with'
    ' {left:d} ms to its deadline after {after:d} ms'
)
def check_upload(
    context: Context, verdict: str, operation: str, left: int, after: int
) -> None:
    """Check whether new work without its whole body is accepted."""
    work = replace(_work(context, operation, after, left), is_whole=False)
    accepted = context.stop.accepts(context.rule, work, _START_MS + after)
    assert accepted == (verdict == 'accepts'), accepted


@then('the home accepts work of {run_ms:d} ms after {after:d} ms')
def check_accepted(context: Context, run_ms: int, after: int) -> None:
    """Check that new work is accepted."""
    assert _is_accepted(context, run_ms, after)


@then('the home refuses work of {run_ms:d} ms after {after:d} ms')
def check_refused(context: Context, run_ms: int, after: int) -> None:
    """Check that new work is refused."""
    assert not _is_accepted(context, run_ms, after)


@when('work of {run_ms:d} ms is in its queue')
def queue_work(context: Context, run_ms: int) -> None:
    """Fill the slots, and queue one more."""
    queue_operation(context, 'again', run_ms)


@when('"{operation}" of {run_ms:d} ms is in its queue')
def queue_operation(context: Context, operation: str, run_ms: int) -> None:
    """Fill the slots, and queue one more."""
    context.rule.run_times.observe(operation, run_ms)
    for _ in range(_SLOTS + 1):
        context.work = _work(context, operation)
        context.rule.offer(context.work, _START_MS)
    assert context.rule.waiting == 1


def _handed_back(context: Context, after: int) -> list[Work]:
    found: list[Work] = context.stop.unfinishable(
        context.rule, [context.work], _START_MS + after
    )
    return found


@then('the queued work stays after {after:d} ms')
def check_stays(context: Context, after: int) -> None:
    """Check that the work may still be finished."""
    assert not _handed_back(context, after)


@then('the queued work is handed back after {after:d} ms')
def check_handed_back(context: Context, after: int) -> None:
    """Check that the work is refused."""
    assert _handed_back(context, after) == [context.work]


@when('the entry has {requests} after {after:d} ms')
def step_stop(context: Context, requests: str, after: int) -> None:
    """Have the node decide on the next phase of its stop."""
    context.phase = context.progress.step(
        _START_MS + after,
        older_active='older' in requests,
        entry_active='no' not in requests.split(),
        home_active='the home has work' in requests,
    )
    if context.phase is not StopPhase.SERVING:
        context.stop.finish()


@then('the home asks for no avoidance after {after:d} ms')
def check_not_avoided(context: Context, after: int) -> None:
    """Check that entries are not told to send no work."""
    assert not context.stop.refusing_ms(_START_MS + after)


@then('the home asks to be avoided until after {end:d} ms')
def check_avoided(context: Context, end: int) -> None:
    """Check that the avoidance outlasts the node, however late it is asked."""
    for now_ms in (_START_MS + end - 400, _START_MS + end - 1):
        avoided_until_ms = now_ms + context.stop.refusing_ms(now_ms)
        assert avoided_until_ms >= _START_MS + end + _NOTICE_MS


@then('the node is {phase}')
def check_phase(context: Context, phase: str) -> None:
    """Compare the phase of the stop."""
    assert context.phase is StopPhase[phase.upper()], context.phase


@given(
    'an entry whose upstreams 1 and 2 have {first:d} and {second:d} free slots'
    ' of 3'
)
def make_entry(context: Context, first: int, second: int) -> None:
    """Create an entry's routing state with two upstreams."""
    context.now_ms = _START_MS
    context.service = desk_service(_SLOTS)
    context.router = ServiceRouter(context.service, 'a', Random(_SEED))
    context.router.replace_members(_members())
    context.free = {1: first, 2: second}
    context.risk = dict.fromkeys((1, 2), float(0))
    context.homes = LeavingHomes(lambda: (context.router,), lambda _: None)
    for number in (1, 2):
        context.homes.note_linked(f'vm-{number}', _FORMER)
        _report(context, number)


def _members(*left_out: int) -> tuple[Member, ...]:
    return tuple(
        Member(f'vm-{number}/desk', 'a', f'vm-{number}')
        for number in (1, 2)
        if number not in left_out
    )


def _report(context: Context, number: int) -> None:
    """Deliver a status of an upstream's home."""
    free = context.free[number]
    status = UpstreamStatus(
        upstream=f'vm-{number}/desk',
        operation='again',
        wait_ms=0 if free else _RUN_MS,
        free=free,
        run_ms=_RUN_MS,
        count=0,
        failures=0,
        median_ms=_RUN_MS,
        least_ms=_RUN_MS,
        cusum=0,
        avoid_ms=0,
        draining=False,
        risk=int(context.risk[number] * RISK_SCALE),
    )
    context.router.note_status(status, context.now_ms)


@when('the node of home {number:d} says that it stops')
@when('the former process of home {number:d} says that it stops')
def hear_leaving(context: Context, number: int) -> None:
    """Deliver a notice of the process that was linked first."""
    context.homes.note_leaving(f'vm-{number}', _FORMER)


@when('a new process of home {number:d} is linked')
def link_again(context: Context, number: int) -> None:
    """Link another incarnation."""
    context.homes.note_linked(f'vm-{number}', _NEW)


@when('the VM of home {number:d} leaves the list')
def unlist_vm(context: Context, number: int) -> None:
    """Forget a VM that is listed no more."""
    context.homes.retain({'vm-1', 'vm-2'} - {f'vm-{number}'})


@when('upstream {number:d} has just failed')
def fail_upstream(context: Context, number: int) -> None:
    """Deliver a report with a high risk."""
    context.risk[number] = _HIGH_RISK
    _report(context, number)


@when('home {number:d} refuses "{operation}" as node-leaving')
def refuse_operation(context: Context, number: int, operation: str) -> None:
    """Note a refusal of an attempt."""
    context.router.note_refusal(
        f'vm-{number}/desk', operation, Reason.NODE_LEAVING, context.now_ms
    )


@when('the entry refuses work as overloaded')
def refuse_work(context: Context) -> None:
    """Note a refusal for lack of capacity."""
    context.router.shortage.note_refused(Reason.OVERLOADED, context.now_ms)


@when('{pause:d} ms pass at the entry')
def pass_time(context: Context, pause: int) -> None:
    """Move the time on, with new reports."""
    context.now_ms += pause
    for number in (1, 2):
        _report(context, number)


@when('upstream {number:d} leaves the list and joins it again')
def join_again(context: Context, number: int) -> None:
    """Replace the listed upstreams twice."""
    context.router.replace_members(_members(number))
    context.router.replace_members(_members())
    _report(context, number)


@then('work goes to upstream {number:d}')
def check_work(context: Context, number: int) -> None:
    """Check the choice for both operations."""
    for operation in context.service.operations:
        check_operation(context, operation, number)


@then('"{operation}" goes to upstream {number:d}')
def check_operation(context: Context, operation: str, number: int) -> None:
    """Check that each choice is the same upstream."""
    query = routing_query(
        context.router,
        context.service.operations[operation],
        frozenset(),
        context.now_ms,
        may_repeat=False,
    )
    for _ in range(_DRAWS):
        load = context.router.choose(operation, query)
        assert load.upstream == f'vm-{number}/desk', load
