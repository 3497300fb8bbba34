"""Steps about the decisions of a stopping node, without any process."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from behave import given, then, when

from jackdawhead.config.model import Operation, WorkClass
from jackdawhead.policy.answer_sizes import UNKNOWN_LENGTH, AnswerSizes
from jackdawhead.policy.completion_times import CompletionTimes
from jackdawhead.policy.stopping import (
    Offer,
    StopPlan,
    fits_before_stop,
    may_pass_on,
    stop_began_ms,
)

if TYPE_CHECKING:
    from behave.runner import Context

_SIGNAL_MS = 1_000_000.0
_CLOSES_AFTER_MS = 2600
_DEADLINE_MS = 60_000
_SEED = 7
_FURTHER_ANSWERS = 1000


@given('a planned stop that ends {after:d} ms after its signal')
def plan_stop(context: Context, after: int) -> None:
    """Create the plan of a stop."""
    context.plan = StopPlan(
        _SIGNAL_MS, _SIGNAL_MS + _CLOSES_AFTER_MS, _SIGNAL_MS + after
    )


@given('no planned stop')
def plan_no_stop(context: Context) -> None:
    """Decide as a node that does not stop."""
    context.plan = None


@when('it ends {after:d} ms after its signal')
def end_early(context: Context, after: int) -> None:
    """End the stop before its time is over."""
    context.plan = context.plan.ending_at(_SIGNAL_MS + after)


@then(
    'work of {work:d} ms that is offered {since:d} ms after the signal'
    ' {verdict}'
)
def check_fit(context: Context, work: int, since: int, verdict: str) -> None:
    """Check whether work is accepted."""
    is_accepted = fits_before_stop(context.plan, work, _SIGNAL_MS + since)
    assert is_accepted is (verdict == 'fits')


@then(
    'a request read {read:d} ms after the signal, estimated at'
    ' {estimate:d} ms and bounded by {bound:d} ms {verdict} {since:d} ms after'
    ' the signal'
)
def check_offer(
    context: Context,
    read: int,
    estimate: int,
    bound: int,
    verdict: str,
    since: int,
) -> None:
    """Check whether an entry passes a request on."""
    offer = Offer(_SIGNAL_MS + read, estimate, bound)
    is_passed_on = may_pass_on(context.plan, offer, _SIGNAL_MS + since)
    assert is_passed_on is (verdict == 'is passed on')


@then(
    'a request read {read:d} ms after the signal, estimated at'
    ' {estimate:d} ms, with a large answer and bounded by {bound:d} ms'
    ' {verdict}'
)
def check_large_answer(
    context: Context, read: int, estimate: int, bound: int, verdict: str
) -> None:
    """Check whether an entry passes on a request for a large answer."""
    read_ms = _SIGNAL_MS + read
    offer = Offer(read_ms, estimate, bound, may_be_read_slowly=True)
    is_passed_on = may_pass_on(context.plan, offer, read_ms)
    assert is_passed_on is (verdict == 'is passed on')


@given('an operation whose answers have {first:d} bytes')
@when('{count:d} answers of {size:d} bytes follow')
def note_answers(
    context: Context, first: int = 0, count: int = 1, size: int = 0
) -> None:
    """Note the sizes of answers."""
    if not hasattr(context, 'sizes'):
        context.sizes = AnswerSizes()
    for _ in range(count):
        context.sizes.note('pdf', size or first)


@when('an answer of unknown length follows')
def note_unknown_answer(context: Context) -> None:
    """Note an answer in chunks."""
    context.sizes.note('pdf', UNKNOWN_LENGTH)


@then('an answer {verdict} be left to the kernel')
def check_buffers(context: Context, verdict: str) -> None:
    """Check whether the buffers of a connection hold an answer."""
    is_left = not context.sizes.may_exceed_buffers('pdf')
    assert is_left is (verdict == 'may')


@then(
    'a call of work beside the node read {read:d} ms after the signal,'
    ' estimated at {estimate:d} ms and bounded by {bound:d} ms {verdict}'
)
def check_call(
    context: Context, read: int, estimate: int, bound: int, verdict: str
) -> None:
    """Check whether an entry passes on a call of its own upstream."""
    read_ms = _SIGNAL_MS + read
    offer = Offer(read_ms, estimate, bound, may_be_call=True)
    is_passed_on = may_pass_on(context.plan, offer, read_ms)
    assert is_passed_on is (verdict == 'is passed on')


@given('an operation with an expected run time of {expected:d} ms')
def configure_operation(context: Context, expected: int) -> None:
    """Create an operation of which no answer has been seen."""
    context.operation = Operation(
        'lookup', True, WorkClass.SHORT, _DEADLINE_MS, expected
    )
    context.times = CompletionTimes()


@when('{count:d} answers take {took:d} ms')
def see_answers(context: Context, count: int, took: int) -> None:
    """Note times that are all the same."""
    for _ in range(count):
        context.times.note(context.operation.name, took)


@when('{count:d} answers take {low:d} to {high:d} ms')
def see_varied_answers(
    context: Context, count: int, low: int, high: int
) -> None:
    """Note times that vary."""
    context.rng = Random(_SEED)
    context.range_ms = (low, high)
    for _ in range(count):
        context.times.note(
            context.operation.name, context.rng.uniform(low, high)
        )


@then('the high estimate is {expected:d} ms')
def check_estimate(context: Context, expected: int) -> None:
    """Compare the estimate."""
    assert context.times.high_ms(context.operation) == expected


@then('the high estimate is between {low:d} and {high:d} ms')
def check_estimate_range(context: Context, low: int, high: int) -> None:
    """Check the bounds of the estimate."""
    found = context.times.high_ms(context.operation)
    assert low <= found <= high, found


@then('at most 1 in {share:d} further answers exceeds its estimate')
def check_coverage(context: Context, share: int) -> None:
    """Compare further times with the estimate before each of them."""
    exceeded = 0
    for _ in range(_FURTHER_ANSWERS):
        took_ms = context.rng.uniform(*context.range_ms)
        exceeded += took_ms > context.times.high_ms(context.operation)
        context.times.note(context.operation.name, took_ms)
    assert exceeded * share <= _FURTHER_ANSWERS, exceeded


@then(
    'a stop of {length:d} ms whose signal was handled after a pause of'
    ' {pause:d} ms counts from {before:d} ms before that'
)
def check_begin(context: Context, length: int, pause: int, before: int) -> None:
    """Check the time from which a stop counts."""
    began_ms = stop_began_ms(_SIGNAL_MS, _SIGNAL_MS - pause, length)
    assert began_ms == _SIGNAL_MS - before, began_ms
