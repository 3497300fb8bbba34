"""How a run on an upstream ended."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

_FAIR_TIME_FACTOR: Final = 4


class Ending(StrEnum):
    """End of a run, as evidence about the upstream.

    ``EXPIRED`` is a run that its deadline cut although it had not been
    given the time that such work usually takes, so it says nothing.
    """

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CRASHED = 'crashed'
    SHED = 'shed'
    DRAINING = 'draining'
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'
    EXPIRED = 'expired'


def ending_at_deadline(given_ms: float, expected_ms: float) -> Ending:
    """Return how a run ended that was cut by its deadline.

    :param given_ms: time that was left when it started.
    :param expected_ms: time that such work usually takes.
    """
    had_fair_time = given_ms >= _FAIR_TIME_FACTOR * expected_ms
    return Ending.FAILED if had_fair_time else Ending.EXPIRED


__all__ = ('Ending', 'ending_at_deadline')
