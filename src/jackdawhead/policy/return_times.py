"""Times at which refused callers come back, spread over the room for them.

Load pattern: a peak in which many callers are refused. If all come back when
the queue has room for one, they are refused again, and callers that repeat at
once push the others back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .expiry import pop_expired

if TYPE_CHECKING:
    from random import Random

    from .work import Work

_MIN_RETRY_AFTER_MS: Final = 50.0
_MAX_RETRY_AFTER_MS: Final = 2000.0
# Share of the slots that is left for callers that come back.
_RETURN_SHARE: Final = 0.5
# Returns that one organisation, and all callers without one, may have reserved
# at a time.
_MAX_RESERVED: Final = 4
_MAX_NAMELESS: Final = 32


class ReturnTimes:
    """Hands out times to come back, more urgent work first.

    :param rng: randomizes the times.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._taken_until_ms: dict[int, float] = {}
        self._reserved: dict[tuple[str, int], float] = {}

    def retry_after_ms(
        self, work: Work, room_in_ms: float, gap_ms: float, now_ms: float
    ) -> int:
        """Return the time after which the caller of refused work comes back.

        :param room_in_ms: time until the queue has room for such work.
        :param gap_ms: time between ends of runs at the upstream.
        :param now_ms: monotonic time.
        """
        pop_expired(self._taken_until_ms, now_ms)
        pop_expired(self._reserved, now_ms)
        gap_ms /= _RETURN_SHARE
        room_at_ms = now_ms + max(_MIN_RETRY_AFTER_MS, room_in_ms)
        earliest_ms = max(
            (
                taken_ms
                for priority, taken_ms in self._taken_until_ms.items()
                if priority <= work.priority
            ),
            default=room_at_ms,
        )
        at_ms = max(room_at_ms, earliest_ms)
        at_ms = min(at_ms, now_ms + _MAX_RETRY_AFTER_MS)
        if self._reserve(work, at_ms):
            self._taken_until_ms[work.priority] = at_ms + gap_ms
        jitter_ms = self._rng.random() * max(gap_ms, at_ms - now_ms)
        return int(at_ms - now_ms + jitter_ms)

    def _reserve(self, work: Work, at_ms: float) -> bool:
        """Return whether the organisation may reserve one more return.

        Callers that come back at once get a time, but take none from others.
        """
        most = _MAX_RESERVED if work.organisation else _MAX_NAMELESS
        for number in range(most):
            if (work.organisation, number) not in self._reserved:
                self._reserved[work.organisation, number] = at_ms
                return True
        return False


__all__ = ('ReturnTimes',)
