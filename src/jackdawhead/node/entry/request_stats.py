"""Counts finished requests and measures their latency."""

from __future__ import annotations

from collections import Counter
from typing import Final

from prometheus_client import Histogram

from ...clock import seconds
from .organisation_counts import OrganisationCounts
from .requests import Answer, UpstreamAnswer

# From a quick lookup to the longest deadline in use.
_BUCKETS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class RequestStats:
    """Counts of finished requests by result, and their latency.

    The result is the status class of an upstream's answer, such as ``2xx``, or
    the reason of a refusal. The attribute ``latency`` is a histogram of the
    time to the first byte of the answer. The attribute ``organisations`` has
    the requests that were identified by a key.
    """

    def __init__(self) -> None:
        self.by_result: Counter[str] = Counter()
        self.caller_disconnects = 0
        self.organisations = OrganisationCounts()
        self.latency = Histogram(
            'jackdawhead_request_seconds',
            'Time to the first byte of the answer, by status class or reason.',
            labelnames=('answer',),
            buckets=_BUCKETS_S,
            registry=None,
        )

    def count(self, answer: Answer, took_ms: float) -> None:
        """Count a finished request.

        :param answer: answer that is given to the caller.
        :param took_ms: time from the arrival of the request to the answer.
        """
        label = _label_of(answer)
        self.by_result[label] += 1
        self.latency.labels(label).observe(seconds(took_ms))


def _label_of(answer: Answer) -> str:
    if isinstance(answer, UpstreamAnswer):
        return f'{answer.status // 100}xx'
    return answer.reason.value


__all__ = ('RequestStats',)
