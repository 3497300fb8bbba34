"""Result of a replay."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.model import Operation
    from ..outcome import Outcome
    from ..policy.detection import HealthChange
    from ..policy.ways import Way
    from ..reasons import Reason


@dataclass(frozen=True, slots=True)
class FinishedRequest:
    """A caller's request that got its final answer.

    :param arrived_ms: virtual time of the arrival.
    :param ended_ms: virtual time of the answer.
    :param wait_ms: time not spent running, if the request succeeded.
    :param attempts: number of copies sent, including hedges.
    :param reason: why there is no response, none if there is one.
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
class SentCopy:
    """A copy of a request that an entry has sent.

    :param at_ms: virtual time at which it was sent.
    :param zone: zone of the entry.
    """

    at_ms: float
    zone: str
    upstream: str
    way: Way


@dataclass(frozen=True, slots=True)
class StartedRun:
    """A run that was started on an upstream.

    :param at_ms: virtual time of the start.
    :param is_retry: whether the request had been sent before.
    :param has_crashed: whether the run crashes the upstream.
    :param has_failed: whether the run ends without success.
    """

    at_ms: float
    upstream: str
    operation: str
    fingerprint: int
    is_retry: bool
    has_crashed: bool
    has_failed: bool


@dataclass(frozen=True, slots=True)
class ObservedHealthChange:
    """A change of an upstream's health, as seen by one entry."""

    at_ms: float
    node: str
    change: HealthChange


@dataclass(frozen=True, slots=True)
class HealthyShare:
    """Share of a service's upstreams that one entry sees as healthy."""

    at_ms: float
    node: str
    service: str
    share: float


@dataclass(slots=True)
class ReplayResult:
    """Everything that a replay recorded, in order of virtual time.

    :param entries: number of entries at which the trace was recorded.
    :param end_ms: virtual time of the last trace record.
    """

    entries: int
    end_ms: float = 0
    finished: list[FinishedRequest] = field(default_factory=list)
    sent: list[SentCopy] = field(default_factory=list)
    started: list[StartedRun] = field(default_factory=list)
    changes: list[ObservedHealthChange] = field(default_factory=list)
    shares: list[HealthyShare] = field(default_factory=list)


__all__ = (
    'FinishedRequest',
    'HealthyShare',
    'ObservedHealthChange',
    'ReplayResult',
    'SentCopy',
    'StartedRun',
)
