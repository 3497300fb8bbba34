"""Work that callers ask for: run times, deadlines, and kinds of answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

_DEADLINE_MS: Final = 2000
_QUICK_MS: Final = 60
_LONG_SHARE: Final = 0.1
_MIN_LONG_MS: Final = 1500
_MAX_LONG_MS: Final = 4500
# Beyond the run time. A stop takes about 5 s, so that some deadlines end
# before it and some after it.
_MIN_SLACK_MS: Final = 500
_MAX_SLACK_MS: Final = 5000
_NO_DEADLINE_SHARE: Final = 0.25
_STREAMED_SHARE: Final = 0.35
_STREAMED_BYTES: Final = 200_000


@dataclass(frozen=True, slots=True)
class RequestedWork:
    """Work of one request.

    :param run_ms: run time, 0 if the upstream chooses it.
    :param deadline_ms: the caller's deadline, 0 if it sends none.
    :param streamed_bytes: size of an answer that is sent while the work runs,
        0 for an answer at its end.
    """

    run_ms: int = 0
    deadline_ms: int = _DEADLINE_MS
    streamed_bytes: int = 0

    @property
    def query(self) -> str:
        """Query that asks a stand-in upstream for this work."""
        if self.streamed_bytes:
            return f'?bytes={self.streamed_bytes}&stall={self.run_ms}'
        return f'?ms={self.run_ms}' if self.run_ms else ''


def draw_long_tailed(rng: Random, *, is_non_idempotent: bool) -> RequestedWork:
    """Draw work that is mostly quick, and seldom fifty times as long.

    :param is_non_idempotent: whether it must not run twice; its answer is not
        streamed.
    """
    run_ms = _QUICK_MS
    if rng.random() < _LONG_SHARE:
        run_ms = rng.randint(_MIN_LONG_MS, _MAX_LONG_MS)
    deadline_ms = run_ms + rng.randint(_MIN_SLACK_MS, _MAX_SLACK_MS)
    if rng.random() < _NO_DEADLINE_SHARE:
        deadline_ms = 0
    is_streamed = not is_non_idempotent and rng.random() < _STREAMED_SHARE
    return RequestedWork(
        run_ms, deadline_ms, _STREAMED_BYTES if is_streamed else 0
    )


__all__ = ('RequestedWork', 'draw_long_tailed')
