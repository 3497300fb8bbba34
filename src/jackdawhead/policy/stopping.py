"""Planned stop of a node: how long it still accepts and finishes work."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

# Share of a stop, at its end, that is left for work that takes longer than
# estimated, and for sending the last answers.
_RESERVED_SHARE: Final = 0.1
# Share of a stop in which the estimate suffices for calls of work beside the
# node. Later too little is left for the rare call that exceeds its estimate.
_CALL_SHARE: Final = 0.57
# Share of a stop that is added to it for the last answers.
_ANSWERING_SHARE: Final = 0.05
# Share of a stop by which it may end later than planned. With the last answers,
# it then still ends before the platform kills the process.
_LATE_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Schedule of a planned stop, in monotonic milliseconds.

    :param began_at_ms: arrival of the stop signal.
    :param closes_at_ms: close of the listener for callers.
    :param ends_at_ms: end of the process; requests still in progress then
        are cut off.
    """

    began_at_ms: float
    closes_at_ms: float
    ends_at_ms: float

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until requests in progress are cut off.

        :param now_ms: monotonic time.
        """
        return max(0, self.ends_at_ms - now_ms)

    def elapsed_ms(self, now_ms: float) -> float:
        """Return the time since the stop signal.

        :param now_ms: monotonic time.
        """
        return now_ms - self.began_at_ms

    @property
    def refuses_from_ms(self) -> float:
        """Time from which on no work is accepted, however short."""
        length_ms = self.ends_at_ms - self.began_at_ms
        return self.ends_at_ms - _RESERVED_SHARE * length_ms

    @property
    def calls_by_estimate_until_ms(self) -> float:
        """Time until which an estimate suffices for calls beside the node."""
        length_ms = self.ends_at_ms - self.began_at_ms
        return max(
            self.closes_at_ms, self.began_at_ms + _CALL_SHARE * length_ms
        )

    @property
    def answered_by_ms(self) -> float:
        """Time by which what was in progress at the end has an answer."""
        length_ms = self.ends_at_ms - self.began_at_ms
        return self.ends_at_ms + _ANSWERING_SHARE * length_ms

    def has_time_for(self, work_ms: float, now_ms: float) -> bool:
        """Return whether work that begins now ends before the process does.

        :param work_ms: high estimate of the time until the answer is
            complete, waits included.
        :param now_ms: monotonic time.
        """
        is_open = now_ms < self.refuses_from_ms
        return is_open and now_ms + work_ms <= self.refuses_from_ms

    def ending_at(self, now_ms: float) -> StopPlan:
        """Return the plan with an earlier end, from which on no work fits.

        :param now_ms: monotonic time of the end.
        """
        return replace(self, ends_at_ms=min(self.ends_at_ms, now_ms))


def stop_began_ms(
    handled_at_ms: float, sent_from_ms: float, length_ms: float
) -> float:
    """Return the time from which a stop counts.

    A signal that is sent while the process is paused is handled after the
    pause. A stop that counts from then may reach the kill, one that counts from
    the beginning of the pause may cut off requests before they are due.

    :param handled_at_ms: monotonic time at which the signal was handled.
    :param sent_from_ms: earliest time at which it can have been sent.
    :param length_ms: time from the signal until the process ends.
    """
    return min(handled_at_ms, sent_from_ms + _LATE_SHARE * length_ms)


@dataclass(frozen=True, slots=True)
class Offer:
    """What is known of the time that a caller's request takes.

    :param arrived_at_ms: monotonic time at which it had been read.
    :param estimate_ms: high estimate of the time until its answer is complete;
        a request may exceed it.
    :param bound_ms: time after which it is given up in any case.
    :param may_be_call: whether it may come from work that runs at the upstream
        beside this node.
    :param may_be_read_slowly: whether its answer may be too large to be left to
        the kernel, so that its caller decides when it is complete.
    """

    arrived_at_ms: float
    estimate_ms: float
    bound_ms: float
    may_be_call: bool = False
    may_be_read_slowly: bool = False


def may_pass_on(plan: StopPlan | None, offer: Offer, now_ms: float) -> bool:
    """Return whether an entry may send a request to a home.

    Callers that used an open connection before the listener was closed could
    not know that the node stops; for them the estimate suffices. Later ones
    are better off at another node than with a request that may be cut off, so
    that only what ends in time in any case is sent. Work that runs at the
    upstream beside this node fails if its calls are refused, so that the
    estimate suffices for them a little longer. After that, they are refused as
    well: a call that is cut while its upstream is at work can't be repeated.

    The estimate is that of all callers, and says nothing about how fast this
    one reads a large answer. Such a request is sent only if its bound fits.

    :param plan: schedule of the planned stop, none while the node runs.
    :param offer: times of the request.
    :param now_ms: monotonic time.
    """
    if plan is None:
        return True
    estimates_until_ms = plan.closes_at_ms
    if offer.may_be_call:
        estimates_until_ms = plan.calls_by_estimate_until_ms
    needed_ms = offer.bound_ms
    is_early = offer.arrived_at_ms <= estimates_until_ms
    if is_early and not offer.may_be_read_slowly:
        needed_ms = min(needed_ms, offer.estimate_ms)
    return plan.has_time_for(needed_ms, now_ms)


def fits_before_stop(
    plan: StopPlan | None, work_ms: float, now_ms: float
) -> bool:
    """Return whether this node may accept work.

    :param plan: schedule of the planned stop, none while the node runs.
    :param work_ms: high estimate of the time until the answer is complete,
        waits included.
    :param now_ms: monotonic time.
    """
    return plan is None or plan.has_time_for(work_ms, now_ms)


__all__ = (
    'Offer',
    'StopPlan',
    'fits_before_stop',
    'may_pass_on',
    'stop_began_ms',
)
