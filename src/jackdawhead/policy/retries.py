"""Limits on resending: a budget, and a backoff with jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

    from ..config.model import RetryPolicy

_PERCENT: Final = 100
_MAX_TOKENS: Final = 50.0
_FIRST_TOKENS: Final = 5.0


class RetryBudget:
    """Token bucket filled by first attempts and emptied by retries.

    :param policy: retries as a share of first attempts.
    """

    def __init__(self, policy: RetryPolicy) -> None:
        self._policy = policy
        self._tokens: float = _FIRST_TOKENS if policy.budget_percent else 0

    def note_first_attempt(self) -> None:
        """Count a request that was sent for the first time."""
        earned = self._policy.budget_percent / _PERCENT
        self._tokens = min(_MAX_TOKENS, self._tokens + earned)

    def try_spend(self) -> bool:
        """Take a token for one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def backoff_ms(policy: RetryPolicy, attempt: int, rng: Random) -> float:
    """Return the wait before an attempt: exponential, with full jitter.

    :param attempt: number of the attempt that failed, from 1.
    :param rng: source of randomness.
    """
    return rng.random() * policy.backoff_ms * (1 << (attempt - 1))


__all__ = ('RetryBudget', 'backoff_ms')
