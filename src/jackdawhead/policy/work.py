"""Requests for a slot of an upstream, and the verdicts on them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.model import WorkClass


@dataclass(frozen=True, slots=True)
class Work:
    """A request that is queued for a slot or holds one.

    :param work_id: unique within the upstream's queue.
    :param organisation: organisation that the work is done for; slots are
        shared fairly between organisations.
    :param arrived_at_ms: monotonic time of arrival.
    :param deadline_at_ms: monotonic time at which the work is given up.
    :param may_wait: whether the work may be queued. If not, it is refused as
        busy when no slot is free, so that its entry can try another upstream.
    :param is_whole: whether its entry has the whole body. If not, the run takes
        as long as the caller, and it can't be sent to another upstream.
    :param priority: rank under overload, 0 being the most important.
    """

    work_id: int
    operation: str
    work_class: WorkClass
    organisation: str
    arrived_at_ms: float
    deadline_at_ms: float
    may_wait: bool = True
    is_whole: bool = True
    priority: int = 0


class Verdict(StrEnum):
    """Decision of an admission rule.

    ``START`` runs the work, ``WAIT`` queues it, ``REFUSE`` sheds it, and
    ``BUSY`` refuses work that may not wait.
    """

    START = 'start'
    WAIT = 'wait'
    REFUSE = 'refuse'
    BUSY = 'busy'


@dataclass(frozen=True, slots=True)
class Admission:
    """Verdict on a request for a slot.

    :param retry_after_ms: for refusals, time after which the caller may retry.
    """

    verdict: Verdict
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class Displaced:
    """Queued work that gave way to work of more value, and has not run.

    :param retry_after_ms: time after which the caller may retry.
    """

    work: Work
    retry_after_ms: int = 0


__all__ = ('Admission', 'Displaced', 'Verdict', 'Work')
