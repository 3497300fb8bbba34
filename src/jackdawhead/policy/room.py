"""Random upstreams in proportion to the room that they have for more work."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .loads import REPORT_LIFE_MS

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from .loads import UpstreamLoad

# Slots that a full upstream counts as, so that it is drawn if all are full.
_MIN_FREE: Final = 0.1


def free_slots(load: UpstreamLoad, now_ms: float) -> int:
    """Return how many slots are free, as far as this node knows.

    If the last report is stale, only this node's own requests count.

    :param load: this entry's view of the upstream.
    :param now_ms: monotonic time.
    """
    report = load.report
    if now_ms - load.reported_at_ms > REPORT_LIFE_MS:
        return max(0, report.slots - load.in_flight)
    return max(0, report.free - load.sent_since_report)


def room(load: UpstreamLoad, now_ms: float) -> float:
    """Return how much work an upstream takes soon, in runs per millisecond.

    :param load: this entry's view of the upstream.
    :param now_ms: monotonic time.
    """
    if load.is_avoided(now_ms):
        return 0
    free = max(_MIN_FREE, free_slots(load, now_ms))
    return free * (1 - load.risk_now(now_ms)) / max(1, load.report.run_ms)


def sample_by_room(
    loads: Sequence[UpstreamLoad], count: int, now_ms: float, rng: Random
) -> list[UpstreamLoad]:
    """Return up to ``count`` random upstreams, drawn in proportion to room.

    :param loads: upstreams to draw from; all are returned if there are no more
        than ``count``.
    :param count: most upstreams to return.
    :param now_ms: monotonic time.
    :param rng: source of randomness.
    """
    if len(loads) <= count:
        return list(loads)
    weights = [room(each, now_ms) for each in loads]
    if not any(weights):
        return rng.sample(list(loads), count)
    drawn = rng.choices(loads, weights, k=count)
    return list({each.upstream: each for each in drawn}.values())


__all__ = ('free_slots', 'room', 'sample_by_room')
