"""Results of runs on upstreams."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

# A run cut by its deadline counts as a failure if it was given at least this
# multiple of the time that such work usually takes.
_FAIR_TIME_FACTOR: Final = 4


class RunResult(StrEnum):
    """End of a run, as evidence about the upstream.

    ``EXPIRED`` is a run that was cut by its deadline but had too little time
    from the start, so that it is no evidence against the upstream.
    """

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CRASHED = 'crashed'
    SHED = 'shed'
    DRAINING = 'draining'
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'
    EXPIRED = 'expired'


def ending_at_deadline(given_ms: float, expected_ms: float) -> RunResult:
    """Return the result of a run that was cut by its deadline.

    :param given_ms: time that was left when the run started.
    :param expected_ms: time that such work usually takes.
    """
    had_fair_time = given_ms >= _FAIR_TIME_FACTOR * expected_ms
    return RunResult.FAILED if had_fair_time else RunResult.EXPIRED


__all__ = ('RunResult', 'ending_at_deadline')
