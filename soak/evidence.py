"""What a soak sees from outside: requests, runs, samples, stops, faults."""

from __future__ import annotations

from dataclasses import dataclass, field

RAN = 'ran'
NOT_RUN = 'not-run'
OK = 200


@dataclass(slots=True)
class Sent:
    """One request of a caller, with its end.

    :param key: unique mark of the work.
    :param is_once: whether it must not run twice.
    :param sent_s: time since the start of the soak.
    :param status: of the answer, 0 if there was none.
    :param outcome: what the node says of the work, empty without answer.
    :param is_own: whether the answer is whole and belongs to the request.
    :param error: of the connection, empty if there was an answer.
    :param is_connected: whether there was a connection to send it on.
    """

    key: str
    node: str
    is_once: bool
    sent_s: float
    ended_s: float = 0
    status: int = 0
    outcome: str = ''
    is_own: bool = True
    error: str = ''
    is_connected: bool = True

    @property
    def is_served(self) -> bool:
        """Whether the caller got what it asked for."""
        return self.status == OK and self.is_own


@dataclass(frozen=True, slots=True)
class Run:
    """A run that an upstream has started."""

    key: str
    upstream: str
    started_s: float


@dataclass(frozen=True, slots=True)
class Sample:
    """What a node said of itself.

    :param listed: upstreams of the service.
    :param well: how many of them it takes for well.
    """

    node: str
    incarnation: int
    at_s: float
    config_version: int
    listed: int
    well: int


@dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of a node."""

    node: str
    asked_s: float
    ended_s: float
    exit_code: int


@dataclass(frozen=True, slots=True)
class Leaving:
    """A time in which an upstream was listed as leaving."""

    upstream: str
    from_s: float
    to_s: float


@dataclass(slots=True)
class Evidence:
    """All that a soak has seen.

    :param faults_end_s: when the last fault was over.
    :param ends_s: when the callers stopped.
    :param published: versions of the configuration, with their times.
    """

    sent: list[Sent] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    published: list[tuple[float, int]] = field(default_factory=list)
    faults: list[tuple[float, float, str]] = field(default_factory=list)
    faults_end_s: float = 0
    ends_s: float = 0


__all__ = (
    'NOT_RUN',
    'OK',
    'RAN',
    'Evidence',
    'Leaving',
    'Run',
    'Sample',
    'Sent',
    'Stop',
)
