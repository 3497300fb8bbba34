"""Rate limit of log lines, by event."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# A node on a small VM serves some tens of requests per second, which are all
# logged. At the target rate only a sample is logged; dropped lines are counted.
LINES_PER_S: Final = 200.0
_BURST_LINES: Final = 400.0
_REPORT_INTERVAL_MS: Final = 1000.0
_MS_PER_S: Final = 1000.0


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one event; a token allows one line."""

    tokens: float = _BURST_LINES
    refilled_at_ms: float = 0
    dropped: int = 0
    reported_at_ms: float = 0


class LogRates:
    """Limits the lines of each event with a token bucket."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def allow(self, event: str, now_ms: float) -> bool:
        """Take a token for a line; if there is none, count the line as dropped.

        :param event: name of the event.
        :param now_ms: monotonic time in milliseconds.
        :returns: whether the line may be written.
        """
        bucket = self._buckets.setdefault(event, _Bucket(refilled_at_ms=now_ms))
        refill = (now_ms - bucket.refilled_at_ms) * LINES_PER_S / _MS_PER_S
        bucket.tokens = min(_BURST_LINES, bucket.tokens + refill)
        bucket.refilled_at_ms = now_ms
        if bucket.tokens < 1:
            bucket.dropped += 1
            return False
        bucket.tokens -= 1
        return True

    def pop_dropped(self, event: str, now_ms: float) -> int:
        """Return and reset the number of dropped lines, once a second at most.

        :param event: name of the event, already passed to `allow`.
        :param now_ms: monotonic time in milliseconds.
        :returns: 0 if nothing was dropped, or if the last report is less
            than a second old.
        """
        bucket = self._buckets[event]
        if (
            not bucket.dropped
            or now_ms - bucket.reported_at_ms < _REPORT_INTERVAL_MS
        ):
            return 0
        bucket.reported_at_ms = now_ms
        dropped = bucket.dropped
        bucket.dropped = 0
        return dropped


__all__ = ('LINES_PER_S', 'LogRates')
