"""A caller's request and the state of its processing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ...clock import monotonic_ms
from ...outcome import Outcome
from ...policy.resend import combined_outcome
from ...wire.messages import OPERATION_PRIORITY

if TYPE_CHECKING:
    from ...blackboard import Blackboard
    from ...config.model import Operation
    from ...policy.service_router import ServiceRouter
    from ...policy.tried_upstreams import TriedUpstreams
    from .requests import CallerRequest

# The node that runs it enforces the same deadline; its refusal needs time to
# arrive.
DEADLINE_GRACE_MS: Final = 50


@dataclass(slots=True)
class Call:
    """A caller's request and the state of its processing.

    :param deadline_at_ms: monotonic time of the deadline.
    :param tried: upstreams that the request was sent to or may have crashed.
    :param caller_service: service of the VM that the request comes from.
    :param max_attempts: number of upstreams that may run the request, 0 to
        use the limit of the service.
    :param request_id: identity that the caller gave the request, for the log.
    :param runs: number of attempts so far that may have run.
    :param attempts: number of attempts so far.
    :param outcome: outcome of all attempts so far taken together.
    :param arrived_at_ms: monotonic time at which this object was created.
    :param priority: rank under overload, 0 being the most important; -1 for
        that of the operation.
    """

    request: CallerRequest
    router: ServiceRouter
    operation: Operation
    fingerprint: int
    deadline_at_ms: float
    tried: TriedUpstreams
    caller_service: str = ''
    max_attempts: int = 0
    request_id: str = ''
    runs: int = 0
    attempts: int = 0
    outcome: Outcome = Outcome.NOT_RUN
    arrived_at_ms: float = field(default_factory=monotonic_ms)
    priority: int = OPERATION_PRIORITY

    @property
    def rank(self) -> int:
        """Rank under overload, 0 being the most important."""
        if self.priority == OPERATION_PRIORITY:
            return self.operation.priority
        return self.priority

    def left_ms(self) -> float:
        """Return the time until the deadline, in milliseconds."""
        return self.deadline_at_ms - monotonic_ms()

    def bound_ms(self) -> float:
        """Return the time after which an attempt is given up."""
        return self.left_ms() + DEADLINE_GRACE_MS

    def note_outcome(self, outcome: Outcome) -> None:
        """Record the outcome of an attempt or of one of its copies.

        :param outcome: whether the attempt ran.
        """
        self.outcome = combined_outcome(self.outcome, outcome)


def priority_of(organisation: str, board: Blackboard) -> int:
    """Return the rank of an organisation's requests, -1 if it has none.

    :param organisation: name of the organisation, empty for none.
    :param board: source of the configuration.
    """
    loaded = board.config.read().loaded
    found = loaded.config.organisations.get(organisation) if loaded else None
    if found is None or found.priority is None:
        return OPERATION_PRIORITY
    return found.priority


__all__ = ('DEADLINE_GRACE_MS', 'Call', 'priority_of')
