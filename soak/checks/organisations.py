"""Checkers of the organisations that requests belong to."""

from __future__ import annotations

from ..evidence import Evidence
from .base import CHECKS, Check, Violation


@CHECKS.register('organisation')
class OwnOrganisation(Check):
    """Upstreams are told the organisation of the key, and not the key."""

    name = 'organisation'

    def find(self, evidence: Evidence) -> list[Violation]:
        owners = {each.key: each.organisation for each in evidence.requests}
        return [
            self._violation(
                run.started_s, f'{run.key} ran for {run.organisation!r}'
            )
            for run in evidence.runs
            if run.has_key
            or run.organisation != owners.get(run.key, run.organisation)
        ]


@CHECKS.register('known-key')
class KnownKey(Check):
    """A request with an unknown key does not run."""

    name = 'known-key'

    def find(self, evidence: Evidence) -> list[Violation]:
        unknown = set(evidence.keyless)
        return [
            self._violation(run.started_s, f'{run.key} ran')
            for run in evidence.runs
            if run.key in unknown
        ]


__all__ = ('KnownKey', 'OwnOrganisation')
