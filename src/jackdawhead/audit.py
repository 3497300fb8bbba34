"""Audit trail of changes, bounded in memory."""

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
    """One change.

    :param number: position in the trail of this incarnation, from 1.
    :param at_ms: time of day in milliseconds since 1970.
    :param subject: what changed, for example an upstream.
    """

    number: int
    at_ms: int
    kind: AuditKind
    subject: str
    cause: str


class AuditTrail:
    """The latest changes; each is also written to the log."""

    def __init__(self) -> None:
        self._records: deque[AuditRecord] = deque(maxlen=_MAX_RECORDS)
        self._count = 0

    def record(self, kind: AuditKind, subject: str, cause: str) -> None:
        """Add a change.

        :param kind: what changed.
        :param subject: which thing changed.
        :param cause: why; cut to a bounded length.
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
        """Return the records after a number, as far as they are kept.

        :param number: 0 for all.
        """
        return tuple(each for each in self._records if each.number > number)


__all__ = ('AuditKind', 'AuditRecord', 'AuditTrail')
