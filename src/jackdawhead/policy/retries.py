"""Limits on resends: token-bucket budgets, and backoff with jitter."""

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
# Attempts up to this one may reserve a redirect.
_MAX_REDIRECTS: Final = 5
# Limit on the attempts of work that no upstream accepts.
_MAX_UNACCEPTED_ATTEMPTS: Final = 5
# Refusals by homes after which the request goes on to another upstream.
_REDIRECT_REASONS: Final = frozenset((Reason.BUSY, Reason.RISKY))
# Reasons of work that has not run, as it reached no upstream.
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
    """Token buckets that first attempts fill and resends drain.

    A resend of work that has reached an upstream adds load to upstreams, even
    if the first upstream refused the work. A redirect, the resend of work that
    a node refused, doesn't, and is paid for from a separate bucket.

    :param policy: limits on resends, as percentages of first attempts.
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy
        self._retries = float(policy.saved_resends)
        if not policy.budget_percent:
            self._retries = 0
        self._redirects = _MAX_SAVED_REDIRECTS

    def replace_policy(self, policy: RetryPolicy) -> None:
        """Apply a new policy; saved tokens are kept.

        :param policy: limits on resends, as percentages of first attempts.
        """
        self._policy = policy

    def note_first_attempt(self) -> None:
        """Add the tokens for the first attempt of a request."""
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
        """Reserve a redirect token for an attempt, if possible.

        With a token, a busy home refuses the work instead of queueing it, and
        the work is redirected to another upstream, which takes less time than
        waiting. :meth:`settle_reservation` gives a token back that was not
        needed.

        :param attempt: number of this attempt, from 1.
        :param work_class: class of the work; only short work is redirected.
        :param has_others: whether there are other upstreams to redirect to.
        :returns: whether a token was reserved.
        """
        if work_class is WorkClass.LONG or not has_others:
            return False
        if attempt > _MAX_REDIRECTS or self._redirects < 1:
            return False
        self._redirects -= 1
        return True

    def settle_reservation(
        self, end: AttemptEnd, *, was_reserved: bool
    ) -> None:
        """Give a reserved redirect token back if it was not needed.

        :param end: end of the attempt.
        :param was_reserved: whether a token was reserved for the attempt.
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
        """Return whether one more attempt is allowed, and take its token.

        Redirects from busy homes are paid for by their reservation and don't
        count as attempts; without one, the number of tries is as limited.
        Neither do redirects from homes whose upstream is likely to fail; the
        number of tries bounds them. Work that no upstream
        accepted, for example because a link is still being established or the
        upstream drains, needs no token for up to five attempts in total, since
        it put load on no upstream.

        :param end: end of the previous attempt.
        :param attempt: number of the previous attempt, from 1.
        :param runs: number of attempts that may have run, all by default.
        :param max_runs: limit on these, 0 for that of the policy.
        """
        # An upstream may have run the work before it could not be reached.
        refusal = end.reason if end.outcome is Outcome.NOT_RUN else None
        if refusal is Reason.BUSY:
            return attempt <= _MAX_REDIRECTS
        if refusal in _REDIRECT_REASONS:
            return True
        if refusal in _UNACCEPTED_REASONS:
            return attempt < _MAX_UNACCEPTED_ATTEMPTS
        limit = max_runs or self._policy.max_attempts
        counted = attempt if runs is None else runs
        if counted >= limit or attempt >= max(limit, _MAX_UNACCEPTED_ATTEMPTS):
            return False
        return self._try_spend(end)

    @property
    def has_retry(self) -> bool:
        """Whether there is a token to resend work that may have run."""
        return self._retries >= 1

    def try_spend_hedge(self) -> bool:
        """Take a token for a second copy and return whether there was one."""
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


class HomeResendBudget:
    """Token bucket for resends by a home to the same upstream.

    These resends use a part of the policy's budget, since they load the
    upstream like the resends of entries do.

    :param policy: limits on resends, as percentages of first attempts.
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy
        self._tokens: float = 1

    def note_run(self) -> None:
        """Add the tokens for a run."""
        policy = self._policy
        share = policy.budget_percent * policy.home_percent / _PERCENT**2
        self._tokens = min(1, self._tokens + share)

    def may_resend(self) -> bool:
        """Take a token for a resend and return whether there was one."""
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
    """Return the backoff before the next attempt, exponential with full jitter.

    Work that did not run goes on to another upstream at once.

    :param policy: limits on resends, with the base of the backoff.
    :param attempt: number of the attempt that failed, from 1.
    :param outcome: outcome of that attempt.
    :param rng: source of randomness.
    """
    if outcome is Outcome.NOT_RUN:
        return 0
    return rng.random() * policy.backoff_ms * (1 << (attempt - 1))


__all__ = ('HomeResendBudget', 'RetryBudget', 'backoff_ms')
