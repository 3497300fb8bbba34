"""Steps about trials of an upstream that failed, at its home and at entries."""

from __future__ import annotations

from itertools import count
from random import Random
from typing import TYPE_CHECKING, Final

from behave import given, then, when

from features.steps.floor_steps import desk_service
from jackdawhead.config.model import WorkClass
from jackdawhead.policy.loads import LoadReport, RoutingQuery, UpstreamLoad
from jackdawhead.policy.member_loads import Member
from jackdawhead.policy.risk_policy import TrialRule, pick_trial, risk_limit
from jackdawhead.policy.run_result import RunResult
from jackdawhead.policy.service_router import ServiceRouter
from jackdawhead.policy.spell_estimate import RISK_SCALE, SpellEstimate
from jackdawhead.policy.upstream_state import FinishedRun, UpstreamState
from jackdawhead.policy.work import Work

if TYPE_CHECKING:
    from behave.runner import Context

_START_MS: Final = 1000.0
_MS_PER_S: Final = 1000
_RUN_MS: Final = 300.0
_DEADLINE_MS: Final = 3000.0
_SEED: Final = 1
# Enough draws for a share of the requests to be used for trials.
_DRAWS: Final = 50
_REQUEST_INTERVAL_MS: Final = 100


@given('the home of an upstream that has just failed {number:d} times')
def make_home(context: Context, number: int) -> None:
    """Create the state of an upstream at its home, with failed runs."""
    context.service = desk_service()
    context.state = UpstreamState(
        'vm/desk', context.service, Random(_SEED), lambda *_: None
    )
    context.work_ids = count(1)
    context.now_ms = _START_MS
    for _ in range(number):
        work = _work(context, 'once')
        context.state.offer(work, context.now_ms)
        _finish(context, work, RunResult.FAILED)


@given('all entries know of it')
def mark_known(context: Context) -> None:
    """Clear the announcement, as the home does when it has sent it."""
    assert context.state.has_risk_update
    context.state.has_risk_update = False


@when('{number:g} s pass since then')
def pass_time(context: Context, number: float) -> None:
    """Set the time since the failures."""
    context.now_ms = _START_MS + number * _MS_PER_S


@when('that work {ending}')
def end_work(context: Context, ending: str) -> None:
    """End the run that was accepted last."""
    result = RunResult.SUCCEEDED if ending == 'succeeds' else RunResult.FAILED
    _finish(context, context.work, result)


@then('it accepts repeatable work')
def check_accepted(context: Context) -> None:
    """Check that repeatable work starts, and start it."""
    assert _is_accepted(context, 'again')


@then('it refuses repeatable work as risky')
def check_refused(context: Context) -> None:
    """Check that repeatable work is refused because of the risk."""
    assert not _is_accepted(context, 'again')


@then('it refuses work that cannot be repeated as risky')
def check_refused_once(context: Context) -> None:
    """Check that other work is refused because of the risk."""
    assert not _is_accepted(context, 'once')


@then('it accepts work that accepts any risk')
def check_any_risk(context: Context) -> None:
    """Check that work with the highest limit is not refused."""
    assert context.state.accepts_risk(RISK_SCALE, context.now_ms)


@then('nothing is announced to the entries')
def check_silent(context: Context) -> None:
    """Check that no update of the risk is to be sent."""
    assert not context.state.has_risk_update


@then('its risk is announced to the entries')
def check_announced(context: Context) -> None:
    """Check that an update of the risk is to be sent."""
    assert context.state.has_risk_update


@given('an entry that hears of a failure of an upstream')
def make_entry(context: Context) -> None:
    """Create an entry's view of an upstream that has just failed."""
    context.now_ms = _START_MS
    context.spell = SpellEstimate()
    context.load = UpstreamLoad('vm/desk', 'a', 'vm', LoadReport(0, 300, 4, 4))
    _report_outcome(context, ok=False)


