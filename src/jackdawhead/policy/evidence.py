"""Recent outcomes of one operation on one upstream, and their summary."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import log
from statistics import median
from typing import Final

# CUSUM values are sent as integers in hundredths.
CUSUM_SCALE: Final = 100
_MAX_SAMPLES: Final = 32
# Most and fewest successes that the median run time is taken over.
_MAX_TIMED_SAMPLES: Final = 16
_MIN_MEDIAN_SAMPLES: Final = 8
# The least run time is taken over this many successes.
_LEAST_RUN_SAMPLES: Final = 4
# The CUSUM detects a change from the first share of failures to the second.
# Each outcome adds its log-likelihood ratio.
_HEALTHY_FAILURE_SHARE: Final = 0.02
_DEGRADED_FAILURE_SHARE: Final = 0.4
_FAILURE_STEP: Final = log(_DEGRADED_FAILURE_SHARE / _HEALTHY_FAILURE_SHARE)
_SUCCESS_STEP: Final = log(
    (1 - _DEGRADED_FAILURE_SHARE) / (1 - _HEALTHY_FAILURE_SHARE)
)
_MAX_CUSUM: Final = 30.0


@dataclass(frozen=True, slots=True)
class Sample:
    """Outcome of one request.

    :param at_ms: monotonic time at which the run ended.
    :param ok: whether the upstream completed the work successfully.
    :param run_ms: run time at the upstream, for failures until the failure; 0
        if it is not representative.
    """

    at_ms: float
    ok: bool
    run_ms: float


@dataclass(frozen=True, slots=True)
class Summary:
    """Statistics of the recent outcomes of one operation on one upstream.

    :param count: number of outcomes.
    :param error_share: share of failures, 0 to 1.
    :param run_ms: median run time of the latest successes, 0 if unknown.
    :param cusum: cumulative sum that grows with failures, 0 or more.
    :param least_ms: shortest of the last few run times, 0 if unknown. If it is
        far above the peers' median, all of the last runs were slow.
    """

    count: int
    error_share: float
    run_ms: float
    cusum: float = 0
    least_ms: float = 0


class EvidenceRing:
    """Ring buffer of the last outcomes, which drops them by count and by age.

    Because the count is bounded and not only the age, a busy upstream can be
    judged within a fraction of a second, and an idle one can be judged at all.
    A one-sided CUSUM (Page, 1954) of the failures detects a change from 2 % to
    40 % of failures sooner than the failure rate over any fixed count.
    """

    __slots__ = ('_cusum', '_samples', '_summary')

    def __init__(self) -> None:
        self._cusum: float = 0
        self._samples: deque[Sample] = deque(maxlen=_MAX_SAMPLES)
        self._summary: Summary | None = None

    def add(self, new: Sample) -> None:
        """Add an outcome.

        :param new: latest outcome.
        """
        self._samples.append(new)
        step = _SUCCESS_STEP if new.ok else _FAILURE_STEP
        self._cusum = max(0, min(_MAX_CUSUM, self._cusum + step))
        self._summary = None

    def clear(self) -> None:
        """Remove all outcomes and reset the CUSUM."""
        self._samples.clear()
        self._cusum = 0
        self._summary = None

    def summary(self, oldest_ms: float) -> Summary:
        """Return the statistics of recent outcomes; older ones are dropped.

        :param oldest_ms: monotonic time of the oldest outcome to keep.
        """
        while self._samples and self._samples[0].at_ms < oldest_ms:
            self._samples.popleft()
            self._summary = None
        if self._summary is None:
            self._summary = self._summarise()
        return self._summary

    def _summarise(self) -> Summary:
        count = len(self._samples)
        if not count:
            self._cusum = 0
            return Summary(0, 0, 0)
        good = [each.run_ms for each in self._samples if each.ok]
        timed = [run_ms for run_ms in good if run_ms][-_MAX_TIMED_SAMPLES:]
        return Summary(
            count,
            (count - len(good)) / count,
            median(timed) if len(timed) >= _MIN_MEDIAN_SAMPLES else 0,
            self._cusum,
            min(timed[-_LEAST_RUN_SAMPLES:])
            if len(timed) >= _LEAST_RUN_SAMPLES
            else 0,
        )


__all__ = ('CUSUM_SCALE', 'EvidenceRing', 'Sample', 'Summary')
