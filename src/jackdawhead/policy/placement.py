"""What an attempt asks of the balancer and of the home, for each request.

Load pattern: upstreams that fail in spells, beside more work than the others
can do.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .balancers import RISK_BALANCER
from .caution import failure_cost_ms, risk_limit
from .loads import RoutingQuery
from .spells import RISK_SCALE

if TYPE_CHECKING:
    from ..config.model import Operation
    from .service_router import ServiceRouter


def weighs_risk(router: ServiceRouter) -> bool:
    """Return whether upstreams are avoided for their risk of failure.

    Where a detector ejects them instead, it needs the outcomes.

    :param router: of the service.
    """
    return router.service.balancer == RISK_BALANCER


def routing_query(
    router: ServiceRouter,
    operation: Operation,
    tried: frozenset[str],
    now_ms: float,
    *,
    may_repeat: bool,
) -> RoutingQuery:
    """Return what the next attempt of a request asks for.

    :param router: of the service.
    :param operation: of the request.
    :param tried: upstreams that are not to be chosen again.
    :param now_ms: monotonic time.
    :param may_repeat: whether its route allows another attempt.
    """
    may_try = may_repeat and router.budget.has_retry
    return RoutingQuery(
        now_ms,
        tried,
        failure_cost_ms(operation),
        router.sizes.usual(operation.name),
        operation if may_try else None,
    )


def home_risk_limit(
    router: ServiceRouter,
    operation: Operation,
    attempt: int,
    *,
    has_others: bool,
) -> int:
    """Return the risk above which a home shall refuse, in thousandths.

    :param router: of the service.
    :param operation: of the request.
    :param attempt: its number, from 1.
    :param has_others: whether an upstream is left that was not tried.
    """
    if not weighs_risk(router):
        return RISK_SCALE
    return risk_limit(operation, attempt, has_others=has_others)


__all__ = ('home_risk_limit', 'routing_query', 'weighs_risk')
