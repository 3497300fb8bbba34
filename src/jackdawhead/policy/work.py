"""Work that asks for a slot of an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.model import WorkClass


@dataclass(frozen=True, slots=True)
class Work:
    """A request that waits for a slot or holds one.

    :param work_id: unique in its queue.
    :param organisation: on whose behalf it runs; shares are fair between
        organisations.
    :param arrived_at_ms: monotonic time of arrival.
    :param deadline_at_ms: monotonic time at which it is given up.
    :param may_wait: whether to queue it; otherwise it is refused while no
        slot is free, so that its entry can try another upstream.
    """

    work_id: int
    operation: str
    work_class: WorkClass
    organisation: str
    arrived_at_ms: float
    deadline_at_ms: float
    may_wait: bool = True


class Verdict(StrEnum):
    """Answer of an admission rule."""

    START = 'start'
    WAIT = 'wait'
    REFUSE = 'refuse'
    BUSY = 'busy'


@dataclass(frozen=True, slots=True)
class Admission:
    """Verdict on a piece of work.

    :param retry_after_ms: for refusals, when to come back.
    """

    verdict: Verdict
    retry_after_ms: int = 0


__all__ = ('Admission', 'Verdict', 'Work')
