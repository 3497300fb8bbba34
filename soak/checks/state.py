"""Checkers of nodes over time: leaving, configuration, floor, recovery."""

from __future__ import annotations

from typing import Final

from ..evidence import Evidence
from .base import CHECKS, Check, Violation

# The requirements say "no new work after a few seconds".
_LEAVING_GRACE_S: Final = 3.0
# A configuration change is active at all nodes after 8 s (target size).
_CONFIG_ROLLOUT_S: Final = 8.0
# The last part of a run, after the faults and the recovery.
_RECOVERY_WINDOW_S: Final = 2.0
_MIN_SERVED_SHARE: Final = 0.95
_FLOOR_SHARE: Final = 0.6
_MAX_EXAMPLES: Final = 3


@CHECKS.register('leaving')
class LeavingUpstream(Check):
    """A leaving upstream gets no new work after a few seconds."""

    name = 'leaving'

    def find(self, evidence: Evidence) -> list[Violation]:
        return [
            self._violation(run.started_s, f'{run.key} at {run.upstream}')
            for leaving in evidence.leaving_periods
            for run in evidence.runs
            if run.upstream == leaving.upstream
            and leaving.from_s + _LEAVING_GRACE_S < run.started_s < leaving.to_s
        ]


@CHECKS.register('config-forward')
class ConfigNeverOlder(Check):
    """A running node never returns to an older configuration."""

    name = 'config-forward'

    def find(self, evidence: Evidence) -> list[Violation]:
        latest: dict[tuple[str, int], int] = {}
        found = []
        for each in sorted(evidence.samples, key=lambda one: one.at_s):
            start = (each.node, each.incarnation)
            before = latest.get(start, 0)
            if each.config_version < before:
                found.append(
                    self._violation(
                        each.at_s,
                        f'{each.node}: {before} to {each.config_version}',
                    )
                )
            latest[start] = max(before, each.config_version)
        return found


@CHECKS.register('config-in-force')
class ConfigActive(Check):
    """The newest configuration is active at all nodes after the faults."""

    name = 'config-in-force'

    def find(self, evidence: Evidence) -> list[Violation]:
        newest = max(version for _, version in evidence.published)
        published_s = max(
            at_s for at_s, version in evidence.published if version == newest
        )
        deadline_s = max(published_s, evidence.faults_end_s) + _CONFIG_ROLLOUT_S
        return [
            self._violation(
                each.at_s, f'{each.node}: {each.config_version}, not {newest}'
            )
            for each in evidence.samples
            if each.at_s > deadline_s and each.config_version < newest
        ]


@CHECKS.register('floor')
class Floor(Check):
    """No node ejects more upstreams than the floor allows."""

    name = 'floor'

    def find(self, evidence: Evidence) -> list[Violation]:
        return [
            self._violation(
                each.at_s,
                f'{each.node}: {each.healthy} of {each.upstreams} healthy',
            )
            for each in evidence.samples
            if each.healthy < int(_FLOOR_SHARE * each.upstreams)
        ]


@CHECKS.register('recovery')
class Recovery(Check):
    """At the end of a run nearly all requests are served."""

    name = 'recovery'

    def find(self, evidence: Evidence) -> list[Violation]:
        from_s = evidence.ends_s - _RECOVERY_WINDOW_S
        last = [each for each in evidence.requests if each.sent_s >= from_s]
        served = sum(each.is_served for each in last)
        if last and served >= _MIN_SERVED_SHARE * len(last):
            return []
        unserved = [each for each in last if not each.is_served]
        examples = ', '.join(
            f'{each.node} {each.status} {each.error}'
            for each in unserved[:_MAX_EXAMPLES]
        )
        return [
            self._violation(
                from_s, f'{served} of {len(last)} served: {examples}'
            )
        ]


__all__ = (
    'ConfigActive',
    'ConfigNeverOlder',
    'Floor',
    'LeavingUpstream',
    'Recovery',
)
