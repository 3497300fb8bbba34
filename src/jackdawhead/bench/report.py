"""Compares the cost of different paths to an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Final

import gevent

from .client import HttpRequest
from .load import LoadPlan, run_load
from .metrics_reader import NodeUsage, read_usage

if TYPE_CHECKING:
    from ..config.settings import Address

_MILLION: Final = 1_000_000
_PERCENT: Final = 100
_MEDIAN_PERCENTILE: Final = 50
_TAIL_PERCENTILE: Final = 99

TARGET_ADDED_P99_MS: Final = 4.0
TARGET_CONTROL_CORE_PERCENT: Final = 1.4
TARGET_RESIDENT_MB: Final = 64.0
TARGET_CONTROL_BYTES_PER_S: Final = 7000.0


@dataclass(frozen=True, slots=True)
class Way:
    """A path to an upstream, either directly or through nodes.

    :param name: name in the report.
    :param caller_address: address that requests are sent to.
    :param admin_addresses: admin addresses of the nodes on the path.
    """

    name: str
    caller_address: Address
    admin_addresses: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class WayFigures:
    """Measurements of one path to an upstream.

    :param sent: number of requests.
    :param good: number of responses with a status below 500.
    :param cpu_us_per_request: CPU time per request of all nodes on the path,
        in microseconds.
    :param resident_mb: resident memory of the largest node, in megabytes.
    """

    name: str
    sent: int
    good: int
    p50_ms: float
    p99_ms: float
    cpu_us_per_request: float
    resident_mb: float


@dataclass(frozen=True, slots=True)
class IdleFigures:
    """Resource usage of a node without requests.

    :param core_percent: CPU time as a share of one core.
    :param bytes_per_s: bytes per second on links to other nodes, in both
        directions.
    :param platform_reads_per_s: read requests to the platform per second.
    :param resident_mb: resident memory in megabytes.
    """

    core_percent: float
    bytes_per_s: float
    platform_reads_per_s: float
    resident_mb: float


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Parameters of the load on each path.

    :param target: path prefix; the sequence number of the request is added.
    :param seed: seed of the arrival times.
    """

    target: str
    rate_per_s: float
    duration_s: float
    seed: int


def measure_way(way: Way, settings: LoadSettings) -> WayFigures:
    """Send a load over one path and measure it.

    :param way: the path.
    :param settings: parameters of the load.
    :raises OSError: if a node cannot be reached.
    """
    before = [read_usage(each) for each in way.admin_addresses]
    plan = LoadPlan(
        (way.caller_address,),
        lambda number: HttpRequest('GET', f'{settings.target}{number}'),
        settings.rate_per_s,
        settings.duration_s,
    )
    result = run_load(plan, Random(settings.seed))
    after = [read_usage(each) for each in way.admin_addresses]
    sent = sum(result.answers.values())
    good = int(result.histogram.get_total_count())
    return WayFigures(
        name=way.name,
        sent=sent,
        good=good,
        p50_ms=result.percentile_ms(_MEDIAN_PERCENTILE),
        p99_ms=result.percentile_ms(_TAIL_PERCENTILE),
        cpu_us_per_request=_cpu_us(before, after) / max(1, sent),
        resident_mb=_largest_mb(after),
    )


def measure_idle(admin_address: Address, duration_s: float) -> IdleFigures:
    """Measure the resource usage of a node without requests.

    :param admin_address: admin address of the node.
    :param duration_s: duration of the measurement in seconds.
    :raises OSError: if the node cannot be reached.
    """
    before = read_usage(admin_address)
    gevent.sleep(duration_s)
    after = read_usage(admin_address)
    return IdleFigures(
        core_percent=(after.cpu_s - before.cpu_s) / duration_s * _PERCENT,
        bytes_per_s=(after.stream_bytes - before.stream_bytes) / duration_s,
        platform_reads_per_s=(
            (after.platform_reads - before.platform_reads) / duration_s
        ),
        resident_mb=after.resident_bytes / _MILLION,
    )


def _cpu_us(before: list[NodeUsage], after: list[NodeUsage]) -> float:
    spent_s = sum(
        new.cpu_s - old.cpu_s for old, new in zip(before, after, strict=True)
    )
    return spent_s * _MILLION


def _largest_mb(usages: list[NodeUsage]) -> float:
    largest = max((each.resident_bytes for each in usages), default=0)
    return largest / _MILLION


__all__ = (
    'IdleFigures',
    'LoadSettings',
    'Way',
    'WayFigures',
    'measure_idle',
    'measure_way',
)
