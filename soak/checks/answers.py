"""Checkers of single requests: answers, runs and refusals."""

from __future__ import annotations

from collections import Counter

from ..evidence import NOT_RUN, OK, RAN, Evidence
from .base import CHECKS, Breach, Check


@CHECKS.register('own-answer')
class OwnAnswer(Check):
    """Each answer is whole and the caller's own."""

    name = 'own-answer'

    def find(self, evidence: Evidence) -> list[Breach]:
        return [
            self._breach(each.ended_s, f'{each.key} from {each.node}')
            for each in evidence.sent
            if each.status == OK and not each.is_own
        ]


@CHECKS.register('at-most-once')
class AtMostOnce(Check):
    """Work that cannot be repeated runs at most once."""

    name = 'at-most-once'

    def find(self, evidence: Evidence) -> list[Breach]:
        runs = Counter(run.key for run in evidence.runs)
        return [
            self._breach(each.sent_s, f'{each.key} ran {runs[each.key]} times')
            for each in evidence.sent
            if each.is_once and runs[each.key] > 1
        ]


@CHECKS.register('true-refusal')
class TrueRefusal(Check):
    """What was refused as not run has not run."""

    name = 'true-refusal'

    def find(self, evidence: Evidence) -> list[Breach]:
        ran = {run.key for run in evidence.runs}
        return [
            self._breach(each.ended_s, f'{each.key} was told as not run')
            for each in evidence.sent
            if each.is_once and each.outcome == NOT_RUN and each.key in ran
        ]


@CHECKS.register('told-as-run')
class ToldAsRun(Check):
    """What was answered as run has run."""

    name = 'told-as-run'

    def find(self, evidence: Evidence) -> list[Breach]:
        ran = {run.key for run in evidence.runs}
        return [
            self._breach(each.ended_s, f'{each.key} has not run')
            for each in evidence.sent
            if each.outcome == RAN and each.key not in ran
        ]


__all__ = (
    'AtMostOnce',
    'OwnAnswer',
    'ToldAsRun',
    'TrueRefusal',
)
