"""A request with what was decided about it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import monotonic_ms
from ...outcome import Outcome
from ...policy.resend import outcome_of_both

if TYPE_CHECKING:
    from ...config.model import Operation
    from ...policy.service_router import ServiceRouter
    from ...policy.tries import Tries
    from .requests import CallerRequest


@dataclass(slots=True)
class Call:
    """A request with what was decided about it.

    :param deadline_at_ms: monotonic time.
    :param caller_service: service of the VM from which it comes.
    :param max_attempts: upstreams that may run it, 0 to follow the service.
    :param request_id: as the caller names it, for the log.
    :param runs: attempts so far that may have run.
    :param outcome: whether it has run, by the ends of all attempts so far.
    :param tries: upstreams it was sent to, or that it may have crashed.
    """

    request: CallerRequest
    router: ServiceRouter
    operation: Operation
    fingerprint: int
    deadline_at_ms: float
    tries: Tries
    caller_service: str = ''
    max_attempts: int = 0
    request_id: str = ''
    runs: int = 0
    attempts: int = 0
    outcome: Outcome = Outcome.NOT_RUN
    arrived_at_ms: float = field(default_factory=monotonic_ms)

    def left_ms(self) -> float:
        """Return the time left."""
        return self.deadline_at_ms - monotonic_ms()

    def note_end(self, outcome: Outcome) -> None:
        """Take in the end of an attempt or of a copy of one.

        :param outcome: whether it has run.
        """
        self.outcome = outcome_of_both(self.outcome, outcome)


__all__ = ('Call',)
