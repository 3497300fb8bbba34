"""Recent outcomes of real work, by upstream and operation."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import log
from statistics import median
from typing import Final

CUSUM_SCALE: Final = 100
_MAX_SAMPLES: Final = 32
_MAX_TIMED_SAMPLES: Final = 16
_MIN_MEDIAN_SAMPLES: Final = 8
_LEAST_RUN_SAMPLES: Final = 4
_HEALTHY_FAILURE_SHARE: Final = 0.02
_DEGRADED_FAILURE_SHARE: Final = 0.4
_FAILURE_STEP: Final = log(_DEGRADED_FAILURE_SHARE / _HEALTHY_FAILURE_SHARE)
_SUCCESS_STEP: Final = log(
    (1 - _DEGRADED_FAILURE_SHARE) / (1 - _HEALTHY_FAILURE_SHARE)
)
_MAX_CUSUM: Final = 30.0


@dataclass(frozen=True, slots=True)
class Sample:
    """Outcome of one piece of work.

    :param at_ms: monotonic time of its end.
    :param ok: whether the upstream did the work.
    :param run_ms: run time at the upstream; for failures, up to the failure;
        0 if it says nothing.
    """

    at_ms: float
    ok: bool
    run_ms: float


@dataclass(frozen=True, slots=True)
class Summary:
    """What the recent outcomes of one operation on one upstream say.

    :param error_share: failures as a share of all, 0 to 1.
    :param run_ms: median run time of the latest successes, 0 if unknown.
    :param least_ms: least of the last few run times, 0 if unknown; far above
        the peers' median it shows that all of them are slow.
    :param cusum: cumulative sum of the evidence for failing, 0 or more.
    """

    count: int
    error_share: float
    run_ms: float
    cusum: float = 0
    least_ms: float = 0


class EvidenceRing:
    """The last few outcomes; old ones are dropped by count and by age.

    A bound on the count, not the age alone, lets a busy upstream be judged
    within a fraction of a second and an idle one at all. Failures are also
    summed up by a one-sided CUSUM (Page, 1954), which tells a change from
    2 % to 40 % of failures sooner than any share of a fixed count.
    """

    __slots__ = ('_cusum', '_samples', '_summary')

    def __init__(self) -> None:
        self._cusum: float = 0
        self._samples: deque[Sample] = deque(maxlen=_MAX_SAMPLES)
        self._summary: Summary | None = None

    def add(self, new: Sample) -> None:
        """Take in an outcome.

        :param new: the latest outcome.
        """
        self._samples.append(new)
        step = _SUCCESS_STEP if new.ok else _FAILURE_STEP
        self._cusum = max(0, min(_MAX_CUSUM, self._cusum + step))
        self._summary = None

    def clear(self) -> None:
        """Forget everything, for example when a trial begins."""
        self._samples.clear()
        self._cusum = 0
        self._summary = None

    def summary(self, oldest_ms: float) -> Summary:
        """Return what the outcomes say that are not older than a time.

        :param oldest_ms: monotonic time.
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
