"""What a replay notes of a request that ended, and of the upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..policy.detection import Health
from ..policy.resend import AttemptEnd
from .result import Finished, HealthyShare

if TYPE_CHECKING:
    from ..policy.service_router import ServiceRouter
    from .homes import HomeAnswer
    from .requests import ReplayRequest


def finished(
    request: ReplayRequest,
    answer: HomeAnswer,
    now_ms: float,
) -> Finished:
    """Return the record of a request that ended.

    :param answer: its last answer.
    :param now_ms: time of the replay.
    """
    spent_ms = now_ms - request.arrived_ms
    return Finished(
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
    """Return the share of a service's upstreams that a node takes for well.

    :param router: the node's view.
    :param node: VM of the entry.
    :param now_ms: time of the replay.
    """
    members = max(1, router.member_count)
    share = router.count_of(Health.WELL) / members
    return HealthyShare(now_ms, node, router.service.name, share)


def end_of(answer: HomeAnswer) -> AttemptEnd:
    """Return how an attempt ended, as the resend rules see it.

    :param answer: of the home.
    """
    is_error = answer.reason is None and not answer.is_good
    return AttemptEnd(answer.outcome, answer.reason, is_error)


__all__ = ('end_of', 'finished', 'healthy_share')
