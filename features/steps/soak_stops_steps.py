"""Steps for the planned stops of the soak test: checkers, plans and work."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Any, Final

from behave import given, then

from features.steps.soak_violations import (
    add_crossing_request,
    add_cut_request,
    add_wrong_refusal,
    violation,
)
from soak.evidence import Evidence, NodeStop, Run, SentRequest
from soak.faults.vm import NODE_STOPPED
from soak.stop_plan import draw_stops
from soak.work import draw_long_tailed

if TYPE_CHECKING:
    from behave.runner import Context

_LENGTH_S: Final = 30.0
_VMS: Final = ('vm-0', 'vm-1', 'vm-2', 'vm-3')
_UPSTREAMS: Final = ('vm-0/desk', 'vm-1/desk')
_SIGNALS: Final = frozenset(
    ('node-reloaded', 'node-signalled-again', 'stop-paused')
)


def _stop_with(
    evidence: Evidence,
    sent_after_s: float,
    cut_after_s: float,
    **changes: Any,
) -> SentRequest:
    """Lengthen the stop, and let it break off a request.

    :param sent_after_s: time after the stop signal, as the other one.
    :param changes: to the request.
    """
    evidence.stops[0] = NodeStop('vm-0', 10, 15.2, 0)
    evidence.requests[14] = replace(
        evidence.requests[14],
        sent_s=10 + sent_after_s,
        ended_s=10 + cut_after_s,
        **{'status': 502, 'outcome': 'unknown', **changes},
    )
    evidence.runs[14] = Run(
        'key-14',
        'vm-1/desk',
        10 + sent_after_s,
        is_cancelled=True,
        ended_s=10 + cut_after_s,
    )
    return evidence.requests[14]


@violation('a run broken off and refused by a stop')
def add_refused_run(evidence: Evidence) -> None:
    """Refuse a lookup in place of the run that a stop has broken off."""
    _stop_with(
        evidence,
        3,
        5.1,
        status=503,
        is_non_idempotent=False,
    )


@violation('a late request cut at the end of a stop')
def add_late_cut(evidence: Evidence) -> None:
    """Cut a request that was sent after the close of the listener."""
    _stop_with(evidence, 2.8, 5.1)


@violation('an early request cut at the end of a stop')
def add_early_cut(evidence: Evidence) -> None:
    """Cut a request that was sent before the close of the listener."""
    _stop_with(evidence, 2.5, 5.1)


@violation('a request cut too early in a stop')
def add_cut_too_early(evidence: Evidence) -> None:
    """Cut a request before the last part of the stop."""
    _stop_with(evidence, 2.5, 4.8)


@violation('an idle run cut at the end of a stop')
def add_idle_cut(evidence: Evidence) -> None:
    """Fail a request whose upstream has finished long before."""
    _stop_with(evidence, 2.5, 5.1)
    evidence.runs[14] = replace(evidence.runs[14], ended_s=14)


@violation('a cut by the stop of another node')
def add_foreign_cut(evidence: Evidence) -> None:
    """Cut a request at a node that does not stop, nor that of the upstream."""
    _stop_with(evidence, 2.5, 5.1, node='vm-3')


@violation('an early request cut by the stop of its upstream')
def add_home_cut(evidence: Evidence) -> None:
    """Cut a request through another node, at the upstream of this one."""
    _stop_with(evidence, 2.5, 5.1, node='vm-3')
    evidence.runs[14] = replace(evidence.runs[14], upstream='vm-0/desk')


@violation('a cut answer without any bytes of it')
def add_cut_without_answer(evidence: Evidence) -> None:
    """Close the connection of an early request that could be answered."""
    _stop_with(evidence, 2.5, 5.1, status=0, outcome='', error='closed')


@violation('an answer in part cut at the end of a stop')
def add_cut_stream(evidence: Evidence) -> None:
    """Close the connection of an early request amid its answer."""
    cut = _stop_with(evidence, 2.5, 5.1, status=0, outcome='', error='closed')
    cut.is_streamed = True


@violation('a late answer cut at the end of a stop')
def add_late_cut_stream(evidence: Evidence) -> None:
    """Close the connection of a late request amid its answer."""
    cut = _stop_with(evidence, 2.8, 5.1, status=0, outcome='', error='closed')
    cut.is_streamed = True


@violation('a caller kept waiting for a closed end')
def add_late_close(evidence: Evidence) -> None:
    """Close a spare connection long after a request was sent."""
    add_crossing_request(evidence)
    evidence.requests[14].ended_s = evidence.requests[14].sent_s + 0.8


@violation('a lookup refused as not run that ran')
def add_wrong_lookup_refusal(evidence: Evidence) -> None:
    """Report not run for a lookup that an upstream has started."""
    add_wrong_refusal(evidence)
    evidence.requests[0].is_non_idempotent = False


@violation('a run that ends with its deadline')
def add_passed_deadline(evidence: Evidence) -> None:
    """Let the deadline of a request pass during its run."""
    cut = _stop_with(evidence, 3, 5.1, status=504)
    cut.deadline_ms = 2000


@violation('a failed request during a stop and a reload')
def add_failure_beside_reload(evidence: Evidence) -> None:
    """Send SIGHUP to the stopping node."""
    _fail_beside(evidence, 'node-reloaded vm-0')


@violation('a failed request during a stop and a second signal')
def add_failure_beside_signal(evidence: Evidence) -> None:
    """Send SIGTERM to the stopping node once more."""
    _fail_beside(evidence, 'node-signalled-again vm-0')


@violation('a failed request during a stop and a pause')
def add_failure_beside_pause(evidence: Evidence) -> None:
    """Suspend the stopping node for a moment."""
    _fail_beside(evidence, 'stop-paused vm-0')


@violation('a failed request during a stop and a new version')
def add_failure_beside_config(evidence: Evidence) -> None:
    """Publish a configuration."""
    _fail_beside(evidence, 'config-changed')


@violation('a failed request during a stop and a leaving upstream')
def add_failure_beside_leaving(evidence: Evidence) -> None:
    """List an upstream as leaving."""
    _fail_beside(evidence, 'upstream-leaves vm-0/desk')


def _fail_beside(evidence: Evidence, what: str) -> None:
    add_cut_request(evidence)
    evidence.faults.append((10, 12, what))


@given('the plan of planned stops of seed {seed:d}')
def make_stop_plan(context: Context, seed: int) -> None:
    """Draw a plan of stops."""
    context.plan = draw_stops(seed, _LENGTH_S, _VMS, _UPSTREAMS)
    assert context.plan


@then('a second plan of planned stops of seed {seed:d} is the same')
def check_same_stops(context: Context, seed: int) -> None:
    """Draw the plan again."""
    assert draw_stops(seed, _LENGTH_S, _VMS, _UPSTREAMS) == context.plan


@then('at most half of its nodes stop at the same time')
def check_stopping_share(context: Context) -> None:
    """Count the stops that overlap with the start of each."""
    stops = [each for each in context.plan if each.kind == NODE_STOPPED]
    stopping = [
        sum(one.from_s <= each.from_s < one.to_s for one in stops)
        for each in stops
    ]
    assert max(stopping) == len(_VMS) // 2, stopping


@then('each signal of it comes shortly before or during a stop of its node')
def check_signals(context: Context) -> None:
    """Look for the stop of each signal."""
    kinds = {each.kind for each in context.plan}
    signals = [each for each in context.plan if each.target in _VMS]
    stops = [each for each in signals if each.kind == NODE_STOPPED]
    assert kinds >= _SIGNALS, kinds
    for each in signals:
        assert any(
            stop.target == each.target
            and stop.from_s - 1 < each.from_s <= stop.to_s
            for stop in stops
        ), each


@given('{count:d} requests for work with a long tail')
def draw_work(context: Context, count: int) -> None:
    """Draw work, half of it non-idempotent."""
    rng = Random(1)
    context.work = [
        draw_long_tailed(rng, is_non_idempotent=number % 2 == 0)
        for number in range(count)
    ]


@then(
    '{low:d} to {high:d} percent of them take {shortest:d} to {longest:d} ms,'
    ' the others {quick:d} ms'
)
def check_tail(
    context: Context,
    low: int,
    high: int,
    shortest: int,
    longest: int,
    quick: int,
) -> None:
    """Check the run times."""
    tail = [each.run_ms for each in context.work if each.run_ms != quick]
    assert low <= 100 * len(tail) / len(context.work) <= high, len(tail)
    assert shortest <= min(tail), tail
    assert max(tail) <= longest, tail


@then('no deadline ends before the work, and some requests have none')
def check_deadlines(context: Context) -> None:
    """Check the deadlines."""
    deadlines = [each for each in context.work if each.deadline_ms]
    assert 0 < len(deadlines) < len(context.work)
    assert all(each.run_ms < each.deadline_ms for each in deadlines)
