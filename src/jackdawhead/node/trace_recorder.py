"""Records arrivals and outcomes and streams them to a reader, for replay.

Recording is off while nobody reads. Bodies, paths and names of organisations
are never recorded, only hashes of them.
"""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING, Final

import gevent
import xxhash

from ..policy.homes import HomeMap
from ..trace.records import (
    TRACE_VERSION,
    ArrivalRecord,
    PathRecord,
    Record,
    RunRecord,
    TraceStart,
    UpstreamRecord,
    encode_record,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..blackboard import Blackboard, VmList
    from ..config.settings import NodeSettings
    from ..policy.upstream_state import FinishedRun

_MAX_RECORDS: Final = 50_000
_POLL_INTERVAL_S: Final = 0.1
_MS_PER_S: Final = 1000


class TraceRecorder:
    """Buffers records for a single reader.

    The buffer holds 50,000 records; beyond that it drops the oldest.

    :param settings: VM and zone of this node.
    :param board: shared state that holds the VM list.
    """

    def __init__(self, settings: NodeSettings, board: Blackboard) -> None:
        self._settings = settings
        self._board = board
        self._records: deque[Record] = deque(maxlen=_MAX_RECORDS)
        self._is_recording = False
        board.vm_list.subscribe(self._record_vm_list)

    def note_arrival(
        self,
        service: str,
        operation: str,
        organisation: str,
        fingerprint: int,
    ) -> None:
        """Record a caller's request.

        :param organisation: name of the organisation; only its hash is
            recorded.
        """
        if not self._is_recording:
            return
        self._records.append(
            ArrivalRecord(
                _now_ms(),
                self._settings.vm,
                service,
                operation,
                xxhash.xxh3_64_hexdigest(organisation.encode()),
                fingerprint,
            )
        )

    def note_end(
        self, upstream: str, fingerprint: int, run: FinishedRun
    ) -> None:
        """Record the end of a run.

        :param upstream: upstream that ran the request.
        :param fingerprint: hash of the request.
        :param run: run that ended.
        """
        if not self._is_recording:
            return
        self._records.append(
            RunRecord(
                _now_ms(),
                upstream,
                run.operation,
                fingerprint,
                run.ending.value,
                round(run.run_ms, 1),
            )
        )

    def note_path(self, home: str, is_up: bool) -> None:
        """Record that the path to a home went up or down.

        :param home: VM of the home.
        :param is_up: whether the path is up.
        """
        if self._is_recording:
            self._records.append(
                PathRecord(_now_ms(), self._settings.vm, home, is_up)
            )

    def read(self, duration_s: float) -> Iterator[bytes]:
        """Record for some time and yield the lines of the trace.

        :param duration_s: how long to record, in seconds.
        """
        end = time.monotonic() + duration_s
        self._records.clear()
        self._is_recording = True
        start = TraceStart(
            _now_ms(), TRACE_VERSION, self._settings.vm, self._settings.zone
        )
        self._records.append(start)
        self._record_vm_list(self._board.vm_list.read())
        try:
            while time.monotonic() < end:
                yield self._drain_lines()
                gevent.sleep(_POLL_INTERVAL_S)
            yield self._drain_lines()
        finally:
            self._is_recording = False

    def _drain_lines(self) -> bytes:
        lines = [encode_record(each) for each in self._records]
        self._records.clear()
        return ''.join(f'{line}\n' for line in lines).encode()

    def _record_vm_list(self, vm_list: VmList) -> None:
        if not self._is_recording:
            return
        homes = HomeMap(vm_list)
        for vm in vm_list.vms.values():
            for service in vm.upstream_ports:
                self._records.append(
                    UpstreamRecord(
                        _now_ms(),
                        vm.upstream_id(service),
                        vm.zone,
                        homes.home_of(vm),
                        'leaving' if vm.leaving else 'live',
                    )
                )


def _now_ms() -> float:
    return round(time.time() * _MS_PER_S, 1)


__all__ = ('TraceRecorder',)
