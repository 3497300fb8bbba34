"""Two copies of one request: the first good answer wins."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from ...clock import monotonic_ms
from ...outcome import Outcome
from ...wire.messages import Head, Refusal
from .live_path import patience_ms, silent

if TYPE_CHECKING:
    from ...policy.loads import UpstreamLoad
    from .attempts import Attempt, Attempts
    from .live_path import LivePaths

_GRACE_MS: Final = 50
_SERVER_ERROR: Final = 500


@dataclass(frozen=True, slots=True)
class Copy:
    """One sending of a request.

    :param load: upstream it was sent to.
    :param sent_ms: monotonic time.
    """

    attempt: Attempt
    load: UpstreamLoad
    sent_ms: float

    @property
    def run_ms(self) -> float:
        """Run time to expect."""
        return self.load.report.run_ms


@dataclass(frozen=True, slots=True)
class Heard:
    """What was heard first of a copy.

    :param first: head or refusal, or nothing when time was up.
    :param other: whether the other copy has run, if there is one.
    """

    copy: Copy
    first: Head | Refusal | None
    other: Outcome = Outcome.NOT_RUN


class Race:
    """Waits for two copies, which are twins.

    :param attempts: where a copy is withdrawn.
    :param paths: tells whether a copy can still be answered.
    :param copies: the earlier and the later one.
    :param left_ms: time left for the request.
    """

    def __init__(
        self,
        attempts: Attempts,
        paths: LivePaths,
        copies: tuple[Copy, Copy],
        left_ms: float,
    ) -> None:
        self._attempts = attempts
        self._paths = paths
        self._copies = copies
        self._ends_ms = monotonic_ms() + left_ms

    def run(self) -> Heard:
        """Return the first good answer, and withdraw the other copy.

        If neither is good, the last one heard is returned. A copy whose
        path is silent is withdrawn once both are overdue.
        """
        overdue_ms = max(patience_ms(copy.run_ms) for copy in self._copies)
        message = self._any_first(min(overdue_ms, self._left_ms()))
        if message is None:
            return self._wait_on_open_paths()
        return self._judge(message)

    def _wait_on_open_paths(self) -> Heard:
        open_copies = [
            copy
            for copy in self._copies
            if self._paths.is_open(copy.attempt.channel)
        ]
        message = self._any_first(self._left_ms() if open_copies else 0)
        if message is not None:
            return self._judge(message)
        earlier, later = self._copies
        self._attempts.cancel(later.attempt)
        first = None if open_copies else silent(earlier.attempt)
        return Heard(earlier, first, Outcome.UNKNOWN)

    def _judge(self, message: Head | Refusal) -> Heard:
        earlier, later = self._copies
        is_earlier = message.request_id == earlier.attempt.request_id
        heard, other = (earlier, later) if is_earlier else (later, earlier)
        if is_good(message):
            self._attempts.cancel(other.attempt)
            return Heard(heard, message, Outcome.UNKNOWN)
        self._attempts.cancel(heard.attempt)
        first = self._paths.first(other.attempt, other.run_ms, self._left_ms())
        return Heard(other, first, _outcome_of(message))

    def _any_first(self, timeout_ms: float) -> Head | Refusal | None:
        return self._copies[0].attempt.any_first(timeout_ms)

    def _left_ms(self) -> float:
        return self._ends_ms - monotonic_ms() + _GRACE_MS


def _outcome_of(message: Head | Refusal) -> Outcome:
    if isinstance(message, Head):
        return Outcome.RAN
    return Outcome(message.outcome)


def is_good(message: Head | Refusal | None) -> bool:
    """Return whether an upstream has answered without a server error.

    :param message: what was heard first, or nothing.
    """
    return isinstance(message, Head) and message.status < _SERVER_ERROR


__all__ = ('Copy', 'Heard', 'Race', 'is_good')
