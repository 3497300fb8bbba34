"""How upstreams behaved in a trace, by time, upstream and operation."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ..policy.ending import Ending
from ..trace.records import RunRecord

if TYPE_CHECKING:
    from random import Random

    from ..trace.reader import Trace

_NEAR: Final = 3
_NEAR_MS: Final = 500
_AWAY_MS: Final = 2000
_SAYS_NOTHING: Final = frozenset(
    (
        Ending.CANCELLED.value,
        Ending.EXPIRED.value,
    )
)
_SURVIVED: Final = frozenset(
    (
        Ending.SUCCEEDED.value,
        Ending.FAILED.value,
    )
)


@dataclass(frozen=True, slots=True)
class Run:
    """What a run would have been."""

    ending: Ending
    run_ms: float


class RecordedBehaviour:
    """Draws runs from the records that are nearest in time.

    :param trace: the recorded runs.
    """

    def __init__(self, trace: Trace) -> None:
        self._runs: dict[tuple[str, str], list[RunRecord]] = defaultdict(list)
        self._by_operation: dict[tuple[str, str], list[RunRecord]] = (
            defaultdict(list)
        )
        self._poison = _poison_of(trace)
        crashed_at: dict[str, float] = {}
        for record in trace.records:
            if not isinstance(record, RunRecord):
                continue
            if record.ending == Ending.CRASHED.value:
                crashed_at[record.upstream] = record.at_ms
            elif not _is_explained(record, crashed_at.get(record.upstream)):
                self._add(record)

    def run(
        self,
        upstream: str,
        operation: str,
        fingerprint: int,
        at_ms: float,
        rng: Random,
    ) -> Run:
        """Return what a run on an upstream at a time would have been.

        A request that crashed each upstream that ran it in the trace does
        so again.

        :param at_ms: time in the trace.
        :param rng: chooses among the nearest records.
        """
        if fingerprint in self._poison:
            return Run(Ending.CRASHED, 1)
        records = self._runs.get((upstream, operation))
        if not records:
            service = upstream.rpartition('/')[2]
            records = self._by_operation.get((service, operation))
        if not records:
            return Run(Ending.SUCCEEDED, 1)
        record = rng.choice(_nearest(records, at_ms))
        return Run(Ending(record.ending), record.run_ms)

    def _add(self, record: RunRecord) -> None:
        service = record.upstream.rpartition('/')[2]
        self._runs[record.upstream, record.operation].append(record)
        self._by_operation[service, record.operation].append(record)


def _poison_of(trace: Trace) -> set[int]:
    """Return the fingerprints that crashed each upstream that ran them."""
    crashed: set[int] = set()
    survived: set[int] = set()
    for record in trace.records:
        if not isinstance(record, RunRecord):
            continue
        if record.ending == Ending.CRASHED.value:
            crashed.add(record.fingerprint)
        elif record.ending in _SURVIVED:
            survived.add(record.fingerprint)
    return crashed - survived


def _is_explained(record: RunRecord, crashed_at_ms: float | None) -> bool:
    """Return whether a record says nothing about other decisions.

    An upstream that is away after a crash would not be away in a replay
    that avoids the crash.
    """
    if record.ending in _SAYS_NOTHING:
        return True
    if crashed_at_ms is None or record.ending != Ending.UNREACHABLE.value:
        return False
    return record.at_ms - crashed_at_ms < _AWAY_MS


def _nearest(records: list[RunRecord], at_ms: float) -> list[RunRecord]:
    position = bisect_left(records, at_ms, key=_start_of)
    near = records[max(0, position - _NEAR) : position + _NEAR]
    closest = min(abs(_start_of(each) - at_ms) for each in near)
    bound = max(_NEAR_MS, closest)
    return [each for each in near if abs(_start_of(each) - at_ms) <= bound]


def _start_of(record: RunRecord) -> float:
    return record.at_ms - record.run_ms


__all__ = ('RecordedBehaviour', 'Run')
