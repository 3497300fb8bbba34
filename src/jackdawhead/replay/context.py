"""State that all parts of a replay share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Service
    from ..wire.messages import UpstreamStatus
    from .behaviour import RecordedBehaviour
    from .result import ReplayResult
    from .timeline import Timeline


@dataclass(frozen=True, slots=True)
class ReplayContext:
    """State shared by all entries and homes of a replay.

    :param trace_start_ms: trace time at virtual time 0, in milliseconds.
    :param on_status: notifies the entries that a spell of failing has
        begun or ended.
    """

    timeline: Timeline
    behaviour: RecordedBehaviour
    result: ReplayResult
    rng: Random
    trace_start_ms: float
    on_status: Callable[[Service, UpstreamStatus], None]


__all__ = ('ReplayContext',)
