"""How much a likely failure weighs against waiting, for each kind of work.

Load pattern: upstreams that fail most of their work for some seconds, in
turn, while most work can't be repeated.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from .shortage import RISK_REPORT_LIFE_MS, is_below_floor
from .spells import RISK_SCALE

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from ..config.model import Operation
    from .loads import UpstreamLoad

# A failure of work that can't be repeated is final; a caller would rather
# wait for several times its target. Repeatable work loses a run, and a resend
# of which there are few: it waits as long as the answer is still in time.
_NON_IDEMPOTENT_FAILURE_TARGETS: Final = 4.0
_IDEMPOTENT_FAILURE_TARGETS: Final = 1.0
# Below that after one failure of a busy upstream.
_NON_IDEMPOTENT_RISK_LIMIT: Final = 0.2
# Below that after a fresh failure of an upstream in a spell.
_IDEMPOTENT_RISK_LIMIT: Final = 0.9
# An upstream that has just done its work again is tried at once, to be sure.
_LIKELY_FAILING_RISK: Final = 0.5
_MIN_TRIAL_RISK: Final = 0.12
_TRIAL_SHARE: Final = 0.3
# After as many homes have refused the risk, the next takes the work anyway.
_MAX_RISK_REFUSALS: Final = 4
# What a home may know of a risk beyond what an entry has heard.
_RISK_SLACK: Final = 0.05


@dataclass(frozen=True, slots=True)
class TrialRule:
    """Whether a request may find out if an upstream is well again.

    :param may_repeat: whether a failure could be made good elsewhere.
    :param is_short: whether the service turns work away, so that even work
        that can't be repeated is better tried than refused.
    :param floor_percent: share of the upstreams that has to be in use.
    """

    operation: Operation
    may_repeat: bool
    has_shortage: bool = False
    floor_percent: int = 0


def failure_cost_ms(
    operation: Operation, *, has_shortage: bool = False
) -> float:
    """Return how long a caller would wait to avoid a certain failure.

    :param operation: of the request.
    :param is_short: whether work is turned away for want of room.
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
    """Return an upstream to find out whether its spell of failing is over.

    Without such trials an upstream that failed would never be chosen again
    while others are free. Work that can be repeated is risked, and only a
    share of it; the home lets one through in a while. Where work is turned
    away, any work is risked at an upstream that is as likely well as not, and
    at any other as long as fewer are in use than the floor asks for.

    :param loads: upstreams that may be chosen.
    :param rule: what the request may be used for.
    :param now_ms: monotonic time.
    :param rng: source of randomness.
    """
    has_another_attempt = rule.may_repeat and rule.operation.idempotent
    if not has_another_attempt and not rule.has_shortage:
        return None
    if rng.random() > _TRIAL_SHARE:
        return None
    due = [each for each in loads if _is_due_for_trial(each, now_ms)]
    if not has_another_attempt and not is_below_floor(
        loads, rule.floor_percent, now_ms
    ):
        due = [
            each
            for each in due
            if each.risk_now(now_ms) <= _LIKELY_FAILING_RISK
        ]
    return min(due, key=_risk_reported_at_ms, default=None)


def _is_due_for_trial(load: UpstreamLoad, now_ms: float) -> bool:
    if load.is_avoided(now_ms):
        return False
    risk = load.risk_now(now_ms)
    if risk > _LIKELY_FAILING_RISK:
        return now_ms - _risk_reported_at_ms(load) >= RISK_REPORT_LIFE_MS
    return risk > _MIN_TRIAL_RISK


def _risk_reported_at_ms(load: UpstreamLoad) -> float:
    return load.risk_reported_at_ms or 0


def risk_limit(
    operation: Operation,
    attempt: int,
    *,
    has_others: bool,
    known_risk: float = 0,
) -> int:
    """Return the risk of failure above which a home shall refuse.

    :param operation: of the request.
    :param attempt: its number, from 1.
    :param has_others: whether an upstream is left that was not tried.
    :param known_risk: that the entry accepts, since the service is short of
        upstreams; the home refuses if it knows of a greater one.
    :returns: thousandths.
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


__all__ = ('TrialRule', 'failure_cost_ms', 'risk_limit', 'pick_trial')
