"""Attempts in flight, by request id."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING, Any, Protocol

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
    """A channel to a home: a stream, or calls within this process."""

    vm: str

    @property
    def last_pong_at_ms(self) -> float:
        """Monotonic time of the last answer to a ping."""

    @property
    def round_trip_ms(self) -> float | None:
        """Time between the last ping and its answer, None if unknown."""

    def ping(self) -> int:
        """Send a ping to the home and return its serial number."""

    def has_pong(self, serial: int) -> bool:
        """Return whether this ping, or a later one, has been answered."""

    def send(self, message: Message) -> None:
        """Send a message to the home."""


class _Inbox:
    """Messages from a home, and how many bytes of an answer they have."""

    def __init__(self) -> None:
        self._messages: SimpleQueue = SimpleQueue()
        self.held_bytes = 0

    def put(self, message: Message) -> None:
        """Add a message."""
        self.held_bytes += _chunk_bytes(message)
        self._messages.put(message)

    def get(self, timeout_ms: float) -> Any:
        """Return the next message, or nothing on timeout."""
        try:
            message = self._messages.get(timeout=max(0, seconds(timeout_ms)))
        except Empty:
            return None
        self.held_bytes -= _chunk_bytes(message)
        return message


class Attempt:
    """One request sent to one home.

    :param request_id: identity of this attempt, never reused.
    :param channel: channel to the home.
    :param hedged: earlier attempt that this one hedges; both share an inbox.
    """

    def __init__(
        self,
        request_id: int,
        channel: Channel,
        hedged: Attempt | None = None,
    ) -> None:
        self.request_id = request_id
        self.channel = channel
        self.body_credit = CreditGate()
        self.pump: Greenlet | None = None
        self._inbox: _Inbox = hedged._inbox if hedged else _Inbox()

    @property
    def held_bytes(self) -> int:
        """Bytes of the answer that have arrived and are not yet sent."""
        return self._inbox.held_bytes

    def deliver(self, message: Message) -> None:
        """Accept a message from the home.

        :param message: head, body, refusal or credit with this request id.
        """
        if isinstance(message, Credit):
            self.body_credit.grant(message.byte_count)
        else:
            self._inbox.put(message)

    def next_message(self, timeout_ms: float) -> Head | Refusal | None:
        """Return the next message of this attempt, or nothing on timeout.

        :param timeout_ms: longest wait.
        """
        ends_ms = monotonic_ms() + timeout_ms
        message = self.next_message_of_either(timeout_ms)
        while message is not None and message.request_id != self.request_id:
            message = self.next_message_of_either(ends_ms - monotonic_ms())
        return message

    def next_message_of_either(
        self, timeout_ms: float
    ) -> Head | Refusal | None:
        """Return the next message of this attempt or of its hedge.

        :param timeout_ms: longest wait.
        :returns: the message, or nothing on timeout.
        """
        message: Head | Refusal | None = self._inbox.get(timeout_ms)
        return message


class PendingAttempts:
    """All attempts of this node that are in flight."""

    def __init__(self) -> None:
        self._waiting: dict[int, Attempt] = {}
        self._ids = count(1)
        self.late_answers = 0

    def __len__(self) -> int:
        """Return the number of attempts in flight."""
        return len(self._waiting)

    def begin(
        self,
        channel: Channel,
        hedged: Attempt | None = None,
    ) -> Attempt:
        """Register a new attempt with an id of its own.

        :param channel: channel to the home.
        :param hedged: earlier attempt that this one hedges.
        """
        attempt = Attempt(next(self._ids), channel, hedged)
        self._waiting[attempt.request_id] = attempt
        return attempt

    def end(self, attempt: Attempt) -> None:
        """Unregister an attempt; messages that still arrive are dropped.

        :param attempt: the attempt.
        """
        self._waiting.pop(attempt.request_id, None)
        if attempt.pump is not None:
            # The home no longer needs the rest of the caller's body.
            attempt.pump.kill(block=False)

    def cancel(self, attempt: Attempt) -> None:
        """Unregister an attempt and tell the home to cancel it.

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
        """Deliver a message to the attempt that awaits it.

        A message for an unknown attempt, or from another channel than the
        one on which the attempt was sent, is dropped and counted.

        :param channel: channel on which the message arrived.
        :param message: message with a request id.
        """
        attempt = self._waiting.get(message.request_id)
        if attempt is None or attempt.channel is not channel:
            self.late_answers += 1
            return
        attempt.deliver(message)

    def has_attempt_on(self, channel: Channel) -> bool:
        """Return whether an attempt is in flight on a channel.

        :param channel: channel to a home.
        """
        return any(
            attempt.channel is channel for attempt in self._waiting.values()
        )

    def fail_on_channel(self, channel: Channel) -> None:
        """Fail all attempts on a lost channel with an unknown outcome.

        :param channel: the lost channel.
        """
        for attempt in tuple(self._waiting.values()):
            if attempt.channel is channel:
                _fail(attempt, Reason.PEER_LOST)

    def fail_all(self) -> None:
        """Fail all attempts with an unknown outcome, as this node stops."""
        for attempt in tuple(self._waiting.values()):
            _fail(attempt, Reason.NODE_LEAVING)


def _chunk_bytes(message: Message) -> int:
    return len(message.chunk) if isinstance(message, Head | Body) else 0


def _fail(attempt: Attempt, reason: Reason) -> None:
    attempt.deliver(
        Refusal(attempt.request_id, Outcome.UNKNOWN.value, reason.value, 0)
    )


__all__ = ('Attempt', 'Channel', 'PendingAttempts')
