"""Detects a shortage of upstreams, during which avoided ones are tried again.

Load pattern: more work than the upstreams that are known to be healthy can do.
An upstream that is avoided for its risk gets no work, so nothing shows that its
spell of failing is over. It would stay avoided while work is refused for lack
of capacity.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..reasons import Reason
from .floor import min_members_in_use
from .spell_estimate import SUSPECT_RISK

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .loads import UpstreamLoad

# A shortage lasts this long after a refusal. In a large fleet, each entry sees
# only a few of a service's refusals.
_SHORTAGE_MS: Final = 4000.0
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
    """Tracks the requests for one service that an entry refuses."""

    def __init__(self) -> None:
        self._until_ms: float = 0

    def note_refused(self, reason: Reason, now_ms: float) -> None:
        """Record that a request was refused.

        :param reason: reason that the caller gets; only those that show a lack
            of capacity count.
        :param now_ms: monotonic time.
        """
        if reason in _SHORTAGE_REASONS:
            self._until_ms = now_ms + _SHORTAGE_MS

    def is_active(self, now_ms: float) -> bool:
        """Return whether work was refused for lack of capacity within 4 s.

        :param now_ms: monotonic time.
        """
        return now_ms < self._until_ms


def is_below_floor(
    loads: Sequence[UpstreamLoad],
    floor_percent: int,
    now_ms: float,
) -> bool:
    """Return whether fewer upstreams are in use than the floor requires.

    An upstream counts as in use if its risk is low or was tested recently.

    :param loads: upstreams that may be chosen.
    :param floor_percent: percentage that has to be in use.
    :param now_ms: monotonic time.
    """
    in_use = sum(_is_in_use(each, now_ms) for each in loads)
    return in_use < min_members_in_use(len(loads), floor_percent)


def _is_in_use(load: UpstreamLoad, now_ms: float) -> bool:
    if load.risk_now(now_ms) <= SUSPECT_RISK:
        return True
    return now_ms < load.trial_at_ms


__all__ = ('Shortage', 'is_below_floor')
