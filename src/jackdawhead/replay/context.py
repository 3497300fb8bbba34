"""State that all parts of a replay share."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ..policy.ways import Way

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service
    from ..wire.messages import UpstreamStatus
    from .behaviour import RecordedBehaviour
    from .result import ReplayResult
    from .timeline import Timeline

# One-way network delays between VMs. Traces hold no delays.
DEFAULT_HOPS_MS: Final[Mapping[Way, float]] = {
    Way.ZONE: 0.5,
    Way.REGION: 2.5,
    Way.OTHER_REGION: 2.5,
}


@dataclass(frozen=True, slots=True)
class ReplayContext:
    """State shared by all entries and homes of a replay.

    :param trace_start_ms: trace time at virtual time 0, in milliseconds.
    :param on_status: notifies the entries that a spell of failing has
        begun or ended.
    :param hops_ms: one-way network delays between VMs.
    """

    timeline: Timeline
    behaviour: RecordedBehaviour
    result: ReplayResult
    rng: Random
    trace_start_ms: float
    on_status: Callable[[Service, UpstreamStatus], None]
    hops_ms: Mapping[Way, float]


__all__ = ('DEFAULT_HOPS_MS', 'ReplayContext')
