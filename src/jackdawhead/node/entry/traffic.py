"""Counts the callers' requests."""

from __future__ import annotations

from collections import Counter

from .requests import Answer, UpstreamAnswer


class Traffic:
    """Finished requests by what they came to."""

    def __init__(self) -> None:
        self.by_answer: Counter[str] = Counter()

    def count(self, answer: Answer) -> None:
        """Count a finished request.

        :param answer: what it came to.
        """
        if isinstance(answer, UpstreamAnswer):
            self.by_answer[f'{answer.status // 100}xx'] += 1
        else:
            self.by_answer[answer.reason.value] += 1


__all__ = ('Traffic',)
