"""Messages that tell other nodes what one of them knows."""

from __future__ import annotations

from dataclasses import dataclass

from .base import HeaderPairs, Message, message


@message(11)
@dataclass(frozen=True, slots=True)
class DrainNews(Message):
    """An upstream of the sender takes no new work, or takes it again."""

    upstream: str
    draining: bool


@message(12)
@dataclass(frozen=True, slots=True)
class ConfigNews(Message):
    """A published configuration, passed on between nodes.

    :param files: names and texts of the files.
    """

    version: int
    files: HeaderPairs


@message(13)
@dataclass(frozen=True, slots=True)
class PoisonNews(Message):
    """An upstream crashed with a request of this fingerprint in flight.

    :param age_ms: time since the crash.
    """

    service: str
    fingerprint: int
    upstream: str
    age_ms: int


@message(14)
@dataclass(frozen=True, slots=True)
class UpstreamStatus(Message):
    """Load and evidence of an upstream; sent ahead of each answer.

    :param wait_ms: expected wait of short work that arrives now.
    :param free: slots that are free.
    :param run_ms: average run time of its short work.
    :param count: outcomes that the evidence rests on.
    :param failures: how many of them are failures.
    :param median_ms: median run time of the successes, 0 if unknown.
    :param least_ms: least of the last few run times, 0 if unknown.
    :param cusum: evidence for failing, in hundredths.
    :param avoid_ms: time for which it cannot be reached, 0 if it can.
    :param risk: probability that work fails there now, in thousandths.
    """

    upstream: str
    operation: str
    wait_ms: int
    free: int
    run_ms: int
    count: int
    failures: int
    median_ms: int
    least_ms: int
    cusum: int
    avoid_ms: int
    draining: bool
    risk: int = 0


@message(15)
@dataclass(frozen=True, slots=True)
class VmNews(Message):
    """The platform's list of VMs, passed on between nodes.

    :param text: the list as JSON, as the platform gives it.
    """

    version: int
    text: str


@message(19)
@dataclass(frozen=True, slots=True)
class VmChange(Message):
    """The difference between two lists of VMs, passed on between nodes.

    :param base: version of the earlier list.
    :param version: version of the later one.
    :param text: VMs that have changed and names of those gone, as JSON.
    """

    base: int
    version: int
    text: str


@message(20)
@dataclass(frozen=True, slots=True)
class VmAsk(Message):
    """Asks for the whole list of VMs.

    :param version: of the list that the sender has.
    """

    version: int


@message(21)
@dataclass(frozen=True, slots=True)
class ConfigAsk(Message):
    """Asks for the configuration in force.

    :param version: of the configuration that the sender has.
    :param digest: leading bits of its digest.
    """

    version: int
    digest: int


__all__ = (
    'ConfigAsk',
    'ConfigNews',
    'DrainNews',
    'PoisonNews',
    'UpstreamStatus',
    'VmAsk',
    'VmChange',
    'VmNews',
)
