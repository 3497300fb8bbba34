"""Whether a resend is safe, and the combined outcome of several attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ..outcome import Outcome
from ..reasons import Reason

_FINAL_REASONS: Final = frozenset((Reason.QUARANTINED, Reason.DEADLINE))
# In ascending order; the highest outcome of the attempts is that of a request.
_BY_CERTAINTY: Final = (Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.RAN)


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of one attempt.

    :param outcome: whether the work ran.
    :param reason: why there is no answer, None if there is one.
    :param is_server_error: whether the answer has a status of 500 or more.
    """

    outcome: Outcome
    reason: Reason | None = None
    is_server_error: bool = False


def is_resend_safe(end: AttemptEnd, *, idempotent: bool) -> bool:
    """Return whether a resend is safe and may help.

    Work that is not idempotent is only resent on proof that it did not run.

    :param end: end of the previous attempt.
    :param idempotent: whether it is harmless to run the work twice.
    """
    if end.reason in _FINAL_REASONS:
        return False
    if end.reason is None:
        return idempotent and end.is_server_error
    return idempotent or end.outcome is Outcome.NOT_RUN


def combined_outcome(one: Outcome, other: Outcome) -> Outcome:
    """Return the combined outcome of two attempts of a request.

    Load pattern: a traffic peak during which answers are lost. If the attempt
    after a lost answer is refused for lack of capacity, the first attempt may
    still have run.

    :param one: outcome of an attempt, or of all previous attempts.
    :param other: outcome of another attempt.
    """
    return max(one, other, key=_BY_CERTAINTY.index)


__all__ = ('AttemptEnd', 'combined_outcome', 'is_resend_safe')
