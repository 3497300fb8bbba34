"""Compares loads that reach an upstream by different ways."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Final

import gevent

from .client import Call
from .load import LoadPlan, run_load
from .metrics_reader import NodeUsage, read_usage

if TYPE_CHECKING:
    from ..config.settings import Address

_BYTES_PER_MB: Final = 1_000_000
_PERCENT: Final = 100
_P50: Final = 50
_P99: Final = 99

TARGET_ADDED_P99_MS: Final = 4.0
TARGET_CONTROL_CORE_PERCENT: Final = 1.4
TARGET_RESIDENT_MB: Final = 64.0
TARGET_CONTROL_BYTES_PER_S: Final = 7000.0


@dataclass(frozen=True, slots=True)
class Way:
    """One way to an upstream.

    :param name: for the table.
    :param caller_address: where requests go.
    :param admin_addresses: nodes that the requests cross.
    """

    name: str
    caller_address: Address
    admin_addresses: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True)
class WayFigures:
    """Figures of one way.

    :param sent: requests.
    :param good: answers below 500.
    :param cpu_us_per_request: processor time of all nodes on the way.
    :param resident_mb: of the largest node.
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
    """Cost of a node that serves nothing.

    :param core_percent: share of one core.
    :param bytes_per_s: on links to other nodes, both directions.
    :param platform_reads_per_s: calls to the platform.
    """

    core_percent: float
    bytes_per_s: float
    platform_reads_per_s: float
    resident_mb: float


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """How hard and how long to load each way."""

    target: str
    rate_per_s: float
    duration_s: float
    seed: int


def measure_way(way: Way, settings: LoadSettings) -> WayFigures:
    """Load one way and return its figures.

    :param way: where to send.
    :param settings: how much.
    :raises OSError: if a node cannot be reached.
    """
    before = [read_usage(each) for each in way.admin_addresses]
    plan = LoadPlan(
        (way.caller_address,),
        lambda number: Call('GET', f'{settings.target}{number}'),
        settings.rate_per_s,
        settings.duration_s,
    )
    found = run_load(plan, Random(settings.seed))
    after = [read_usage(each) for each in way.admin_addresses]
    sent = sum(found.answers.values())
    good = int(found.histogram.get_total_count())
    return WayFigures(
        name=way.name,
        sent=sent,
        good=good,
        p50_ms=found.percentile_ms(_P50),
        p99_ms=found.percentile_ms(_P99),
        cpu_us_per_request=_cpu_us(before, after) / max(1, sent),
        resident_mb=_largest_mb(after),
    )


def measure_idle(admin_address: Address, duration_s: float) -> IdleFigures:
    """Watch a node that serves nothing.

    :param admin_address: where its metrics are.
    :param duration_s: how long.
    :raises OSError: if it cannot be reached.
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
        resident_mb=after.resident_bytes / _BYTES_PER_MB,
    )


def _cpu_us(before: list[NodeUsage], after: list[NodeUsage]) -> float:
    spent_s = sum(
        new.cpu_s - old.cpu_s for old, new in zip(before, after, strict=True)
    )
    return spent_s * _BYTES_PER_MB


def _largest_mb(usages: list[NodeUsage]) -> float:
    largest = max((each.resident_bytes for each in usages), default=0)
    return largest / _BYTES_PER_MB


__all__ = (
    'IdleFigures',
    'LoadSettings',
    'Way',
    'WayFigures',
    'measure_idle',
    'measure_way',
)
