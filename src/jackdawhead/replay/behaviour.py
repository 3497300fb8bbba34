"""Simulates runs from a trace, by upstream, operation and time."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ..policy.run_result import RunResult
from ..trace.records import RunRecord

if TYPE_CHECKING:
    from random import Random

    from ..trace.reader import Trace

# A run is drawn from the recorded runs that started next to it: from this many
# on each side, if they started within this time or are the closest ones.
_NEIGHBOURS: Final = 3
_NEARBY_MS: Final = 500
# Unreachable runs within this time after a crash are put down to the crash.
_DOWN_AFTER_CRASH_MS: Final = 2000
_UNINFORMATIVE_ENDINGS: Final = frozenset(
    (
        RunResult.CANCELLED.value,
        RunResult.EXPIRED.value,
    )
)
_SURVIVED_ENDINGS: Final = frozenset(
    (
        RunResult.SUCCEEDED.value,
        RunResult.FAILED.value,
    )
)


@dataclass(frozen=True, slots=True)
class Run:
    """A simulated run: how it ends, and after how many milliseconds."""

    ending: RunResult
    run_ms: float


class RecordedBehaviour:
    """Simulates a run by drawing a recorded run that started at a similar time.

    :param trace: trace with the recorded runs.
    """

    def __init__(self, trace: Trace) -> None:
        self._runs: dict[tuple[str, str], list[RunRecord]] = defaultdict(list)
        self._by_operation: dict[tuple[str, str], list[RunRecord]] = (
            defaultdict(list)
        )
        self._poison = _poison_fingerprints(trace)
        crashed_at: dict[str, float] = {}
        for record in trace.records:
            if not isinstance(record, RunRecord):
                continue
            if record.ending == RunResult.CRASHED.value:
                crashed_at[record.upstream] = record.at_ms
            elif not _is_irrelevant(record, crashed_at.get(record.upstream)):
                self._add(record)

    def run(
        self,
        upstream: str,
        operation: str,
        fingerprint: int,
        at_ms: float,
        rng: Random,
    ) -> Run:
        """Simulate a run.

        A request crashes the upstream if, in the trace, it crashed every
        upstream that ran it. Without a recorded run of the operation on the
        upstream, a run on another upstream of the service is drawn.

        :param fingerprint: fingerprint of the request.
        :param at_ms: start of the run as trace time, in milliseconds.
        :param rng: chooses among the nearest records.
        """
        if fingerprint in self._poison:
            return Run(RunResult.CRASHED, 1)
        records = self._runs.get((upstream, operation))
        if not records:
            service = upstream.rpartition('/')[2]
            records = self._by_operation.get((service, operation))
        if not records:
            return Run(RunResult.SUCCEEDED, 1)
        record = rng.choice(_nearest(records, at_ms))
        return Run(RunResult(record.ending), record.run_ms)

    def _add(self, record: RunRecord) -> None:
        service = record.upstream.rpartition('/')[2]
        self._runs[record.upstream, record.operation].append(record)
        self._by_operation[service, record.operation].append(record)


def _poison_fingerprints(trace: Trace) -> set[int]:
    """Return the fingerprints that crashed every upstream that ran them."""
    crashed: set[int] = set()
    survived: set[int] = set()
    for record in trace.records:
        if not isinstance(record, RunRecord):
            continue
        if record.ending == RunResult.CRASHED.value:
            crashed.add(record.fingerprint)
        elif record.ending in _SURVIVED_ENDINGS:
            survived.add(record.fingerprint)
    return crashed - survived


def _is_irrelevant(record: RunRecord, crashed_at_ms: float | None) -> bool:
    """Return whether a record depends on the decisions taken when recording.

    Cancelled and expired runs say nothing about the upstream. An upstream
    that was down after a crash is not down in a replay that avoids the crash.
    """
    if record.ending in _UNINFORMATIVE_ENDINGS:
        return True
    if crashed_at_ms is None or record.ending != RunResult.UNREACHABLE.value:
        return False
    return record.at_ms - crashed_at_ms < _DOWN_AFTER_CRASH_MS


def _nearest(records: list[RunRecord], at_ms: float) -> list[RunRecord]:
    position = bisect_left(records, at_ms, key=_started_at_ms)
    candidates = records[
        max(0, position - _NEIGHBOURS) : position + _NEIGHBOURS
    ]
    closest_ms = min(abs(_started_at_ms(each) - at_ms) for each in candidates)
    limit_ms = max(_NEARBY_MS, closest_ms)
    return [
        each
        for each in candidates
        if abs(_started_at_ms(each) - at_ms) <= limit_ms
    ]


def _started_at_ms(record: RunRecord) -> float:
    return record.at_ms - record.run_ms


__all__ = ('RecordedBehaviour', 'Run')
