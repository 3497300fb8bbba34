"""Records of a trace, and their form as lines of JSON."""

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
    """Base of all records.

    :param at_ms: time of day in milliseconds since 1970.
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

    :param version: of the format.
    :param node: VM of the recording node.
    """

    version: int
    node: str
    zone: str


@_record('m')
@dataclass(frozen=True, slots=True)
class MemberRecord(Record):
    """An upstream as listed.

    :param state: ``live``, ``leaving`` or ``gone``.
    """

    upstream: str
    zone: str
    home: str
    state: str


@_record('a')
@dataclass(frozen=True, slots=True)
class ArrivalRecord(Record):
    """A request of a caller.

    :param node: VM of the entry.
    :param organisation: a hash of its name.
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
    """End of a run on an upstream, as its home saw it.

    :param ending: value of :class:`~jackdawhead.policy.ending.Ending`.
    :param run_ms: time the upstream took.
    """

    upstream: str
    operation: str
    fingerprint: int
    ending: str
    run_ms: float


@_record('p')
@dataclass(frozen=True, slots=True)
class PathRecord(Record):
    """A way between two nodes was lost or found.

    :param node: VM of the entry.
    :param home: VM of the home.
    """

    node: str
    home: str
    is_up: bool


def encode_record(record: Record) -> str:
    """Return a record as one line of JSON, without the line end.

    :param record: any registered record.
    """
    mark = RECORD_MARKS[type(record)]
    return json.dumps([mark, *astuple(record)], separators=(',', ':'))


def decode_record(line: str) -> Result[Record, str]:
    """Return the record of a line.

    :param line: one line of a trace.
    :returns: the record, or why the line is refused.
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
    'MemberRecord',
    'PathRecord',
    'Record',
    'RunRecord',
    'TraceStart',
    'decode_record',
    'encode_record',
)
