"""Limits what an entry accepts while its node stops."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from ...clock import monotonic_ms
from ...outcome import Outcome
from ...policy.stopping import Offer, fits_before_stop, may_pass_on
from ...reasons import Reason
from ..stop_log import log_stop_decision
from .requests import Refused

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...blackboard import Blackboard
    from ...policy.stopping import StopPlan
    from .call_state import Call
    from .requests import Answer

# Another node can run the request at once.
_RETRY_AFTER_MS: Final = 50
STOP_REFUSAL: Final = Refused(
    Outcome.NOT_RUN, Reason.NODE_LEAVING, _RETRY_AFTER_MS
)
# An earlier request with the same ticket may have run.
TICKET_STOP_REFUSAL: Final = Refused(
    Outcome.UNKNOWN, Reason.TICKET_UNREACHABLE, _RETRY_AFTER_MS
)


class StopLimits:
    """Compares the time that a request needs with the time until the stop.

    :param board: source of the plan of the stop.
    :param is_call: returns whether a request that expires at a monotonic time
        may be a call of work at the upstream beside this node.
    """

    def __init__(
        self, board: Blackboard, is_call: Callable[[float], bool]
    ) -> None:
        self._board = board
        self._is_call = is_call

    def admits(self, call: Call) -> bool:
        """Return whether one more attempt is made now, and log it.

        :param call: the request and its state.
        """
        plan = self._board.stop.read()
        if plan is None:
            return True
        offer = self._offer(call, plan)
        has_time = may_pass_on(plan, offer, monotonic_ms())
        log_stop_decision(call, plan, offer, is_taken=has_time)
        return has_time

    def has_time_for(self, call: Call) -> bool:
        """Return whether one more attempt will end before this node does.

        :param call: the request and its state.
        """
        plan = self._board.stop.read()
        if plan is None:
            return True
        return may_pass_on(plan, self._offer(call, plan), monotonic_ms())

    def may_wait(self, call: Call) -> bool:
        """Return whether a home may queue the request.

        Only the deadline bounds the time in the queue.

        :param call: the request and its state.
        """
        plan = self._board.stop.read()
        return fits_before_stop(plan, call.bound_ms(), monotonic_ms())

    def with_retry_time(self, answer: Answer) -> Answer:
        """Return a refusal with a time to retry, at another node.

        Homes give none when they expect the entry to ask another home.

        :param answer: answer to the caller; others are returned as they are.
        """
        if self._board.stop.read() is None or not isinstance(answer, Refused):
            return answer
        if answer.outcome is not Outcome.NOT_RUN or answer.retry_after_ms:
            return answer
        return replace(answer, retry_after_ms=_RETRY_AFTER_MS)

    def _offer(self, call: Call, plan: StopPlan) -> Offer:
        router, operation = call.router, call.operation
        return Offer(
            call.arrived_at_ms,
            router.completion_times.high_ms(operation),
            call.bound_ms(),
            may_be_call=self._may_be_call(call, plan),
            may_be_read_slowly=router.answer_sizes.may_exceed_buffers(
                operation.name
            ),
        )

    def _may_be_call(self, call: Call, plan: StopPlan) -> bool:
        """Return whether work at the upstream beside this node may need it.

        Other callers have been told to connect elsewhere by the time at which
        the listener would be closed.
        """
        is_new = call.request.connected_at_ms > plan.closes_at_ms
        expires_at_ms = call.arrived_at_ms + call.request.deadline_ms
        return is_new and self._is_call(expires_at_ms)


__all__ = ('STOP_REFUSAL', 'TICKET_STOP_REFUSAL', 'StopLimits')
