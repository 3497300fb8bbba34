"""HTTP server based on gevent's WSGI server."""

from __future__ import annotations

import sys
from contextlib import suppress
from typing import TYPE_CHECKING, Any, Final

from gevent import socket
from gevent.pywsgi import WSGIServer

from ..policy.answer_sizes import SOCKET_BUFFER_BYTES
from ..policy.caller_bounds import CallerBounds, CallerUse
from .caller_gate import CallerGate
from .caller_stream import HeadLimits
from .http_handler import HttpHandler, RequestInProgress

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.socket import socket as Socket

    from ..config.settings import Address

_BACKLOG: Final = 1024
# The kernel may allow less.
_LAST_BUFFER_BYTES: Final = 1_048_576
# Connections accepted at once; the bounds are checked after these.
_MAX_ACCEPTED: Final = 16
_NO_BOUNDS: Final = CallerUse(sys.maxsize, sys.maxsize)
_MS_PER_S: Final = 1000
_WHOLE_PERCENT: Final = 100


class HttpServer(WSGIServer):
    """Listener for :class:`HttpHandler`.

    :param address: address to listen on.
    :param application: WSGI application.
    :param idle_timeout_s: socket timeout in seconds; a connection on which
        the caller stays idle for longer is closed.
    :param bounds: bounds of all connections together, none by default.
    :param head_limits: returns the limits for the next head.

    The attribute ``begun_ms`` has the monotonic time at which each request in
    progress began, ``gate`` the open connections, and ``refused`` is the
    number of malformed or ambiguous requests so far.
    """

    handler_class = HttpHandler
    max_accept = _MAX_ACCEPTED

    def __init__(
        self,
        address: Address,
        application: Any,
        idle_timeout_s: float,
        bounds: CallerBounds | None = None,
        head_limits: Callable[[], HeadLimits] = HeadLimits,
    ) -> None:
        super().__init__(
            (address.ip, address.port),
            application,
            backlog=_BACKLOG,
            log=None,
        )
        self.idle_ms = idle_timeout_s * _MS_PER_S
        self.head_limits = head_limits
        self._is_bounded = bounds is not None
        self.gate = CallerGate(
            bounds or CallerBounds(_NO_BOUNDS, _WHOLE_PERCENT)
        )
        self.begun_ms: dict[HttpHandler, float] = {}
        self.refused = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self.gate)

    def init_socket(self) -> None:
        """Bind the listener; connections inherit its buffer sizes."""
        super().init_socket()
        if self._is_bounded:
            self._bound_buffers()

    def do_handle(self, sock: Socket, address: tuple[str, int]) -> None:
        """Serve a new connection, or close it if there is no room."""
        if self.gate.admit():
            super().do_handle(sock, address)
        else:
            sock.close()

    def handle(self, sock: Socket, address: tuple[str, int]) -> None:
        """Serve one connection."""
        self.gate.arrive()
        super().handle(sock, address)

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return len(self.begun_ms)

    @property
    def in_progress(self) -> tuple[RequestInProgress, ...]:
        """Requests in progress."""
        return tuple(handler.in_progress for handler in self.begun_ms)

    @property
    def is_answering(self) -> bool:
        """Whether an answer has begun and is not complete."""
        return any(handler.headers_sent for handler in self.begun_ms)

    def has_request_from_before(self, at_ms: float) -> bool:
        """Return whether a request in progress began before a time.

        :param at_ms: monotonic time.
        """
        return any(begun_ms < at_ms for begun_ms in self.begun_ms.values())

    def widen_buffers(self) -> None:
        """Let the kernel hold more of the answers that callers read slowly.

        It goes on delivering them when the process has ended.
        """
        for handler in tuple(self.begun_ms):
            with suppress(OSError):
                handler.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, _LAST_BUFFER_BYTES
                )

    def _bound_buffers(self) -> None:
        with suppress(OSError):
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                self.socket.setsockopt(
                    socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
                )


__all__ = ('HttpServer', 'RequestInProgress')
