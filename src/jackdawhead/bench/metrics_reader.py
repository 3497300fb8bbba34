"""Reads processor time, memory and stream bytes of a running node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from prometheus_client.parser import text_string_to_metric_families

from .client import Call, CallerClient

if TYPE_CHECKING:
    from ..config.settings import Address

_TIMEOUT_S: Final = 5.0
_CPU: Final = 'process_cpu_seconds_total'
_MEMORY: Final = 'process_resident_memory_bytes'
_STREAM: Final = 'jackdawhead_stream_bytes_total'
_READS: Final = 'jackdawhead_platform_reads_total'


@dataclass(frozen=True, slots=True)
class NodeUsage:
    """Usage of a node up to now.

    :param cpu_s: processor time in seconds.
    :param stream_bytes: sent and received on links to other nodes.
    :param platform_reads: calls to the platform.
    """

    cpu_s: float
    resident_bytes: float
    stream_bytes: float
    platform_reads: float


def read_usage(admin_address: Address) -> NodeUsage:
    """Return the usage of a node.

    :param admin_address: where its metrics are.
    :raises OSError: if it cannot be reached.
    """
    client = CallerClient(admin_address, _TIMEOUT_S)
    try:
        body = client.send(Call('GET', '/metrics')).body.decode()
    finally:
        client.close()
    samples = {
        sample.name: sample.value
        for family in text_string_to_metric_families(body)
        for sample in family.samples
    }
    return NodeUsage(
        samples[_CPU],
        samples[_MEMORY],
        samples[_STREAM],
        samples[_READS],
    )


__all__ = ('NodeUsage', 'read_usage')
