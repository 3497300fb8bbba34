"""Steps for the soak test: checkers, fault plans, and a short run."""

from __future__ import annotations

from pathlib import Path
from tempfile import mkdtemp
from typing import TYPE_CHECKING, Final

from behave import given, then, when

from features.steps.soak_violations import VIOLATIONS
from soak.checks import find_violations
from soak.cli import regression_seeds
from soak.evidence import (
    RAN,
    Evidence,
    LeavingPeriod,
    NodeStop,
    Run,
    Sample,
    SentRequest,
)
from soak.plan import draw_faults
from soak.report import format_timeline, format_verdict
from soak.seed_runner import SoakPlan, run_seed

if TYPE_CHECKING:
    from behave.runner import Context

_ENDS_S: Final = 30.0
_REQUEST_COUNT: Final = 40
_STOP_NODES: Final = 6
_VMS: Final = ('vm-0', 'vm-1', 'vm-2', 'vm-3')
_UPSTREAMS: Final = ('vm-0/desk', 'vm-1/desk')


def served_request(number: int) -> SentRequest:
    """Return a served, non-idempotent request."""
    at_s = _ENDS_S * number / _REQUEST_COUNT
    return SentRequest(f'key-{number}', 'vm-0', True, at_s, at_s + 1, 200, RAN)


@given('evidence of a run without violations')
def make_evidence(context: Context) -> None:
    """Create requests, runs, samples, a stop and a leaving period."""
    sent = [served_request(number) for number in range(_REQUEST_COUNT)]
    context.evidence = Evidence(
        sent,
        [Run(each.key, 'vm-1/desk', each.sent_s) for each in sent],
        [Sample('vm-0', 1, float(at_s), 2, 4, 4) for at_s in range(30)],
        [NodeStop('vm-0', 10, 12, 0)],
        [LeavingPeriod('vm-2/desk', 5, 15)],
        [(0, 2)],
        faults_end_s=15,
        ends_s=_ENDS_S,
    )


@then('no checker reports a violation')
def check_no_violation(context: Context) -> None:
    """Run all checkers."""
    assert not find_violations(context.evidence)


@when('the evidence contains {fault}')
def add_violation(context: Context, fault: str) -> None:
    """Add a violation to the evidence."""
    VIOLATIONS[fault.strip()](context.evidence)


@then('only the checker "{check}" reports a violation')
def check_only_violation(context: Context, check: str) -> None:
    """Run all checkers."""
    found = {each.check for each in find_violations(context.evidence)}
    assert found == {check}, found


@given('the plan of seed {seed:d}')
def make_plan(context: Context, seed: int) -> None:
    """Draw a plan."""
    context.plan = draw_faults(seed, _ENDS_S, _VMS, _UPSTREAMS)
    assert context.plan


@then('a second plan of seed {seed:d} is the same')
def check_same(context: Context, seed: int) -> None:
    """Draw the plan again."""
    assert draw_faults(seed, _ENDS_S, _VMS, _UPSTREAMS) == context.plan


@then('the plan of seed {seed:d} is different')
def check_other(context: Context, seed: int) -> None:
    """Draw the plan of another seed."""
    assert draw_faults(seed, _ENDS_S, _VMS, _UPSTREAMS) != context.plan


@then('no two of its faults have the same target at the same time')
def check_apart(context: Context) -> None:
    """Compare the times of all pairs of faults."""
    for one in context.plan:
        for other in context.plan:
            if one is other or one.target != other.target:
                continue
            assert one.to_s < other.from_s or other.to_s < one.from_s


@then('each line of the seeds file has a seed and a cause')
def check_regression_seeds(context: Context) -> None:
    """Read the regression seeds."""
    seeds = regression_seeds()
    assert {each.stops_only for each in seeds} == {True, False}
    assert all(each.cause for each in seeds), seeds


@when('the soak test runs seed {seed:d} with {length:d} s of faults')
def run_one_seed(context: Context, seed: int, length: int) -> None:
    """Run a seed with real processes."""
    folder = Path(mkdtemp(prefix='soak-'))
    context.result = run_seed(SoakPlan(seed, float(length)), folder)
    print(format_verdict(context.result), folder)


@when(
    'the soak test runs seed {seed:d} with {length:d} s of planned stops that'
    ' have little time'
)
def run_stops(context: Context, seed: int, length: int) -> None:
    """Stop nodes only, while callers keep connections to them open."""
    folder = Path(mkdtemp(prefix='soak-'))
    plan = SoakPlan(seed, float(length), _STOP_NODES, stops_only=True)
    context.result = run_seed(plan, folder)
    print(format_verdict(context.result), folder)


@then('at least {count:d} nodes were stopped, two of them at the same time')
def check_stops(context: Context, count: int) -> None:
    """Check that the run had stops that overlap."""
    stops = sorted(
        context.result.evidence.stops, key=lambda each: each.requested_s
    )
    assert len(stops) >= count, stops
    pairs = zip(stops, stops[1:], strict=False)
    assert any(later.requested_s < one.ended_s for one, later in pairs), stops


@then('the guarantee "{check}" holds')
def check_guarantee(context: Context, check: str) -> None:
    """Check that one checker found no violations."""
    found = [each for each in context.result.violations if each.check == check]
    assert not found, format_timeline(context.result)


@then('at least {count:d} requests were served')
def check_served(context: Context, count: int) -> None:
    """Count the served requests."""
    served = sum(each.is_served for each in context.result.evidence.requests)
    assert served >= count, served
