"""Checkers of what nodes do over time: lists, configuration, recovery."""

from __future__ import annotations

from typing import Final

from ..evidence import Evidence, Sent, Stop
from .base import CHECKS, Breach, Check

# "No new work after a few seconds" (brief).
_LEAVING_S: Final = 3.0
# A change of configuration is in force everywhere after 8 s (target size).
_CONFIG_S: Final = 8.0
# The last part of a soak, after the faults and the recovery.
_LAST_S: Final = 2.0
_LEAST_SERVED: Final = 0.95
_FLOOR_SHARE: Final = 0.6
_SHOWN: Final = 3


@CHECKS.register('leaving')
class LeavingUpstream(Check):
    """An upstream that leaves gets no new work after a few seconds."""

    name = 'leaving'

    def find(self, evidence: Evidence) -> list[Breach]:
        return [
            self._breach(run.started_s, f'{run.key} at {run.upstream}')
            for leaving in evidence.leavings
            for run in evidence.runs
            if run.upstream == leaving.upstream
            and leaving.from_s + _LEAVING_S < run.started_s < leaving.to_s
        ]


@CHECKS.register('config-forward')
class ConfigForward(Check):
    """A running node never goes back to an older configuration."""

    name = 'config-forward'

    def find(self, evidence: Evidence) -> list[Breach]:
        latest: dict[tuple[str, int], int] = {}
        found = []
        for each in sorted(evidence.samples, key=lambda one: one.at_s):
            start = (each.node, each.incarnation)
            before = latest.get(start, 0)
            if each.config_version < before:
                found.append(
                    self._breach(
                        each.at_s,
                        f'{each.node}: {before} to {each.config_version}',
                    )
                )
            latest[start] = max(before, each.config_version)
        return found


@CHECKS.register('config-in-force')
class ConfigInForce(Check):
    """The newest configuration is in force after the faults."""

    name = 'config-in-force'

    def find(self, evidence: Evidence) -> list[Breach]:
        newest = max(version for _, version in evidence.published)
        published_s = max(
            at_s for at_s, version in evidence.published if version == newest
        )
        due_s = max(published_s, evidence.faults_end_s) + _CONFIG_S
        return [
            self._breach(
                each.at_s, f'{each.node}: {each.config_version}, not {newest}'
            )
            for each in evidence.samples
            if each.at_s > due_s and each.config_version < newest
        ]


@CHECKS.register('floor')
class Floor(Check):
    """No node takes more upstreams out than the floor allows."""

    name = 'floor'

    def find(self, evidence: Evidence) -> list[Breach]:
        return [
            self._breach(
                each.at_s, f'{each.node}: {each.well} of {each.listed} well'
            )
            for each in evidence.samples
            if each.well < int(_FLOOR_SHARE * each.listed)
        ]


@CHECKS.register('recovery')
class Recovery(Check):
    """After the faults nearly all requests are served."""

    name = 'recovery'

    def find(self, evidence: Evidence) -> list[Breach]:
        from_s = evidence.ends_s - _LAST_S
        last = [each for each in evidence.sent if each.sent_s >= from_s]
        served = sum(each.is_served for each in last)
        if last and served >= _LEAST_SERVED * len(last):
            return []
        bad = [each for each in last if not each.is_served]
        examples = ', '.join(
            f'{each.node} {each.status} {each.error}' for each in bad[:_SHOWN]
        )
        return [
            self._breach(from_s, f'{served} of {len(last)} served: {examples}')
        ]


@CHECKS.register('planned-stop')
class PlannedStop(Check):
    """A planned stop cuts no request and ends with code 0.

    A connection that is refused has carried no request.
    """

    name = 'planned-stop'

    def find(self, evidence: Evidence) -> list[Breach]:
        found = [
            self._breach(
                each.ended_s,
                f'{stop.node} stopped while {each.key} ran: {each.error}',
            )
            for stop in evidence.stops
            for each in evidence.sent
            if _is_cut_by(stop, each)
        ]
        found.extend(
            self._breach(stop.ended_s, f'{stop.node}: code {stop.exit_code}')
            for stop in evidence.stops
            if stop.exit_code
        )
        return found


def _is_cut_by(stop: Stop, sent: Sent) -> bool:
    if sent.node != stop.node or not sent.error or not sent.is_connected:
        return False
    return sent.sent_s < stop.ended_s and sent.ended_s >= stop.asked_s


__all__ = (
    'ConfigForward',
    'ConfigInForce',
    'Floor',
    'LeavingUpstream',
    'PlannedStop',
    'Recovery',
)
