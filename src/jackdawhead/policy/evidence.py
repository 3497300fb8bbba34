"""Recent outcomes of real work, by upstream and operation."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from statistics import median
from typing import Final

_RING_SIZE: Final = 32


@dataclass(frozen=True, slots=True)
class Sample:
    """Outcome of one piece of work.

    :param at_ms: monotonic time of its end.
    :param ok: whether the upstream did the work.
    :param run_ms: run time at the upstream; for failures, up to the failure.
    """

    at_ms: float
    ok: bool
    run_ms: float


@dataclass(frozen=True, slots=True)
class Summary:
    """What the recent outcomes of one operation on one upstream say.

    :param error_share: failures as a share of all, 0 to 1.
    :param run_ms: median run time of the successes, 0 if there are none.
    """

    count: int
    error_share: float
    run_ms: float


class EvidenceRing:
    """The last few outcomes; old ones are dropped by count and by age.

    A bound on the count, not the age alone, lets a busy upstream be judged
    within a fraction of a second and an idle one at all.
    """

    __slots__ = ('_samples', '_summary')

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque(maxlen=_RING_SIZE)
        self._summary: Summary | None = None

    def add(self, new: Sample) -> None:
        """Take in an outcome.

        :param new: the latest outcome.
        """
        self._samples.append(new)
        self._summary = None

    def clear(self) -> None:
        """Forget everything, for example when a trial begins."""
        self._samples.clear()
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
            return Summary(0, 0, 0)
        runs = [each.run_ms for each in self._samples if each.ok]
        share = (count - len(runs)) / count
        return Summary(count, share, median(runs) if runs else 0)


__all__ = ('EvidenceRing', 'Sample', 'Summary')
