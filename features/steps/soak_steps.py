"""Steps for the soak test: checkers, fault plans, and a short run."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from tempfile import mkdtemp
from typing import TYPE_CHECKING, Final

from behave import given, then, when

from soak.checks import find_violations
from soak.cli import regression_seeds
from soak.evidence import (
    NOT_RUN,
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
    from collections.abc import Callable

    from behave.runner import Context

_ENDS_S: Final = 30.0
_REQUEST_COUNT: Final = 40
_STOP_NODES: Final = 6
_VMS: Final = ('vm-0', 'vm-1', 'vm-2', 'vm-3')
_UPSTREAMS: Final = ('vm-0/desk', 'vm-1/desk')
_VIOLATIONS: Final[dict[str, Callable[[Evidence], None]]] = {}


def violation(
    name: str,
) -> Callable[[Callable[[Evidence], None]], Callable[[Evidence], None]]:
    """Return a decorator that registers a change to the evidence."""

    def decorate(
        function: Callable[[Evidence], None],
    ) -> Callable[[Evidence], None]:
        _VIOLATIONS[name] = function
        return function

    return decorate


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


@violation('an answer to another request')
def add_foreign_answer(evidence: Evidence) -> None:
    """Mark an answer as that of another request."""
    evidence.requests[0].is_answer_valid = False


@violation('a second run of non-idempotent work')
def add_second_run(evidence: Evidence) -> None:
    """Add a second run of a request."""
    evidence.runs.append(evidence.runs[0])


@violation('a run of a request refused as not run')
def add_wrong_refusal(evidence: Evidence) -> None:
    """Report not run for a request that an upstream has started."""
    evidence.requests[0].status = 503
    evidence.requests[0].outcome = NOT_RUN


@violation('an answer without a run')
def remove_run(evidence: Evidence) -> None:
    """Remove the run of a served request."""
    evidence.runs.pop(0)


@violation('a run at an upstream that left long ago')
def add_late_run(evidence: Evidence) -> None:
    """Move a run to an upstream that has been leaving for 5 s."""
    evidence.runs[0] = replace(
        evidence.runs[0], upstream='vm-2/desk', started_s=10
    )


@violation('a return to an older configuration')
def add_old_config(evidence: Evidence) -> None:
    """Give one sample of a node an older version."""
    evidence.samples[5] = replace(evidence.samples[5], config_version=1)


@violation('a node that misses the newest version')
def add_missed_config(evidence: Evidence) -> None:
    """Publish a version that no node activates."""
    evidence.published.append((1, 3))


@violation('a node that ejects three of four')
def add_ejections(evidence: Evidence) -> None:
    """Leave one healthy upstream of four."""
    evidence.samples[0] = replace(evidence.samples[0], healthy=1)


@violation('failed requests at the end of the run')
def add_failed_request(evidence: Evidence) -> None:
    """Make one of the last requests fail."""
    evidence.requests[-1].status = 502


@violation('a request interrupted by a planned stop')
def add_interrupted_request(evidence: Evidence) -> None:
    """Reset the connection of a request while its node stops."""
    cut = evidence.requests[14]
    cut.error = 'ConnectionResetError'
    cut.status = 0
    cut.outcome = ''


@violation('a planned stop with exit code 1')
def add_exit_code(evidence: Evidence) -> None:
    """Give a stopped node an error exit code."""
    evidence.stops[0] = replace(evidence.stops[0], exit_code=1)


@violation('a spare connection closed during a run')
def add_closed_spare(evidence: Evidence) -> None:
    """Close the spare connection of a request that an upstream has begun."""
    add_interrupted_request(evidence)
    evidence.requests[14].is_from_holder = True


@violation('a spare connection closed without a run')
def add_crossing_request(evidence: Evidence) -> None:
    """Close a spare connection as its request arrives."""
    add_closed_spare(evidence)
    evidence.runs.pop(14)


@violation('a run cut off with an answer by a stop')
def add_cut_request(evidence: Evidence) -> None:
    """Answer a request that ran as a bad gateway while its node stops."""
    cut = evidence.requests[14]
    cut.status = 502
    cut.outcome = 'unknown'


@violation('a failed request during a stop and a crash')
def add_failure_beside_crash(evidence: Evidence) -> None:
    """Let an upstream crash while a node stops."""
    add_cut_request(evidence)
    evidence.faults.append((10, 11, 'upstream-crashed vm-0/desk'))


@then('no checker reports a violation')
def check_no_violation(context: Context) -> None:
    """Run all checkers."""
    assert not find_violations(context.evidence)


@when('the evidence contains {fault}')
def add_violation(context: Context, fault: str) -> None:
    """Add a violation to the evidence."""
    _VIOLATIONS[fault.strip()](context.evidence)


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
    causes = regression_seeds()
    assert causes
    assert all(causes.values()), causes


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
