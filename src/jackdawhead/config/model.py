"""Typed form of the validated configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from .header_names import HeaderNames
from .organisation import Organisation


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
    """An operation of a service.

    :param idempotent: whether a request may safely be run more than once.
    :param deadline_ms: default deadline of a request.
    :param expected_ms: run time assumed until runs have been observed.
    :param target_ms: latency that callers expect.
    :param priority: rank under overload, 0 being the most important.
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
    :param max_wait_ms: maximum time in the queue.
    :param long_slots_percent: share of the slots that long work may occupy.
    :param aging_ms: time in the queue after which short work no longer
        overtakes long work.
    """

    admission: str
    max_wait_ms: int
    long_slots_percent: int
    aging_ms: int


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits of retries.

    :param budget_percent: retry budget for requests that may have run, as a
        share of first attempts.
    :param redirect_percent: retry budget for requests that were refused
        without being run, as a share of first attempts.
    :param max_attempts: maximum number of attempts, including the first.
    :param backoff_ms: base of the backoff between attempts.
    :param saved_resends: maximum number of unused retries that an entry may
        accumulate; a home accumulates one at most.
    :param home_percent: retries by the homes, as a share of the budget; 100
        or more means no separate limit.
    """

    budget_percent: int
    redirect_percent: int
    max_attempts: int
    backoff_ms: int
    saved_resends: int = 3
    home_percent: int = 100


@dataclass(frozen=True, slots=True)
class DetectionPolicy:
    """Limits for the detection of failing upstreams.

    :param detector: registered name of the detector.
    :param window_ms: maximum age of the evidence.
    :param min_samples: number of results required for a decision.
    :param error_percent: share of failures that leads to ejection.
    :param slow_factor: multiple of the peers' run time that leads to
        ejection.
    :param ejection_ms: duration of the first ejection, doubled for each
        repeated ejection.
    :param max_ejection_ms: maximum duration of an ejection.
    :param warm_up_ms: time after the start of an upstream during which its
        run times are ignored.
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
    """Limits for poison requests, which crash the upstreams that run them.

    :param max_crashes: number of upstreams that requests of one fingerprint
        may crash before they are quarantined.
    :param quarantine_ms: duration of the quarantine.
    """

    max_crashes: int
    quarantine_ms: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service behind the proxy fleet.

    :param zones: names of the zones in which it runs.
    :param slots_per_upstream: maximum number of concurrent requests at an
        upstream.
    :param healthy_floor_percent: floor of ejection, the minimum share of
        upstreams that stay in use.
    :param subset_size: number of upstreams that each entry uses.
    :param balancer: registered name of the balancer.
    :param operations: operations by name.
    :param subset: registered name of the rule that chooses these upstreams.
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
    subset: str = 'rendezvous'

    def slots_for(self, listed: int) -> int:
        """Return the slots of an upstream; no request runs off a connection.

        :param listed: slots that the VM list gives, 0 if it gives none.
        """
        if not listed:
            return self.slots_per_upstream
        return min(listed, self.connections_per_upstream)


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests to an operation by host, method and path prefix.

    :param path_prefix: prefix of the path, starting with a slash.
    :param method: HTTP method, empty for any.
    :param host: value of the Host header, empty for any.
    :param timeout_ms: maximum time until the response, 0 to use the deadline
        of the operation.
    :param max_attempts: maximum number of upstreams that may run one request,
        0 to use the value of the service.
    :param split: weights by name of service, to distribute the requests over
        several services; empty to send all to the one service.
    :param is_public: whether requests need no key of an organisation.
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
    is_public: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services to which this route may send requests."""
        return tuple(self.split) or (self.service,)

    def allowed_ms(self, service: Service) -> int:
        """Return the longest time until a response; a caller may ask for less.

        :param service: one of the services of this route.
        """
        return self.timeout_ms or service.operations[self.operation].deadline_ms


@dataclass(frozen=True, slots=True)
class CallerPolicy:
    """Limits for callers and options of the responses to them.

    :param idle_ms: timeout of an idle connection, 0 to use the value of the
        node's settings.
    :param max_body_bytes: maximum size of a request body, 0 to use the value
        of the node's settings.
    :param max_head_bytes: maximum size of a request line, and of all headers,
        0 to use the value of the node's settings.
    :param head_ms: maximum time in which the head of a request arrives, 0 to
        use the value of the node's settings.
    :param quarantined_status: HTTP status for quarantined requests.
    :param expired_status: HTTP status for requests that were not run before
        their deadline.
    :param fractional_retry_after: whether callers understand a Retry-After
        header with a fraction of a second.
    """

    idle_ms: int = 0
    max_body_bytes: int = 0
    max_head_bytes: int = 0
    head_ms: int = 0
    quarantined_status: int = 422
    expired_status: int = 504
    fractional_retry_after: bool = False


@dataclass(frozen=True, slots=True)
class Config:
    """A validated configuration.

    :param digest: hash of the merged content as 32 hexadecimal digits.
    :param organisations: organisations by name.
    :param requires_keys: whether callers need the key of an organisation, but
        for public routes.
    """

    digest: str
    zones: dict[str, Zone]
    services: dict[str, Service]
    routes: dict[str, Route]
    headers: HeaderNames = field(default_factory=HeaderNames)
    callers: CallerPolicy = field(default_factory=CallerPolicy)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    requires_keys: bool = False

    @property
    def regions(self) -> dict[str, str]:
        """Region of each zone."""
        return {zone.name: zone.region for zone in self.zones.values()}


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
