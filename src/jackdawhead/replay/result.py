"""What came of a replay."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.model import Operation
    from ..outcome import Outcome
    from ..policy.detection import HealthChange
    from ..reasons import Reason


@dataclass(frozen=True, slots=True)
class Finished:
    """A request of a caller that got its final answer.

    :param arrived_ms: time in the replay.
    :param ended_ms: time in the replay.
    :param wait_ms: time not spent running, of good answers.
    :param reason: why there is no answer, or nothing.
    :param is_good: whether it was answered without a server error.
    """

    service: str
    operation: Operation
    organisation: str
    arrived_ms: float
    ended_ms: float
    wait_ms: float
    attempts: int
    outcome: Outcome
    reason: Reason | None
    is_good: bool


@dataclass(frozen=True, slots=True)
class Started:
    """A run that was started on an upstream.

    :param is_retry: whether the request had been sent elsewhere before.
    :param has_failed: whether the upstream does not do the work.
    """

    at_ms: float
    upstream: str
    operation: str
    fingerprint: int
    is_retry: bool
    has_crashed: bool
    has_failed: bool


@dataclass(frozen=True, slots=True)
class SeenChange:
    """A change of health as one entry sees it."""

    at_ms: float
    node: str
    change: HealthChange


@dataclass(frozen=True, slots=True)
class HealthyShare:
    """Share of a service's upstreams that an entry holds to be well."""

    at_ms: float
    node: str
    service: str
    share: float


@dataclass(slots=True)
class ReplayResult:
    """All that a replay gives, in the order of time.

    :param entries: number of entries that the trace was recorded at.
    """

    entries: int
    end_ms: float = 0
    finished: list[Finished] = field(default_factory=list)
    started: list[Started] = field(default_factory=list)
    changes: list[SeenChange] = field(default_factory=list)
    shares: list[HealthyShare] = field(default_factory=list)


__all__ = (
    'Finished',
    'HealthyShare',
    'ReplayResult',
    'SeenChange',
    'Started',
)
