"""Messages that distribute updates between nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from .base import HeaderPairs, Message, message, optional_field

# Above any priority.
ALL_PRIORITIES: Final = 1_000_000


@message(11)
@dataclass(frozen=True, slots=True)
class DrainUpdate(Message):
    """An upstream of the sender starts or stops draining.

    :param upstream: identity of the upstream.
    :param draining: whether it accepts no new requests.
    """

    upstream: str
    draining: bool


@message(12)
@dataclass(frozen=True, slots=True)
class ConfigUpdate(Message):
    """A published configuration, forwarded between nodes.

    :param version: version assigned by the platform.
    :param files: names and contents of the files.
    """

    version: int
    files: HeaderPairs


@message(13)
@dataclass(frozen=True, slots=True)
class CrashReport(Message):
    """An upstream crashed with a request of this fingerprint in flight.

    :param service: service of the upstream.
    :param fingerprint: hash of the request.
    :param upstream: identity of the upstream.
    :param age_ms: time since the crash in milliseconds.
    """

    service: str
    fingerprint: int
    upstream: str
    age_ms: int


@message(14)
@dataclass(frozen=True, slots=True)
class UpstreamStatus(Message):
    """Load and health of an upstream, sent before each answer.

    :param upstream: identity of the upstream.
    :param operation: operation that the health figures refer to.
    :param wait_ms: expected queue wait in milliseconds of a short request
        that arrives now.
    :param free: number of free slots.
    :param run_ms: mean run time of short requests, in milliseconds.
    :param count: number of recent outcomes behind the health figures.
    :param failures: number of failures among these outcomes.
    :param median_ms: median run time of the successes in milliseconds, 0 if
        unknown.
    :param least_ms: minimum of the last few run times in milliseconds, 0 if
        unknown.
    :param cusum: CUSUM statistic that detects failing, in hundredths.
    :param avoid_ms: time in milliseconds for which entries should avoid the
        upstream, 0 if they may use it.
    :param draining: whether it accepts no new requests.
    :param risk: probability that a request fails there now, in thousandths.
    :param refused_from: most urgent priority that gets no place in its queue;
        above all priorities if it takes any.
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
    refused_from: int = optional_field(ALL_PRIORITIES)


@message(15)
@dataclass(frozen=True, slots=True)
class VmListSnapshot(Message):
    """The platform's complete VM list, forwarded between nodes.

    :param version: version assigned by the platform.
    :param text: the list in the JSON format of the platform.
    :param generation: generation that the version belongs to, 0 if unknown.
    """

    version: int
    text: str
    generation: int = optional_field(0)


@message(19)
@dataclass(frozen=True, slots=True)
class VmListDelta(Message):
    """The difference between two versions of the VM list.

    :param base: version of the earlier list.
    :param version: version of the later list.
    :param text: changed VMs and names of removed VMs, as JSON.
    :param generation: generation that both versions belong to, 0 if unknown.
    """

    base: int
    version: int
    text: str
    generation: int = optional_field(0)


@message(20)
@dataclass(frozen=True, slots=True)
class VmListRequest(Message):
    """Requests the VM list, complete or as a difference.

    :param version: version of the sender's own list.
    :param generation: generation that the version belongs to, 0 if unknown.
    """

    version: int
    generation: int = optional_field(0)


@message(21)
@dataclass(frozen=True, slots=True)
class ConfigRequest(Message):
    """Requests the receiver's active configuration.

    :param version: version of the sender's own configuration.
    :param digest: leading bits of the digest of that configuration.
    """

    version: int
    digest: int


__all__ = (
    'ALL_PRIORITIES',
    'ConfigRequest',
    'ConfigUpdate',
    'CrashReport',
    'DrainUpdate',
    'UpstreamStatus',
    'VmListDelta',
    'VmListRequest',
    'VmListSnapshot',
)
