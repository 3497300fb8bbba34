"""Builds the HTTP listener for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import seconds
from .entry.http import CallerApi
from .http_server import HttpServer

if TYPE_CHECKING:
    from .dispatchers import Dispatchers
    from .entry.request_stats import RequestStats
    from .parts import NodeParts


def caller_server(
    parts: NodeParts,
    dispatchers: Dispatchers,
    request_stats: RequestStats,
) -> HttpServer:
    """Return the listener for callers, not yet started.

    :param parts: controllers of the node.
    :param dispatchers: dispatchers without and with tickets.
    :param request_stats: request counters.
    """
    settings = parts.settings
    api = CallerApi(parts, dispatchers, request_stats)
    return HttpServer(
        settings.caller_address,
        api.app(),
        seconds(settings.caller_idle_ms),
    )


__all__ = ('caller_server',)
