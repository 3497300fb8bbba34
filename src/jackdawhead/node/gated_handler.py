"""A caller's connection that the bounds of its listener can close."""

from __future__ import annotations

from io import BufferedReader
from typing import TYPE_CHECKING, Any, Final

import gevent
from gevent.pywsgi import WSGIHandler

from ..clock import monotonic_ms, seconds
from ..policy.caller_bounds import CallerPhase, CallerView
from ..sockets import await_close, is_idle
from ..wire.stream import set_no_delay
from .caller_stream import CallerClosedError, CallerStream
from .http_keys import ANSWER_KEY, READ_KEY

if TYPE_CHECKING:
    from gevent.socket import socket as Socket

    from .http_server import HttpServer

# What a node buffers of a body before it passes the request on.
_MAX_BUFFERED_BODY_BYTES: Final = 65_536
# Parsed headers take several times their bytes.
_HEAD_COST: Final = 6
# Time in which a caller may still send a body that nobody reads.
_LINGER_MS: Final = 2000


class GatedHandler(WSGIHandler):
    """Knows what the node waits for, and what it holds for the caller."""

    environ: dict[str, Any]

    def __init__(
        self,
        sock: Socket,
        address: tuple[str, int],
        server: HttpServer,
    ) -> None:
        set_no_delay(sock)
        self.connected_at_ms = monotonic_ms()
        self.limits = server.head_limits()
        self.stream = CallerStream(sock, server.idle_ms, self.limits)
        self._sending_since_ms: float | None = None
        self.is_lingering = False
        self.is_shed = False
        super().__init__(sock, address, server, BufferedReader(self.stream))

    def handle(self) -> None:
        """Serve one connection until it closes or its timeout expires."""
        self.socket.settimeout(seconds(self.server.idle_ms))
        self._greenlet = gevent.getcurrent()
        self.server.gate.enter(self)
        try:
            super().handle()
        except TimeoutError:
            self.socket.close()
        finally:
            self.server.gate.leave(self)

    @property
    def view(self) -> CallerView:
        """What the bounds of the listener decide by."""
        stream = self.stream
        phase = stream.phase
        waited_ms = monotonic_ms() - stream.since_ms
        held_bytes = stream.given_bytes * _HEAD_COST
        if phase is CallerPhase.BODY:
            phase, held_bytes = self._progress
        if self._sending_since_ms is not None:
            phase = CallerPhase.ANSWER
            waited_ms = monotonic_ms() - self._sending_since_ms
        if self.is_lingering:
            phase = CallerPhase.CLOSING
        return CallerView(
            self.client_address[0],
            phase,
            waited_ms,
            stream.given_bytes,
            held_bytes,
        )

    def shed(self) -> bool:
        """Close the connection, unless its request has been read by now.

        Called by the hub.
        """
        phase = self.view.phase
        if phase is CallerPhase.IDLE and not is_idle(self.socket):
            return False
        if phase in {CallerPhase.ANSWER, CallerPhase.CLOSING}:
            self.is_shed = True
            self._greenlet.throw(CallerClosedError('answer not read'))
            return True
        # The reader ends at once, and must not linger.
        self.is_shed = True
        self.is_shed = self.stream.interrupt()
        return self.is_shed

    def linger(self) -> None:
        """Drop what the caller still sends, so that it can read the answer."""
        if self.is_shed:
            return
        self.is_lingering = True
        try:
            await_close(self.socket, _LINGER_MS)
        finally:
            self.is_lingering = False

    def _sendall(self, block: bytes) -> None:
        """Send bytes, and note since when the caller has read none."""
        self._sending_since_ms = monotonic_ms()
        try:
            super()._sendall(block)
        finally:
            self._sending_since_ms = None

    @property
    def _progress(self) -> tuple[CallerPhase, int]:
        """Phase of a request in progress, and the bytes held for it."""
        held_bytes = min(self.stream.given_bytes, _MAX_BUFFERED_BODY_BYTES)
        if self.environ.get(READ_KEY) is None and not self.headers_sent:
            return CallerPhase.BODY, held_bytes
        answer = self.environ.get(ANSWER_KEY)
        if answer is not None:
            held_bytes += answer.held_bytes
        return CallerPhase.RUNNING, held_bytes


__all__ = ('GatedHandler',)
