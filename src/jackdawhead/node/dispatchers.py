"""Builds the dispatchers of callers' requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .entry.dispatcher import Dispatcher
from .tickets.dispatch import TicketDispatcher
from .tickets.session import TicketServer

if TYPE_CHECKING:
    from .channels import Channels
    from .parts import NodeParts


@dataclass(frozen=True, slots=True)
class Dispatchers:
    """Dispatchers of requests without a ticket and with one."""

    plain: Dispatcher
    tickets: TicketDispatcher


def build_dispatchers(parts: NodeParts, channels: Channels) -> Dispatchers:
    """Return the dispatchers; other nodes may forward tickets from now on.

    :param parts: controllers of the node.
    :param channels: channels to all nodes.
    """
    plain = Dispatcher(parts, channels)
    tickets = TicketDispatcher(parts, plain, channels)
    channels.accept_tickets(TicketServer(parts.settings.stream_keys, tickets))
    return Dispatchers(plain, tickets)


__all__ = ('Dispatchers', 'build_dispatchers')
