"""Steps about dials to homes that cannot be reached."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from behave import given, then, when

from jackdawhead.policy.redial import DialFailure, RedialSchedule

if TYPE_CHECKING:
    from behave.runner import Context

_MS_PER_S = 1000
_POLL_MS = 50
_START_MS = 1_000_000
_SEED = 7


@given('a home that refuses each dial for {length:d} s')
def refuse_one(context: Context, length: int) -> None:
    """Run the schedule with one home that refuses."""
    run_schedule(context, 1, DialFailure.REFUSED, length)


@given('a home that answers no dial for {length:d} s')
def silence_one(context: Context, length: int) -> None:
    """Run the schedule with one silent home."""
    run_schedule(context, 1, DialFailure.SILENT, length)


@given('{count:d} homes that refuse each dial for {length:d} s')
def refuse_many(context: Context, count: int, length: int) -> None:
    """Run the schedule with homes that refuse."""
    run_schedule(context, count, DialFailure.REFUSED, length)


@given('{count:d} homes that answer no dial for {length:d} s')
def silence_many(context: Context, count: int, length: int) -> None:
    """Run the schedule with silent homes."""
    run_schedule(context, count, DialFailure.SILENT, length)


def run_schedule(
    context: Context, count: int, failure: DialFailure, length: int
) -> None:
    """Record the times of the dials while each dial fails."""
    context.schedule = RedialSchedule(Random(_SEED))
    context.homes = [f'home-{number}' for number in range(count)]
    context.dials = []
    for home in context.homes:
        context.schedule.note_lost(home, _START_MS)
    context.now_ms = _START_MS
    while context.now_ms < _START_MS + length * _MS_PER_S:
        context.now_ms += _POLL_MS
        for home in context.schedule.take_due(context.now_ms):
            context.dials.append((context.now_ms - _START_MS, home))
            context.schedule.note_failed(home, failure, context.now_ms)


def dial_times(context: Context, after_s: int = 0) -> list[int]:
    """Return the times of all dials after a time, in milliseconds."""
    return [at for at, _ in context.dials if at >= after_s * _MS_PER_S]


def most_in_a_second(times: list[int]) -> int:
    """Return the largest number of dials in any second."""
    return max(
        sum(1 for each in times if start <= each < start + _MS_PER_S)
        for start in times
    )


@then(
    'it is dialled at least every {interval:d} ms, '
    'and at most {most:d} times in any second'
)
def check_interval(context: Context, interval: int, most: int) -> None:
    """Compare the times between dials, and their number, with limits."""
    times = dial_times(context)
    gaps = [
        later - earlier
        for earlier, later in zip([0, *times], times, strict=False)
    ]
    assert max(gaps) <= interval, gaps
    assert most_in_a_second(times) <= most, times


@then('it is dialled at most once a second after {start:d} s')
def check_slow(context: Context, start: int) -> None:
    """Compare the number of late dials with a limit."""
    assert most_in_a_second(dial_times(context, start)) <= 1


@when('the home dials this node')
def dial_back(context: Context) -> None:
    """Report the link from the home."""
    context.schedule.note_sign(context.homes[0], context.now_ms)


@then('it is dialled within {bound:d} ms')
def check_dialled_within(context: Context, bound: int) -> None:
    """Check that the home is due soon."""
    due = context.schedule.take_due(context.now_ms + bound)
    assert due == context.homes[:1], due


@then('at most {most:d} dials are made in any second')
def check_most(context: Context, most: int) -> None:
    """Compare the number of dials to all homes with a limit."""
    assert most_in_a_second(dial_times(context)) <= most


@then(
    'at most {most:d} dials are made in any second after the first {start:d} s'
)
def check_most_after(context: Context, most: int, start: int) -> None:
    """Compare the number of late dials to all homes with a limit."""
    assert most_in_a_second(dial_times(context, start)) <= most


@then('each home is dialled at least twice')
def check_fair(context: Context) -> None:
    """Check that no home is left out."""
    dialled = [home for _, home in context.dials]
    assert all(dialled.count(home) >= 2 for home in context.homes)


@given('a home that is being dialled')
def make_dialled(context: Context) -> None:
    """Take the first dial, without a result so far."""
    context.homes = ['home']
    context.now_ms = _START_MS
    context.schedule = RedialSchedule(Random(_SEED))
    context.schedule.note_lost('home', context.now_ms)
    context.now_ms += _MS_PER_S
    assert context.schedule.take_due(context.now_ms) == ['home']
    assert not context.schedule.take_due(context.now_ms + _MS_PER_S)


@when('its link ends')
def end_link(context: Context) -> None:
    """Report the end of the link."""
    context.schedule.note_lost('home', context.now_ms)
