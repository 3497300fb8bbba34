"""Number of upstreams by their state of health."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .detection import Health

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .detection import Detector
    from .loads import UpstreamLoad


def count_of(
    detector: Detector,
    loads: Iterable[UpstreamLoad],
    operations: tuple[str, ...],
    health: Health,
) -> int:
    """Return how many upstreams have a state of health.

    :param detector: source of their health.
    :param loads: upstreams to count.
    :param operations: operations that count.
    :param health: counts upstreams with this state for any operation, but for
        ``HEALTHY`` only those that have it for all operations.
    """
    states = [
        {detector.health(load.upstream, each) for each in operations}
        for load in loads
    ]
    if health is Health.HEALTHY:
        return sum(1 for found in states if found == {Health.HEALTHY})
    return sum(1 for found in states if health in found)


__all__ = ('count_of',)
