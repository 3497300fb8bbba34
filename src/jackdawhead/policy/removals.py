"""When an upstream that is no longer listed is taken to be gone.

Load pattern: the platform is away for longer than upstreams stay listed
without reporting. When it is back their entries are missing, and all come
back a moment later, so that a fleet which believed the list would have
nothing to send work to.
"""

from __future__ import annotations

from typing import Final


class RemovalHold:
    """Holds removals back for a moment after an outage of the platform.

    :param lapse_ms: silence after which entries lapse.
    :param return_ms: time within which those of live upstreams are back.
    """

    def __init__(self, lapse_ms: float, return_ms: float) -> None:
        self._lapse_ms = lapse_ms
        self._return_ms = return_ms
        self._failing_since_ms: float | None = None
        self._until_ms: float = 0

    def note_failure(self, began_ms: float) -> None:
        """Take in that a call to the platform has failed.

        :param began_ms: monotonic time from which nothing is known of it.
        """
        if self._failing_since_ms is None:
            self._failing_since_ms = began_ms

    def note_answer(self, now_ms: float) -> None:
        """Take in that the platform has answered.

        :param now_ms: monotonic time.
        """
        since_ms = self._failing_since_ms
        self._failing_since_ms = None
        if since_ms is not None and now_ms - since_ms >= self._lapse_ms:
            self._until_ms = now_ms + self._return_ms

    def bounded_wait_ms(self, wait_ms: int, now_ms: float) -> int:
        """Return how long to wait for changes, so that a hold ends in time.

        :param wait_ms: longest wait.
        :param now_ms: monotonic time.
        """
        left_ms = self.left_ms(now_ms)
        return min(wait_ms, int(left_ms) + 1) if left_ms else wait_ms

    def left_ms(self, now_ms: float) -> float:
        """Return for how long removals are still held back, 0 for not at all.

        :param now_ms: monotonic time.
        """
        return max(0, self._until_ms - now_ms)


DEFAULT_RETURN_MS: Final = 2200

__all__ = ('DEFAULT_RETURN_MS', 'RemovalHold')
