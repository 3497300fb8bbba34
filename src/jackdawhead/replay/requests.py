"""A caller's request during a replay, and its sendings."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Final

from ..policy.work import Work

if TYPE_CHECKING:
    from ..config.model import Operation
    from ..policy.loads import UpstreamLoad
    from ..policy.service_router import ServiceRouter
    from ..trace.records import ArrivalRecord
    from ..policy.tries import Tries
    from .homes import HomeJob

_work_ids: Final = count(1)


@dataclass(slots=True, eq=False)
class ReplayCopy:
    """One sending of a request.

    :param load: upstream it was sent to.
    """

    load: UpstreamLoad
    sent_ms: float
    job: HomeJob | None = None


@dataclass(slots=True)
class ReplayRequest:
    """A caller's request on its way.

    :param tried: upstreams it was sent to, or that it may have crashed.
    :param hedges: second copies that were sent.
    :param is_reserved: whether a busy home shall refuse it.
    :param copies: sendings that are not answered yet.
    """

    arrival: ArrivalRecord
    router: ServiceRouter
    operation: Operation
    arrived_ms: float
    tried: Tries
    attempts: int = 0
    hedges: int = 0
    is_reserved: bool = False
    copies: list[ReplayCopy] = field(default_factory=list)

    @property
    def deadline_at_ms(self) -> float:
        """Virtual time at which it is given up."""
        return self.arrived_ms + self.operation.deadline_ms

    def work(self, arrived_ms: float) -> Work:
        """Return the work of one sending, with an id of its own.

        :param arrived_ms: virtual time of its arrival at the home.
        """
        return Work(
            next(_work_ids),
            self.operation.name,
            self.operation.work_class,
            self.arrival.organisation,
            arrived_ms,
            self.deadline_at_ms,
            not self.is_reserved,
        )


__all__ = ('ReplayCopy', 'ReplayRequest')
