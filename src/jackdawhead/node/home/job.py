"""A request at the node that owns the slots of its upstream."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from gevent.queue import SimpleQueue

from ...clock import monotonic_ms
from ...outcome import Outcome
from ...wire.header_pairs import first_header
from ...wire.messages import Message, Refusal
from ..credit import CreditGate

if TYPE_CHECKING:
    from gevent import Greenlet

    from ...config.model import Operation
    from ...policy.work import Work
    from ...reasons import Reason
    from ...wire.messages import Submit

_LATE_MS: Final = 20


@dataclass(slots=True, eq=False)
class Job:
    """One admitted, waiting or running request.

    :param operation: as configured when the request came.
    :param deliver: sends a message to the entry.
    :param body: chunks of the request's body that follow the first.
    :param credit: gate of the answer's body.
    :param running: whether its greenlet has begun.
    :param has_response: whether its connection is new or has carried a sign of
        this answer, so that a delay is the upstream's own.
    :param started_ms: monotonic time at which it did.
    :param cancelled: whether the caller no longer waits.
    :param caller_id: identity that the caller gave the request, for the log.
    """

    submit: Submit
    operation: Operation
    work: Work
    deliver: Callable[[Message], None]
    body: SimpleQueue = field(default_factory=SimpleQueue)
    credit: CreditGate = field(default_factory=CreditGate)
    greenlet: Greenlet | None = None
    running: bool = False
    has_response: bool = False
    started_ms: float = 0
    cancelled: bool = False
    caller_id: str = ''

    @property
    def request_id(self) -> int:
        """Identity of the request on its stream."""
        return self.submit.request_id

    @property
    def is_late(self) -> bool:
        """Whether its deadline is about to pass, or has passed."""
        return self.work.deadline_at_ms - monotonic_ms() < _LATE_MS

    def header(self, name: str) -> str | None:
        """Return the value of a header of the caller's request.

        :param name: in any case.
        """
        return first_header(self.submit.headers, name)

    def refusal(
        self,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: int = 0,
    ) -> Refusal:
        """Return the message that ends the request without an answer.

        :param outcome: whether it ran.
        :param reason: why there is no whole answer.
        :param retry_after_ms: when to come back.
        """
        return Refusal(
            self.request_id,
            outcome.value,
            reason.value,
            retry_after_ms,
        )

    def refuse(self, reason: Reason, retry_after_ms: int = 0) -> None:
        """End a request that has not been started.

        :param reason: why it is not run.
        :param retry_after_ms: when to come back.
        """
        self.deliver(self.refusal(Outcome.NOT_RUN, reason, retry_after_ms))


__all__ = ('Job',)
