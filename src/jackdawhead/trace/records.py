"""Trace records and their encoding as lines of JSON."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import astuple, dataclass
from typing import Final, TypeVar

from returns.result import Failure, Result, Success

TRACE_VERSION: Final = 1

_RecordT = TypeVar('_RecordT')


@dataclass(frozen=True, slots=True)
class Record:
    """Base class of all records.

    :param at_ms: time of the event, in milliseconds since 1970.
    """

    at_ms: float


RECORD_TYPES: Final[dict[str, type[Record]]] = {}
RECORD_MARKS: Final[dict[type[Record], str]] = {}


def _record(mark: str) -> Callable[[type[_RecordT]], type[_RecordT]]:
    def register(kind: type[_RecordT]) -> type[_RecordT]:
        RECORD_TYPES[mark] = kind  # type: ignore[assignment]
        RECORD_MARKS[kind] = mark  # type: ignore[index]
        return kind

    return register


@_record('v')
@dataclass(frozen=True, slots=True)
class TraceStart(Record):
    """First record of each node.

    :param version: version of the trace format.
    :param node: VM of the recording node.
    :param zone: its availability zone.
    """

    version: int
    node: str
    zone: str


@_record('m')
@dataclass(frozen=True, slots=True)
class UpstreamRecord(Record):
    """State of an upstream in the VM list.

    :param upstream: identity of the upstream.
    :param zone: its availability zone.
    :param home: VM of its home.
    :param state: ``live``, ``leaving`` or ``gone``.
    """

    upstream: str
    zone: str
    home: str
    state: str


@_record('a')
@dataclass(frozen=True, slots=True)
class ArrivalRecord(Record):
    """Arrival of a caller's request.

    :param node: VM of the entry.
    :param organisation: hash of the organisation's name.
    :param fingerprint: hash of the request.
    """

    node: str
    service: str
    operation: str
    organisation: str
    fingerprint: int


@_record('r')
@dataclass(frozen=True, slots=True)
class RunRecord(Record):
    """End of a run on an upstream, as seen by its home.

    :param fingerprint: hash of the request.
    :param ending: value of :class:`~jackdawhead.policy.run_result.RunResult`.
    :param run_ms: run time in milliseconds.
    """

    upstream: str
    operation: str
    fingerprint: int
    ending: str
    run_ms: float


@_record('p')
@dataclass(frozen=True, slots=True)
class PathRecord(Record):
    """Change of the path between an entry and a home.

    :param node: VM of the entry.
    :param home: VM of the home.
    :param is_up: whether the path is up.
    """

    node: str
    home: str
    is_up: bool


def encode_record(record: Record) -> str:
    """Encode a record as one line of JSON, without the line end.

    :param record: any registered record.
    """
    mark = RECORD_MARKS[type(record)]
    return json.dumps([mark, *astuple(record)], separators=(',', ':'))


def decode_record(line: str) -> Result[Record, str]:
    """Decode one line of a trace.

    :param line: the line.
    :returns: the record, or why the line is invalid.
    """
    try:
        parts = json.loads(line)
        kind = RECORD_TYPES[parts[0]]
        return Success(kind(*parts[1:]))
    except (ValueError, LookupError, TypeError) as error:
        return Failure(f'{type(error).__name__}: {error}')


__all__ = (
    'TRACE_VERSION',
    'ArrivalRecord',
    'PathRecord',
    'Record',
    'RunRecord',
    'TraceStart',
    'UpstreamRecord',
    'decode_record',
    'encode_record',
)
