"""Spacing of the trials of an upstream that probably fails its work.

Load pattern: many entries, each with little work, before upstreams that fail in
spells. An entry learns of its own trials only, so the entries together may try
one upstream far too often. The upstream's home sees all outcomes.
"""

from __future__ import annotations

from typing import Final

# Time between a failure and the next trial. A recovered upstream has to be in
# use again within 2 s, including the time until a suitable request arrives.
TRIAL_INTERVAL_MS: Final = 1000.0


class RecoveryTrials:
    """Decides at the home of an upstream when the next trial may start."""

    def __init__(self) -> None:
        self._next_at_ms: float = 0

    def note_started(self, now_ms: float) -> None:
        """Record that work is accepted; a trial may outlast the interval.

        :param now_ms: monotonic time.
        """
        self._next_at_ms = now_ms + TRIAL_INTERVAL_MS

    def note_outcome(self, now_ms: float, *, ok: bool) -> None:
        """Record the outcome of a run; after a success the next is due at once.

        :param now_ms: monotonic time at which the run ended.
        :param ok: whether the run succeeded.
        """
        self._next_at_ms = now_ms if ok else now_ms + TRIAL_INTERVAL_MS

    def is_due(self, now_ms: float) -> bool:
        """Return whether a trial may start.

        :param now_ms: monotonic time.
        """
        return now_ms >= self._next_at_ms


__all__ = ('TRIAL_INTERVAL_MS', 'RecoveryTrials')
