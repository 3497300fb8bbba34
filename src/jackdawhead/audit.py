"""Audit trail: a bounded in-memory list of state changes of this node."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

from .audit_kinds import AuditKind
from .clock import wall_ms
from .logs import log_event

_MAX_RECORDS: Final = 2000
_MAX_CAUSE_CHARS: Final = 500


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One entry of the audit trail.

    :param number: sequence number since this node started, from 1.
    :param at_ms: time of day in milliseconds since 1970.
    :param subject: what the change is about, for example an upstream.
    :param cause: reason in prose.
    """

    number: int
    at_ms: int
    kind: AuditKind
    subject: str
    cause: str


class AuditTrail:
    """Keeps the latest changes and writes each of them to the log."""

    def __init__(self) -> None:
        self._records: deque[AuditRecord] = deque(maxlen=_MAX_RECORDS)
        self._count = 0

    def record(self, kind: AuditKind, subject: str, cause: str) -> None:
        """Append a record and log it.

        :param kind: type of change.
        :param subject: what the change is about, for example an upstream.
        :param cause: reason in prose; truncated to 500 characters.
        """
        self._count += 1
        entry = AuditRecord(
            self._count,
            wall_ms(),
            kind,
            subject,
            cause[:_MAX_CAUSE_CHARS],
        )
        self._records.append(entry)
        log_event(kind.value, subject=subject, cause=entry.cause)

    def since(self, number: int) -> tuple[AuditRecord, ...]:
        """Return the retained records with a higher sequence number.

        :param number: sequence number of the last record already seen, 0
            for all.
        """
        return tuple(each for each in self._records if each.number > number)


__all__ = ('AuditKind', 'AuditRecord', 'AuditTrail')
