"""Waits for two copies of a hedged request; the first good answer wins."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ...clock import monotonic_ms
from ...outcome import Outcome
from ...wire.messages import Head, Refusal
from .call_state import DEADLINE_GRACE_MS
from .path_checker import overdue_after_ms, silent_path_refusal

if TYPE_CHECKING:
    from ...policy.loads import UpstreamLoad
    from .attempts import Attempt, PendingAttempts
    from .path_checker import PathChecker

_MIN_SERVER_ERROR_STATUS: Final = 500


@dataclass(frozen=True, slots=True)
class Copy:
    """One of the copies in which a request was sent.

    :param attempt: attempt that receives the reply.
    :param load: load of the upstream that the copy was sent to.
    :param sent_ms: monotonic time at which it was sent.
    """

    attempt: Attempt
    load: UpstreamLoad
    sent_ms: float

    @property
    def run_ms(self) -> float:
        """Expected run time in milliseconds."""
        return self.load.report.run_ms


@dataclass(frozen=True, slots=True)
class Reply:
    """First reply to a request.

    :param copy: copy that the reply belongs to.
    :param message: head or refusal, or nothing on timeout.
    :param other_outcome: outcome of the other copy, if there is one.
    """

    copy: Copy
    message: Head | Refusal | None
    other_outcome: Outcome = Outcome.NOT_RUN


class Race:
    """Waits for the replies to a request and to its hedge.

    :param attempts: attempts in flight, used to cancel a copy.
    :param paths: checks whether a home still answers.
    :param copies: the earlier copy and its hedge.
    :param left_ms: time until the deadline of the request.
    """

    def __init__(
        self,
        attempts: PendingAttempts,
        paths: PathChecker,
        copies: tuple[Copy, Copy],
        left_ms: float,
    ) -> None:
        self._attempts = attempts
        self._paths = paths
        self._copies = copies
        self._ends_ms = monotonic_ms() + left_ms

    def run(self) -> Reply:
        """Return the first good reply and cancel the other copy.

        If neither reply is good, the later reply is returned. Once both
        copies are overdue, the paths to both homes are checked; if both are
        silent, the request is given up.
        """
        overdue_ms = max(overdue_after_ms(copy.run_ms) for copy in self._copies)
        message = self._next_message(min(overdue_ms, self._left_ms()))
        if message is None:
            return self._wait_on_reachable()
        return self._pick(message)

    def _wait_on_reachable(self) -> Reply:
        reachable = [
            copy
            for copy in self._copies
            if self._paths.is_responsive(copy.attempt.channel)
        ]
        message = self._next_message(self._left_ms() if reachable else 0)
        if message is not None:
            return self._pick(message)
        earlier, later = self._copies
        self._attempts.cancel(later.attempt)
        refusal = None if reachable else silent_path_refusal(earlier.attempt)
        return Reply(earlier, refusal, Outcome.UNKNOWN)

    def _pick(self, message: Head | Refusal) -> Reply:
        earlier, later = self._copies
        is_earlier = message.request_id == earlier.attempt.request_id
        replied, other = (earlier, later) if is_earlier else (later, earlier)
        if is_success(message):
            self._attempts.cancel(other.attempt)
            return Reply(replied, message, Outcome.UNKNOWN)
        self._attempts.cancel(replied.attempt)
        other_message = self._paths.first_message(
            other.attempt, other.run_ms, self._left_ms()
        )
        return Reply(other, other_message, _outcome_of(message))

    def _next_message(self, timeout_ms: float) -> Head | Refusal | None:
        return self._copies[0].attempt.next_message_of_either(timeout_ms)

    def _left_ms(self) -> float:
        return self._ends_ms - monotonic_ms() + DEADLINE_GRACE_MS


def _outcome_of(message: Head | Refusal) -> Outcome:
    if isinstance(message, Head):
        return Outcome.RAN
    return Outcome(message.outcome)


def is_success(message: Head | Refusal | None) -> bool:
    """Return whether an upstream has answered without a server error.

    :param message: first message of the reply, or nothing on timeout.
    """
    return (
        isinstance(message, Head) and message.status < _MIN_SERVER_ERROR_STATUS
    )


__all__ = ('Copy', 'Race', 'Reply', 'is_success')
