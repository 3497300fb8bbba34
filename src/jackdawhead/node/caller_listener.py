"""Puts the callers' side of a node together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import seconds
from .entry.dispatcher import Dispatcher
from .entry.http import CallerApi, Dispatchers
from .http_server import QuickServer
from .tickets.dispatch import TicketDispatcher
from .tickets.session import TicketSessions

if TYPE_CHECKING:
    from .channels import Channels
    from .entry.traffic import Traffic
    from .parts import NodeParts


def caller_server(
    parts: NodeParts,
    channels: Channels,
    traffic: Traffic,
) -> QuickServer:
    """Return the callers' listener, not started yet.

    :param parts: controllers of the node.
    :param channels: ways to other nodes.
    :param traffic: counts requests.
    """
    settings = parts.settings
    plain = Dispatcher(parts, channels)
    tickets = TicketDispatcher(parts, plain, channels)
    channels.accept_tickets(TicketSessions(settings.stream_keys, tickets))
    api = CallerApi(settings, parts.board, Dispatchers(plain, tickets), traffic)
    return QuickServer(
        settings.caller_address,
        api.app(),
        seconds(settings.caller_idle_ms),
    )


__all__ = ('caller_server',)
