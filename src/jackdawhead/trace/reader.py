"""Reads trace files, plain or compressed with gzip."""

from __future__ import annotations

import gzip
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Final

from returns.result import Failure, Result, Success

from .records import (
    TRACE_VERSION,
    ArrivalRecord,
    Record,
    TraceStart,
    decode_record,
)

_MAX_TRACE_BYTES: Final = 200_000_000


@dataclass(frozen=True, slots=True)
class Trace:
    """Records of one or more nodes.

    :param nodes: start record of each node.
    :param records: all records, in order of time.
    """

    nodes: tuple[TraceStart, ...]
    records: tuple[Record, ...]


def read_trace(paths: tuple[Path, ...]) -> Result[Trace, str]:
    """Read trace files and merge them.

    :param paths: one or more files.
    :returns: the trace, or why a file is invalid.
    """
    records: list[Record] = []
    for path in paths:
        match _read_file(path):
            case Success(found):
                records.extend(found)
            case Failure(message):
                return Failure(message)
    records.sort(key=_time_of)
    nodes = tuple(each for each in records if isinstance(each, TraceStart))
    if not nodes:
        return Failure('no start record; not a trace of a node')
    if any(each.version != TRACE_VERSION for each in nodes):
        return Failure(f'unsupported trace version; expected {TRACE_VERSION}')
    return Success(Trace(nodes, tuple(records)))


def without_operations(trace: Trace, operations: list[str]) -> Trace:
    """Return a copy of a trace without the arrivals of some operations.

    :param trace: the trace.
    :param operations: names of the operations to leave out.
    """
    records = tuple(
        record
        for record in trace.records
        if not isinstance(record, ArrivalRecord)
        or record.operation not in operations
    )
    return replace(trace, records=records)


def _read_file(path: Path) -> Result[list[Record], str]:
    try:
        text = _read_text(path)
    except (OSError, UnicodeDecodeError, EOFError) as error:
        return Failure(f'{path}: cannot be read: {error}')
    records = []
    for number, line in enumerate(text.splitlines(), start=1):
        match decode_record(line):
            case Success(record):
                records.append(record)
            case Failure(message):
                return Failure(f'{path}:{number}: not a record: {message}')
    return Success(records)


def _read_text(path: Path) -> str:
    if path.suffix != '.gz':
        return path.read_text(encoding='utf-8')
    with gzip.open(path, 'rt', encoding='utf-8') as stream:
        text = stream.read(_MAX_TRACE_BYTES + 1)
    if len(text) > _MAX_TRACE_BYTES:
        raise OSError(f'larger than {_MAX_TRACE_BYTES} bytes')
    return text


def _time_of(record: Record) -> float:
    return record.at_ms


__all__ = ('Trace', 'read_trace', 'without_operations')
