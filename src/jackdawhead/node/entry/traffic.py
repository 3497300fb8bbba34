"""Counts and times the callers' requests."""

from __future__ import annotations

from collections import Counter
from typing import Final

from prometheus_client import Histogram

from ...clock import seconds
from .requests import Answer, UpstreamAnswer

# From a quick lookup to the longest deadline of the offices' sheets.
_BUCKETS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class Traffic:
    """Finished requests by what they came to.

    The attribute ``times`` is a histogram of the times to the first byte of
    the answer.
    """

    def __init__(self) -> None:
        self.by_answer: Counter[str] = Counter()
        self.callers_left = 0
        self.times = Histogram(
            'jackdawhead_request_seconds',
            'Time to the first byte of the answer, by what requests came to.',
            labelnames=('answer',),
            buckets=_BUCKETS_S,
            registry=None,
        )

    def count(self, answer: Answer, took_ms: float) -> None:
        """Count a finished request.

        :param answer: what it came to.
        :param took_ms: time since the whole request had been read.
        """
        came_to = _label_of(answer)
        self.by_answer[came_to] += 1
        self.times.labels(came_to).observe(seconds(took_ms))


def _label_of(answer: Answer) -> str:
    if isinstance(answer, UpstreamAnswer):
        return f'{answer.status // 100}xx'
    return answer.reason.value


__all__ = ('Traffic',)
