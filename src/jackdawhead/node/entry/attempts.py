"""Attempts that wait for their answers, by request id."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Protocol

from gevent.queue import Empty, SimpleQueue

from ...clock import monotonic_ms, seconds
from ...outcome import Outcome
from ...reasons import Reason
from ...wire.messages import (
    Body,
    Cancel,
    Credit,
    Head,
    Message,
    Refusal,
)
from ..credit import CreditGate

if TYPE_CHECKING:
    from gevent import Greenlet


class Channel(Protocol):
    """A way to a home: a stream, or a call within the process."""

    vm: str

    @property
    def proved_at_ms(self) -> float:
        """Monotonic time of the last answer to a ping."""

    def ping(self) -> int:
        """Ask the home for an answer at once; return the serial number."""

    def has_answered(self, serial: int) -> bool:
        """Return whether the ping with this number, or a later one, was."""

    def send(self, message: Message) -> None:
        """Send a message to the home."""


class Attempt:
    """One request sent to one home.

    :param request_id: minted for this attempt, never used again.
    :param channel: way to the home.
    :param twin: another attempt of the same request, whose answers come in
        at the same place.
    """

    def __init__(
        self,
        request_id: int,
        channel: Channel,
        twin: Attempt | None = None,
    ) -> None:
        self.request_id = request_id
        self.channel = channel
        self.body_credit = CreditGate()
        self.pump: Greenlet | None = None
        self._inbox: SimpleQueue = twin._inbox if twin else SimpleQueue()

    def deliver(self, message: Message) -> None:
        """Take in a message of the home.

        :param message: head, body or refusal with this request id.
        """
        if isinstance(message, Credit):
            self.body_credit.grant(message.byte_count)
        else:
            self._inbox.put(message)

    def first(self, timeout_ms: float) -> Head | Refusal | None:
        """Return the next message of this attempt, or nothing in time.

        :param timeout_ms: longest wait.
        """
        ends_ms = monotonic_ms() + timeout_ms
        message = self.any_first(timeout_ms)
        while message is not None and message.request_id != self.request_id:
            message = self.any_first(ends_ms - monotonic_ms())
        return message

    def any_first(self, timeout_ms: float) -> Head | Refusal | None:
        """Return the next message of this attempt or its twin.

        :param timeout_ms: longest wait.
        """
        try:
            message: Head | Refusal = self._inbox.get(
                timeout=max(0, seconds(timeout_ms)),
            )
        except Empty:
            return None
        return message


class Attempts:
    """All attempts of this node that are not over."""

    def __init__(self) -> None:
        self._waiting: dict[int, Attempt] = {}
        self._ids = count(1)
        self.late_answers = 0

    def __len__(self) -> int:
        """Return the number of attempts that are not over."""
        return len(self._waiting)

    def begin(
        self,
        channel: Channel,
        twin: Attempt | None = None,
    ) -> Attempt:
        """Return a new attempt with an id of its own.

        :param channel: way to the home.
        :param twin: another attempt of the same request.
        """
        attempt = Attempt(next(self._ids), channel, twin)
        self._waiting[attempt.request_id] = attempt
        return attempt

    def end(self, attempt: Attempt) -> None:
        """Stop waiting; what still comes is dropped.

        :param attempt: the attempt.
        """
        self._waiting.pop(attempt.request_id, None)
        if attempt.pump is not None:
            # What the caller still sends of its body is of no use.
            attempt.pump.kill(block=False)

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting and withdraw the request.

        :param attempt: the attempt.
        """
        if attempt.request_id in self._waiting:
            attempt.channel.send(Cancel(attempt.request_id))
            self.end(attempt)

    def deliver(
        self,
        channel: Channel,
        message: Head | Body | Refusal | Credit,
    ) -> None:
        """Hand a message to the attempt that waits for it.

        A message that nobody waits for, or that comes from another home
        than the one asked, is dropped and counted.

        :param channel: where it comes from.
        :param message: message with a request id.
        """
        attempt = self._waiting.get(message.request_id)
        if attempt is None or attempt.channel is not channel:
            self.late_answers += 1
            return
        attempt.deliver(message)

    def concern(self, channel: Channel) -> bool:
        """Return whether an answer is awaited on a channel.

        :param channel: way to a home.
        """
        return any(
            attempt.channel is channel for attempt in self._waiting.values()
        )

    def fail_all(self, channel: Channel) -> None:
        """End all attempts on a channel that was lost.

        :param channel: the lost channel.
        """
        for attempt in tuple(self._waiting.values()):
            if attempt.channel is channel:
                attempt.deliver(
                    Refusal(
                        attempt.request_id,
                        Outcome.UNKNOWN.value,
                        Reason.PEER_LOST.value,
                        0,
                    ),
                )


__all__ = ('Attempt', 'Attempts', 'Channel')
