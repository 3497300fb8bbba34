"""Checkers of planned stops of nodes."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Final

from ..evidence import BAD_GATEWAY, NO_CALLER_DEADLINE_MS, OK
from ..faults import FAULTS
from .base import CHECKS, Check, Violation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..evidence import Evidence, NodeStop, Run, SentRequest

# Close of the listener, and the time until the node has handled the signal.
_ACCEPTS_S: Final = 2.7
# The last sixth of the time between SIGTERM and the kill of the platform.
_LAST_PART_S: Final = 5.0
# A connection may end this long after a request that crosses its close; the
# longest pause of a stopping node is included.
_CROSSING_S: Final = 0.7
_MS_PER_S: Final = 1000


@CHECKS.register('planned-stop')
class PlannedStop(Check):
    """A planned stop interrupts no request and ends with exit code 0.

    A refused connection has carried no request. Neither has a spare one that
    the node closed: it read nothing, if no upstream has begun the request and
    the caller was not kept waiting.
    """

    name = 'planned-stop'

    def find(self, evidence: Evidence) -> list[Violation]:
        runs = _runs_by_key(evidence)
        found = [
            self._violation(
                each.ended_s,
                f'{stop.node} stopped: {_detail(each, runs[each.key])}',
            )
            for stop in evidence.stops
            for each in evidence.requests
            if _is_cut_by(stop, each)
            and not _crosses_close(each, runs[each.key])
            and not _has_answer_in_part(each, runs[each.key], evidence.stops)
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
    return _overlaps(request, stop)


def _crosses_close(request: SentRequest, runs: list[Run]) -> bool:
    waited_s = request.ended_s - request.sent_s
    return request.is_from_holder and not runs and waited_s <= _CROSSING_S


def _has_answer_in_part(
    request: SentRequest, runs: list[Run], stops: Iterable[NodeStop]
) -> bool:
    """Return whether the end of a stop cut an answer that had begun.

    Nothing but the end of its connection can tell a caller of it.
    """
    return request.is_streamed and _is_cut_at_end(request, runs, stops)


@CHECKS.register('stop-cut')
class CutByStop(Check):
    """No request whose run a planned stop breaks off is answered in its place.

    A run that still goes on in the last part of a stop may be cut, if it was
    asked for while the listener was open. Requests during a fault that is not
    planned are left out.
    """

    name = 'stop-cut'

    def find(self, evidence: Evidence) -> list[Violation]:
        runs = _runs_by_key(evidence)
        faults = [
            (from_s, to_s)
            for from_s, to_s, what in evidence.faults
            if not _is_planned(what)
        ]
        return [
            self._violation(each.ended_s, _detail(each, runs[each.key]))
            for each in evidence.requests
            if _is_broken_off(each, runs[each.key])
            and any(_overlaps(each, stop) for stop in evidence.stops)
            and not _is_cut_at_end(each, runs[each.key], evidence.stops)
            and not any(
                each.sent_s < to_s and from_s < each.ended_s
                for from_s, to_s in faults
            )
        ]


def _is_broken_off(request: SentRequest, runs: list[Run]) -> bool:
    if request.status == BAD_GATEWAY:
        return bool(runs)
    allowed_ms = request.deadline_ms or NO_CALLER_DEADLINE_MS
    return (
        request.status not in {0, OK}
        and any(run.is_cancelled for run in runs)
        and request.ended_s < request.sent_s + allowed_ms / _MS_PER_S
    )


def _is_cut_at_end(
    request: SentRequest, runs: list[Run], stops: Iterable[NodeStop]
) -> bool:
    """Return whether a stop may cut a request.

    :param runs: of the request.
    :param stops: of all nodes; those of the node that the request was sent to
        and of the nodes beside its upstreams count.
    """
    return any(
        stop.node in {request.node, run.upstream.partition('/')[0]}
        and request.sent_s <= stop.requested_s + _ACCEPTS_S
        and request.ended_s >= stop.requested_s + _LAST_PART_S
        and _is_running(run, stop.requested_s + _LAST_PART_S)
        for stop in stops
        for run in runs
    )


def _is_running(run: Run, at_s: float) -> bool:
    return run.started_s <= at_s and (run.ended_s is None or run.ended_s > at_s)


def _is_planned(what: str) -> bool:
    kind = what.partition(' ')[0]
    return FAULTS.find(kind).unwrap().is_planned


def _overlaps(request: SentRequest, stop: NodeStop) -> bool:
    return request.sent_s < stop.ended_s and request.ended_s >= stop.requested_s


def _runs_by_key(evidence: Evidence) -> defaultdict[str, list[Run]]:
    runs: defaultdict[str, list[Run]] = defaultdict(list)
    for run in evidence.runs:
        runs[run.key].append(run)
    return runs


def _detail(request: SentRequest, runs: list[Run]) -> str:
    ran_at = ', '.join(f'{run.upstream} {run.started_s:.2f}' for run in runs)
    how = request.error or f'{request.status} {request.outcome}'
    return (
        f'{request.key} sent {request.sent_s:.2f} to {request.node}, ran at'
        f' {ran_at or "none"}: {how}'
    )


__all__ = ('CutByStop', 'PlannedStop')
