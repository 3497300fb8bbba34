"""Parameters of one attempt, for the balancer and for the upstream's home.

Load pattern: upstreams that fail in spells, while demand exceeds the capacity
of the healthy ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .nearest import NEAREST_BALANCER, RISK_BALANCERS
from .loads import RoutingQuery
from .risk_policy import TrialRule, failure_cost_ms, risk_limit
from .room import free_slots
from .spell_estimate import RISK_SCALE

if TYPE_CHECKING:
    from ..config.model import Operation
    from .loads import UpstreamLoad
    from .service_router import ServiceRouter


def uses_risk_balancer(router: ServiceRouter) -> bool:
    """Return whether the service avoids upstreams by their risk of failure.

    Otherwise a detector may eject upstreams, and needs the outcomes of their
    work as evidence.

    :param router: router of the service.
    """
    return router.service.balancer in RISK_BALANCERS


def routing_query(
    router: ServiceRouter,
    operation: Operation,
    tried: frozenset[str],
    now_ms: float,
    *,
    may_repeat: bool,
) -> RoutingQuery:
    """Return the routing query for the next attempt of a request.

    :param router: router of the service.
    :param operation: operation of the request.
    :param tried: upstreams to exclude.
    :param now_ms: monotonic time.
    :param may_repeat: whether the route allows another attempt after this one.
    """
    has_shortage = router.shortage.is_active(now_ms)
    trial = TrialRule(
        operation,
        may_repeat and router.budget.has_retry,
        has_shortage,
        router.service.healthy_floor_percent,
    )
    return RoutingQuery(
        now_ms,
        tried,
        failure_cost_ms(operation, has_shortage=has_shortage),
        router.transfer_sizes.usual(operation.name),
        trial,
    )


def may_redirect(
    router: ServiceRouter, load: UpstreamLoad, now_ms: float
) -> bool:
    """Return whether a busy home may refuse an attempt, for a retry elsewhere.

    By the ``nearest`` balancer, a home that is known to be full was chosen
    since a wait there is shorter than the way to another one.

    :param router: router of the service.
    :param load: upstream that was chosen.
    :param now_ms: monotonic time.
    """
    is_wait_chosen = (
        router.service.balancer == NEAREST_BALANCER and router.ways.has_regions
    )
    return not is_wait_chosen or free_slots(load, now_ms) > 0


def home_risk_limit(
    router: ServiceRouter,
    operation: Operation,
    load: UpstreamLoad,
    now_ms: float,
    *,
    attempt: int,
    has_others: bool,
) -> int:
    """Return the risk above which the home refuses the attempt, in thousandths.

    Without such a balancer homes accept any risk.

    :param router: router of the service.
    :param operation: operation of the request.
    :param load: upstream that was chosen.
    :param now_ms: monotonic time.
    :param attempt: number of the attempt, from 1.
    :param has_others: whether there are upstreams that were not tried.
    """
    if not uses_risk_balancer(router):
        return RISK_SCALE
    has_shortage = router.shortage.is_active(now_ms)
    return risk_limit(
        operation,
        attempt,
        has_others=has_others,
        known_risk=load.risk_now(now_ms) if has_shortage else 0,
    )


__all__ = (
    'home_risk_limit',
    'may_redirect',
    'routing_query',
    'uses_risk_balancer',
)
