"""Whether a request may be sent again, and what all its attempts came to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ..outcome import Outcome
from ..reasons import Reason

_FINAL_REASONS: Final = frozenset((Reason.QUARANTINED, Reason.DEADLINE))
_BY_CERTAINTY: Final = (Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.RAN)


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of one attempt.

    :param outcome: whether the work ran.
    :param reason: why there is no answer, or nothing if there is one.
    :param is_server_error: whether there is one with a status of 500 or more.
    """

    outcome: Outcome
    reason: Reason | None = None
    is_server_error: bool = False


def is_resend_safe(end: AttemptEnd, *, idempotent: bool) -> bool:
    """Return whether a resend cannot run work twice, and may help.

    Work that is not idempotent is only resent on proof that it did not run.

    :param end: of the attempt before.
    :param idempotent: whether running the work twice does no harm.
    """
    if end.reason in _FINAL_REASONS:
        return False
    if end.reason is None:
        return idempotent and end.is_server_error
    return idempotent or end.outcome is Outcome.NOT_RUN


def outcome_of_both(one: Outcome, other: Outcome) -> Outcome:
    """Return whether a request has run, from two of its attempts.

    Load pattern: a crest during which answers are lost. The attempt after a
    lost answer finds no room, which does not undo that the first one ran.

    :param one: of an attempt, or of all attempts before.
    :param other: of another attempt.
    """
    return max(one, other, key=_BY_CERTAINTY.index)


__all__ = ('AttemptEnd', 'is_resend_safe', 'outcome_of_both')
