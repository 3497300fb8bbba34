"""Whether a service is short of upstreams, so that none may be spared longer.

Load pattern: more work than the upstreams that are known to be well can do. An
upstream that is avoided for its risk gives no sign when its spell of failing
is over, and would stay avoided while work is refused for want of room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..reasons import Reason
from .floor import min_members_in_use
from .spells import SUSPECT_RISK

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .loads import UpstreamLoad

# An entry of a large fleet sees few of the refusals of a service.
_SHORTAGE_MS: Final = 4000.0
# Upstreams are to be in use within two seconds, the way included.
RISK_REPORT_LIFE_MS: Final = 1500.0
_SHORTAGE_REASONS: Final = frozenset(
    (
        Reason.BUSY,
        Reason.OVERLOADED,
        Reason.RISKY,
        Reason.NO_UPSTREAM,
        Reason.UPSTREAM_REFUSED,
    )
)


class Shortage:
    """Follows the requests for one service that an entry turns away."""

    def __init__(self) -> None:
        self._until_ms: float = 0

    def note_refused(self, reason: Reason, now_ms: float) -> None:
        """Take in that a request was given up.

        :param reason: as told to the caller.
        :param now_ms: monotonic time.
        """
        if reason in _SHORTAGE_REASONS:
            self._until_ms = now_ms + _SHORTAGE_MS

    def is_active(self, now_ms: float) -> bool:
        """Return whether work has just been turned away.

        :param now_ms: monotonic time.
        """
        return now_ms < self._until_ms


def is_below_floor(
    loads: Sequence[UpstreamLoad],
    floor_percent: int,
    now_ms: float,
) -> bool:
    """Return whether too few upstreams are in use.

    Those count that are likely to be well, or were heard a moment ago.

    :param loads: upstreams that may be chosen.
    :param floor_percent: share that has to be in use.
    :param now_ms: monotonic time.
    """
    in_use = sum(_is_in_use(each, now_ms) for each in loads)
    return in_use < min_members_in_use(len(loads), floor_percent)


def _is_in_use(load: UpstreamLoad, now_ms: float) -> bool:
    if load.risk_now(now_ms) <= SUSPECT_RISK:
        return True
    return now_ms - (load.risk_reported_at_ms or 0) < RISK_REPORT_LIFE_MS


__all__ = ('RISK_REPORT_LIFE_MS', 'Shortage', 'is_below_floor')
