"""Limits on resending: a budget, and a backoff with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..config.model import WorkClass
from ..outcome import Outcome
from ..reasons import Reason
from .resend import AttemptEnd

if TYPE_CHECKING:
    from random import Random

    from ..config.model import RetryPolicy

_PERCENT: Final = 100
_MAX_REDIRECTS: Final = 5
_MAX_UNACCEPTED_ATTEMPTS: Final = 5
_REDIRECT_REASONS: Final = frozenset((Reason.BUSY, Reason.RISKY))
_UNACCEPTED_REASONS: Final = frozenset(
    (
        Reason.PEER_UNREACHABLE,
        Reason.UPSTREAM_UNREACHABLE,
        Reason.NODE_LEAVING,
        Reason.DRAINING,
        Reason.NO_UPSTREAM,
    )
)
_MAX_SAVED_REDIRECTS: Final = 20.0


class RetryBudget:
    """Token buckets filled by first attempts and emptied by resends.

    Work that has reached an upstream is a load on it a second time, also if
    the upstream itself refused it; work that a node refused is not, and has a
    bucket of its own.

    :param policy: resends as shares of first attempts.
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy
        self._retries = float(policy.saved_resends)
        if not policy.budget_percent:
            self._retries = 0
        self._redirects = _MAX_SAVED_REDIRECTS

    def replace_policy(self, policy: RetryPolicy) -> None:
        """Follow other shares; the tokens that were saved stay.

        :param policy: resends as shares of first attempts.
        """
        self._policy = policy

    def note_first_attempt(self) -> None:
        """Count a request that was sent for the first time."""
        self._retries = min(
            self._policy.saved_resends,
            self._retries + self._policy.budget_percent / _PERCENT,
        )
        self._redirects = min(
            _MAX_SAVED_REDIRECTS,
            self._redirects + self._policy.redirect_percent / _PERCENT,
        )

    def reserve_redirect(
        self,
        attempt: int,
        work_class: WorkClass,
        *,
        has_others: bool,
    ) -> bool:
        """Return whether a busy home shall refuse work instead of queueing it.

        Short work is sent on from a busy upstream to another one, which
        takes less time than to wait, while there are tokens for it. The
        token is taken now; :meth:`settle` gives it back.

        :param attempt: number of this attempt, from 1.
        :param has_others: whether an upstream is left to send it on to.
        """
        if work_class is WorkClass.LONG or not has_others:
            return False
        if attempt > _MAX_REDIRECTS or self._redirects < 1:
            return False
        self._redirects -= 1
        return True

    def settle(self, end: AttemptEnd, *, was_reserved: bool) -> None:
        """Give a reserved token back if it was not needed.

        :param end: of the attempt.
        """
        if was_reserved and end.reason not in _REDIRECT_REASONS:
            self._redirects += 1

    def may_resend(
        self,
        end: AttemptEnd,
        attempt: int,
        runs: int | None = None,
        max_runs: int = 0,
    ) -> bool:
        """Return whether one more attempt is within all limits, and pay.

        Redirects from busy homes have been paid for by their reservation
        and do not count as attempts, nor do those from homes whose upstream
        is likely to fail, which are bounded by the number of tries. Work
        that nobody took, since a link is still being dialled or an upstream
        drains, may try as many others without a token: it is a load on none.

        :param end: of the attempt before.
        :param attempt: its number, from 1.
        :param runs: how many of the attempts may have run, all by default.
        :param max_runs: bound on them, 0 to follow the policy.
        """
        if end.reason in _REDIRECT_REASONS:
            return True
        if end.reason in _UNACCEPTED_REASONS:
            return attempt < _MAX_UNACCEPTED_ATTEMPTS
        limit = max_runs or self._policy.max_attempts
        counted = attempt if runs is None else runs
        if counted >= limit or attempt >= max(limit, _MAX_UNACCEPTED_ATTEMPTS):
            return False
        return self._try_spend(end)

    @property
    def has_retry(self) -> bool:
        """Whether work that may have run could be sent again now."""
        return self._retries >= 1

    def may_hedge(self) -> bool:
        """Take a token for a second copy; return whether there was one."""
        return self._try_spend(AttemptEnd(Outcome.UNKNOWN))

    def _try_spend(self, end: AttemptEnd) -> bool:
        has_reached_upstream = end.reason is Reason.UPSTREAM_REFUSED
        if end.outcome is Outcome.NOT_RUN and not has_reached_upstream:
            is_allowed = self._redirects >= 1
            self._redirects -= is_allowed
        else:
            is_allowed = self._retries >= 1
            self._retries -= is_allowed
        return is_allowed


class HomeResends:
    """Token bucket of resends by a home to the same upstream.

    A part of the share that the policy allows is theirs, since they are a
    load on the upstream like the resends of entries.

    :param policy: resends as shares of first attempts.
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy
        self._tokens: float = 1

    def note_run(self) -> None:
        """Count a run."""
        policy = self._policy
        share = policy.budget_percent * policy.home_percent / _PERCENT**2
        self._tokens = min(1, self._tokens + share)

    def may_resend(self) -> bool:
        """Take a token for a resend; return whether there was one."""
        if self._policy.home_percent >= _PERCENT:
            return True
        is_allowed = self._tokens >= 1
        self._tokens -= is_allowed
        return is_allowed


def backoff_ms(
    policy: RetryPolicy,
    attempt: int,
    outcome: Outcome,
    rng: Random,
) -> float:
    """Return the wait before an attempt: exponential, with full jitter.

    Work that was refused elsewhere goes on to another upstream at once.

    :param attempt: number of the attempt that failed, from 1.
    :param outcome: of that attempt.
    :param rng: source of randomness.
    """
    if outcome is Outcome.NOT_RUN:
        return 0
    return rng.random() * policy.backoff_ms * (1 << (attempt - 1))


__all__ = ('HomeResends', 'RetryBudget', 'backoff_ms')
