"""Channel between the entry and the home of the same process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import monotonic_ms
from ..wire.messages import (
    Body,
    Credit,
    DrainUpdate,
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
    """Delivers messages directly, without a socket or encoding.

    :param parts: controllers of this node.
    """

    def __init__(self, parts: NodeParts) -> None:
        self.vm = parts.identity.vm
        self.round_trip_ms: float | None = None
        self._parts = parts
        self._session = HomeSession(parts.home, self._receive)

    @property
    def last_pong_at_ms(self) -> float:
        """Current monotonic time, since the own home is always reachable."""
        return monotonic_ms()

    def ping(self) -> int:
        """Return a placeholder serial number; no ping is sent."""
        return 0

    def has_pong(self, serial: int) -> bool:
        """Return ``True``, since the home is in this process.

        :param serial: serial number of a ping.
        """
        return True

    def send(self, message: Message) -> None:
        """Deliver a message to the home.

        :param message: message from the entry.
        """
        self._session.on_message(message)

    def _receive(self, message: Message) -> None:
        receive_answer(self._parts, self, message)


def receive_answer(
    parts: NodeParts,
    channel: Channel,
    message: Message,
) -> bool:
    """Dispatch a message from a home to the controller that handles it.

    :param parts: controllers of this node.
    :param channel: channel that delivered the message.
    :param message: any message.
    :returns: whether this is a type of message that homes send.
    """
    match message:
        case Pong():
            parts.routing.note_path_recovered(channel.vm)
            _note_round_trip(parts, channel)
        case UpstreamStatus():
            parts.routing.note_status(message)
        case Head() | Body() | Refusal() | Credit():
            parts.attempts.deliver(channel, message)
        case DrainUpdate(upstream=upstream, draining=draining):
            parts.routing.note_drain(upstream, draining)
        case _:
            return False
    return True


def _note_round_trip(parts: NodeParts, channel: Channel) -> None:
    round_trip_ms = channel.round_trip_ms
    vm = parts.board.vm_list.read().vms.get(channel.vm)
    if vm is not None and round_trip_ms is not None:
        parts.routing.ways.round_trips.note(
            vm.zone, round_trip_ms, monotonic_ms()
        )


__all__ = ('LocalChannel', 'receive_answer')
