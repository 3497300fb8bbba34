"""Verdicts on a request of an organisation with a quota."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Admission:
    """Credit that a request has taken.

    :param expires_at_ms: monotonic time until which it may be used, also by
        another request if this one does not run.
    """

    expires_at_ms: float


@dataclass(frozen=True, slots=True)
class QuotaRefusal:
    """A refusal and the figures that it is based on.

    :param used: requests granted in the last window, as far as known.
    :param age_ms: age of that figure, -1 if there is none.
    """

    retry_after_ms: int
    used: int
    age_ms: int


__all__ = ('Admission', 'QuotaRefusal')
