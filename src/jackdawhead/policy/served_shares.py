"""Recent shares of served work by operation and organisation.

Load pattern: a shortage that lasts. With an order by priority alone, the least
urgent work would get nothing until the shortage is over.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .work import Work

_HALF_LIFE_MS: Final = 5000.0
_HALF: Final = 0.5
# Work is preferred if it is served less than this share as often as all.
_FLOOR_SHARE: Final = 0.35
# Fewer offers than this show nothing.
_MIN_OFFERED: Final = 3.0
_MAX_NAMES: Final = 512
_ALL: Final = ('', '')

_Name = tuple[str, str]


@dataclass(slots=True)
class _Counts:
    """Work that was offered and accepted, weighted by its age."""

    offered: float = 0
    accepted: float = 0
    used_ms: float = 0
    updated_ms: float = 0

    def decay(self, now_ms: float) -> None:
        factor = _HALF ** ((now_ms - self.updated_ms) / _HALF_LIFE_MS)
        self.offered *= factor
        self.accepted *= factor
        self.used_ms *= factor
        self.updated_ms = now_ms


class ServedShares:
    """Counts offered and accepted work, and the slot time of the latter."""

    def __init__(self) -> None:
        self._counts: dict[_Name, _Counts] = {}

    def note_offered(self, work: Work, now_ms: float) -> None:
        """Count offered work.

        :param now_ms: monotonic time.
        """
        for counts in self._counts_of(work, now_ms):
            counts.offered += 1

    def note_accepted(self, work: Work, run_ms: float, now_ms: float) -> None:
        """Count work that was started or queued.

        :param run_ms: slot time that it needs.
        :param now_ms: monotonic time.
        """
        for counts in self._counts_of(work, now_ms):
            counts.accepted += 1
            counts.used_ms += run_ms

    def note_displaced(self, work: Work, run_ms: float, now_ms: float) -> None:
        """Take back the acceptance of queued work.

        :param run_ms: slot time that it would have needed.
        :param now_ms: monotonic time.
        """
        for counts in self._counts_of(work, now_ms):
            counts.accepted = max(0, counts.accepted - 1)
            counts.used_ms = max(0, counts.used_ms - run_ms)

    def is_below_floor(self, work: Work, now_ms: float) -> bool:
        """Return whether such work is served much less often than all.

        :param now_ms: monotonic time.
        """
        total, *own = self._counts_of(work, now_ms)
        return any(_is_below_floor(counts, total) for counts in own)

    def used_ms(self, work: Work, now_ms: float) -> float:
        """Return the recent slot time of the work's organisation.

        Work without an organisation comes from many callers: it is what
        upstreams call, so that it counts for none.

        :param now_ms: monotonic time.
        """
        counts = self._counts.get(('organisation', work.organisation))
        if counts is None or not work.organisation:
            return 0
        counts.decay(now_ms)
        return counts.used_ms

    def _counts_of(self, work: Work, now_ms: float) -> Iterator[_Counts]:
        names = [_ALL, ('operation', work.operation)]
        if work.organisation:
            names.append(('organisation', work.organisation))
        for name in names:
            counts = self._counts.get(name)
            if counts is None:
                counts = self._new_counts(name, now_ms)
            counts.decay(now_ms)
            yield counts

    def _new_counts(self, name: _Name, now_ms: float) -> _Counts:
        """Add counts; the ones that were not updated for longest give way."""
        if len(self._counts) >= _MAX_NAMES:
            oldest = min(self._counts, key=self._updated_ms)
            self._counts.pop(oldest)
        counts = _Counts(updated_ms=now_ms)
        self._counts[name] = counts
        return counts

    def _updated_ms(self, name: _Name) -> float:
        return self._counts[name].updated_ms


def _is_below_floor(own: _Counts, total: _Counts) -> bool:
    if own.offered < _MIN_OFFERED:
        return False
    floor = _FLOOR_SHARE * total.accepted / total.offered
    return own.accepted / own.offered < floor


__all__ = ('ServedShares',)
