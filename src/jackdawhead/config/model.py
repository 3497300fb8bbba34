"""Typed form of the checked configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


class WorkClass(StrEnum):
    """How long an operation is expected to hold a slot."""

    SHORT = 'short'
    LONG = 'long'


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Operation:
    """A kind of work that a service does.

    :param idempotent: whether running it twice does no harm.
    :param expected_ms: run time assumed until real work has been seen.
    :param target_ms: time within which callers want the answer.
    :param priority: rank when there is room for a part of the work only,
        0 being the first.
    """

    name: str
    idempotent: bool
    work_class: WorkClass
    deadline_ms: int
    expected_ms: int
    target_ms: int = 0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Limits of the queue in front of each upstream.

    :param admission: registered name of the admission rule.
    :param long_slots_percent: share of the slots that long work may hold.
    :param aging_ms: wait after which long work is no longer overtaken.
    """

    admission: str
    max_wait_ms: int
    long_slots_percent: int
    aging_ms: int


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits of resending.

    :param budget_percent: resends of work that may have run, as a share of
        first attempts.
    :param redirect_percent: the same for work that was refused unrun.
    :param max_attempts: attempts for one request, the first included.
    :param saved_resends: resends that an entry or a home may save up.
    :param home_percent: resends by the homes themselves, as a share of the
        budget; all are allowed from 100 on.
    """

    budget_percent: int
    redirect_percent: int
    max_attempts: int
    backoff_ms: int
    saved_resends: int = 3
    home_percent: int = 100


@dataclass(frozen=True, slots=True)
class DetectionPolicy:
    """Bounds of the detection of failing upstreams.

    :param detector: registered name of the detector.
    :param window_ms: age beyond which evidence is dropped.
    :param min_samples: outcomes needed before a verdict.
    :param error_percent: share of failures that ejects.
    :param slow_factor: multiple of the peers' run time that ejects.
    :param ejection_ms: first time spent ejected; doubled for each relapse.
    :param max_ejection_ms: upper bound of that time.
    :param warm_up_ms: time after a start in which run times do not count.
    """

    detector: str
    window_ms: int
    min_samples: int
    error_percent: int
    slow_factor: float
    ejection_ms: int
    max_ejection_ms: int
    warm_up_ms: int


@dataclass(frozen=True, slots=True)
class PoisonPolicy:
    """Limits for requests that crash the upstreams that run them.

    :param max_crashes: upstreams lost to one fingerprint before refusal.
    """

    max_crashes: int
    quarantine_ms: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service that stands behind the fleet.

    :param healthy_floor_percent: share of upstreams that ejection keeps.
    :param subset_size: upstreams that one entry uses.
    """

    name: str
    zones: tuple[str, ...]
    slots_per_upstream: int
    connections_per_upstream: int
    healthy_floor_percent: int
    subset_size: int
    balancer: str
    operations: dict[str, Operation]
    queue: QueuePolicy
    retry: RetryPolicy
    detection: DetectionPolicy
    poison: PoisonPolicy


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests to an operation by host, method and path prefix.

    :param method: HTTP method, empty for any.
    :param host: host that callers name, empty for any.
    :param timeout_ms: longest time for an answer, 0 to follow the operation.
    :param max_attempts: upstreams that one request may be sent to, 0 to
        follow the service.
    :param split: services by the share of the requests they get, instead of
        the one service.
    """

    name: str
    service: str
    operation: str
    path_prefix: str
    method: str = ''
    host: str = ''
    timeout_ms: int = 0
    max_attempts: int = 0
    split: dict[str, int] = field(default_factory=dict)

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services that requests of this route may go to."""
        return tuple(self.split) or (self.service,)


@dataclass(frozen=True, slots=True)
class CallerPolicy:
    """What callers may send, and how they are answered.

    :param idle_ms: time after which an unused connection is closed, 0 to
        follow the node's settings.
    :param max_body_bytes: largest body, 0 to follow the node's settings.
    :param quarantined_status: status of requests that crash upstreams.
    :param expired_status: status of requests that were not run in time.
    :param fractional_retry_after: whether callers understand a Retry-After
        of a fraction of a second.
    """

    idle_ms: int = 0
    max_body_bytes: int = 0
    quarantined_status: int = 422
    expired_status: int = 504
    fractional_retry_after: bool = False


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers exchanged with callers and upstreams.

    An empty name switches a header off.

    :param not_run: header by which an upstream proves that it has not run a
        request, whatever its value.
    :param instance: tells an upstream which of its starts a request is for.
    :param caller_service: tells an upstream the service of the VM from which
        a request comes.
    :param echoed_id: header of callers that upstreams repeat in the answer
        to each request.
    :param seal: header without which a successful answer is not whole.
    """

    request_id: str = 'X-Request-Id'
    outcome: str = 'X-Outcome'
    deadline_ms: str = 'X-Deadline-Ms'
    retry_after_ms: str = 'X-Retry-After-Ms'
    organisation: str = 'X-Organisation'
    draining: str = 'X-Draining'
    node: str = 'X-Served-By'
    ticket: str = 'X-Ticket'
    not_run: str = ''
    instance: str = ''
    caller_service: str = ''
    echoed_id: str = ''
    seal: str = ''


@dataclass(frozen=True, slots=True)
class Config:
    """A checked configuration.

    :param digest: hash of the merged content, equal for equal content.
    """

    digest: str
    zones: dict[str, Zone]
    services: dict[str, Service]
    routes: dict[str, Route]
    headers: HeaderNames = field(default_factory=HeaderNames)
    callers: CallerPolicy = field(default_factory=CallerPolicy)


__all__ = (
    'CallerPolicy',
    'Config',
    'DetectionPolicy',
    'HeaderNames',
    'Operation',
    'PoisonPolicy',
    'QueuePolicy',
    'RetryPolicy',
    'Route',
    'Service',
    'WorkClass',
    'Zone',
)
