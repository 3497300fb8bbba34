"""Logs what a stopping node takes, refuses and leaves unfinished."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import monotonic_ms
from ..logs import log_event

if TYPE_CHECKING:
    from ..policy.stopping import Offer, StopPlan
    from .entry.call_state import Call
    from .http_server import RequestInProgress


def log_stop_decision(
    call: Call, plan: StopPlan, offer: Offer, *, is_taken: bool
) -> None:
    """Log whether an attempt is made while this node stops.

    :param call: the request.
    :param plan: schedule of the stop.
    :param offer: what is known of the time that the request takes.
    :param is_taken: whether the attempt is made.
    """
    now_ms = monotonic_ms()
    log_event(
        'stop-decision',
        id=call.request_id,
        taken=is_taken,
        runs=call.runs,
        arrived_ms=int(plan.elapsed_ms(call.arrived_at_ms)),
        since_signal_ms=int(plan.elapsed_ms(now_ms)),
        estimate_ms=int(offer.estimate_ms),
        large=offer.may_be_read_slowly,
        bound_ms=int(offer.bound_ms),
        stop_left_ms=int(plan.remaining_ms(now_ms)),
    )


def log_stop_read(
    request_id: str, plan: StopPlan | None, began_at_ms: float
) -> None:
    """Log a request that is refused while its body is being read.

    :param request_id: identity that the caller gave the request.
    :param plan: schedule of the stop.
    :param began_at_ms: monotonic time at which its head was read.
    """
    if plan is None:
        return
    now_ms = monotonic_ms()
    log_event(
        'stop-refused-unread',
        id=request_id,
        arrived_ms=int(plan.elapsed_ms(began_at_ms)),
        since_signal_ms=int(plan.elapsed_ms(now_ms)),
        stop_left_ms=int(plan.remaining_ms(now_ms)),
    )


def log_unfinished(request: RequestInProgress, plan: StopPlan) -> None:
    """Log a request that is in progress at the end of the stop.

    :param request: the request and its progress.
    :param plan: schedule of the stop.
    """
    now_ms = monotonic_ms()
    log_event(
        'stop-unfinished',
        id=request.request_id,
        progress=request.progress,
        arrived_ms=int(plan.elapsed_ms(request.began_at_ms)),
        since_signal_ms=int(plan.elapsed_ms(now_ms)),
    )


def log_stop_end(plan: StopPlan, requests: int, attempts: int) -> None:
    """Log the end of a stop.

    :param plan: schedule of the stop.
    :param requests: number of requests in progress.
    :param attempts: number of attempts in flight.
    """
    log_event(
        'stop-ended',
        since_signal_ms=int(plan.elapsed_ms(monotonic_ms())),
        requests=requests,
        attempts=attempts,
    )


__all__ = (
    'log_stop_decision',
    'log_stop_end',
    'log_stop_read',
    'log_unfinished',
)
