"""A request at the home of its upstream."""

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

_DEADLINE_MARGIN_MS: Final = 20


@dataclass(slots=True, eq=False)
class Job:
    """One admitted, queued or running request.

    :param submit: message with which the entry submitted the request.
    :param operation: operation as configured when the request arrived.
    :param work: the request as the admission queue sees it.
    :param deliver: sends a message to the entry.
    :param body: chunks of the request body after the first.
    :param credit: flow control of the answer's body.
    :param greenlet: greenlet that runs the request, once it is started.
    :param running: whether the greenlet has begun to run.
    :param is_connection_live: whether the connection is new or has carried the
        head of this answer, so that a delay is due to the upstream and not to
        a pooled connection that has failed.
    :param started_ms: monotonic time at which the run began.
    :param cancelled: whether the request was cancelled before its run began.
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
    is_connection_live: bool = False
    started_ms: float = 0
    cancelled: bool = False
    caller_id: str = ''

    @property
    def request_id(self) -> int:
        """Identity of the request on the link to its entry."""
        return self.submit.request_id

    @property
    def is_late(self) -> bool:
        """Whether the deadline has passed or passes within 20 ms."""
        return self.work.deadline_at_ms - monotonic_ms() < _DEADLINE_MARGIN_MS

    def header(self, name: str) -> str | None:
        """Return the value of a header of the caller's request.

        :param name: name of the header, in any case.
        """
        return first_header(self.submit.headers, name)

    def refusal(
        self,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: int = 0,
    ) -> Refusal:
        """Return the message that ends the request without an answer.

        :param outcome: whether the request ran.
        :param reason: why there is no complete answer.
        :param retry_after_ms: time after which to retry, 0 to give none.
        """
        return Refusal(
            self.request_id,
            outcome.value,
            reason.value,
            retry_after_ms,
        )

    def refuse(self, reason: Reason, retry_after_ms: int = 0) -> None:
        """Refuse a request that has not been started.

        :param reason: why the request does not run.
        :param retry_after_ms: time after which to retry, 0 to give none.
        """
        self.deliver(self.refusal(Outcome.NOT_RUN, reason, retry_after_ms))


__all__ = ('Job',)
