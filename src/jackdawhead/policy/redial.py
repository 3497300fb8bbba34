"""Decides when a node dials others again that it cannot reach."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

# A refused dial is cheap, and its cause is most likely a restart.
_REFUSED_INTERVAL_MS: Final = 250
# A node that takes longer to start has probably failed.
_MAX_START_MS: Final = 15_000
# A dial that times out holds a socket, and its cause is most likely a lost VM
# or network.
_MIN_BACKOFF_MS: Final = 500
_MAX_BACKOFF_MS: Final = 2000
# Longer than a dial takes; its result is due by then.
_DIAL_LIFE_MS: Final = 10_000
_JITTER_SHARE: Final = 0.5
_HALF: Final = 0.5
# Bound the dials while a whole region is unreachable.
_REFUSED_DIALS_PER_S: Final = 20.0
_SILENT_DIALS_PER_S: Final = 4.0
_MS_PER_S: Final = 1000.0


class DialFailure(StrEnum):
    """Why a node could not be dialled.

    REFUSED means that its VM has answered: no process listens, or the process
    has closed the connection. SILENT means that nothing has answered in time.
    """

    REFUSED = 'refused'
    SILENT = 'silent'


@dataclass(slots=True)
class Absence:
    """A node that was lost or could not be dialled.

    :param since_ms: monotonic time at which it was lost.
    :param due_at_ms: monotonic time of the next dial.
    :param wait_ms: current interval between dials, 0 before the first failure.
    :param failed_dials: number of dials that have failed.
    :param failure: how the last dial failed.
    """

    since_ms: float
    due_at_ms: float
    wait_ms: float = 0
    failed_dials: int = 0
    failure: DialFailure = DialFailure.REFUSED


class RedialSchedule:
    """Schedules the dials to absent nodes.

    A node that refuses is dialled at a constant interval for as long as a start
    may take. After that, and if it is silent, the interval doubles up to a
    maximum.

    :param rng: source of jitter.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._absences: dict[str, Absence] = {}
        self._budgets = {
            DialFailure.REFUSED: _DialBudget(_REFUSED_DIALS_PER_S),
            DialFailure.SILENT: _DialBudget(_SILENT_DIALS_PER_S),
        }

    @property
    def is_empty(self) -> bool:
        """Whether no node is absent."""
        return not self._absences

    def is_absent(self, node: str) -> bool:
        """Return whether a node is lost or could not be dialled."""
        return node in self._absences

    def has_failed(self, node: str) -> bool:
        """Return whether the last dial to a node has failed."""
        absence = self._absences.get(node)
        return absence is not None and absence.failed_dials > 0

    def note_lost(self, node: str, now_ms: float) -> None:
        """Schedule the first dial to a node whose link has ended.

        :param now_ms: monotonic time.
        """
        due_at_ms = now_ms + self._jittered_ms(_REFUSED_INTERVAL_MS)
        absence = self._absences.setdefault(node, Absence(now_ms, due_at_ms))
        absence.due_at_ms = min(absence.due_at_ms, due_at_ms)

    def note_failed(
        self, node: str, failure: DialFailure, now_ms: float
    ) -> None:
        """Schedule the next dial to a node after a failed one.

        :param failure: how the dial has failed.
        :param now_ms: monotonic time.
        """
        absence = self._absences.setdefault(node, Absence(now_ms, now_ms))
        absence.failure = failure
        absence.failed_dials += 1
        is_starting = (
            failure is DialFailure.REFUSED
            and now_ms - absence.since_ms < _MAX_START_MS
        )
        if is_starting:
            absence.wait_ms = _REFUSED_INTERVAL_MS
        else:
            doubled_ms = max(_MIN_BACKOFF_MS, 2 * absence.wait_ms)
            absence.wait_ms = min(_MAX_BACKOFF_MS, doubled_ms)
        absence.due_at_ms = now_ms + self._jittered_ms(absence.wait_ms)

    def note_sign(self, node: str, now_ms: float) -> None:
        """Dial an absent node at once, since it has dialled this node.

        :param now_ms: monotonic time.
        """
        absence = self._absences.get(node)
        if absence is not None:
            absence.due_at_ms = min(absence.due_at_ms, now_ms)
            absence.failure = DialFailure.REFUSED
            absence.wait_ms = 0

    def note_reachable(self, node: str) -> Absence | None:
        """End the absence of a node.

        :returns: the absence, or ``None`` if the node was not absent.
        """
        return self._absences.pop(node, None)

    def retain(self, nodes: frozenset[str]) -> None:
        """Forget all other nodes.

        :param nodes: all listed nodes.
        """
        for gone in self._absences.keys() - nodes:
            self._absences.pop(gone)

    def take_due(self, now_ms: float) -> list[str]:
        """Return the nodes to dial now, those that waited longest first.

        The caller reports the result of each dial.

        :param now_ms: monotonic time.
        """
        due = sorted(
            (absence.due_at_ms, node)
            for node, absence in self._absences.items()
            if absence.due_at_ms <= now_ms
        )
        taken = []
        for _, node in due:
            absence = self._absences[node]
            if self._budgets[absence.failure].try_take(now_ms):
                absence.due_at_ms = now_ms + _DIAL_LIFE_MS
                taken.append(node)
        return taken

    def _jittered_ms(self, wait_ms: float) -> float:
        return wait_ms * (1 + _JITTER_SHARE * (self._rng.random() - _HALF))


class _DialBudget:
    """Token bucket that bounds the dials a second.

    :param per_s: dials a second, and largest burst.
    """

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_at_ms: float = 0

    def try_take(self, now_ms: float) -> bool:
        """Take a token; return whether there was one.

        :param now_ms: monotonic time.
        """
        elapsed_ms = now_ms - self._refilled_at_ms
        self._refilled_at_ms = now_ms
        refilled = self._tokens + elapsed_ms * self._per_s / _MS_PER_S
        self._tokens = min(self._per_s, refilled)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


__all__ = ('Absence', 'DialFailure', 'RedialSchedule')
