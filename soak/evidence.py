"""Observations of a run: requests, runs, status samples, stops, faults."""

from __future__ import annotations

from dataclasses import dataclass, field

RAN = 'ran'
NOT_RUN = 'not-run'
OK = 200
BAD_GATEWAY = 502
# Deadline of the operations, for callers that send none.
NO_CALLER_DEADLINE_MS = 10_000


@dataclass(slots=True)
class SentRequest:
    """One request of a caller, with its result.

    :param key: unique key of the work.
    :param node: VM of the node that it was sent to.
    :param is_non_idempotent: whether it must not run twice.
    :param sent_s: seconds since the start of the run, as all times here.
    :param status: HTTP status of the answer, 0 if there was none.
    :param outcome: outcome that the node reported, empty without answer.
    :param is_answer_valid: whether the answer is complete and belongs to this
        request.
    :param error: connection error, empty if there was an answer.
    :param is_connected: whether the connection was established.
    :param deadline_ms: the caller's deadline, 0 if it sent none.
    :param is_streamed: whether the answer begins while the work runs.
    :param is_from_holder: whether its caller keeps spare connections open, so
        that a request may cross the close of one.
    :param organisation: organisation whose key it has.
    """

    key: str
    node: str
    is_non_idempotent: bool
    sent_s: float
    ended_s: float = 0
    status: int = 0
    outcome: str = ''
    is_answer_valid: bool = True
    error: str = ''
    is_connected: bool = True
    deadline_ms: int = 0
    is_streamed: bool = False
    is_from_holder: bool = False
    organisation: str = ''

    @property
    def is_served(self) -> bool:
        """Whether the caller got a successful and valid answer."""
        return self.status == OK and self.is_answer_valid


@dataclass(frozen=True, slots=True)
class Run:
    """An execution of a request that an upstream started.

    :param is_cancelled: whether its node broke it off.
    :param ended_s: end of the work, none while it runs.
    :param organisation: organisation that the upstream was told.
    :param has_key: whether the upstream got the caller's key.
    """

    key: str
    upstream: str
    started_s: float
    is_cancelled: bool = False
    ended_s: float | None = None
    organisation: str = ''
    has_key: bool = False


@dataclass(frozen=True, slots=True)
class Sample:
    """A node's status at one time.

    :param upstreams: number of upstreams of the service that the node uses.
    :param healthy: number of them that the node considers healthy.
    """

    node: str
    incarnation: int
    at_s: float
    config_version: int
    upstreams: int
    healthy: int


@dataclass(frozen=True, slots=True)
class NodeStop:
    """A planned stop of a node."""

    node: str
    requested_s: float
    ended_s: float
    exit_code: int


@dataclass(frozen=True, slots=True)
class LeavingPeriod:
    """A period during which an upstream was listed as leaving."""

    upstream: str
    from_s: float
    to_s: float


@dataclass(slots=True)
class Evidence:
    """All observations of a run.

    :param published: times and versions of published configurations.
    :param faults: start, end and description of each fault.
    :param faults_end_s: end of the last fault.
    :param ends_s: time at which the callers stop.
    :param keyless: keys of the work that was asked for with unknown keys of
        organisations.
    """

    requests: list[SentRequest] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    stops: list[NodeStop] = field(default_factory=list)
    leaving_periods: list[LeavingPeriod] = field(default_factory=list)
    published: list[tuple[float, int]] = field(default_factory=list)
    faults: list[tuple[float, float, str]] = field(default_factory=list)
    faults_end_s: float = 0
    ends_s: float = 0
    keyless: list[str] = field(default_factory=list)


__all__ = (
    'BAD_GATEWAY',
    'NOT_RUN',
    'NO_CALLER_DEADLINE_MS',
    'OK',
    'RAN',
    'Evidence',
    'LeavingPeriod',
    'NodeStop',
    'Run',
    'Sample',
    'SentRequest',
)
