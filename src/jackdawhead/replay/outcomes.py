"""Builds the records of a replay's result."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..policy.detection import Health
from ..policy.resend import AttemptEnd
from .result import FinishedRequest, HealthyShare

if TYPE_CHECKING:
    from ..policy.service_router import ServiceRouter
    from .home_answers import HomeAnswer
    from .requests import ReplayRequest


def finished_request(
    request: ReplayRequest,
    answer: HomeAnswer,
    now_ms: float,
) -> FinishedRequest:
    """Return the record of a finished request.

    :param request: the request.
    :param answer: answer of the last attempt.
    :param now_ms: virtual time in milliseconds.
    """
    spent_ms = now_ms - request.arrived_ms
    return FinishedRequest(
        request.router.service.name,
        request.operation,
        request.arrival.organisation,
        request.arrived_ms,
        now_ms,
        max(0, spent_ms - answer.run_ms),
        request.attempts + request.hedges,
        answer.outcome,
        answer.reason,
        answer.is_good,
    )


def healthy_share(
    router: ServiceRouter,
    node: str,
    now_ms: float,
) -> HealthyShare:
    """Return the share of a service's upstreams that an entry sees as healthy.

    :param router: the entry's router for the service.
    :param node: VM of the entry.
    :param now_ms: virtual time in milliseconds.
    """
    members = max(1, router.member_count)
    share = router.count_of(Health.HEALTHY) / members
    return HealthyShare(now_ms, node, router.service.name, share)


def attempt_end(answer: HomeAnswer) -> AttemptEnd:
    """Convert an answer to the form that the resend rules expect.

    :param answer: answer of the home.
    """
    is_error = answer.reason is None and not answer.is_good
    return AttemptEnd(answer.outcome, answer.reason, is_error)


__all__ = ('attempt_end', 'finished_request', 'healthy_share')
