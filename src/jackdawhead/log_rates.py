"""Bounds how many lines of each event are logged."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# A node serves some tens of requests a second on small VMs; at the target's
# rate only a sample of the requests is logged, and what is left out counted.
LINES_PER_S: Final = 200.0
_BURST_LINES: Final = 400.0
_REPORT_MS: Final = 1000.0
_MS_PER_S: Final = 1000.0


@dataclass(slots=True)
class _Bucket:
    """Lines of one event that may still be written."""

    tokens: float = _BURST_LINES
    at_ms: float = 0
    dropped: int = 0
    reported_ms: float = 0


class LogRates:
    """A token bucket for each event."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def take(self, event: str, now_ms: float) -> bool:
        """Return whether a line may be written, and count it if not.

        :param event: its name.
        :param now_ms: monotonic time.
        """
        bucket = self._buckets.setdefault(event, _Bucket(at_ms=now_ms))
        refill = (now_ms - bucket.at_ms) * LINES_PER_S / _MS_PER_S
        bucket.tokens = min(_BURST_LINES, bucket.tokens + refill)
        bucket.at_ms = now_ms
        if bucket.tokens < 1:
            bucket.dropped += 1
            return False
        bucket.tokens -= 1
        return True

    def take_dropped(self, event: str, now_ms: float) -> int:
        """Return how many lines were left out since the last report.

        :param event: its name.
        :param now_ms: monotonic time.
        :returns: 0 also if the last report was a moment ago.
        """
        bucket = self._buckets[event]
        if not bucket.dropped or now_ms - bucket.reported_ms < _REPORT_MS:
            return 0
        bucket.reported_ms = now_ms
        dropped = bucket.dropped
        bucket.dropped = 0
        return dropped


__all__ = ('LINES_PER_S', 'LogRates')
