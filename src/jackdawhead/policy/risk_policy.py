"""Trade-off between the risk of a failure and a longer wait.

Load pattern: upstreams that take turns in failing most of their work for some
seconds, while most of the work isn't idempotent.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from statistics import median
from typing import TYPE_CHECKING, Final

from .shortage import is_below_floor
from .spell_estimate import LIKELY_FAILING_RISK, RISK_SCALE

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from ..config.model import Operation
    from .loads import UpstreamLoad

# Cost of a failure, in multiples of the operation's target latency, or of its
# deadline if it has no target. A failure of non-idempotent work is final, so
# its caller would rather wait for several times the target. A failure of
# idempotent work costs a run and one of the few resends, so it waits only while
# the answer is still in time.
_NON_IDEMPOTENT_FAILURE_TARGETS: Final = 4.0
_IDEMPOTENT_FAILURE_TARGETS: Final = 1.0
# One failure of a busy upstream takes its risk above this limit.
_NON_IDEMPOTENT_RISK_LIMIT: Final = 0.2
# A new failure of an upstream in a spell takes its risk above this limit.
_IDEMPOTENT_RISK_LIMIT: Final = 0.9
# An upstream at or below this risk needs no trial.
_MIN_TRIAL_RISK: Final = 0.12
# Share of the eligible requests that are used for trials. During a shortage all
# idempotent requests are, as homes bound the number of runs.
_TRIAL_SHARE: Final = 0.3
# Attempts after this one accept any risk, as this many homes may have refused.
_MAX_RISK_REFUSALS: Final = 4
# The home's own estimate may exceed the last one that it reported by this much.
_RISK_SLACK: Final = 0.05


@dataclass(frozen=True, slots=True)
class TrialRule:
    """Conditions under which a request may test whether an upstream recovered.

    :param operation: operation of the request.
    :param may_repeat: whether the route and the retry budget allow another
        attempt after a failure.
    :param has_shortage: whether the service refuses work for lack of capacity,
        so that a trial beats a refusal even for non-idempotent work.
    :param floor_percent: percentage of the upstreams that has to be in use.
    """

    operation: Operation
    may_repeat: bool
    has_shortage: bool = False
    floor_percent: int = 0


def failure_cost_ms(
    operation: Operation, *, has_shortage: bool = False
) -> float:
    """Return how long a caller would wait to avoid a failure, in milliseconds.

    :param operation: operation of the request.
    :param has_shortage: whether work is refused for lack of capacity.
    """
    targets = (
        _IDEMPOTENT_FAILURE_TARGETS
        if operation.idempotent or has_shortage
        else _NON_IDEMPOTENT_FAILURE_TARGETS
    )
    return targets * (operation.target_ms or operation.deadline_ms)


def pick_trial(
    loads: Sequence[UpstreamLoad],
    rule: TrialRule,
    now_ms: float,
    rng: Random,
) -> UpstreamLoad | None:
    """Return an upstream to test for the end of its spell of failing, or None.

    Without such trials an upstream that failed would never be chosen again
    while others are free. Idempotent work is used for trials, and the home lets
    one of them through only now and then. During a shortage any work may be
    used: at upstreams that are at least as likely healthy as failing, and at
    all others while fewer upstreams are in use than the floor requires.
    Idempotent work then also tests whether slow upstreams have recovered, and
    upstreams whose home is leaving are tried as well.

    The upstream is drawn at random. Entries learn of a spell at the same time,
    so that an order by age would have all of them try the same upstreams.

    :param loads: upstreams that may be chosen.
    :param rule: conditions of the request.
    :param now_ms: monotonic time.
    :param rng: source of randomness.
    """
    has_another_attempt = rule.may_repeat and rule.operation.idempotent
    if not has_another_attempt and not rule.has_shortage:
        return None
    is_unlimited = has_another_attempt and rule.has_shortage
    if not is_unlimited and rng.random() > _TRIAL_SHARE:
        return None
    # Outside a shortage no upstream counts as slow.
    typical_ms = _typical_run_ms(loads) if is_unlimited else inf
    due = [
        each
        for each in loads
        if not each.is_avoided(now_ms)
        and (rule.has_shortage or not each.is_home_leaving)
        and (
            _is_due_for_trial(each, now_ms)
            or each.may_be_fast_again(typical_ms, now_ms)
        )
    ]
    if not has_another_attempt and not is_below_floor(
        loads, rule.floor_percent, now_ms
    ):
        due = [
            each for each in due if each.risk_now(now_ms) <= LIKELY_FAILING_RISK
        ]
    return rng.choice(due) if due else None


def _is_due_for_trial(load: UpstreamLoad, now_ms: float) -> bool:
    """Return whether a trial is due.

    An upstream that is more likely healthy has just completed work again, and
    is tried at once to confirm that its spell is over.
    """
    risk = load.risk_now(now_ms)
    if risk > LIKELY_FAILING_RISK:
        return now_ms >= load.trial_at_ms
    return risk > _MIN_TRIAL_RISK


def _typical_run_ms(loads: Sequence[UpstreamLoad]) -> float:
    return median(each.report.run_ms for each in loads) if loads else inf


def risk_limit(
    operation: Operation,
    attempt: int,
    *,
    has_others: bool,
    known_risk: float = 0,
) -> int:
    """Return the risk of failure above which a home refuses the work.

    :param operation: operation of the request.
    :param attempt: number of the attempt, from 1.
    :param has_others: whether there are upstreams that were not tried.
    :param known_risk: risk that the entry knows of and accepts because of a
        shortage, 0 without one; the home refuses if its own estimate is
        higher by more than a small margin.
    :returns: limit in thousandths.
    """
    if attempt > _MAX_RISK_REFUSALS or not has_others:
        return RISK_SCALE
    limit = (
        _IDEMPOTENT_RISK_LIMIT
        if operation.idempotent
        else _NON_IDEMPOTENT_RISK_LIMIT
    )
    if known_risk:
        limit = max(
            limit, min(_IDEMPOTENT_RISK_LIMIT, known_risk + _RISK_SLACK)
        )
    return int(limit * RISK_SCALE)


__all__ = ('TrialRule', 'failure_cost_ms', 'pick_trial', 'risk_limit')
