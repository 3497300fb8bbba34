"""Limits on resending: a budget, and a backoff with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..outcome import Outcome

if TYPE_CHECKING:
    from random import Random

    from ..config.model import RetryPolicy

_PERCENT: Final = 100
_MAX_RETRIES_SAVED: Final = 3.0
_MAX_REDIRECTS_SAVED: Final = 20.0


class RetryBudget:
    """Token buckets filled by first attempts and emptied by resends.

    Work that may have run is a load on its upstream a second time; work
    that was refused before it ran is not, and has a bucket of its own.

    :param policy: resends as shares of first attempts.
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy
        self._retries = _MAX_RETRIES_SAVED if policy.budget_percent else 0
        self._redirects = _MAX_REDIRECTS_SAVED

    def note_first_attempt(self) -> None:
        """Count a request that was sent for the first time."""
        self._retries = min(
            _MAX_RETRIES_SAVED,
            self._retries + self._policy.budget_percent / _PERCENT,
        )
        self._redirects = min(
            _MAX_REDIRECTS_SAVED,
            self._redirects + self._policy.redirect_percent / _PERCENT,
        )

    def try_spend(self, outcome: Outcome) -> bool:
        """Take a token for one resend; return whether there was one.

        :param outcome: of the attempt before.
        """
        if outcome is Outcome.NOT_RUN:
            is_allowed = self._redirects >= 1
            self._redirects -= is_allowed
        else:
            is_allowed = self._retries >= 1
            self._retries -= is_allowed
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


__all__ = ('RetryBudget', 'backoff_ms')
