"""High estimates of the time that a request takes, by operation.

Load pattern: a node stops while its callers still send requests. Only work
that ends before the process does may be accepted, so that the estimate has to
exceed nearly all of the times and not only half of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from ..config.model import Operation

# Gains and factor of the retransmission timer of TCP (RFC 6298).
_MEAN_GAIN: Final = 1 / 8
_DEVIATION_GAIN: Final = 1 / 4
_DEVIATION_FACTOR: Final = 4


# From this many times on, the configured run time counts less with each.
_TRUSTED_COUNT: Final = 40


@dataclass(frozen=True, slots=True)
class _Estimate:
    """Moving averages of a time and of its deviation from the mean."""

    mean_ms: float
    deviation_ms: float
    count: int = 1

    @property
    def high_ms(self) -> float:
        return self.mean_ms + _DEVIATION_FACTOR * self.deviation_ms

    def updated(self, took_ms: float) -> _Estimate:
        error_ms = took_ms - self.mean_ms
        growth_ms = abs(error_ms) - self.deviation_ms
        return _Estimate(
            self.mean_ms + _MEAN_GAIN * error_ms,
            self.deviation_ms + _DEVIATION_GAIN * growth_ms,
            self.count + 1,
        )


class CompletionTimes:
    """Estimates times as TCP does, by the mean plus four mean deviations."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def note(self, operation: str, took_ms: float) -> None:
        """Add a measured time.

        :param operation: name of the operation.
        :param took_ms: time until the answer was complete.
        """
        known = self._estimates.get(operation)
        self._estimates[operation] = (
            known.updated(took_ms) if known else _first_estimate(took_ms)
        )

    def deviation_ms(self, operation: Operation) -> float:
        """Return the mean deviation of the times from their mean.

        :param operation: operation of the request; until times are measured,
            half of its configured time counts.
        """
        learned = self._estimates.get(operation.name)
        return learned.deviation_ms if learned else operation.expected_ms / 2

    def high_ms(self, operation: Operation) -> float:
        """Return a time that nearly no request exceeds.

        It is at least what the configured run time suggests, since the last
        requests may all have been quick ones. The more have been measured, the
        less the configured time counts.

        :param operation: operation of the request.
        """
        configured = _first_estimate(operation.expected_ms)
        learned = self._estimates.get(operation.name, configured)
        weight = min(1, _TRUSTED_COUNT / learned.count)
        return max(weight * configured.high_ms, learned.high_ms)


def _first_estimate(took_ms: float) -> _Estimate:
    return _Estimate(took_ms, took_ms / 2)


__all__ = ('CompletionTimes',)
