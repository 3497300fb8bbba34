"""State of a caller's request during a replay."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Final

from ..policy.levels import by_level, may_look_elsewhere
from ..policy.placement import routing_query, uses_risk_balancer
from ..policy.work import Work

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Operation
    from ..policy.loads import RoutingQuery, UpstreamLoad
    from ..policy.resend import AttemptEnd
    from ..policy.service_router import ServiceRouter
    from ..policy.tried_upstreams import TriedUpstreams
    from ..reasons import Reason
    from ..trace.records import ArrivalRecord
    from .home_answers import HomeJob

_work_ids: Final = count(1)


@dataclass(slots=True, eq=False)
class ReplayCopy:
    """A copy of a request that was sent to one upstream.

    :param load: the upstream's load, as the entry sees it.
    :param sent_ms: virtual time at which it was sent, in milliseconds.
    :param job: the request at the home, none once it is cancelled.
    """

    load: UpstreamLoad
    sent_ms: float
    job: HomeJob | None = None


@dataclass(slots=True, eq=False)
class ReplayRequest:
    """A caller's request in progress.

    :param tried: upstreams it was sent to, or that it may have crashed.
    :param attempts: number of attempts, not counting hedges.
    :param hedges: number of hedges sent.
    :param is_reserved: whether a redirect is reserved in the retry budget, so
        that a busy home refuses the request instead of queueing it.
    :param copies: copies that have not been answered yet.
    """

    arrival: ArrivalRecord
    router: ServiceRouter
    operation: Operation
    arrived_ms: float
    tried: TriedUpstreams
    attempts: int = 0
    hedges: int = 0
    is_reserved: bool = False
    copies: list[ReplayCopy] = field(default_factory=list)

    @property
    def deadline_at_ms(self) -> float:
        """Virtual time of the deadline, in milliseconds."""
        return self.arrived_ms + self.operation.deadline_ms

    def note_refused(
        self, upstream: str, reason: Reason, now_ms: float
    ) -> None:
        """Record that an upstream's home has refused a copy.

        :param upstream: identity of the upstream.
        :param reason: reason that the home gave.
        :param now_ms: virtual time, in milliseconds.
        """
        name = self.operation.name
        self.router.note_refusal(upstream, name, reason, now_ms)
        self.tried.note_refused(
            upstream, reason, may_return=uses_risk_balancer(self.router)
        )

    def query(self, now_ms: float, rng: Random) -> RoutingQuery | None:
        """Return the routing query for the next attempt.

        :param now_ms: virtual time, in milliseconds.
        :param rng: source of randomness.
        :returns: the query, or None if no upstream would take the request.
        """
        query = routing_query(
            self.router,
            self.operation,
            self.tried.excluded,
            now_ms,
            may_repeat=True,
        )
        return by_level(query, self.router, self.operation.priority, rng)

    def may_resend(self, end: AttemptEnd) -> bool:
        """Return whether one more attempt is allowed, and take its token.

        :param end: end of the previous attempt.
        """
        if may_look_elsewhere(end, self.attempts, self.router):
            return True
        return self.router.budget.may_resend(end, self.attempts)

    def work(self, arrived_ms: float) -> Work:
        """Return the unit of work for one copy, with a unique id.

        :param arrived_ms: virtual time of arrival at the home.
        """
        return Work(
            next(_work_ids),
            self.operation.name,
            self.operation.work_class,
            self.arrival.organisation,
            arrived_ms,
            self.deadline_at_ms,
            not self.is_reserved,
            priority=self.operation.priority,
        )


__all__ = ('ReplayCopy', 'ReplayRequest')
