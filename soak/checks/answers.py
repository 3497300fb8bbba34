"""Checkers of single requests: answers, runs and reported outcomes."""

from __future__ import annotations

from collections import Counter

from ..evidence import NOT_RUN, OK, RAN, Evidence
from .base import CHECKS, Check, Violation


@CHECKS.register('own-answer')
class ValidAnswer(Check):
    """Each answer is complete and belongs to its request."""

    name = 'own-answer'

    def find(self, evidence: Evidence) -> list[Violation]:
        return [
            self._violation(each.ended_s, f'{each.key} from {each.node}')
            for each in evidence.requests
            if each.status == OK and not each.is_answer_valid
        ]


@CHECKS.register('at-most-once')
class AtMostOnce(Check):
    """Non-idempotent work runs at most once."""

    name = 'at-most-once'

    def find(self, evidence: Evidence) -> list[Violation]:
        runs = Counter(run.key for run in evidence.runs)
        return [
            self._violation(
                each.sent_s, f'{each.key} ran {runs[each.key]} times'
            )
            for each in evidence.requests
            if each.is_non_idempotent and runs[each.key] > 1
        ]


@CHECKS.register('true-refusal')
class CorrectNotRun(Check):
    """Work with the reported outcome not run has not run."""

    name = 'true-refusal'

    def find(self, evidence: Evidence) -> list[Violation]:
        ran = {run.key for run in evidence.runs}
        return [
            self._violation(
                each.ended_s, f'{each.key} ran despite outcome not-run'
            )
            for each in evidence.requests
            if each.outcome == NOT_RUN and each.key in ran
        ]


@CHECKS.register('told-as-run')
class CorrectRan(Check):
    """Work with the reported outcome ran has run."""

    name = 'told-as-run'

    def find(self, evidence: Evidence) -> list[Violation]:
        ran = {run.key for run in evidence.runs}
        return [
            self._violation(
                each.ended_s, f'{each.key} did not run despite outcome ran'
            )
            for each in evidence.requests
            if each.outcome == RAN and each.key not in ran
        ]


__all__ = (
    'AtMostOnce',
    'CorrectNotRun',
    'CorrectRan',
    'ValidAnswer',
)
