"""Credit that the holder of a mandate, or an elector without it, may grant.

Load pattern: an organisation sends several times its quota, from many entries
at once, or a calm one sends now and then from anywhere.
"""

from __future__ import annotations

from collections import deque
from itertools import repeat
from typing import TYPE_CHECKING, Final

from .quota_terms import GRANT_MEMORY_MS, WINDOW_MS

if TYPE_CHECKING:
    from .quota_terms import QuotaTerms

_MAX_WAIT_MS: Final = 20_000.0
_COUNT_STEP_MS: Final = 250
# Credit beyond the need is granted only above this share of the capacity.
_AHEAD_SHARE: Final = 0.5


class TokenBucket:
    """Credit of the holder, which accrues at the rate of the quota.

    :param now_ms: monotonic time.
    """

    def __init__(self, now_ms: float) -> None:
        self._level: float = 0
        self._filled_at_ms = now_ms
        self._turn_at_ms = now_ms

    def start(self, terms: QuotaTerms, now_ms: float, *, is_full: bool) -> None:
        """Begin with the credit of a new holder.

        :param terms: limits of the organisation.
        :param now_ms: monotonic time.
        :param is_full: whether nobody has granted credit for a window.
        """
        self._level = terms.capacity if is_full else terms.start_credit
        self._filled_at_ms = now_ms
        self._turn_at_ms = now_ms

    def take(
        self, terms: QuotaTerms, need: int, ahead: int, now_ms: float
    ) -> int:
        """Take credit for an entry.

        :param terms: limits of the organisation.
        :param need: requests that wait.
        :param ahead: requests that are expected.
        :param now_ms: monotonic time.
        """
        filled = self._level + terms.refill(now_ms - self._filled_at_ms)
        self._level = min(terms.capacity, filled)
        self._filled_at_ms = now_ms
        taken = min(need, int(self._level))
        spare = self._level - taken - terms.capacity * _AHEAD_SHARE
        taken += max(0, min(ahead, int(spare)))
        self._level -= taken
        return taken

    def wait_ms(self, terms: QuotaTerms, missing: int, now_ms: float) -> float:
        """Return when there will be room for what got no credit.

        Those that ask one after the other get times one after the other.

        :param terms: limits of the organisation.
        :param missing: number of requests.
        :param now_ms: monotonic time.
        """
        latest_ms = now_ms + _MAX_WAIT_MS
        turn_ms = max(self._turn_at_ms, now_ms) + terms.refill_ms(missing)
        self._turn_at_ms = min(turn_ms, latest_ms)
        return self._turn_at_ms - now_ms


class Reserve:
    """A fixed number of requests in any window.

    :param ready_at_ms: monotonic time before which nothing is granted, as an
        earlier process of the node may have used it.
    """

    def __init__(self, ready_at_ms: float) -> None:
        self._ready_at_ms = ready_at_ms
        self._taken_at_ms: deque[float] = deque()

    def take(self, limit: int, need: int, now_ms: float) -> int:
        """Take credit.

        :param limit: number of requests in a window.
        :param need: number of requests that wait.
        :param now_ms: monotonic time.
        """
        if now_ms < self._ready_at_ms:
            return 0
        _forget(self._taken_at_ms, now_ms - GRANT_MEMORY_MS)
        taken = max(0, min(need, limit - len(self._taken_at_ms)))
        self._taken_at_ms.extend(repeat(now_ms, taken))
        return taken


class GrantCount:
    """Requests granted in about the last window, for people to read."""

    def __init__(self) -> None:
        self._steps: deque[list[int]] = deque()

    def add(self, granted: int, now_ms: float) -> None:
        """Count granted requests.

        :param granted: their number.
        :param now_ms: monotonic time.
        """
        step = int(now_ms) // _COUNT_STEP_MS
        if not self._steps or self._steps[-1][0] != step:
            self._steps.append([step, 0])
        self._steps[-1][1] += granted

    def total(self, now_ms: float) -> int:
        """Return the number of requests granted in the last window.

        :param now_ms: monotonic time.
        """
        oldest = (int(now_ms) - WINDOW_MS) // _COUNT_STEP_MS
        while self._steps and self._steps[0][0] <= oldest:
            self._steps.popleft()
        return sum(granted for _, granted in self._steps)


def _forget(times_ms: deque[float], until_ms: float) -> None:
    while times_ms and times_ms[0] <= until_ms:
        times_ms.popleft()


__all__ = ('GrantCount', 'Reserve', 'TokenBucket')
