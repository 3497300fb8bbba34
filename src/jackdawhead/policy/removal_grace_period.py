"""Grace period before upstreams missing from the platform's list are removed.

Load pattern: an outage of the platform outlasts the time for which it lists
upstreams without hearing from them, or the platform comes back from an older
copy of its data. Entries of live upstreams are missing then until they register
again a moment later. A fleet that trusted such a list would have no upstreams
to send work to.
"""

from __future__ import annotations

from typing import Final


class RemovalGracePeriod:
    """Delays removals for a moment after an outage of the platform.

    :param expiry_ms: time without a report after which the platform drops an
        upstream's entry.
    :param reregistration_ms: time within which live upstreams register again.
    """

    def __init__(self, expiry_ms: float, reregistration_ms: float) -> None:
        self._expiry_ms = expiry_ms
        self._reregistration_ms = reregistration_ms
        self._failing_since_ms: float | None = None
        self._until_ms: float = 0

    def note_failure(self, began_ms: float) -> None:
        """Record that a call to the platform has failed.

        :param began_ms: monotonic time since which the platform's state is
            unknown.
        """
        if self._failing_since_ms is None:
            self._failing_since_ms = began_ms

    def note_answer(self, now_ms: float) -> None:
        """Record that the platform has answered.

        :param now_ms: monotonic time.
        """
        since_ms = self._failing_since_ms
        self._failing_since_ms = None
        if since_ms is not None and now_ms - since_ms >= self._expiry_ms:
            self.begin(now_ms)

    def begin(self, now_ms: float) -> None:
        """Delay removals from now on.

        :param now_ms: monotonic time at which the platform is back.
        """
        self._until_ms = now_ms + self._reregistration_ms

    def bounded_wait_ms(self, wait_ms: int, now_ms: float) -> int:
        """Return the wait for changes, limited to the end of the grace period.

        :param wait_ms: longest wait.
        :param now_ms: monotonic time.
        """
        remaining_ms = self.remaining_ms(now_ms)
        return min(wait_ms, int(remaining_ms) + 1) if remaining_ms else wait_ms

    def remaining_ms(self, now_ms: float) -> float:
        """Return for how much longer removals are delayed, 0 if they aren't.

        :param now_ms: monotonic time.
        """
        return max(0, self._until_ms - now_ms)


# Live upstreams register again within this time after an outage.
DEFAULT_REREGISTRATION_MS: Final = 2200

__all__ = ('DEFAULT_REREGISTRATION_MS', 'RemovalGracePeriod')