@when(
    'the home reports its risk every {step:d} ms for {number:g} s without a new'
    ' outcome'
)
def repeat_report(context: Context, step: int, number: float) -> None:
    """Report the risk as it decays."""
    for _ in range(int(number * _MS_PER_S) // step):
        context.now_ms += step
        risk = context.spell.risk(context.now_ms)
        context.load.note_risk(
            int(RISK_SCALE * risk) / RISK_SCALE, context.now_ms
        )


@when('the home reports a new failure after {number:g} s')
def report_failure(context: Context, number: float) -> None:
    """Report the risk after another failure."""
    context.now_ms += number * _MS_PER_S
    _report_outcome(context, ok=False)


@when('the home reports a success')
def report_success(context: Context) -> None:
    """Report the risk after a success."""
    _report_outcome(context, ok=True)


@then('a trial of the upstream is due at the entry')
def check_due(context: Context) -> None:
    """Check that some repeatable request is used for a trial."""
    assert _is_trial_due(context)


@then('no trial of the upstream is due at the entry')
def check_not_due(context: Context) -> None:
    """Check that no repeatable request is used for a trial."""
    assert not _is_trial_due(context)


@given("an entry's router with {number:d} upstreams")
def make_router(context: Context, number: int) -> None:
    """Create the routing state of a service at an entry."""
    context.now_ms = _START_MS
    context.router = ServiceRouter(desk_service(), 'a', Random(_SEED))
    context.router.replace_members(
        tuple(
            Member(f'vm-{each}/desk', 'a', f'vm-{each}')
            for each in range(1, number + 1)
        )
    )


@when('the home of upstream {number:d} says that it drains')
def report_drain(context: Context, number: int) -> None:
    """Deliver the notice of a home."""
    context.router.mark_draining(f'vm-{number}/desk', True, context.now_ms)


@then('upstream {number:d} gets no work for {seconds:g} s')
def check_unused(context: Context, number: int, seconds: float) -> None:
    """Check that requests go to other upstreams."""
    assert f'vm-{number}/desk' not in _chosen_within(context, seconds)


@then('upstream {number:d} gets work within {seconds:g} s')
def check_used(context: Context, number: int, seconds: float) -> None:
    """Check that requests go to the upstream again."""
    assert f'vm-{number}/desk' in _chosen_within(context, seconds)


def _chosen_within(context: Context, seconds: float) -> set[str]:
    """Return the upstreams that requests go to, one request every 100 ms."""
    chosen = set()
    for _ in range(int(seconds * _MS_PER_S) // _REQUEST_INTERVAL_MS):
        context.now_ms += _REQUEST_INTERVAL_MS
        context.router.tick(context.now_ms)
        load = context.router.choose('once', RoutingQuery(context.now_ms))
        chosen.add(load.upstream)
    return chosen


def _work(context: Context, operation: str) -> Work:
    return Work(
        next(context.work_ids),
        operation,
        WorkClass.SHORT,
        'o',
        context.now_ms,
        context.now_ms + _DEADLINE_MS,
    )


def _finish(context: Context, work: Work, result: RunResult) -> None:
    run = FinishedRun(work.operation, result, _RUN_MS)
    context.state.finish(work, run, context.now_ms)


def _is_accepted(context: Context, operation: str) -> bool:
    limit = risk_limit(
        context.service.operations[operation], 1, has_others=True
    )
    if not context.state.accepts_risk(limit, context.now_ms):
        return False
    context.work = _work(context, operation)
    context.state.offer(context.work, context.now_ms)
    return True


def _report_outcome(context: Context, *, ok: bool) -> None:
    context.spell.observe(context.now_ms, ok=ok)
    context.load.note_risk(context.spell.risk(context.now_ms), context.now_ms)


def _is_trial_due(context: Context) -> bool:
    operation = desk_service().operations['again']
    rule = TrialRule(operation, may_repeat=True)
    rng = Random(_SEED)
    return any(
        pick_trial([context.load], rule, context.now_ms, rng)
        for _ in range(_DRAWS)
    )
