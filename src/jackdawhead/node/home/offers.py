"""Checks of a request before it is offered to the queue of an upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import monotonic_ms
from ...reasons import Reason

if TYPE_CHECKING:
    from ...policy.home_stop import HomeStop
    from ...policy.upstream_state import UpstreamState
    from .job import Job


def refusal_reason(
    job: Job, state: UpstreamState, stop: HomeStop
) -> Reason | None:
    """Return why a new request may neither run nor be queued, if so.

    :param job: the request.
    :param state: state of the upstream.
    :param stop: planned stop of the node, if any.
    """
    now_ms = monotonic_ms()
    if state.is_draining(now_ms):
        return Reason.DRAINING
    if not stop.accepts(state.admission, job.work, now_ms):
        return Reason.NODE_LEAVING
    if not state.accepts_risk(job.submit.risk_limit, now_ms):
        return Reason.RISKY
    return None


__all__ = ('refusal_reason',)
