"""Builds the HTTP listener for callers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ..clock import seconds
from ..config.model import CallerPolicy
from ..policy.caller_bounds import CallerBounds, CallerUse
from .caller_stream import HeadLimits
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
    most = CallerUse(settings.caller_connections, settings.caller_memory_bytes)
    return HttpServer(
        settings.caller_address,
        api.app(),
        seconds(settings.caller_idle_ms),
        CallerBounds(most, settings.caller_address_percent),
        partial(_head_limits, parts),
    )


def _head_limits(parts: NodeParts) -> HeadLimits:
    """Return the limits of the configuration, else those of the settings."""
    settings = parts.settings
    loaded = parts.board.config.read().loaded
    policy = CallerPolicy() if loaded is None else loaded.config.callers
    return HeadLimits(
        policy.max_head_bytes or settings.max_head_bytes,
        policy.head_ms or settings.caller_head_ms,
    )


__all__ = ('caller_server',)
