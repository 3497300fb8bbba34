"""The way from the entry to the home of the same process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import monotonic_ms
from ..wire.messages import (
    Body,
    Credit,
    DrainNews,
    Head,
    Message,
    Pong,
    Refusal,
    UpstreamStatus,
)
from .home.session import HomeSession

if TYPE_CHECKING:
    from .entry.attempts import Channel
    from .parts import NodeParts


class LocalChannel:
    """Hands messages over without a socket or a codec.

    :param parts: controllers of this node.
    """

    def __init__(self, parts: NodeParts) -> None:
        self.vm = parts.identity.vm
        self._parts = parts
        self._session = HomeSession(parts.home, parts.board, self._receive)

    @property
    def proved_at_ms(self) -> float:
        """Monotonic time at which the home was reached, which is now."""
        return monotonic_ms()

    def ping(self) -> int:
        """Return the serial number of a ping, which is never sent."""
        return 0

    def has_answered(self, serial: int) -> bool:
        """Return that the home is reached, as it is this process.

        :param serial: of a ping.
        """
        return True

    def send(self, message: Message) -> None:
        """Hand a message to the home.

        :param message: message of the entry.
        """
        self._session.on_message(message)

    def _receive(self, message: Message) -> None:
        receive_answer(self._parts, self, message)


def receive_answer(
    parts: NodeParts,
    channel: Channel,
    message: Message,
) -> bool:
    """Hand a message of a home to whom it concerns.

    :param parts: controllers of this node.
    :param channel: where it comes from.
    :param message: any message.
    :returns: whether it was one of a home's answers.
    """
    match message:
        case Pong():
            parts.routing.note_open_path(channel.vm)
        case UpstreamStatus():
            parts.routing.note_status(message)
        case Head() | Body() | Refusal() | Credit():
            parts.attempts.deliver(channel, message)
        case DrainNews(upstream=upstream, draining=draining):
            parts.routing.note_drain(upstream, draining)
        case _:
            return False
    return True


__all__ = ('LocalChannel', 'receive_answer')
