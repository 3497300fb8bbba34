"""Entries that the HTTP server adds to the environment of a request."""

from __future__ import annotations

from typing import Final

SOCKET_KEY: Final = 'jackdawhead.socket'
HEADERS_KEY: Final = 'jackdawhead.headers'
# Monotonic time in milliseconds at which the connection was accepted.
CONNECTED_KEY: Final = 'jackdawhead.connected'
# Set by the application once it has read the request: the request's id.
READ_KEY: Final = 'jackdawhead.read'
# Set by the application with an answer that it streams to the caller.
ANSWER_KEY: Final = 'jackdawhead.answer'
# Whether the node holds too much for its callers to begin another request.
FULL_KEY: Final = 'jackdawhead.full'

__all__ = (
    'ANSWER_KEY',
    'CONNECTED_KEY',
    'FULL_KEY',
    'HEADERS_KEY',
    'READ_KEY',
    'SOCKET_KEY',
)
