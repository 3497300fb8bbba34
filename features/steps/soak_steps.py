"""Steps about the soak: planted faults, plans, and a short seed."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from tempfile import mkdtemp
from typing import TYPE_CHECKING, Final

from behave import given, then, when

from soak.checks import find_breaches
from soak.cli import kept_seeds
from soak.evidence import (
    NOT_RUN,
    RAN,
    Evidence,
    Leaving,
    Run,
    Sample,
    Sent,
    Stop,
)
from soak.plan import draw_plan
from soak.play import SoakPlan, play
from soak.report import timeline_of, verdict_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

_ENDS_S: Final = 30.0
_COUNT: Final = 40
_VMS: Final = ('vm-0', 'vm-1', 'vm-2', 'vm-3')
_UPSTREAMS: Final = ('vm-0/desk', 'vm-1/desk')
_PLANTS: Final[dict[str, Callable[[Evidence], None]]] = {}


def plant(
    name: str,
) -> Callable[[Callable[[Evidence], None]], Callable[[Evidence], None]]:
    """Return a decorator that files a planted fault under a name."""

    def decorate(
        function: Callable[[Evidence], None],
    ) -> Callable[[Evidence], None]:
        _PLANTS[name] = function
        return function

    return decorate


def sent_at(number: int) -> Sent:
    """Return a registration that was served."""
    at_s = _ENDS_S * number / _COUNT
    return Sent(f'key-{number}', 'vm-0', True, at_s, at_s + 1, 200, RAN)


@given('evidence of a soak in which all promises are kept')
def make_evidence(context: Context) -> None:
    """Make requests, runs, samples and a stop."""
    sent = [sent_at(number) for number in range(_COUNT)]
    context.evidence = Evidence(
        sent,
        [Run(each.key, 'vm-1/desk', each.sent_s) for each in sent],
        [Sample('vm-0', 1, float(at_s), 2, 4, 4) for at_s in range(30)],
        [Stop('vm-0', 10, 12, 0)],
        [Leaving('vm-2/desk', 5, 15)],
        [(0, 2)],
        faults_end_s=15,
        ends_s=_ENDS_S,
    )


@plant('an answer to another request')
def plant_answer(evidence: Evidence) -> None:
    """Let a body be that of another request."""
    evidence.sent[0].is_own = False


@plant('a second run of a registration')
def plant_run(evidence: Evidence) -> None:
    """Let an upstream start it again."""
    evidence.runs.append(evidence.runs[0])


@plant('a run of what was refused as not run')
def plant_refusal(evidence: Evidence) -> None:
    """Refuse a request that an upstream has started."""
    evidence.sent[0].status = 503
    evidence.sent[0].outcome = NOT_RUN


@plant('an answer without a run')
def plant_no_run(evidence: Evidence) -> None:
    """Forget a run."""
    evidence.runs.pop(0)


@plant('a run long after its upstream left')
def plant_late_run(evidence: Evidence) -> None:
    """Start work at an upstream that has been leaving for 5 s."""
    evidence.runs[0] = replace(
        evidence.runs[0], upstream='vm-2/desk', started_s=10
    )


@plant('a step back to an older configuration')
def plant_old_config(evidence: Evidence) -> None:
    """Let a node be at an older version for a moment."""
    evidence.samples[5] = replace(evidence.samples[5], config_version=1)


@plant('a node that misses the newest version')
def plant_missed_config(evidence: Evidence) -> None:
    """Publish a version that no node takes over."""
    evidence.published.append((1, 3))


@plant('a node that ejects three of four')
def plant_ejections(evidence: Evidence) -> None:
    """Let one upstream be left."""
    evidence.samples[0] = replace(evidence.samples[0], well=1)


@plant('an end in which a tenth is not served')
def plant_bad_end(evidence: Evidence) -> None:
    """Let one of the last requests fail."""
    evidence.sent[-1].status = 502


@plant('a request cut by a planned stop')
def plant_cut(evidence: Evidence) -> None:
    """Cut a request while its node stops."""
    cut = evidence.sent[14]
    cut.error = 'ConnectionResetError'
    cut.status = 0
    cut.outcome = ''


@plant('a planned stop with exit code 1')
def plant_code(evidence: Evidence) -> None:
    """Let a node end with an error."""
    evidence.stops[0] = replace(evidence.stops[0], exit_code=1)


@then('no checker finds anything')
def check_nothing(context: Context) -> None:
    """Run all checkers."""
    assert not find_breaches(context.evidence)


@when('{fault} is planted')
def plant_fault(context: Context, fault: str) -> None:
    """Change the evidence."""
    _PLANTS[fault.strip()](context.evidence)


@then('only the checker "{check}" finds something')
def check_found(context: Context, check: str) -> None:
    """Run all checkers."""
    found = {each.check for each in find_breaches(context.evidence)}
    assert found == {check}, found


@given('the plan of seed {seed:d}')
def make_plan(context: Context, seed: int) -> None:
    """Draw a plan."""
    context.plan = draw_plan(seed, _ENDS_S, _VMS, _UPSTREAMS)
    assert context.plan


@then('a second plan of seed {seed:d} is the same')
def check_same(context: Context, seed: int) -> None:
    """Draw it again."""
    assert draw_plan(seed, _ENDS_S, _VMS, _UPSTREAMS) == context.plan


@then('a plan of seed {seed:d} is another')
def check_other(context: Context, seed: int) -> None:
    """Draw another."""
    assert draw_plan(seed, _ENDS_S, _VMS, _UPSTREAMS) != context.plan


@then('no two faults of it concern the same target at the same time')
def check_apart(context: Context) -> None:
    """Compare the times of all pairs."""
    for one in context.plan:
        for other in context.plan:
            if one is other or one.target != other.target:
                continue
            assert one.to_s < other.from_s or other.to_s < one.from_s


@then('each line of the kept seeds is a seed with a cause')
def check_kept_seeds(context: Context) -> None:
    """Read the file."""
    causes = kept_seeds()
    assert causes
    assert all(causes.values()), causes


@when('the soak plays seed {seed:d} with {length:d} s of faults')
def play_seed(context: Context, seed: int, length: int) -> None:
    """Play a seed with real processes."""
    folder = Path(mkdtemp(prefix='soak-'))
    context.played = play(SoakPlan(seed, float(length)), folder)
    print(verdict_of(context.played), folder)


@then('it keeps the promise "{check}"')
def check_kept(context: Context, check: str) -> None:
    """Look at the breaches of one checker."""
    found = [each for each in context.played.breaches if each.check == check]
    assert not found, timeline_of(context.played)


@then('at least {count:d} requests were served')
def check_served(context: Context, count: int) -> None:
    """Count them."""
    served = sum(each.is_served for each in context.played.evidence.sent)
    assert served >= count, served
