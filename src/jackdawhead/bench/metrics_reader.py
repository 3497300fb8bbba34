"""Reads the resource usage of a running node from its metrics."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from prometheus_client.parser import text_string_to_metric_families

from .client import HttpClient, HttpRequest

if TYPE_CHECKING:
    from ..config.settings import Address

_TIMEOUT_S: Final = 5.0
_CPU_METRIC: Final = 'process_cpu_seconds_total'
_MEMORY_METRIC: Final = 'process_resident_memory_bytes'
_STREAM_BYTES_METRIC: Final = 'jackdawhead_stream_bytes_total'
_PLATFORM_READS_METRIC: Final = 'jackdawhead_platform_reads_total'


@dataclass(frozen=True, slots=True)
class NodeUsage:
    """Resource usage of a node since it started.

    :param cpu_s: CPU time in seconds.
    :param resident_bytes: current resident memory.
    :param stream_bytes: bytes sent and received on links to other nodes.
    :param platform_reads: number of read requests to the platform.
    """

    cpu_s: float
    resident_bytes: float
    stream_bytes: float
    platform_reads: float


def read_usage(admin_address: Address) -> NodeUsage:
    """Read the resource usage of a node.

    :param admin_address: admin address of the node.
    :raises OSError: if the node cannot be reached.
    """
    client = HttpClient(admin_address, _TIMEOUT_S)
    try:
        body = client.send(HttpRequest('GET', '/metrics')).body.decode()
    finally:
        client.close()
    samples = {
        sample.name: sample.value
        for family in text_string_to_metric_families(body)
        for sample in family.samples
    }
    return NodeUsage(
        samples[_CPU_METRIC],
        samples[_MEMORY_METRIC],
        samples[_STREAM_BYTES_METRIC],
        samples[_PLATFORM_READS_METRIC],
    )


__all__ = ('NodeUsage', 'read_usage')
