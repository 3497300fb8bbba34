"""Steps about a home that was not scheduled for some time."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Final

from behave import given, then, when

from jackdawhead.config.model import WorkClass
from jackdawhead.policy.work import Verdict, Work

if TYPE_CHECKING:
    from behave.runner import Context

_START_MS: Final = 1000.0
_DEADLINE_MS: Final = 2000
_OPERATION: Final = 'urgent'


def new_work(context: Context) -> Work:
    """Return work that arrives now."""
    return Work(
        next(context.work_ids),
        _OPERATION,
        WorkClass.SHORT,
        '',
        context.now_ms,
        context.now_ms + _DEADLINE_MS,
    )


def handle_events(context: Context) -> None:
    """Note that the home has handled all events."""
    handled_until_ms = context.now_ms
    context.rule.handled_until_ms = lambda: handled_until_ms


def start_runs(context: Context, run_ms: int) -> None:
    """Start work on all slots of a home that has learned the run time."""
    context.work_ids = count(1)
    context.now_ms = _START_MS
    for _ in range(context.rule.free):
        context.rule.run_times.observe(_OPERATION, run_ms)
        admission = context.rule.offer(new_work(context), context.now_ms)
        assert admission.verdict is Verdict.START


@given(
    'runs of {run:d} ms on all slots, and no event handled for {pause:d} ms'
    ' since they began'
)
def pause_home(context: Context, run: int, pause: int) -> None:
    """Let time pass in which the home handles no event."""
    start_runs(context, run)
    handle_events(context)
    context.now_ms += pause


@given(
    'runs of {run:d} ms on all slots, which have not ended after {pause:d} ms'
    ' of events'
)
def delay_runs(context: Context, run: int, pause: int) -> None:
    """Let time pass in which the home handles all events."""
    start_runs(context, run)
    context.now_ms += pause
    handle_events(context)


@when('{number:d} requests are handled before the ends of these runs')
def offer_requests(context: Context, number: int) -> None:
    """Offer requests one after the other at the same time."""
    context.verdicts = [
        context.rule.offer(new_work(context), context.now_ms).verdict
        for _ in range(number)
    ]


@then('none of them is refused')
def check_none_refused(context: Context) -> None:
    """Check that all work is queued."""
    assert set(context.verdicts) == {Verdict.WAIT}, context.verdicts


@then('some of them are refused')
def check_some_refused(context: Context) -> None:
    """Check that the wait of some work is too long."""
    assert Verdict.REFUSE in context.verdicts, context.verdicts
