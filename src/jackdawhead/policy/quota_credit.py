"""Credit that the owner or the deputy of an organisation may grant.

Load pattern: an organisation sends several times its quota, from many entries
at once, or a calm one sends now and then from anywhere.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from .quota_terms import WINDOW_MS

if TYPE_CHECKING:
    from .quota_terms import CreditShare

_MAX_WAIT_MS: Final = 20_000.0
_COUNT_STEP_MS: Final = 250
# Credit beyond the need is granted only above this share of the capacity.
_AHEAD_SHARE: Final = 0.5


class TokenBucket:
    """Credit that accrues at a fixed rate, empty at first.

    :param now_ms: monotonic time from which it accrues.
    """

    def __init__(self, now_ms: float) -> None:
        self._level: float = 0
        self._filled_at_ms = now_ms
        self._turn_at_ms = now_ms

    def take(
        self, share: CreditShare, need: int, ahead: int, now_ms: float
    ) -> int:
        """Take credit for an entry.

        :param share: what this node may grant.
        :param need: requests that wait.
        :param ahead: requests that are expected.
        :param now_ms: monotonic time.
        """
        elapsed_ms = max(0, now_ms - self._filled_at_ms)
        filled = self._level + share.refill(elapsed_ms)
        self._level = min(share.capacity, filled)
        self._filled_at_ms = now_ms
        taken = min(need, int(self._level))
        spare = self._level - taken - share.capacity * _AHEAD_SHARE
        taken += max(0, min(ahead, int(spare)))
        self._level -= taken
        return taken

    def wait_ms(self, share: CreditShare, missing: int, now_ms: float) -> float:
        """Return when there will be room for what got no credit.

        Those that ask one after the other get times one after the other.

        :param share: what this node may grant.
        :param missing: number of requests.
        :param now_ms: monotonic time.
        """
        latest_ms = now_ms + _MAX_WAIT_MS
        turn_ms = max(self._turn_at_ms, now_ms) + share.refill_ms(missing)
        self._turn_at_ms = min(turn_ms, latest_ms)
        return self._turn_at_ms - now_ms


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


__all__ = ('GrantCount', 'TokenBucket')
