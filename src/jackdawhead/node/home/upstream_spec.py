"""What a home is told about one of its upstreams, and what it reports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...config.model import HeaderNames, Service
    from ...config.settings import Address
    from ...policy.upstream_state import FinishedRun
    from ...wire.messages import UpstreamStatus
    from .started_runs import StartedRuns


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """Identity, address and policy of an upstream.

    :param name: identity, ``vm/service`` or ``vm/start/service``.
    :param instance: identity of the instance that must run the requests.
    """

    name: str
    address: Address
    service: Service
    headers: HeaderNames
    instance: str = ''


@dataclass(frozen=True, slots=True)
class HomeEvents:
    """Callbacks of an upstream.

    :param on_drain: called when the upstream starts or stops draining.
    :param on_queued: called when a request is queued.
    :param on_run_end: called with upstream, fingerprint and end of each run.
    :param on_status: called with a report that all entries need at once.
    :param handled_until_ms: time up to which ends of runs are known.
    :param runs: runs in progress at all upstreams of the home.
    """

    on_drain: Callable[[str, bool], None]
    on_queued: Callable[[], None]
    on_run_end: Callable[[str, int, FinishedRun], None]
    on_status: Callable[[UpstreamStatus], None]
    handled_until_ms: Callable[[], float]
    runs: StartedRuns


__all__ = ('HomeEvents', 'UpstreamSpec')
