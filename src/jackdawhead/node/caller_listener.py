"""Builds the HTTP listener for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import seconds
from .entry.dispatcher import Dispatcher
from .entry.http import CallerApi, Dispatchers
from .http_server import HttpServer
from .tickets.dispatch import TicketDispatcher
from .tickets.session import TicketServer

if TYPE_CHECKING:
    from .channels import Channels
    from .entry.request_stats import RequestStats
    from .parts import NodeParts


def caller_server(
    parts: NodeParts,
    channels: Channels,
    request_stats: RequestStats,
) -> HttpServer:
    """Return the listener for callers, not yet started.

    :param parts: controllers of the node.
    :param channels: channels to all nodes.
    :param request_stats: request counters.
    """
    settings = parts.settings
    plain = Dispatcher(parts, channels)
    tickets = TicketDispatcher(parts, plain, channels)
    channels.accept_tickets(TicketServer(settings.stream_keys, tickets))
    api = CallerApi(
        settings, parts.board, Dispatchers(plain, tickets), request_stats
    )
    return HttpServer(
        settings.caller_address,
        api.app(),
        seconds(settings.caller_idle_ms),
    )


__all__ = ('caller_server',)
