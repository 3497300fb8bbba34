"""Requests at a simulated home, and its answers to the entries."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..outcome import Outcome
from ..policy.run_result import RunResult
from ..policy.spell_estimate import RISK_SCALE
from ..reasons import Reason

if TYPE_CHECKING:
    from ..policy.work import Work
    from .behaviour import Run


@dataclass(frozen=True, slots=True)
class HomeAnswer:
    """Answer of a home to an entry.

    :param reason: why there is no response of the upstream, none if there is
        one.
    :param is_good: whether the upstream succeeded.
    :param run_ms: run time at the upstream, in milliseconds.
    :param retry_after_ms: time after which a retry may be admitted.
    """

    outcome: Outcome
    reason: Reason | None
    is_good: bool = False
    run_ms: float = 0
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class HomeJob:
    """A request at a home.

    :param is_retry: whether the request was sent to an upstream before.
    :param answer: callback that receives the answer.
    :param risk_limit: maximum probability of a failure, in thousandths; the
        home refuses the request if the upstream's risk is higher.
    """

    work: Work
    fingerprint: int
    is_retry: bool
    answer: Callable[[HomeAnswer], None]
    risk_limit: int = RISK_SCALE


def answer_of(run: Run, *, is_late: bool) -> HomeAnswer:
    """Return the answer of a home after a run.

    :param run: run that has ended.
    :param is_late: whether the deadline has passed.
    """
    match run.ending:
        case RunResult.SUCCEEDED:
            return HomeAnswer(Outcome.RAN, None, True, run.run_ms)
        case RunResult.FAILED | RunResult.EXPIRED if is_late:
            return HomeAnswer(Outcome.UNKNOWN, Reason.DEADLINE)
        case RunResult.FAILED:
            return HomeAnswer(Outcome.RAN, None, False, run.run_ms)
        case RunResult.CRASHED:
            return HomeAnswer(Outcome.UNKNOWN, Reason.UPSTREAM_CRASHED)
        case RunResult.UNREACHABLE:
            return HomeAnswer(Outcome.NOT_RUN, Reason.UPSTREAM_UNREACHABLE)
        case _:
            return HomeAnswer(Outcome.NOT_RUN, Reason.UPSTREAM_REFUSED)


__all__ = ('HomeAnswer', 'HomeJob', 'answer_of')
