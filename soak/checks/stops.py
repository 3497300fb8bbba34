"""Checkers of planned stops of nodes."""

from __future__ import annotations

from ..evidence import BAD_GATEWAY, Evidence, NodeStop, SentRequest
from ..faults.vm import NODE_STOPPED
from .base import CHECKS, Check, Violation


@CHECKS.register('planned-stop')
class PlannedStop(Check):
    """A planned stop interrupts no request and ends with exit code 0.

    A refused connection has carried no request. Neither has a spare one that
    the node closed: it read nothing, if no upstream has begun the request.
    """

    name = 'planned-stop'

    def find(self, evidence: Evidence) -> list[Violation]:
        ran = {run.key for run in evidence.runs}
        found = [
            self._violation(
                each.ended_s,
                f'{stop.node} stopped during {each.key}: {each.error}',
            )
            for stop in evidence.stops
            for each in evidence.requests
            if _is_cut_by(stop, each)
            and (not each.is_from_holder or each.key in ran)
        ]
        found.extend(
            self._violation(
                stop.ended_s, f'{stop.node}: exit code {stop.exit_code}'
            )
            for stop in evidence.stops
            if stop.exit_code
        )
        return found


def _is_cut_by(stop: NodeStop, request: SentRequest) -> bool:
    if (
        request.node != stop.node
        or not request.error
        or not request.is_connected
    ):
        return False
    return request.sent_s < stop.ended_s and request.ended_s >= stop.requested_s


@CHECKS.register('stop-cut')
class CutByStop(Check):
    """During planned stops no request that ran is answered as a bad gateway.

    Requests during any other fault are left out.
    """

    name = 'stop-cut'

    def find(self, evidence: Evidence) -> list[Violation]:
        ran = {run.key for run in evidence.runs}
        others = [
            (from_s, to_s)
            for from_s, to_s, what in evidence.faults
            if not what.startswith(NODE_STOPPED)
        ]
        return [
            self._violation(
                each.ended_s, f'{each.key} at {each.node}: {each.outcome}'
            )
            for each in evidence.requests
            if each.status == BAD_GATEWAY
            and each.key in ran
            and any(_overlaps(each, stop) for stop in evidence.stops)
            and not any(
                each.sent_s < to_s and from_s < each.ended_s
                for from_s, to_s in others
            )
        ]


def _overlaps(request: SentRequest, stop: NodeStop) -> bool:
    return request.sent_s < stop.ended_s and request.ended_s >= stop.requested_s


__all__ = ('CutByStop', 'PlannedStop')
